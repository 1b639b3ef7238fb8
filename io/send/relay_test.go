package send

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/check"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
	"heatherrouter/core/reach"
	"heatherrouter/core/report"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
)

// versionView is a View with a configuration, and the one that it gets by a refresh.
type versionView struct{ config, next *site.Config }

func (v *versionView) Snapshot() *site.Snapshot            { return &site.Snapshot{Config: v.config} }
func (v *versionView) Holds() *hold.Holds                  { return nil }
func (v *versionView) Loads() (*loads.View, time.Duration) { return nil, 0 }
func (v *versionView) Changed() <-chan struct{}            { return nil }
func (v *versionView) CopyAge() time.Duration              { return 0 }
func (v *versionView) Refresh(context.Context) bool {
	v.config = v.next
	return true
}

// noCounter discards what it is to count.
type noCounter struct{}

func (noCounter) RecordAnswer(ident.Service, string, string, string, time.Duration) {}
func (noCounter) RecordDelegated(ident.Service, string, string)                     {}
func (noCounter) RecordShortage(ident.Service, string, int, string)                 {}
func (noCounter) RecordRelay(ident.Service, string, string)                         {}
func (noCounter) RecordRetry(ident.Service, string, bool)                           {}

// Guards against a request that is served by an older configuration than the one in force at the daemon that took it.
func TestRelayedRequestNeedsTheConfigurationOfItsSender(t *testing.T) {
	version := func(v site.Version) *site.Config {
		c, err := site.NewConfig(v, nil, nil, nil, site.DefaultLimits())
		require.NoError(t, err)
		return c
	}
	for _, x := range []struct {
		name             string
		before, after    site.Version
		reason           string
		mayTryOtherAfter bool
	}{
		{"older", 3, 3, reasonOlderConfig, true},
		{"older, the right one after a refresh", 3, 4, "no-route", true},
		{"newer", 5, 5, "no-route", true},
	} {
		s := New(Options{
			Clock: clock.New(), View: &versionView{version(x.before), version(x.after)}, Counter: noCounter{},
			Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		})
		r := s.HandleRelayed(t.Context(), "peer", &Relayed{Request: &fasthttp.Request{}, ID: "a", Service: "s", Config: 4, SendEnd: s.o.Clock.SinceBoot() + time.Minute}, &fasthttp.Response{})
		require.Equal(t, retry.NotRun, r.Outcome, x.name)
		require.Equal(t, x.reason, r.Reason, x.name)
		require.Equal(t, x.mayTryOtherAfter, r.mayTryOther(), x.name)
	}
}

// Guards against repeating a request at another peer although it may have run or will be refused there as well.
func TestResultOfRelay(t *testing.T) {
	for _, x := range []struct {
		r      RelayResult
		other  bool
		report reach.Report
	}{
		{RelayResult{Outcome: retry.Answered}, false, reach.Reached},
		{RelayResult{Outcome: retry.NotRun, Reason: "peer-failed", Failed: true}, true, reach.PeerFailed},
		{RelayResult{Outcome: retry.NotRun, Reason: reasonServerUnreachable}, true, reach.ServerUnreachable},
		{RelayResult{Outcome: retry.NotRun, Reason: reasonServiceUnreachable}, true, reach.ServiceUnreachable},
		{RelayResult{Outcome: retry.NotRun, Reason: ReasonStopping}, true, reach.Undecided},
		{RelayResult{Outcome: retry.NotRun, Reason: ReasonNoMemory}, true, reach.Undecided},
		{RelayResult{Outcome: retry.NotRun, Reason: string(reasonFull)}, false, reach.Undecided},
		{RelayResult{Outcome: retry.NotRun, Reason: string(reasonUnsupportedService)}, true, reach.Undecided},
		{RelayResult{Outcome: retry.Unknown, Reason: "timeout"}, false, reach.Undecided},
	} {
		require.Equal(t, x.other, x.r.mayTryOther(), x.r.Reason)
		require.Equal(t, x.report, x.r.report(), x.r.Reason)
	}
}

// sentRelay is a Relay whose peers have sent each request to a server that turned it away, and can't reach another.
type sentRelay struct{ got [][]ident.Server }

func (s *sentRelay) Send(_ context.Context, _ ident.Daemon, x *Relayed, _ *fasthttp.Response) RelayResult {
	s.got = append(s.got, x.SentTo)
	return RelayResult{Outcome: retry.NotRun, Reason: reasonServerUnreachable, SentTo: []ident.Server{"a"}}
}

// Guards against sending a request to the same server, and over its limits, by one peer after another.
func TestNextPeerKnowsWhereTheRequestWasSent(t *testing.T) {
	y := &sentRelay{}
	d := map[ident.Daemon]*site.Daemon{"self": {}, "p": {}, "q": {}}
	c, err := site.NewConfig(1, nil, nil, nil, site.DefaultLimits())
	require.NoError(t, err)
	s := New(Options{
		Clock: clock.New(), View: staticView{s: &site.Snapshot{Config: c, Daemons: d}}, Counter: noCounter{}, Relay: y, Paths: noPaths{},
		Relays: reach.NewRelays("self", nil, rand.IntN), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	r := &request{route: &site.Route{Name: "r"}, service: &site.Service{Name: "s"}, caller: t.Context(), ctx: t.Context(), deadline: s.o.Clock.Now().Add(time.Second)}
	for range 2 {
		f, again := s.relay(r, s.o.Clock.Now())
		require.Nil(t, f)
		require.True(t, again)
	}
	require.Equal(t, [][]ident.Server{nil, {"a"}}, y.got)
	_, again := s.relay(r, s.o.Clock.Now())
	require.False(t, again, "both peers were asked")
}

// unsignedRelay is a Relay whose peers answer with the status and a body, without a server's signature.
type unsignedRelay struct{ status int }

func (u unsignedRelay) Send(_ context.Context, _ ident.Daemon, _ *Relayed, resp *fasthttp.Response) RelayResult {
	resp.SetStatusCode(u.status)
	resp.SetBodyString("body")
	return RelayResult{Outcome: retry.Answered}
}

// Guards against a caller that gets a success from a peer without the signature of a server.
func TestUnsignedSuccessOfPeerIsNoAnswer(t *testing.T) {
	for status, want := range map[int]int{200: 502, 204: 502, 299: 502, 404: 404, 500: 500} {
		s := newTestSender(t)
		s.o.Relay = unsignedRelay{status}
		r := &request{route: &site.Route{Name: "r"}, service: &site.Service{Name: "s"}, caller: t.Context(), ctx: t.Context(), deadline: s.o.Clock.Now().Add(time.Second)}
		s.o.View.Snapshot().Daemons["p"] = &site.Daemon{}
		f, again := s.relay(r, s.o.Clock.Now())
		require.False(t, again)
		require.NotNil(t, f)
		require.Equal(t, want, f.status)
		require.Equal(t, want == status, f.response != nil)
	}
}

type staticView struct {
	s     *site.Snapshot
	loads *loads.View
}

func (v staticView) Snapshot() *site.Snapshot            { return v.s }
func (v staticView) Holds() *hold.Holds                  { return nil }
func (v staticView) Loads() (*loads.View, time.Duration) { return v.loads, 0 }
func (v staticView) Changed() <-chan struct{}            { return nil }
func (v staticView) CopyAge() time.Duration              { return 0 }
func (v staticView) Refresh(context.Context) bool        { return false }

// noPaths is a Paths of a daemon that reaches all servers.
type noPaths struct{}

func (noPaths) State(*site.Server) (reach.State, reach.Failure) { return reach.Reachable, 0 }
func (noPaths) Answered(*site.Server, bool)                     {}
func (noPaths) Failed(mono.Time, *site.Server, reach.Failure)   {}
func (noPaths) Verify(*site.Server)                             {}
func (noPaths) Suspected(ident.Service) bool                    { return false }
func (noPaths) SilentSince() mono.Time                          { return 0 }

// Guards against daemons that go on sending to a server because only a peer got its word that it leaves, and against taking a backoff that
// the peer was asked for as this daemon's, or its refusal as a served request.
func TestWordsOfServersReachDaemonsThroughPeers(t *testing.T) {
	f := &fakeReports{observed: map[ident.Server]report.Report{}}
	said := report.Report{}
	s := New(Options{Clock: clock.New(), Reports: f, Dialect: Dialect{
		ReadReport: func(*fasthttp.Response) (report.Report, check.Findings) { return said, nil },
	}})
	snap := &site.Snapshot{Servers: map[ident.Server]*site.Server{"a": {ID: "a"}, "b": {ID: "b"}}}
	observe := func(r report.Report, sentTo ...ident.Server) map[ident.Server]report.Report {
		clear(f.observed)
		said = r
		s.observeRelayed(snap, RelayResult{SentTo: sentTo}, 1, &fasthttp.Response{})
		return f.observed
	}
	leaves := report.Report{Leaving: true, Limit: 7}
	require.Equal(t, map[ident.Server]report.Report{"b": leaves}, observe(leaves, "a", "b"), "the last one answered")
	require.Equal(t, mono.Time(1), f.sentAt)
	require.Equal(t, map[ident.Server]report.Report{"b": {Leaving: true}}, observe(report.Report{Leaving: true, Backoff: time.Second}, "b"))
	require.Zero(t, f.sentAt, "no request counts as served")
	require.Empty(t, observe(leaves), "no server was reached")
	require.Empty(t, observe(leaves, "gone"))
}

// Guards against a request that is sent for a peer which may have sent it elsewhere or answered its caller: this process was paused before it
// read the request, or the request waited here.
func TestHandedOverRequestIsSentInItsPeriodOnly(t *testing.T) {
	d := newDelegateSite(t, RelayResult{})
	boot := d.sender.o.Clock.SinceBoot()
	do := func(path string, end time.Duration) RelayResult {
		req, resp := testRequest(path), &fasthttp.Response{}
		req.Header.Set("Key", "100")
		return d.sender.HandleRelayed(t.Context(), "peer", &Relayed{
			Request: req, ID: "a", Service: "keyed", Deadline: d.sender.o.Clock.Now().Add(5 * time.Second), SendEnd: end,
		}, resp)
	}
	for _, path := range []string{"/safe/x", "/x"} {
		r := do(path, boot-time.Millisecond)
		require.Equal(t, retry.NotRun, r.Outcome, path)
		require.Equal(t, reasonReadLate, r.Reason, path)
		require.Equal(t, reach.PeerFailed, r.report(), "a peer that reads late is avoided")
		require.True(t, r.mayTryOther(), path)
		require.Zero(t, d.direct.Load(), path)
	}
	d.sender.mu.Lock()
	b := d.sender.backends[backendKeyOf(d.sender.o.View.Snapshot().Servers["server-7"])]
	d.sender.mu.Unlock()
	require.Nil(t, b, "nothing was sent")
	require.Equal(t, retry.Answered, do("/safe/x", boot+time.Minute).Outcome)
	require.EqualValues(t, 1, d.direct.Load())

	d.holds.Services["keyed"][0].Server = "" // the key is moving: the request waits for its owner
	end := d.sender.o.Clock.SinceBoot() + 200*time.Millisecond
	r := do("/safe/x", end)
	require.Equal(t, reasonHandoverExpired, r.Reason)
	require.GreaterOrEqual(t, d.sender.o.Clock.SinceBoot(), end)
	require.Less(t, d.sender.o.Clock.SinceBoot(), end+time.Second)
	require.EqualValues(t, 1, d.direct.Load())
}
