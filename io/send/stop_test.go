package send

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
)

// stopServer is a server whose responses have the given status. It records what it receives.
type stopServer struct {
	site.Server

	status   int
	onSend   func()
	received atomic.Int32
	deadline atomic.Int64 // of the last request, in milliseconds
}

func newStopServer(t *testing.T, id ident.Server, status int) *stopServer {
	x := &stopServer{status: status, onSend: func() {}}
	x.ID, x.Addr = id, listen(t, func(c net.Conn, req *fasthttp.Request) bool {
		x.received.Add(1)
		ms, _ := strconv.ParseInt(string(req.Header.Peek("Deadline")), 10, 64)
		x.deadline.Store(ms)
		x.onSend()
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nRequest-Id: a\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", x.status)
		return err == nil
	})
	return x
}

// stopIn makes the daemon abort its requests after the time given.
func stopIn(s *Sender, d time.Duration) { s.StopAt(s.o.Clock.Now().Add(d)) }

// observeTimes records n requests that took the time given.
func observeTimes(t *testing.T, s *Sender, path string, n int, d time.Duration) {
	t.Helper()
	r := s.newRequest(t.Context(), testRequest(path))
	require.Nil(t, s.begin(r))
	for range n {
		s.observeTime(r, d)
	}
}

// Guards against requests that are passed on although they may not end before the daemon does, and against the refusal of others.
func TestRequestsOfStoppingDaemon(t *testing.T) {
	for name, x := range map[string]struct {
		deadline time.Duration // of the request; 0 for that of its route
		n        int           // requests of the route that have ended
		took     time.Duration
		refused  bool
	}{
		"times not known":                      {refused: true},
		"few times known":                      {n: minTimes - 1, took: time.Millisecond, refused: true},
		"times not known, deadline before end": {deadline: 2 * time.Second},
		"quick requests":                       {n: minTimes, took: 100 * time.Millisecond},
		"slow requests":                        {n: minTimes, took: 2900 * time.Millisecond, refused: true},
		"slow requests, deadline before end":   {n: minTimes, took: 2900 * time.Millisecond, deadline: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/safe/x", "/x"} {
				y := newStopServer(t, "a", fasthttp.StatusOK)
				s := newTestSender(t, &y.Server)
				observeTimes(t, s, path, x.n, x.took)
				stopIn(s, 3*time.Second)
				req, resp := testRequest(path), &fasthttp.Response{}
				if x.deadline > 0 {
					req.Header.Set("Deadline", strconv.FormatInt(x.deadline.Milliseconds(), 10))
				}
				s.Handle(t.Context(), req, resp, nil)
				if x.refused {
					require.Equal(t, fasthttp.StatusServiceUnavailable, resp.StatusCode(), path)
					require.Equal(t, "0.050", string(resp.Header.Peek("Retry-After")))
					require.Zero(t, y.received.Load())
					continue
				}
				require.Equal(t, fasthttp.StatusOK, resp.StatusCode(), path)
				require.LessOrEqual(t, y.deadline.Load(), int64(3000), "the server has no more time than the daemon")
			}
		})
	}
}

// stopReports is a Reports with which a request waits for a token of its server. The daemon begins to stop meanwhile.
type stopReports struct {
	openReports

	onWait func()
}

func (x stopReports) Acquire(context.Context, *site.Server, mono.Time) (token, ok bool) {
	x.onWait()
	return false, true
}

// Guards against a request that is passed on too late because it waited while the daemon began to stop.
func TestWaitingRequestOfStoppingDaemon(t *testing.T) {
	for _, path := range []string{"/safe/x", "/x"} {
		y := newStopServer(t, "a", fasthttp.StatusOK)
		s := newTestSender(t, &y.Server)
		observeTimes(t, s, path, minTimes, time.Second)
		s.o.Reports = stopReports{onWait: func() { stopIn(s, time.Second) }}
		resp := &fasthttp.Response{}
		s.Handle(t.Context(), testRequest(path), resp, nil)
		require.Equal(t, fasthttp.StatusServiceUnavailable, resp.StatusCode(), path)
		require.Zero(t, y.received.Load())
	}
}

// Guards against a retry that can't end before the daemon does. The caller gets the response of the first server.
func TestRetryOfStoppingDaemon(t *testing.T) {
	failing, other := newStopServer(t, "a", fasthttp.StatusInternalServerError), newStopServer(t, "b", fasthttp.StatusOK)
	s := newTestSender(t, &failing.Server, &other.Server)
	s.backend(&other.Server, false).load.AvoidUntil = s.o.Clock.Now().Add(time.Minute) // so that the request goes to the failing one first
	observeTimes(t, s, "/safe/x", minTimes, time.Second)
	failing.onSend = func() { stopIn(s, time.Second) }
	resp := &fasthttp.Response{}
	s.Handle(t.Context(), testRequest("/safe/x"), resp, nil)
	require.Equal(t, fasthttp.StatusInternalServerError, resp.StatusCode())
	require.EqualValues(t, 1, failing.received.Load())
	require.Zero(t, other.received.Load())
}

// Guards against a request that a stopping daemon hands to a peer although it may not end in time.
func TestHandOverOfStoppingDaemon(t *testing.T) {
	d := newDelegateSite(t, RelayResult{Outcome: retry.Answered, SentTo: []ident.Server{"server-7"}})
	stopIn(d.sender, time.Second)
	r := d.sender.newRequest(t.Context(), testRequest("/safe/x"))
	require.Nil(t, d.sender.begin(r))
	x := d.sender.handOver(r, "peer-0", d.sender.o.View.Snapshot(), &fasthttp.Response{})
	require.Equal(t, retry.NotRun, x.Outcome)
	require.True(t, x.mayTryOther())
	require.Empty(t, d.relay.asked)
}
