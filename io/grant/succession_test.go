package grant

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/conns"
	"heatherrouter/io/feed"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// racedStore is a store to which another daemon writes itself as the coordinator when the first transaction arrives.
type racedStore struct {
	mu      sync.Mutex
	rev     store.Rev
	rows    map[string]store.Row
	commits int
	changed chan struct{}
	onFirst func()
	lost    bool // transactions have no answer, and may be applied later
}

func (s *racedStore) put(key string, m proto.Message) {
	v, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, v)
}

func (s *racedStore) write(key string, v []byte) {
	s.rev++
	s.rows[key] = store.Row{Key: key, Value: v, Rev: s.rev}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *racedStore) List(_ context.Context, t store.Table) (store.Page, error) {
	p, _ := s.since(t, 0)
	return p, nil
}

func (s *racedStore) since(t store.Table, after store.Rev) (store.Page, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Page{Rev: s.rev}
	if t == store.Orders && after == 0 {
		p.Rows = append(p.Rows, store.Row{Key: "config", Rev: 1})
	}
	for _, r := range s.rows {
		if t == store.Control && r.Rev > after {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, s.changed
}

func (s *racedStore) Follow(c context.Context, t store.Table, after store.Rev, wait time.Duration) (store.Page, error) {
	p, changed := s.since(t, after)
	if len(p.Rows) > 0 {
		return p, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-c.Done():
	}
	p, _ = s.since(t, after)
	return p, nil
}

func (s *racedStore) Commit(_ context.Context, x store.Txn) (store.Rev, error) {
	s.mu.Lock()
	s.commits++
	first, lost := s.commits == 1, s.lost
	s.mu.Unlock()
	if lost {
		return 0, context.DeadlineExceeded
	}
	if first {
		s.onFirst()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range x.Expect {
		if s.rows[e.Key].Rev != e.Rev {
			return 0, store.ErrConflict
		}
	}
	for _, r := range x.Put {
		s.write(r.Key, r.Value)
	}
	return s.rev, nil
}

// Guards against a coordinator without a quorum that overwrites its successor's row, with the same term and marked clean: the successor
// took over while the coordinator waited for the store, between its snapshot and its reading of the row's revision.
func TestCoordinatorWithoutQuorumKeepsItsSuccessorsRow(t *testing.T) {
	s := &racedStore{rows: map[string]store.Row{}, changed: make(chan struct{})}
	for _, n := range []string{"self", "x", "y", "z"} {
		s.put(feed.DaemonRow(ident.Daemon(n)), &wire.DaemonRow{Domain: "a", Peer: "127.0.0.1:1", Incarnation: 1})
	}
	s.put(feed.CoordinatorRow, &wire.CoordinatorRow{Daemon: "self", Incarnation: 1, Term: 4, Clean: true, Voters: []string{"self", "x", "y"}})
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	ck := clock.New()
	f := feed.New(feed.Options{Self: "self", Incarnation: 1, Store: s, Clock: ck, Log: l, Decoder: emptyConfig{}, TakeMeasurements: func(*wire.Sync) {}})
	s.onFirst = func() {
		s.put(feed.CoordinatorRow, &wire.CoordinatorRow{Daemon: "x", Incarnation: 1, Term: 5, WithoutQuorum: true, Voters: []string{"x", "y", "z"}})
		for end := time.Now().Add(2 * time.Second); f.Snapshot().Coordinator.Term != 5 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	p := group.New(t.Context())
	t.Cleanup(p.Stop)
	f.Run(p, noPeers{})
	require.Eventually(t, func() bool {
		age, _ := f.Ages()
		return f.IsCoordinator() && len(f.Snapshot().Daemons) == 4 && age < storeUnresponsiveAge
	}, 5*time.Second, 5*time.Millisecond)

	g := New(Options{Self: "self", Incarnation: 1, Feed: f, Store: s, Clock: ck, Log: l, Timing: hold.DefaultTiming(10 * time.Second)})
	snapshot := f.Snapshot()
	g.beginTerm(snapshot)
	g.updateRev()
	g.supportedAt = ck.Now().Add(-elect.NoQuorumTimeout - time.Second) // nobody supports it
	g.updateMembers(t.Context(), snapshot)
	r := &wire.CoordinatorRow{}
	require.NoError(t, proto.Unmarshal(s.rows[feed.CoordinatorRow].Value, r))
	require.Equal(t, "x", r.GetDaemon(), "row: %v", r)
}

// Guards against keys without an owner: a coordinator without a quorum, which may send orders for 30 s without the store, stops because it
// wrote that its wait for earlier coordinators is over, and the store has gone. Neither voters nor WithoutQuorum change by that row.
func TestRowThatOnlyBecomesCleanStopsNoOrders(t *testing.T) {
	s := &racedStore{rows: map[string]store.Row{}, changed: make(chan struct{}), lost: true}
	for _, n := range []string{"self", "x", "y"} {
		s.put(feed.DaemonRow(ident.Daemon(n)), &wire.DaemonRow{Domain: "a", Peer: "127.0.0.1:1", Incarnation: 1})
	}
	s.put(feed.CoordinatorRow, &wire.CoordinatorRow{Daemon: "self", Incarnation: 1, Term: 4, WithoutQuorum: true, Voters: []string{"self", "x", "y"}})
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	ck := clock.New()
	f := feed.New(feed.Options{Self: "self", Incarnation: 1, Store: s, Clock: ck, Log: l, Decoder: emptyConfig{}, TakeMeasurements: func(*wire.Sync) {}})
	p := group.New(t.Context())
	t.Cleanup(p.Stop)
	f.Run(p, noPeers{})
	require.Eventually(t, func() bool {
		age, _ := f.Ages()
		return f.IsCoordinator() && len(f.Snapshot().Daemons) == 3 && age < storeUnresponsiveAge
	}, 5*time.Second, 5*time.Millisecond)
	g := New(Options{Self: "self", Incarnation: 1, Feed: f, Store: s, Clock: ck, Log: l, Timing: hold.DefaultTiming(10 * time.Second)})
	g.beginTerm(f.Snapshot())
	g.updateRev()
	g.updateMembers(t.Context(), f.Snapshot())
	require.True(t, f.HoldsTerm(4), "the wait isn't over")
	g.earlierOrders = elect.EarlierOrders{} // the wait is over
	g.updateMembers(t.Context(), f.Snapshot())
	require.True(t, f.HoldsTerm(4))
}

// restartingServer accepts all orders. It counts those of each of its lives, which use the same address.
type restartingServer struct {
	mu     sync.Mutex
	life   int
	conns  []net.Conn
	orders map[int]int
	busy   bool // doesn't answer
}

func (s *restartingServer) setBusy(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = v
}

func (s *restartingServer) start(t *testing.T) netip.AddrPort {
	s.orders = map[int]int{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Close()
		s.restart()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			life := s.life
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req := &fasthttp.Request{}
					if req.Read(r) != nil {
						return
					}
					s.mu.Lock()
					s.orders[life]++
					busy := s.busy
					s.mu.Unlock()
					if busy {
						continue
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (s *restartingServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// grantCall returns the call for a grant, as exchangeOrder makes it.
func grantCall(o hold.Grant) conns.Call {
	call := conns.Call{Deadline: time.Now().Add(200 * time.Millisecond)}
	if o.Renewal {
		call.OnlyOn = conns.ConnNumber(o.Connection)
	}
	return call
}

// sendTestGrant sends a grant as exchangeOrder does.
func sendTestGrant(t *testing.T, g *Granter, l *link, o hold.Grant) hold.Result {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	g.fillOrder(req, l, o)
	r, _ := g.sendGrant(t.Context(), l, grantCall(o), req, resp)
	x := g.result(o, r, resp)
	x.Connection = hold.Connection(r.Conn)
	return x
}

// Guards against renewals that reach the next incarnation of a server with the fences of the one before: an order that is no renewal,
// for another range, finds the connection closed and opens another in its place.
func TestRenewalDoesNotUseConnectionOfLaterGrant(t *testing.T) {
	for _, name := range []string{"idle connection closed", "response timed out"} {
		t.Run(name, func(t *testing.T) {
			s := &restartingServer{}
			g, l := newTestGranter(t, s.start(t))
			granted := sendTestGrant(t, g, l, hold.Grant{})
			require.Equal(t, hold.Accepted, granted.Outcome)
			if name == "response timed out" {
				s.setBusy(true)
				renewed := sendTestGrant(t, g, l, hold.Grant{Renewal: true, Connection: granted.Connection})
				require.Equal(t, hold.Silent, renewed.Outcome)
				s.setBusy(false)
			}
			s.restart()
			require.Eventually(t, func() bool { return !l.grants.HasIdle() }, time.Second, time.Millisecond)
			require.Equal(t, hold.Accepted, sendTestGrant(t, g, l, hold.Grant{}).Outcome, "a grant of another range, or with a higher fence")
			renewed := sendTestGrant(t, g, l, hold.Grant{Renewal: true, Connection: granted.Connection})
			require.Equal(t, hold.NotSent, renewed.Outcome, "accepted by the incarnation before")
		})
	}
}

// Guards against renewals that reach the next incarnation of a server with the fences of the one before: a server has restarted at its
// address, and the renewals of all its ranges are due at once.
func TestRenewalsDoNotReachTheNextIncarnation(t *testing.T) {
	const ranges, restarts = 16, 60
	s := &restartingServer{}
	g, l := newTestGranter(t, s.start(t))
	for i := range restarts {
		var granted hold.Result
		require.Eventually(t, func() bool { // the spare connection may just be opened
			granted = sendTestGrant(t, g, l, hold.Grant{})
			return granted.Outcome == hold.Accepted
		}, 5*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return l.grants.HasIdle() && l.spare.HasIdle() }, 5*time.Second, time.Millisecond)
		s.restart()
		s.mu.Lock()
		life := s.life
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		var w sync.WaitGroup
		for range ranges {
			w.Go(func() { sendTestGrant(t, g, l, hold.Grant{Renewal: true, Connection: granted.Connection}) })
		}
		w.Wait()
		s.mu.Lock()
		n := s.orders[life]
		s.mu.Unlock()
		require.Zero(t, n, "renewals that reached the next incarnation, restart %d", i)
		l.grantMu.Lock()
		l.spareCheckedAt = time.Time{}
		l.grantMu.Unlock()
	}
}

// emptyConfig decodes each order as a configuration without services.
type emptyConfig struct{ feed.Decoder }

func (emptyConfig) Order(string, []byte) (feed.Order, error) {
	c, err := site.NewConfig(1, nil, nil, nil, site.DefaultLimits())
	return feed.Configure{Config: c}, err
}

// Guards against a coordinator that doesn't wait for the one before it: the row of a successor without a quorum arrives after step has
// looked who the coordinator is and before coordinate does. The successor's term must not pass for one of this daemon's own.
func TestSuccessorsTermIsNotBegunAsOwn(t *testing.T) {
	s := &racedStore{rows: map[string]store.Row{}, changed: make(chan struct{})}
	s.commits = 1 // no race in a transaction
	for _, n := range []string{"self", "x", "y"} {
		s.put(feed.DaemonRow(ident.Daemon(n)), &wire.DaemonRow{Domain: "a", Peer: "127.0.0.1:1", Incarnation: 1})
	}
	coordinator := func(f *feed.Feed, d string, term uint64, clean bool) {
		s.put(feed.CoordinatorRow, &wire.CoordinatorRow{Daemon: d, Incarnation: 1, Term: term, Clean: clean, WithoutQuorum: !clean, Voters: []string{"self", "x", "y"}})
		require.Eventually(t, func() bool { return f.Loaded() && f.Snapshot().Coordinator.Term == site.Term(term) }, 10*time.Second, time.Millisecond)
	}
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	ck := clock.New()
	f := feed.New(feed.Options{Self: "self", Incarnation: 1, Store: s, Clock: ck, Log: l, Decoder: emptyConfig{}, TakeMeasurements: func(*wire.Sync) {}})
	p := group.New(t.Context())
	t.Cleanup(p.Stop)
	f.Run(p, noPeers{})
	g := New(Options{Self: "self", Incarnation: 1, Feed: f, Store: s, Clock: ck, Log: l, Timing: hold.DefaultTiming(10 * time.Second)})
	g.group = p
	coordinator(f, "self", 4, true)
	g.coordinate(t.Context())
	require.EqualValues(t, 4, g.term)
	coordinator(f, "x", 5, false)
	g.coordinate(t.Context()) // step saw term 4
	g.endTerm()               // as the next step does
	coordinator(f, "self", 6, false)
	g.coordinate(t.Context())
	require.EqualValues(t, 6, g.term)
	require.Greater(t, g.earlierOrders.End().Sub(ck.Now()), elect.AuthorityTTL-time.Second, "x may send orders for 30 s")
}

// Guards against keys that are never renewed: the entry of a server names another address and the same incarnation, so that a new link
// replaces the one over which its grants were accepted.
func TestRenewalsGoOnAfterChangeOfAddress(t *testing.T) {
	first, second := &restartingServer{}, &restartingServer{}
	g, l := newTestGranter(t, first.start(t))
	x := hold.New(0, hold.DefaultTiming(10*time.Second), nil, hold.Reservation{}, 0)
	a := hold.Incarnation{Server: "a", Born: 1}
	ck := clock.New()
	x.Committed(ck.Now(), []hold.Assignment{{Range: hold.Range{Last: hold.Keys - 1}, Owner: a}}, x.Reserve(ck.Now(), 1))
	carryOut := func() (last hold.Outcome) {
		orders, _ := x.Orders(ck.Now())
		for _, o := range orders {
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			o := o.(hold.Grant)
			g.fillOrder(req, l, o)
			r, lost := g.sendGrant(t.Context(), l, grantCall(o), req, resp)
			y := g.result(o, r, resp)
			y.Connection = hold.Connection(r.Conn)
			x.Done(ck.Now(), o, y)
			if lost {
				x.ConnectionLost(ck.Now(), "a")
			}
			last = y.Outcome
		}
		return last
	}
	require.Equal(t, hold.Accepted, carryOut())
	g.servers["a"] = &site.Server{ID: "a", Born: 1, Addr: second.start(t)}
	l = g.link(a)
	t.Cleanup(l.close)
	require.Eventually(t, func() bool {
		carryOut()
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.orders[0] > 0
	}, 3*time.Second, 10*time.Millisecond, "a is granted its keys at its new address")
}
