package limit

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/wire"
)

// testView is a View of a site whose coordinator is the daemon "c".
type testView struct {
	servers map[ident.Server]*site.Server
	leaving []report.Target
}

func (v *testView) Snapshot() *site.Snapshot {
	return &site.Snapshot{
		Config: &site.Config{}, Servers: v.servers, Coordinator: site.Coordinator{Daemon: "c", Term: 1},
		Daemons: map[ident.Daemon]*site.Daemon{"c": {Name: "c"}, "d": {Name: "d"}, "e": {Name: "e"}},
	}
}
func (v *testView) HoldsTerm(site.Term) bool   { return true }
func (v *testView) IsolatedFor() time.Duration { return 0 }
func (v *testView) SetLeaving(k report.Target) { v.leaving = append(v.leaving, k) }
func (v *testView) NotifyChanged()             {}

// testSite is three daemons that exchange what servers say, without a network.
type testSite struct {
	daemons map[ident.Daemon]*Servers
	views   map[ident.Daemon]*testView
}

// Call implements Caller.
func (s *testSite) Call(_ context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	return &wire.Reply{Body: &wire.Reply_SelfReports{SelfReports: s.daemons[to].Serve(s.daemons[to].o.Clock.Now(), "d", m.GetSelfReports())}}, nil
}

func newTestSite(servers ...*site.Server) *testSite {
	s := &testSite{daemons: map[ident.Daemon]*Servers{}, views: map[ident.Daemon]*testView{}}
	for _, d := range []ident.Daemon{"c", "d", "e"} {
		v := &testView{servers: map[ident.Server]*site.Server{}}
		for _, x := range servers {
			v.servers[x.ID] = x
		}
		s.views[d] = v
		s.daemons[d] = NewServers(ServersOptions{Self: d, View: v, Clock: clock.New(), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
		s.daemons[d].peers = s
	}
	return s
}

// sync makes a daemon exchange what it knows with the coordinator.
func (s *testSite) sync(d ident.Daemon) {
	a := s.daemons[d].Ask()
	asked := s.daemons[d].o.Clock.Now()
	r := s.daemons["c"].Serve(s.daemons["c"].o.Clock.Now(), d, a)
	s.daemons[d].ApplyAnswer(asked, s.daemons[d].o.Clock.Now(), "c", a, r)
}

// Guards against a server's words that only the daemon knows which got the response.
func TestDaemonsExchangeWhatServersSay(t *testing.T) {
	k, gone := &site.Server{ID: "k", Born: 1}, &site.Server{ID: "gone", Born: 1}
	s := newTestSite(k)
	d, c, e := s.daemons["d"], s.daemons["c"], s.daemons["e"]
	sentAt := d.o.Clock.Now()
	d.Observe(k, sentAt, report.Report{Limit: 7, Backoff: 600 * time.Millisecond, Leaving: true})
	d.Observe(gone, sentAt, report.Report{Leaving: true})
	require.Equal(t, report.Closed, d.Access(k))
	require.False(t, d.TakeAccess(k))
	until, since := d.BackoffTime(k)
	require.Greater(t, until, since)
	s.sync("d")
	s.sync("e")
	want := []report.Target{report.TargetOf(k)}
	require.Equal(t, want, s.views["c"].leaving, "a server that the coordinator doesn't know is left out")
	require.Equal(t, want, s.views["e"].leaving)
	require.InDelta(t, 7, e.Limit(k), 0)
	require.Equal(t, report.Open, e.Access(k), "it wasn't asked")
	require.Equal(t, report.Settling, c.Placement(k))
	time.Sleep(610 * time.Millisecond)
	require.Equal(t, report.Unproven, c.Placement(k))
	d.Observe(k, d.o.Clock.Now(), report.Report{Limit: 7})
	require.Equal(t, report.Open, d.Access(k))
	s.sync("d")
	require.Equal(t, report.Usable, c.Placement(k), "it takes requests again")
	require.Empty(t, d.backoffCounts)
}

// Guards against telling the coordinator the same again, and against not telling it what changed while it answered.
func TestUnreportedWordsAreTold(t *testing.T) {
	k := &site.Server{ID: "k", Born: 1}
	s := newTestSite(k)
	d := s.daemons["d"]
	d.Observe(k, d.o.Clock.Now(), report.Report{Backoff: time.Second})
	a := d.Ask()
	require.Len(t, a.GetReports(), 1)
	c := s.daemons["c"]
	r := c.Serve(c.o.Clock.Now(), "d", a)
	d.Observe(k, d.o.Clock.Now(), report.Report{Backoff: 2 * time.Second})
	d.ApplyAnswer(0, d.o.Clock.Now(), "c", a, r)
	a = d.Ask()
	require.Len(t, a.GetReports(), 1, "the second backoff is longer")
	d.ApplyAnswer(0, d.o.Clock.Now(), "c", a, c.Serve(c.o.Clock.Now(), "d", a))
	require.Empty(t, d.Ask().GetReports())
}

// Guards against overloading a server that turned cold, as it said to one daemon only.
func TestColdServerIsTold(t *testing.T) {
	k := &site.Server{ID: "k", Born: 1}
	s := newTestSite(k)
	d := s.daemons["d"]
	d.ObserveCold(k, 600*time.Millisecond)
	require.Positive(t, d.ColdUntil(k))
	s.sync("d")
	require.InDelta(t, float64(d.ColdUntil(k)), float64(s.daemons["c"].ColdUntil(k)), float64(200*time.Millisecond))
	require.Empty(t, d.Ask().GetReports(), "it is told once")
	s.sync("e")
	require.Positive(t, s.daemons["e"].ColdUntil(k))
	d.ObserveCold(k, 590*time.Millisecond)
	require.Empty(t, d.Ask().GetReports(), "it is no news")
	d.ObserveCold(k, 2*time.Second)
	require.Len(t, d.Ask().GetReports(), 1)
}
