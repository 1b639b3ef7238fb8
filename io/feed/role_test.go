package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// announcedSite starts daemons of which the first is the coordinator, and waits until it is supported.
func announcedSite(t *testing.T, m *memory, names ...ident.Daemon) []*Feed {
	t.Helper()
	putControlRows(t, m, names[0], names...)
	m.put(store.Orders, "config", []byte("1"), false)
	peers := peerSet{}
	var l []*Feed
	for _, n := range names {
		f := newFeed(m, n)
		f.SetAnnounced(1)
		peers[n] = f
		l = append(l, f)
	}
	for i, f := range l {
		runFeed(t, f, peerCaller{peerSet: peers, self: names[i]})
	}
	require.Eventually(t, l[0].Supported, 5*time.Second, 10*time.Millisecond)
	return l
}

// makeCoordinator writes the daemon as the coordinator of the term, as done by the feed f.
func makeCoordinator(t *testing.T, m *memory, f *Feed, d ident.Daemon, term site.Term) {
	t.Helper()
	v, err := proto.Marshal(&wire.CoordinatorRow{Daemon: string(d), Incarnation: 1, Term: uint64(term), Clean: true})
	require.NoError(t, err)
	m.put(store.Control, CoordinatorRow, v, false)
	m.mu.Lock()
	r := m.rows[store.Control][len(m.rows[store.Control])-1]
	m.mu.Unlock()
	f.ApplyWritten([]store.Row{r})
}

// Guards against keys without a coordinator because the daemon that was given the role learns of it only when its copy is stale.
func TestNextCoordinatorLearnsOfItsRole(t *testing.T) {
	m := newMemory()
	l := announcedSite(t, m, "a", "b", "c")
	for i := range 5 {
		m.put(store.Control, fmt.Sprint("crash/", i), nil, false) // the coordinator pauses after changes
		time.Sleep(20 * time.Millisecond)
		if i == 3 {
			makeCoordinator(t, m, l[0], "b", 2)
		}
	}
	require.Eventually(t, l[1].IsCoordinator, 150*time.Millisecond, 5*time.Millisecond)
	require.Eventually(t, l[1].Supported, 200*time.Millisecond, 5*time.Millisecond, "a new coordinator is supported before the next regular exchange")
}

// Guards against a new coordinator without support because a voter asked it before it knew of its role.
func TestVoterAsksBeforeCoordinatorKnowsItsRole(t *testing.T) {
	m := newMemory()
	putControlRows(t, m, "a", "a", "b", "c")
	f := newFeed(m, "b")
	for i := range store.Table(store.Tables) {
		require.NoError(t, f.readFull(t.Context(), i, f.o.Clock.Now()))
	}
	makeCoordinator(t, m, newFeed(m, "a"), "b", 2)
	r, err := m.List(t.Context(), store.Control)
	require.NoError(t, err)
	x := &wire.Sync{Term: 2, WaitUs: micros(10 * time.Second), Revs: slices.Repeat([]uint64{uint64(r.Rev)}, store.Tables)}
	answer := make(chan *wire.SyncReply, 1)
	go func() { answer <- f.Sync(t.Context(), f.o.Clock.Now(), "c", x) }()
	select {
	case <-answer:
		require.Fail(t, "answered without news")
	case <-time.After(50 * time.Millisecond):
	}
	f.applyPage(store.Control, r, true, f.o.Clock.Now(), "a")
	select {
	case y := <-answer:
		require.Equal(t, uint64(2), y.GetTerm())
		require.NotZero(t, y.GetStamp())
	case <-time.After(time.Second):
		require.Fail(t, "not answered by the coordinator")
	}
}

func TestQuorumInContactWithoutSupport(t *testing.T) {
	m := newMemory()
	l := announcedSite(t, m, "a", "b", "c")
	require.True(t, l[0].QuorumInContact(time.Second))
	for _, f := range l[1:] {
		f.mu.Lock()
		require.True(t, f.promise.Withdraw(f.o.Clock.SinceBoot()+time.Hour, 1))
		f.mu.Unlock()
	}
	require.Eventually(t, func() bool { return !l[0].Supported() }, 5*time.Second, 10*time.Millisecond)
	require.True(t, l[0].QuorumInContact(time.Second))
	makeCoordinator(t, m, l[0], "a", 2)
	require.Eventually(t, l[0].Supported, time.Second, 5*time.Millisecond, "withdrawals hold for the earlier term only")
}

// Guards against servers that a daemon never drops because it got their deletion from a peer that has never known them.
func TestRowDeletedBeforePeerReadTheTable(t *testing.T) {
	old, restarted := newTable(), newTable()
	old.replace(store.Page{Rows: []store.Row{{Key: "gone", Value: []byte("x"), Rev: 1}, {Key: "kept", Value: []byte("x"), Rev: 2}}, Rev: 2})
	restarted.replace(store.Page{Rows: []store.Row{{Key: "kept", Value: []byte("x"), Rev: 2}, {Key: "new", Value: []byte("x"), Rev: 4}}, Rev: 4})
	x := restarted.changesSince(store.Servers, old.rev, nil)
	p, err := old.decodePage(x)
	require.NoError(t, err)
	if x.GetWhole() {
		old.replace(p)
	} else {
		old.apply(p)
	}
	require.NotContains(t, old.rows, "gone")
	require.Contains(t, old.rows, "new")
	require.Contains(t, old.rows, "kept")
	require.Nil(t, restarted.changesSince(store.Servers, old.rev, nil))
}
