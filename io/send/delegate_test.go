package send

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/check"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/pace"
	"heatherrouter/core/reach"
	"heatherrouter/core/report"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
)

// delegateRelay is a Relay whose peers all answer the same.
type delegateRelay struct {
	answer RelayResult
	asked  []ident.Daemon
}

func (d *delegateRelay) Send(_ context.Context, to ident.Daemon, _ *Relayed, resp *fasthttp.Response) RelayResult {
	d.asked = append(d.asked, to)
	if d.answer.Outcome == retry.Answered {
		resp.Header.Set("Signature", "s")
		resp.SetBodyString("delegate")
	}
	return d.answer
}

// delegateSite is a daemon of a large site with a keyed service, all of whose keys one server owns.
type delegateSite struct {
	sender *Sender
	relay  *delegateRelay
	holds  *hold.Holds
	direct atomic.Int32 // requests that the server received from the daemon itself
}

func newDelegateSite(t *testing.T, answer RelayResult) *delegateSite {
	t.Helper()
	d := &delegateSite{relay: &delegateRelay{answer: answer}}
	addr := listen(t, func(c net.Conn, req *fasthttp.Request) bool {
		d.direct.Add(1)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Length: 6\r\n\r\ndirect", req.Header.Peek("Request-Id"))
		return err == nil
	})
	parts := []site.Part{{Service: "keyed", Weight: 1}}
	c, err := site.NewConfig(1, []*site.Service{{Name: "keyed", Keyed: true}}, []*site.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Timeout: 5 * time.Second, TargetLatency: time.Second, MaxAttempts: 3, Idempotent: true, Parts: parts},
		{Name: "fast", Host: "h", Prefix: "/fast/", Timeout: 5 * time.Second, TargetLatency: 500 * time.Millisecond, MaxAttempts: 3, Idempotent: true, Parts: parts},
		{Name: "unsafe", Host: "h", Prefix: "/", Timeout: 5 * time.Second, TargetLatency: time.Second, MaxAttempts: 3, Parts: parts},
	}, nil, site.DefaultLimits())
	require.NoError(t, err)
	snap := &site.Snapshot{Config: c, Servers: map[ident.Server]*site.Server{}, Daemons: map[ident.Daemon]*site.Daemon{"self": {Name: "self"}}}
	for i := range 60 {
		n := ident.Daemon(fmt.Sprint("peer-", i))
		snap.Daemons[n] = &site.Daemon{Name: n, Capacity: 100}
	}
	for i := range 128 {
		id := ident.Server(fmt.Sprint("server-", i))
		snap.Servers[id] = &site.Server{ID: id, Service: "keyed", Addr: addr, Slots: 4}
	}
	snap.BuildIndex()
	d.holds = &hold.Holds{Services: map[ident.Service][]hold.Hold{"keyed": {{Range: hold.Range{Last: hold.Keys - 1}, Server: "server-7"}}}}
	d.sender = New(Options{
		Self: "self", Clock: clock.New(), View: shareView{staticView: staticView{s: snap}, holds: d.holds}, Counter: noCounter{}, Reports: openReports{},
		Guard: noGuard{}, Paths: noPaths{}, Relay: d.relay, Relays: reach.NewRelays("self", nil, rand.IntN),
		RetryLimit: pace.RetryLimit{Ratio: 0.2, Slack: 2000, Window: retryWindow}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Dialect: Dialect{
			RequestID: "Request-Id", Deadline: "Deadline", Key: "Key", ExpectedServer: "Expected", NotRun: "Not-Run", Signature: "Signature", RetryAfter: "Retry-After",
			ReadReport: func(*fasthttp.Response) (report.Report, check.Findings) { return report.Report{}, nil },
		},
	})
	time.Sleep(2 * retryWindow) // a daemon takes its share of a budget one window after its start
	return d
}

// do sends a request and returns its status, its body and Retry-After.
func (d *delegateSite) do(t *testing.T, path string) (status int, body, retryAfter string) {
	req, resp := testRequest(path), &fasthttp.Response{}
	req.Header.Set("Key", "100")
	d.sender.Handle(t.Context(), req, resp, nil)
	return resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Retry-After"))
}

// Guards against a connection to each server from each daemon of a large site, against requests that must not run twice on a way that may
// lose them, and against a hop for requests that are wanted sooner.
func TestDelegateSendsIdempotentRequests(t *testing.T) {
	d := newDelegateSite(t, RelayResult{Outcome: retry.Answered, SentTo: []ident.Server{"server-7"}})
	for range 3 {
		_, body, _ := d.do(t, "/safe/x")
		require.Equal(t, "delegate", body)
	}
	require.Zero(t, d.direct.Load())
	require.Equal(t, d.relay.asked[0], d.relay.asked[2], "one daemon sends to a server")
	_, body, _ := d.do(t, "/x")
	require.Equal(t, "direct", body, "not idempotent")
	_, body, _ = d.do(t, "/safe/x")
	require.Equal(t, "direct", body, "a connection is open")
	require.Len(t, d.relay.asked, 3)
	d = newDelegateSite(t, RelayResult{Outcome: retry.Answered})
	_, body, _ = d.do(t, "/fast/x")
	require.Equal(t, "direct", body)
}

// Guards against callers that are refused because the daemon that sends to their server doesn't take requests.
func TestDelegateThatDoesNotTakeRequests(t *testing.T) {
	for _, x := range []RelayResult{
		{Outcome: retry.NotRun, Failed: true, Reason: "peer-failed"}, {Outcome: retry.NotRun, Reason: ReasonStopping}, {Outcome: retry.NotRun, Reason: reasonServerUnreachable},
	} {
		d := newDelegateSite(t, x)
		status, body, _ := d.do(t, "/safe/x")
		require.Equal(t, fasthttp.StatusOK, status, x.Reason)
		require.Equal(t, "direct", body, x.Reason)
		require.Len(t, d.relay.asked, 1)
	}
}

// Guards against callers that lose their requests with the daemon that sends to their server: an idempotent one is sent once more, within
// the retry budget.
func TestDelegateLostWithRequest(t *testing.T) {
	d := newDelegateSite(t, RelayResult{Outcome: retry.Unknown, Reason: "peer-lost", Counted: true})
	status, body, _ := d.do(t, "/safe/x")
	require.Equal(t, fasthttp.StatusOK, status)
	require.Equal(t, "direct", body)
	d = newDelegateSite(t, RelayResult{Outcome: retry.Unknown, Reason: "peer-lost", Counted: true})
	d.sender.o.RetryLimit, d.sender.retries = pace.RetryLimit{Window: time.Second}, pace.NewRetries(pace.RetryLimit{Window: time.Second}, d.sender.fleet)
	status, _, _ = d.do(t, "/safe/x")
	require.Equal(t, fasthttp.StatusBadGateway, status, "it may have run, and the budget is exhausted")
	require.Zero(t, d.direct.Load())
}

// Guards against a request that is sent directly to a server that its delegate has found full, and against a lost time to return.
func TestDelegateRefusesForFullServer(t *testing.T) {
	d := newDelegateSite(t, RelayResult{Outcome: retry.NotRun, Reason: string(reasonFull), RetryAfter: 700 * time.Millisecond})
	status, body, retryAfter := d.do(t, "/safe/x")
	require.Equal(t, fasthttp.StatusServiceUnavailable, status)
	require.Equal(t, "no-room\n", body)
	require.Equal(t, "0.700", retryAfter)
	require.Zero(t, d.direct.Load())
}
