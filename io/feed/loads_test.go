package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// editions builds editions of the view of a term in which server "a" has a load. Each call adds one.
type editions struct {
	p   *loads.Publisher
	s   *loads.Survey
	now mono.Time
}

func newEditions(t site.Term) *editions {
	return &editions{p: loads.NewPublisher(t), s: loads.NewSurvey(), now: mono.Time(time.Hour)}
}

func (x *editions) next(t *testing.T, load int) *loads.Edition {
	t.Helper()
	a := &site.Server{ID: "a", Service: "api", Slots: 4, Born: 1786000000001}
	for range 40 {
		x.now = x.now.Add(100 * time.Millisecond)
		x.s.AddWork(x.now, a, loads.Work{Sent: 1, Reports: 1, LoadSum: float64(load), Slowdown: 0.7})
		x.s.AddDemand(x.now, "api", 1, 3)
		x.s.AddDemand(x.now, "api", 2, 7)
	}
	x.p.SetShare("api", 0.35)
	e := x.p.Update(x.now, x.s, 300)
	require.Contains(t, e.View.Servers, report.Target{Server: "a", Born: 1786000000001})
	return e
}

func levelAt(f *Feed) loads.Level {
	v, age := f.Loads()
	l, _ := v.Level(report.Target{Server: "a", Born: 1786000000001}, age)
	return l
}

// Guards against exchanges that a change of the view causes. A long poll returns no earlier, and then holds the view.
func TestLoadsDontEndLongPoll(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("1"), false)
	putControlRows(t, m, "lead", "lead", "other")
	f := newFeed(m, "lead")
	for _, k := range []store.Table{store.Orders, store.Servers, store.Control} {
		require.NoError(t, f.readStore(t.Context(), k))
	}
	all, err := proto.Marshal(f.Sync(t.Context(), f.o.Clock.Now(), "other", &wire.Sync{Term: 1}))
	require.NoError(t, err)
	have := &wire.SyncReply{}
	require.NoError(t, proto.Unmarshal(all, have))
	x := &wire.Sync{Term: 1, WaitUs: micros(400 * time.Millisecond)}
	for _, y := range have.GetTables() {
		x.Revs = append(x.Revs, y.GetRev())
	}
	ended := make(chan *wire.SyncReply, 1)
	go func() { ended <- f.Sync(t.Context(), f.o.Clock.Now(), "other", x) }()
	asked := time.Now()
	time.Sleep(50 * time.Millisecond)
	f.PublishLoads(newEditions(1).next(t, 9))
	r := <-ended
	require.GreaterOrEqual(t, time.Since(asked), 300*time.Millisecond)
	require.Empty(t, r.GetTables())
	require.True(t, r.GetLoads().GetWhole(), "the peer has none")

	x.Loads, x.WaitUs = r.GetLoads().GetStamp(), 0
	require.Nil(t, f.Sync(t.Context(), f.o.Clock.Now(), "other", x).GetLoads(), "the peer has the newest")
	x.Loads = &wire.LoadsStamp{Term: 9, Sequence: 1}
	require.True(t, f.Sync(t.Context(), f.o.Clock.Now(), "other", x).GetLoads().GetWhole(), "the peer has one of another term")
}

// Guards against values that get lost on their way between daemons.
func TestLoadsSurviveTheWire(t *testing.T) {
	e := newEditions(3).next(t, 9)
	b, err := proto.Marshal(EncodeLoads(e.Since(loads.Stamp{})))
	require.NoError(t, err)
	w := &wire.LoadView{}
	require.NoError(t, proto.Unmarshal(b, w))
	v, ok := (*loads.View)(nil).Apply(decodeLoads(w))
	require.True(t, ok)
	require.Equal(t, e.View.Stamp, v.Stamp)
	k := report.Target{Server: "a", Born: 1786000000001}
	require.Equal(t, loads.Full, v.Servers[k].Level)
	require.InDelta(t, 0.7, v.Servers[k].Slowdown, 0.001)
	require.InDelta(t, 0.35, v.Services["api"].Share, 0.001)
	require.InDeltaSlice(t, []float64{0, 0.3, 0.7}, v.Services["api"].Demand, 0.001)
}

// Guards against daemons that don't get changes, or count an unchanged view as old.
func TestLoadsReachAllDaemons(t *testing.T) {
	x := newFleet(t, 6)
	y := newEditions(1)
	for _, load := range []int{9, 1, 9} {
		e := y.next(t, load)
		x.feeds[0].PublishLoads(e)
		for i, f := range x.feeds {
			require.Eventually(t, func() bool {
				return levelAt(f) == e.View.Servers[report.Target{Server: "a", Born: 1786000000001}].Level
			}, 3*time.Second, 10*time.Millisecond, "daemon %d, load %d", i, load)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	for _, f := range x.feeds[1:] {
		_, age := f.Loads()
		require.Less(t, age, 2*time.Second, "the coordinator confirms the version with each answer")
	}
}

// Guards against a daemon that uses levels for long after it was cut off, and against one that doesn't catch up afterwards.
func TestLoadsOfDaemonCutOff(t *testing.T) {
	x := newFleet(t, 6)
	y := newEditions(1)
	x.feeds[0].PublishLoads(y.next(t, 9))
	f := x.feeds[5]
	require.Eventually(t, func() bool { return levelAt(f) == loads.Full }, 3*time.Second, 10*time.Millisecond)
	x.failed.add(f.o.Self)
	require.Eventually(t, func() bool { return levelAt(f) == loads.Free }, 6*time.Second, 10*time.Millisecond)
	v, age := f.Loads()
	require.Greater(t, age, 3*time.Second)
	require.InDelta(t, 0.7, v.Shared(report.Target{Server: "a", Born: 1786000000001}, 4, age).Slowdown, 0.001)
	x.feeds[0].PublishLoads(y.next(t, 5))
	x.failed.remove(f.o.Self)
	require.Eventually(t, func() bool { return levelAt(f) == loads.Busy }, 6*time.Second, 10*time.Millisecond)
}

// Guards against levels of a lost coordinator that count as confirmed by its successor, which has no view yet. The daemons keep
// the copy until the successor has one.
func TestLoadsOfLostCoordinator(t *testing.T) {
	x := newFleet(t, 6)
	x.feeds[0].PublishLoads(newEditions(1).next(t, 9))
	f := x.feeds[5]
	require.Eventually(t, func() bool { return levelAt(f) == loads.Full }, 3*time.Second, 10*time.Millisecond)
	x.failed.add("d0")
	row := &wire.CoordinatorRow{Daemon: "d1", Incarnation: 1, Term: 2}
	for i := range fleetVoters {
		row.Voters = append(row.Voters, fmt.Sprint("d", i))
	}
	b, err := proto.Marshal(row)
	require.NoError(t, err)
	x.m.put(store.Control, CoordinatorRow, b, false)
	require.Eventually(t, func() bool { return f.Snapshot().Coordinator.Term == 2 }, 6*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return levelAt(f) == loads.Free }, 6*time.Second, 10*time.Millisecond)
	v, age := f.Loads()
	require.Equal(t, site.Term(1), v.Stamp.Term)
	require.Greater(t, age, 3*time.Second)
	x.feeds[1].PublishLoads(newEditions(2).next(t, 5))
	require.Eventually(t, func() bool { return levelAt(f) == loads.Busy }, 6*time.Second, 10*time.Millisecond)
}

// Guards against answers that arrive out of order: an older view, or changes to a copy that was replaced, must not be applied.
func TestLateAnswerWithLoads(t *testing.T) {
	f := newFeed(newMemory(), "self")
	y := newEditions(1)
	first, second := y.next(t, 1), y.next(t, 9)
	apply := func(u *loads.Update, request *wire.LoadsStamp) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applyLoads(f.o.Clock.Now(), &wire.Sync{Loads: request}, &wire.SyncReply{Loads: EncodeLoads(u)})
	}
	apply(second.Since(loads.Stamp{}), nil)
	apply(first.Since(loads.Stamp{}), nil)
	require.Equal(t, loads.Full, levelAt(f))
	apply(newEditions(2).next(t, 5).Since(loads.Stamp{}), nil)
	require.Equal(t, loads.Busy, levelAt(f))
	apply(second.Since(first.View.Stamp), &wire.LoadsStamp{Term: 1, Sequence: 1})
	require.Equal(t, loads.Busy, levelAt(f))
	v, _ := f.Loads()
	require.Equal(t, site.Term(2), v.Stamp.Term)
}
