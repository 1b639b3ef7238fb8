package feed

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/core/source"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// newFollower returns the feed of a daemon that has read the control table long ago and has had no contact since then.
func newFollower(t *testing.T) *Feed {
	t.Helper()
	m := newMemory()
	putControlRows(t, m, "lead", "lead", "self")
	f := newFeed(m, "self")
	for k := range store.Table(store.Tables) {
		p, err := m.List(t.Context(), k)
		require.NoError(t, err)
		f.applyPage(k, p, true, 0, fromStore)
	}
	f.SetAnnounced(1)
	f.coordinatorSeen, f.siteSeen = 0, 0
	return f
}

const unread = 3 * time.Second

// Guards against a daemon that takes its copies for newer than they are after it was paused: it trusts them, and its contact with the site, as
// of when it read an answer, not of when that was sent.
func TestAnswerThatLayUnreadIsOld(t *testing.T) {
	f := newFollower(t)
	u := newEditions(1).next(t, 9).Since(loads.Stamp{})
	r := &wire.Reply{SentUs: micros(f.o.Clock.SinceBoot() - unread)}
	x := &wire.SyncReply{Term: 1, Stamp: 1, StoreAgeUs: micros(200 * time.Millisecond), CoordinatorAgeUs: micros(100 * time.Millisecond), Loads: EncodeLoads(u)}
	require.True(t, f.applyReply(f.sentAt(r, f.o.Clock.Now()), "lead", &wire.Sync{}, x), "the peer reached the store when it answered")
	copied, coordinator := f.Ages()
	require.GreaterOrEqual(t, copied, unread+200*time.Millisecond)
	require.GreaterOrEqual(t, coordinator, unread+100*time.Millisecond)
	require.GreaterOrEqual(t, f.IsolatedFor(), unread)
	_, age := f.Loads()
	require.GreaterOrEqual(t, age, unread)
	require.False(t, f.sources.CoordinatorOutdated())
}

// Guards against a view of the load that counts as confirmed when an old answer is read.
func TestLateConfirmationOfLoadsIsOld(t *testing.T) {
	f := newFollower(t)
	u := newEditions(1).next(t, 9).Since(loads.Stamp{})
	long := f.o.Clock.Now().Add(-time.Minute)
	f.applyReply(long, "lead", &wire.Sync{}, &wire.SyncReply{Term: 1, Stamp: 1, Loads: EncodeLoads(u)})
	x := &wire.Sync{Loads: f.loads.stamp()}
	f.applyReply(f.o.Clock.Now().Add(-unread), "lead", x, &wire.SyncReply{Term: 1, Stamp: 1})
	_, age := f.Loads()
	require.GreaterOrEqual(t, age, unread)
	require.Less(t, age, 2*unread)
}

// Guards against an answer without a time of sending that counts as new: it was sent after the request, but that may be long ago.
func TestAnswerOfUnknownAgeCountsFromRequest(t *testing.T) {
	f := newFollower(t)
	f.applyReply(f.sentAt(&wire.Reply{}, f.o.Clock.Now().Add(-unread)), "lead", &wire.Sync{}, &wire.SyncReply{Term: 1})
	copied, _ := f.Ages()
	require.GreaterOrEqual(t, copied, unread)
}

// Guards against a promise that ends before the coordinator stops counting on it: the time of sending that a message tells may be too early.
func TestPromiseCountsFromReading(t *testing.T) {
	f := newFollower(t)
	f.promise = elect.Promise{StartedAt: f.o.Clock.SinceBoot() - time.Minute}
	x := &wire.SyncReply{Term: 1, Stamp: 1, PromiseUs: micros(2 * time.Second)}
	f.applyReply(f.o.Clock.Now().Add(-unread), "lead", &wire.Sync{}, x)
	require.False(t, f.Withdraw(1))
}

// Guards against a daemon that assumes an outage of the store, and leaves it alone, because of old answers that it read late.
func TestLateAnswersShowNoOutage(t *testing.T) {
	f := newFollower(t)
	s := *f.Snapshot()
	s.Voters = []ident.Daemon{"v1", "v2", "v3"}
	s.Daemons = map[ident.Daemon]*site.Daemon{"lead": {}, "self": {}, "v1": {}, "v2": {}, "v3": {}}
	f.snapshot = &s
	now := f.o.Clock.Now()
	c := source.Copy{AsOf: now.Add(-source.OutdatedAge)}
	own := f.sources.StorePollAt(now, &s, c)
	outdated := &wire.SyncReply{Term: 1, StoreAgeUs: micros(source.OutdatedAge)}
	for _, v := range s.Voters {
		require.False(t, f.applyReply(now.Add(-unread), v, &wire.Sync{}, outdated))
	}
	require.Equal(t, own, f.sources.StorePollAt(now, &s, c))
	for _, v := range s.Voters {
		require.False(t, f.applyReply(now, v, &wire.Sync{}, outdated))
	}
	require.Greater(t, f.sources.StorePollAt(now, &s, c), own)
}

// newPolled returns the feed of the coordinator, and a request of the daemon "other" that lacks nothing and so is held open.
func newPolled(t *testing.T) (*Feed, *wire.Sync) {
	t.Helper()
	m := newMemory()
	m.put(store.Orders, "config", []byte("1"), false)
	putControlRows(t, m, "lead", "lead", "other")
	f := newFeed(m, "lead")
	for k := range store.Table(store.Tables) {
		require.NoError(t, f.readStore(t.Context(), k))
	}
	x := &wire.Sync{Term: 1, Stamp: 1, WaitUs: micros(unread)}
	for k := range f.tables {
		x.Revs = append(x.Revs, uint64(f.tables[k].rev))
	}
	return f, x
}

// Guards against a coordinator that is taken to be unresponsive because it holds a request open for longer than its sender waits.
func TestWaitCountsFromSendingOfRequest(t *testing.T) {
	f, x := newPolled(t)
	began := f.o.Clock.Now()
	f.Sync(t.Context(), began.Add(-unread), "other", x)
	require.Less(t, f.o.Clock.Now().Sub(began), source.OutdatedAge/2)
}

// Guards against a coordinator that takes itself for in contact with daemons, or measures a load of seconds at once, because of requests that lay
// unread while it was paused.
func TestRequestThatLayUnreadIsOld(t *testing.T) {
	f, x := newPolled(t)
	sentAt := f.o.Clock.Now().Add(-unread)
	var measuredAt mono.Time
	f.o.OnMeasurements = func(at mono.Time, _ *wire.Sync) { measuredAt = at }
	f.siteSeen = 0
	x.WaitUs, x.Counts = 0, []*wire.KeyCount{{Requests: 1}}
	f.Sync(t.Context(), sentAt, "other", x)
	require.Equal(t, sentAt, measuredAt)
	require.Equal(t, sentAt, f.siteSeen)
	require.False(t, f.QuorumInContact(unread))
	f.Sync(t.Context(), f.o.Clock.Now(), "other", x)
	f.Sync(t.Context(), sentAt, "other", x)
	require.True(t, f.QuorumInContact(unread), "an older request was read later")
}

// Guards against an answer that tells the age of the copy at the beginning of the wait, and that the peer's load view is the newest although it
// isn't.
func TestAnswerOfWaitThatIsCutShortIsCurrent(t *testing.T) {
	f, x := newPolled(t)
	e := newEditions(1)
	f.PublishLoads(e.next(t, 1))
	x.Loads = f.loads.stamp()
	const wait = 200 * time.Millisecond
	c, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	time.AfterFunc(wait/2, func() { f.PublishLoads(e.next(t, 9)) })
	r := f.Sync(c, f.o.Clock.Now(), "other", x)
	require.GreaterOrEqual(t, duration(r.GetStoreAgeUs()), wait)
	require.NotNil(t, r.GetLoads())
}
