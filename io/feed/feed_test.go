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
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// memory is a store in memory. While it is unresponsive, calls get no answer.
type memory struct {
	mu           sync.Mutex
	rev          store.Rev
	rows         [store.Tables][]store.Row // in the order in which they were written
	changed      chan struct{}
	unresponsive bool
	floor        store.Rev // the history up to this revision is truncated
	calls        int
}

func newMemory() *memory {
	return &memory{rev: 1, changed: make(chan struct{})}
}

func (m *memory) setUnresponsive(v bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsive = v
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
	return l, m.rev, m.unresponsive, m.changed
}

func (m *memory) countCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
}

func (m *memory) List(c context.Context, t store.Table) (store.Page, error) {
	m.countCall()
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
	m.countCall()
	m.mu.Lock()
	truncated := after < m.floor
	m.mu.Unlock()
	if truncated {
		return store.Page{}, store.ErrHistoryTruncated
	}
	x, cancel := context.WithTimeout(c, wait+maxPollWait)
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

func (m *memory) Commit(context.Context, store.Txn) (store.Rev, error) { return 0, store.ErrNotApplied }

// jsonDecoder decodes rows that are the JSON encoding of the types in package site.
type jsonDecoder struct{}

func (jsonDecoder) Order(key string, value []byte) (Order, error) {
	if key != "config" {
		return Evacuate{Domain: ident.Domain(key)}, nil
	}
	var v site.Version
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, &InvalidConfigError{Cause: err}
	}
	c, err := site.NewConfig(v, nil, nil, nil, site.DefaultLimits())
	return Configure{Config: c}, err
}

func (jsonDecoder) Server(key string, value []byte, _ mono.Time) (*site.Server, error) {
	x := &site.Server{}
	err := json.Unmarshal(value, x)
	x.ID = ident.Server(key)
	return x, err
}

// peerSet is the set of daemons that can call each other, by name.
type peerSet map[ident.Daemon]*Feed

// peerCaller is the Caller of one daemon.
type peerCaller struct {
	peerSet
	self      ident.Daemon
	failCalls *atomic.Int64 // number of calls that fail; nil for none
	failed    *failedSet    // daemons that don't answer; nil for none
}

// failedSet holds daemons that have lost power: calls from and to them get no answer.
type failedSet struct {
	mu     sync.Mutex
	failed map[ident.Daemon]bool
}

func (s *failedSet) add(l ...ident.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = map[ident.Daemon]bool{}
	}
	for _, d := range l {
		s.failed[d] = true
	}
}

func (s *failedSet) remove(d ident.Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failed, d)
}

func (s *failedSet) has(d ident.Daemon) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed[d]
}

func (p peerCaller) Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	if p.peerSet[to] == nil {
		return nil, errors.New("peer is not reachable")
	}
	if p.failCalls != nil && p.failCalls.Add(-1) >= 0 {
		return nil, errors.New("peer is not trusted yet")
	}
	if p.failed.has(to) || p.failed.has(p.self) {
		<-c.Done()
		return nil, c.Err()
	}
	r := p.peerSet[to].Sync(c, p.peerSet[to].o.Clock.Now(), p.self, m.GetSync())
	if p.failed.has(to) {
		<-c.Done()
		return nil, c.Err()
	}
	return &wire.Reply{Body: &wire.Reply_Sync{Sync: r}, SentUs: micros(clock.New().SinceBoot())}, nil
}

func start(t *testing.T, s store.Store, peers peerSet, name ident.Daemon) *Feed {
	t.Helper()
	return startWithFailures(t, s, peers, name, nil)
}

func startWithFailures(t *testing.T, s store.Store, peers peerSet, name ident.Daemon, failCalls *atomic.Int64) *Feed {
	t.Helper()
	f := newFeed(s, name)
	peers[name] = f
	runFeed(t, f, peerCaller{peerSet: peers, self: name, failCalls: failCalls})
	return f
}

func newFeed(s store.Store, name ident.Daemon) *Feed {
	return New(Options{
		Self: name, Incarnation: 1, Store: s, Decoder: jsonDecoder{}, Clock: clock.New(),
		Log:              &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		TakeMeasurements: func(*wire.Sync) {},
		OnMeasurements:   func(mono.Time, *wire.Sync) {},
	})
}

func runFeed(t *testing.T, f *Feed, e peerCaller) {
	t.Helper()
	g := group.New(t.Context())
	t.Cleanup(g.Stop)
	f.Run(g, e)
}

func putControlRows(t *testing.T, m *memory, leader ident.Daemon, names ...ident.Daemon) {
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

// Guards against an operator's change that takes effect too late on a follower. The store stops answering the coordinator
// without closing its connections, and the coordinator, which still waits for its long poll, reports its copy as current.
// Followers must receive the real age of its copy, and read the store themselves within 2 s of the change.
func TestFollowerOfCoordinatorWithoutStore(t *testing.T) {
	lead, follow := newMemory(), newMemory()
	for _, m := range []*memory{lead, follow} {
		m.put(store.Orders, "config", []byte("1"), false)
		putControlRows(t, m, "lead", "lead", "other")
	}
	peers := peerSet{}
	start(t, lead, peers, "lead")
	f := start(t, follow, peers, "other")
	require.Eventually(t, func() bool { return version(f) == 1 && f.Loaded() }, time.Second, 5*time.Millisecond)
	time.Sleep(maxPollWait / 2) // the coordinator's long poll is in progress
	lead.setUnresponsive(true)
	follow.put(store.Orders, "config", []byte("2"), false)
	require.Eventually(t, func() bool { return version(f) == 2 }, 1900*time.Millisecond, 10*time.Millisecond)
}

// delayedStore returns the answers of Follow a delay after they were made.
type delayedStore struct {
	*memory
	delay time.Duration
}

func (s delayedStore) Follow(c context.Context, t store.Table, after store.Rev, wait time.Duration) (store.Page, error) {
	p, err := s.memory.Follow(c, t, after, wait)
	time.Sleep(s.delay)
	return p, err
}

// Guards against a suspended daemon that takes an old answer of the store for current, and reports that to its peers.
func TestDelayedAnswerIsOld(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("1"), false)
	putControlRows(t, m, "lead", "lead")
	f := newFeed(delayedStore{memory: m, delay: 2 * time.Second}, "lead")
	require.NoError(t, f.readStore(t.Context(), store.Orders))
	require.NoError(t, f.readStore(t.Context(), store.Orders))
	f.mu.Lock()
	defer f.mu.Unlock()
	require.GreaterOrEqual(t, f.age(store.Orders), 2*time.Second)
}

// Guards against a daemon that refuses all keys for 1.3 s after a restart of the whole site. It reads the store while the
// coordinator's row still names a previous incarnation, which answers no calls. The next coordinator writes its row a moment
// later, and no peer reports it. A daemon whose coordinator doesn't answer must read it from the store at once.
func TestNewCoordinatorIsReadFromStore(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("1"), false)
	putControlRows(t, m, "gone", "gone", "other")
	f := start(t, m, peerSet{}, "other")
	require.Eventually(t, func() bool { return version(f) == 1 && f.Loaded() }, time.Second, 5*time.Millisecond)
	time.Sleep(150 * time.Millisecond)
	v, err := proto.Marshal(&wire.CoordinatorRow{Daemon: "next", Incarnation: 1, Term: 2})
	require.NoError(t, err)
	m.put(store.Control, CoordinatorRow, v, false)
	require.Eventually(t, func() bool { return f.Snapshot().Coordinator.Daemon == "next" }, 300*time.Millisecond, 5*time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	require.LessOrEqual(t, m.calls, store.Tables+4)
}

// Guards against needless calls to the store, which are charged for. Two daemons run for two seconds without a change; only
// the coordinator may follow the store.
func TestFollowersDoNotReadStore(t *testing.T) {
	m, n := newMemory(), newMemory()
	for _, x := range []*memory{m, n} {
		x.put(store.Orders, "config", []byte("1"), false)
		putControlRows(t, x, "lead", "lead", "other")
	}
	peers := peerSet{}
	start(t, m, peers, "lead")
	start(t, n, peers, "other")
	time.Sleep(2 * time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	require.LessOrEqual(t, n.calls, store.Tables+1)
}

// Guards against requests to a server that has left. The server's row is deleted, and the store truncates its history before
// the daemon reads the change. The full table lacks the row, so the copy must delete it too.
func TestRowDeletedInTruncatedHistory(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("1"), false)
	m.put(store.Servers, "s1", []byte(`{"Service":"x"}`), false)
	putControlRows(t, m, "lead", "lead")
	f := start(t, m, peerSet{}, "lead")
	require.Eventually(t, func() bool { return f.Snapshot().Servers["s1"] != nil }, time.Second, 5*time.Millisecond)
	m.mu.Lock()
	m.rev++
	m.rows[store.Servers] = nil
	m.floor = m.rev
	m.mu.Unlock()
	require.Eventually(t, func() bool { return f.Snapshot().Servers["s1"] == nil }, 2*time.Second, 5*time.Millisecond)
}

// Guards against a return to an older configuration. Rows with an older version, and rows that can't be decoded, must leave
// the last one in force.
func TestConfigurationIsNotReverted(t *testing.T) {
	m := newMemory()
	m.put(store.Orders, "config", []byte("7"), false)
	putControlRows(t, m, "lead", "lead")
	f := start(t, m, peerSet{}, "lead")
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

// Guards against a site of two daemons whose keys are never granted. The first call to the coordinator fails, because it
// hasn't read the caller's row yet and doesn't trust it. There is no third daemon to call, so the call must be repeated.
func TestFirstCallFailsWithTwoDaemons(t *testing.T) {
	m, n := newMemory(), newMemory()
	for _, x := range []*memory{m, n} {
		x.put(store.Orders, "config", []byte("1"), false)
		putControlRows(t, x, "lead", "lead", "other")
	}
	peers := peerSet{}
	l := start(t, m, peers, "lead")
	failCalls := &atomic.Int64{}
	failCalls.Store(1)
	f := startWithFailures(t, n, peers, "other", failCalls)
	f.SetAnnounced(1)
	require.Eventually(t, func() bool { return len(l.Snapshot().Daemons) == 2 }, time.Second, time.Millisecond)
	require.Eventually(t, l.Supported, 3*time.Second, 20*time.Millisecond)
}

// Guards against an isolated domain whose daemons, in contact only with each other, refuse their callers. Two of three
// daemons, the coordinator among them, are in one domain; the store and the third daemon, in another domain, don't answer.
// Both must detect their isolation once they are no longer a majority; as a majority they have lost only the store.
func TestIsolatedDomain(t *testing.T) {
	m, n := newMemory(), newMemory()
	for _, x := range []*memory{m, n} {
		x.put(store.Orders, "config", []byte("1"), false)
		putControlRows(t, x, "lead", "lead", "other")
		v, err := proto.Marshal(&wire.DaemonRow{Domain: "b", Peer: "127.0.0.1:1", Incarnation: 1})
		require.NoError(t, err)
		x.put(store.Control, DaemonRow("far"), v, false)
	}
	peers := peerSet{}
	l, f := start(t, m, peers, "lead"), start(t, n, peers, "other")
	l.SetAnnounced(1)
	f.SetAnnounced(1)
	require.Eventually(t, func() bool { return f.Loaded() && l.Loaded() }, time.Second, 5*time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	require.Less(t, f.IsolatedFor(), 2*time.Second, "the store answers")
	require.True(t, l.Supported(), "two of three voters support it")
	m.setUnresponsive(true)
	n.setUnresponsive(true)
	time.Sleep(2500 * time.Millisecond)
	require.Less(t, f.IsolatedFor(), 2*time.Second, "the coordinator has a quorum: only the store is unavailable")
	for _, x := range []*Feed{l, f} {
		for _, d := range []ident.Daemon{"far2", "far3", "far4"} {
			v, err := proto.Marshal(&wire.DaemonRow{Domain: "b", Peer: "127.0.0.1:1", Incarnation: 1})
			require.NoError(t, err)
			x.ApplyWritten([]store.Row{{Key: DaemonRow(d), Value: v, Rev: 1000}})
		}
	}
	require.Eventually(t, func() bool { return l.IsolatedFor() > 2*time.Second && f.IsolatedFor() > 2*time.Second }, 5*time.Second, 20*time.Millisecond)
}

// Guards against sending to a server that has said that it leaves because its row says otherwise, vanishes for a while or is written
// again; another incarnation is another server.
func TestLeavingServerIsDraining(t *testing.T) {
	m := newMemory()
	f := start(t, m, peerSet{}, "a")
	put := func(born int64, gone bool) {
		b, err := json.Marshal(map[string]any{"born": born})
		require.NoError(t, err)
		m.put(store.Servers, "s", b, gone)
	}
	server := func() *site.Server { return f.Snapshot().Servers["s"] }
	put(1, false)
	require.Eventually(t, func() bool { return server() != nil && !server().Draining }, 5*time.Second, time.Millisecond)
	f.SetLeaving(report.Target{Server: "s", Born: 1})
	require.True(t, server().Draining)
	require.False(t, f.Snapshot().Accepts(server()))
	put(1, true)
	require.Eventually(t, func() bool { return server() == nil }, 5*time.Second, time.Millisecond)
	put(1, false)
	require.Eventually(t, func() bool { return server() != nil }, 5*time.Second, time.Millisecond)
	require.True(t, server().Draining)
	put(2, false)
	require.Eventually(t, func() bool { return server().Born == 2 }, 5*time.Second, time.Millisecond)
	require.False(t, server().Draining)
}
