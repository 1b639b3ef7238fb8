package feed

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// memory is a store in memory. While it is hung, calls get no answer.
type memory struct {
	mu      sync.Mutex
	rev     store.Rev
	rows    [store.Tables][]store.Row // in the order they were written
	changed chan struct{}
	hung    bool
	floor   store.Rev // changes up to here are forgotten
	calls   int
}

func newMemory() *memory {
	return &memory{rev: 1, changed: make(chan struct{})}
}

func (m *memory) hang(v bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hung = v
}

func (m *memory) put(t store.Table, key string, value []byte, gone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rev++
	m.rows[t] = append(m.rows[t], store.Row{Key: key, Value: value, Rev: m.rev, Gone: gone})
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memory) since(t store.Table, after store.Rev) ([]store.Row, store.Rev, bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []store.Row
	for _, r := range m.rows[t] {
		if r.Rev > after {
			l = append(l, r)
		}
	}
	return l, m.rev, m.hung, m.changed
}

func (m *memory) called() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
}

func (m *memory) List(c context.Context, t store.Table) (store.Page, error) {
	m.called()
	l, rev, hung, _ := m.since(t, 0)
	if hung {
		<-c.Done()
		return store.Page{}, c.Err()
	}
	last := map[string]store.Row{}
	for _, r := range l {
		last[r.Key] = r
	}
	p := store.Page{Rev: rev}
	for _, r := range last {
		if !r.Gone {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

func (m *memory) Follow(c context.Context, t store.Table, after store.Rev, wait time.Duration) (store.Page, error) {
	m.called()
	m.mu.Lock()
	forgotten := after < m.floor
	m.mu.Unlock()
	if forgotten {
		return store.Page{}, store.ErrHistoryGone
	}
	x, cancel := context.WithTimeout(c, wait+feedWait)
	defer cancel()
	end := time.After(wait)
	for {
		l, rev, hung, changed := m.since(t, after)
		if hung {
			<-x.Done()
			return store.Page{}, x.Err()
		}
		if len(l) > 0 {
			return store.Page{Rows: l, Rev: rev}, nil
		}
		select {
		case <-changed:
		case <-end:
			return store.Page{Rev: rev}, nil
		case <-c.Done():
			return store.Page{}, c.Err()
		}
	}
}

func (m *memory) Commit(context.Context, store.Txn) (store.Rev, error) { return 0, store.ErrNotDone }

// plain reads rows in JSON of the model's own.
type plain struct{}

func (plain) Order(key string, value []byte) (Order, error) {
	if key != "config" {
		return Evacuate{Domain: ident.Domain(key)}, nil
	}
	var v site.Version
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, err
	}
	c, err := site.NewConfig(v, nil, nil, nil, site.DefaultLimits())
	return Configure{Config: c}, err
}

func (plain) Server(key string, value []byte, _ mono.Time) (*site.Server, error) {
	x := &site.Server{}
	err := json.Unmarshal(value, x)
	x.ID = ident.Server(key)
	return x, err
}

// pair lets daemons call each other.
type pair map[ident.Daemon]*Feed

// end is one daemon's way to call the others.
type end struct {
	pair
	self   ident.Daemon
	refuse *atomic.Int64 // so many calls fail, nil for none
	lost   *lostSet      // daemons that answer nothing, nil for none
}

// lostSet holds daemons that have lost power: calls to them get no answer.
type lostSet struct {
	mu   sync.Mutex
	lost map[ident.Daemon]bool
}

func (s *lostSet) add(l ...ident.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == nil {
		s.lost = map[ident.Daemon]bool{}
	}
	for _, d := range l {
		s.lost[d] = true
	}
}

func (s *lostSet) has(d ident.Daemon) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost[d]
}

func (p end) Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	if p.pair[to] == nil {
		return nil, errors.New("not reached")
	}
	if p.refuse != nil && p.refuse.Add(-1) >= 0 {
		return nil, errors.New("not trusted yet")
	}
	if p.lost.has(to) || p.lost.has(p.self) {
		<-c.Done()
		return nil, c.Err()
	}
	r := p.pair[to].Sync(c, p.self, m.GetSync())
	if p.lost.has(to) {
		<-c.Done()
		return nil, c.Err()
	}
	return &wire.Reply{Body: &wire.Reply_Sync{Sync: r}}, nil
}

func start(t *testing.T, s store.Store, peers pair, name ident.Daemon) *Feed {
	t.Helper()
	return startRefused(t, s, peers, name, nil)
}

func startRefused(t *testing.T, s store.Store, peers pair, name ident.Daemon, refuse *atomic.Int64) *Feed {
	t.Helper()
	f := newFeed(s, name)
	peers[name] = f
	runFeed(t, f, end{pair: peers, self: name, refuse: refuse})
	return f
}

func newFeed(s store.Store, name ident.Daemon) *Feed {
	return New(Options{
		Self: name, Life: 1, Store: s, Decoder: plain{}, Clock: clock.New(),
		Log:      &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Measures: func() ([]*wire.KeyCount, []*wire.ServerWork) { return nil, nil },
		Measured: func([]*wire.KeyCount, []*wire.ServerWork) {},
	})
}

func runFeed(t *testing.T, f *Feed, e end) {
	t.Helper()
	g := group.New(t.Context())
	t.Cleanup(g.Stop)
	f.Run(g, e)
}

func control(t *testing.T, m *memory, leader ident.Daemon, names ...ident.Daemon) {
	t.Helper()
	for _, n := range names {
		v, err := proto.Marshal(&wire.DaemonRow{Domain: "a", Peer: "127.0.0.1:1", Incarnation: 1})
		require.NoError(t, err)
		m.put(store.Control, DaemonRow(n), v, false)
	}
	v, err := proto.Marshal(&wire.CoordinatorRow{Daemon: string(leader), Incarnation: 1, Term: 1})
	require.NoError(t, err)
	m.put(store.Control, CoordinatorRow, v, false)
}

func version(f *Feed) site.Version {
	if c := f.Snapshot().Config; c != nil {
		return c.Version
	}
	return 0
}

// An operator's change is in force on the follower too late. The store stops answering the coordinator without closing
// its connections; the change is made; the coordinator still waits for its feed and tells its followers that all is
// new. They must learn the age of what it really knows, and ask the store themselves within 2 s of the change.
func TestFollowerOfSilencedCoordinator(t *testing.T) {
	lead, follow := newMemory(), newMemory()
	for _, m := range []*memory{lead, follow} {
		m.put(store.Orders, "config", []byte("1"), false)
		control(t, m, "lead", "lead", "other")
	}
	peers := pair{}
	start(t, lead, peers, "lead")
	f := start(t, follow, peers, "other")
	require.Eventually(t, func() bool { return version(f) == 1 && f.Known() }, time.Second, 5*time.Millisecond)
	time.Sleep(feedWait / 2) // the coordinator's feed is under way
	lead.hang(true)
	follow.put(store.Orders, "config", []byte("2"), false)
	require.Eventually(t, func() bool { return version(f) == 2 }, 1900*time.Millisecond, 10*time.Millisecond)
}

// lateStore hands answers to feeds over only some time after they were made.
type lateStore struct {
	*memory
	late time.Duration
}

func (s lateStore) Follow(c context.Context, t store.Table, after store.Rev, wait time.Duration) (store.Page, error) {
	p, err := s.memory.Follow(c, t, after, wait)
	time.Sleep(s.late)
	return p, err
}

// Guards against a daemon that stood still and takes an answer of the store from before for new, and tells its peers so.
func TestAnswerReadLateIsOld(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("1"), false)
	control(t, m, "lead", "lead")
	f := newFeed(lateStore{memory: m, late: 2 * time.Second}, "lead")
	require.NoError(t, f.askOnce(t.Context(), store.Orders))
	require.NoError(t, f.askOnce(t.Context(), store.Orders))
	f.mu.Lock()
	defer f.mu.Unlock()
	require.GreaterOrEqual(t, f.age(store.Orders), 2*time.Second)
}

// All keys are refused by a daemon for 1.3 s after the whole site has started again. It reads the store while the
// coordinator's row still names the last life of its daemon, which answers nobody; the next coordinator writes itself down
// a moment later, and nobody tells. A daemon whose coordinator doesn't answer must learn it from the store at once.
func TestNextCoordinatorIsLearntAtOnce(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("1"), false)
	control(t, m, "gone", "gone", "other")
	f := start(t, m, pair{}, "other")
	require.Eventually(t, func() bool { return version(f) == 1 && f.Known() }, time.Second, 5*time.Millisecond)
	time.Sleep(150 * time.Millisecond)
	v, err := proto.Marshal(&wire.CoordinatorRow{Daemon: "next", Incarnation: 1, Term: 2})
	require.NoError(t, err)
	m.put(store.Control, CoordinatorRow, v, false)
	require.Eventually(t, func() bool { return f.Snapshot().Coordinator.Daemon == "next" }, 300*time.Millisecond, 5*time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.LessOrEqual(t, m.calls, store.Tables+4)
}

// The platform's owner pays for calls that tell nothing new. Two daemons run for two seconds without a change; only the
// coordinator may follow the store.
func TestFollowersLeaveTheStoreAlone(t *testing.T) {
	m, n := newMemory(), newMemory()
	for _, x := range []*memory{m, n} {
		x.put(store.Orders, "config", []byte("1"), false)
		control(t, x, "lead", "lead", "other")
	}
	peers := pair{}
	start(t, m, peers, "lead")
	start(t, n, peers, "other")
	time.Sleep(2 * time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	require.LessOrEqual(t, n.calls, store.Tables+1)
}

// A server is sent to although it left. The store forgets its history while the server's row is dropped; the whole table
// lacks the row, so that the copy must lose it too.
func TestRowDroppedInForgottenHistory(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("1"), false)
	m.put(store.Servers, "s1", []byte(`{"Service":"x"}`), false)
	control(t, m, "lead", "lead")
	f := start(t, m, pair{}, "lead")
	require.Eventually(t, func() bool { return f.Snapshot().Servers["s1"] != nil }, time.Second, 5*time.Millisecond)
	m.mu.Lock()
	m.rev++
	m.rows[store.Servers] = nil
	m.floor = m.rev
	m.mu.Unlock()
	require.Eventually(t, func() bool { return f.Snapshot().Servers["s1"] == nil }, 2*time.Second, 5*time.Millisecond)
}

// A configuration goes back. Rows with an older version, or of a shape that can't be read, leave the last one in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("7"), false)
	control(t, m, "lead", "lead")
	f := start(t, m, pair{}, "lead")
	require.Eventually(t, func() bool { return version(f) == 7 }, time.Second, 5*time.Millisecond)
	m.put(store.Orders, "config", []byte("5"), false)
	m.put(store.Orders, "config", []byte(`{"half`), false)
	m.put(store.Orders, "config", nil, true)
	m.put(store.Orders, "b", nil, false)
	require.Eventually(t, func() bool { return f.Snapshot().Evacuated["b"] }, time.Second, 5*time.Millisecond)
	require.Equal(t, site.Version(7), version(f))
	m.put(store.Orders, "b", nil, true)
	require.Eventually(t, func() bool { return !f.Snapshot().Evacuated["b"] }, time.Second, 5*time.Millisecond)
}

// Keys of a site of two daemons are never granted. The first call to the coordinator fails, as it hasn't read the caller's
// row yet and doesn't trust it; there is no third daemon to ask instead. The coordinator must be asked again.
func TestFirstCallOfTwoFails(t *testing.T) {
	m, n := newMemory(), newMemory()
	for _, x := range []*memory{m, n} {
		x.put(store.Orders, "config", []byte("1"), false)
		control(t, x, "lead", "lead", "other")
	}
	peers := pair{}
	l := start(t, m, peers, "lead")
	refuse := &atomic.Int64{}
	refuse.Store(1)
	f := startRefused(t, n, peers, "other", refuse)
	f.Announced(1)
	require.Eventually(t, func() bool { return len(l.Snapshot().Daemons) == 2 }, time.Second, time.Millisecond)
	require.Eventually(t, l.Supported, 3*time.Second, 20*time.Millisecond)
}

// Callers of a domain that is cut off are refused by daemons that hear nobody but each other. Two of three daemons are in
// one domain, their coordinator among them; the store and the third, in another domain, are not heard. Both must find that
// they are cut off once they are no longer most of the site; as most of it they have only lost the store.
func TestCutOffDomain(t *testing.T) {
	m, n := newMemory(), newMemory()
	for _, x := range []*memory{m, n} {
		x.put(store.Orders, "config", []byte("1"), false)
		control(t, x, "lead", "lead", "other")
		v, err := proto.Marshal(&wire.DaemonRow{Domain: "b", Peer: "127.0.0.1:1", Incarnation: 1})
		require.NoError(t, err)
		x.put(store.Control, DaemonRow("far"), v, false)
	}
	peers := pair{}
	l, f := start(t, m, peers, "lead"), start(t, n, peers, "other")
	l.Announced(1)
	f.Announced(1)
	require.Eventually(t, func() bool { return f.Known() && l.Known() }, time.Second, 5*time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	require.Less(t, f.IsolatedFor(), 2*time.Second, "the store answers")
	require.True(t, l.Supported(), "two of three")
	m.hang(true)
	n.hang(true)
	time.Sleep(2500 * time.Millisecond)
	require.Less(t, f.IsolatedFor(), 2*time.Second, "the coordinator has the support of most: the store alone is away")
	for _, x := range []*Feed{l, f} {
		for _, d := range []ident.Daemon{"far2", "far3", "far4"} {
			v, err := proto.Marshal(&wire.DaemonRow{Domain: "b", Peer: "127.0.0.1:1", Incarnation: 1})
			require.NoError(t, err)
			x.ApplyWritten([]store.Row{{Key: DaemonRow(d), Value: v, Rev: 1000}})
		}
	}
	require.Eventually(t, func() bool { return l.IsolatedFor() > 2*time.Second && f.IsolatedFor() > 2*time.Second }, 5*time.Second, 20*time.Millisecond)
}
