// Package guard keeps requests that crash backend servers from them. It probes servers whose runs broke off, shares the
// crashes that it finds with all daemons by rows of the store, and tells which requests are refused.
package guard

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/crash"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/feed"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// View is what the daemon knows.
type View interface {
	Snapshot() *site.Snapshot
	Leads() bool
	Row(key string) (store.Row, bool)
	Learn(rows []store.Row)
}

// Counter counts crashes of servers.
type Counter interface {
	Crashed(s ident.Service)
}

// Options are what a Guard needs.
type Options struct {
	View    View
	Store   store.Store
	Clock   *clock.Clock
	Counter Counter
	Log     *log.Logger
	Dial    func(c context.Context, a netip.AddrPort) error // connects to a server, to find out whether it is there
}

const (
	// probeDelay is how long after a run broke off its server is probed: the system closes a process's connections one by
	// one, and its listener may go last.
	probeDelay = 30 * time.Millisecond

	// probeTimeout is how long a server may take to accept a connection. One that doesn't answer isn't taken for crashed.
	probeTimeout = time.Second

	// probers is how many servers are probed at once.
	probers = 8

	// writePause is between two transactions, and spread for each daemon of the site the most that is added at random: a
	// crash is seen by many daemons at once.
	writePause = 250 * time.Millisecond
	spread     = 3 * time.Millisecond

	// maxWritten bounds the rows of one transaction.
	maxWritten = 50

	// dropEvery is how often the coordinator looks for old records.
	dropEvery = time.Second
)

// Guard is one daemon's part.
type Guard struct {
	o      Options
	broken chan *site.Server
	found  chan struct{} // something is to be written

	mu      sync.Mutex
	tracker *crash.Tracker
	probing map[crash.ServerIncarnation]chan struct{} // closed once it is known whether the server has crashed
}

// New returns a guard; Run starts it.
func New(o Options) *Guard {
	return &Guard{o: o, broken: make(chan *site.Server, probers), found: make(chan struct{}, 1), tracker: crash.NewTracker(), probing: map[crash.ServerIncarnation]chan struct{}{}}
}

// Run starts probing servers and sharing what is found.
func (g *Guard) Run(r *group.Group) {
	for range probers {
		r.Go(g.probe)
	}
	r.Go(g.share)
	r.Go(g.drop)
}

// Dial connects to a server and closes the connection again.
func Dial(c context.Context, a netip.AddrPort) error {
	var d net.Dialer
	x, err := d.DialContext(c, "tcp", a.String())
	if err != nil {
		return err
	}
	return x.Close()
}

// Watches reports whether any request is suspected, so that requests need a fingerprint.
func (g *Guard) Watches() bool {
	if len(g.o.View.Snapshot().Crashes) > 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.tracker.Empty()
}

// Crashes returns how many servers crashed under the request, one after the other.
func (g *Guard) Crashes(f crash.Fingerprint) int {
	r := g.o.View.Snapshot().Crashes
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Crashes(r, f)
}

// Answered takes in that a server ran the request to an end.
func (g *Guard) Answered(f crash.Fingerprint) {
	r := g.o.View.Snapshot().Crashes
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tracker.Answered(g.o.Clock.Now(), r, f) {
		g.wake()
	}
}

// wake tells the duty that shares crashes that there is something to write.
func (g *Guard) wake() {
	select {
	case g.found <- struct{}{}:
	default:
	}
}

// Broke takes in that a run at the server broke off. The channel is closed once it is known whether the server has crashed,
// and already where it isn't probed.
func (g *Guard) Broke(x *site.Server, r crash.Run) <-chan struct{} {
	if s := g.o.View.Snapshot().Servers[x.ID]; s == nil || s.Draining {
		return probed // it leaves, or has left
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := lifeOf(x)
	if !g.tracker.Interrupted(g.o.Clock.Now(), l, r) {
		return cmp.Or(g.probing[l], probed)
	}
	select {
	case g.broken <- x:
		g.probing[l] = make(chan struct{})
		return g.probing[l]
	default:
		g.tracker.ServerAlive(l) // too many at once to probe
		return probed
	}
}

// probed is a closed channel.
var probed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// lifeOf returns the digest of a server's life.
func lifeOf(x *site.Server) crash.ServerIncarnation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(x.ID) + " " + strconv.FormatInt(x.Born, 10))) // never fails
	return crash.ServerIncarnation(h.Sum64())
}

// probe finds out whether servers whose runs broke off have crashed.
func (g *Guard) probe(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return nil
		case x := <-g.broken:
			clock.Sleep(c, probeDelay)
			y, cancel := context.WithTimeout(c, probeTimeout)
			err := g.o.Dial(y, x.Addr)
			cancel()
			g.takeProbe(x, err)
		}
	}
}

// takeProbe takes in how a connection to the server ended. Only a refusal tells that nobody listens there.
func (g *Guard) takeProbe(x *site.Server, err error) {
	r := g.o.View.Snapshot().Crashes
	g.mu.Lock()
	defer g.mu.Unlock()
	l := lifeOf(x)
	if c := g.probing[l]; c != nil {
		defer close(c)
		delete(g.probing, l)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		g.tracker.ServerAlive(l)
		return
	}
	blamed := g.tracker.ServerCrashed(g.o.Clock.Now(), r, l)
	if len(blamed) == 0 {
		return
	}
	names := make([]string, 0, len(blamed))
	for _, f := range blamed {
		names = append(names, f.String())
	}
	g.o.Counter.Crashed(x.Service)
	g.o.Log.Warn().Str("server", string(x.ID)).Str("service", string(x.Service)).Int64("born", x.Born).
		Strs("fingerprints", names).Msg("server crashed under requests")
	g.wake()
}

// share writes what this daemon has seen until the records have it.
func (g *Guard) share(c context.Context) error {
	for c.Err() == nil {
		l := g.changes()
		if len(l) == 0 {
			select {
			case <-c.Done():
			case <-g.found:
			}
			continue
		}
		err := g.write(c, l)
		if errors.Is(err, store.ErrConflict) && len(l) > 1 {
			err = g.writeEach(c, l)
		}
		if err != nil {
			g.o.Log.Info().Err(err).Int("rows", len(l)).Msg("crashes not shared")
		}
		clock.Sleep(c, writePause+rand.N(spread*time.Duration(max(1, len(g.o.View.Snapshot().Daemons)))))
	}
	return nil
}

func (g *Guard) changes() []crash.Change {
	r := g.o.View.Snapshot().Crashes
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Changes(g.o.Clock.Now(), r, maxWritten)
}

// writeEach makes each change in a transaction of its own: a row that other daemons change, too, must not hold up the others.
func (g *Guard) writeEach(c context.Context, l []crash.Change) error {
	var failed error
	for _, x := range l {
		if err := g.write(c, []crash.Change{x}); err != nil {
			failed = err
		}
	}
	return failed
}

// write makes the changes in one transaction, as of the rows known here. What it did, the next copy of the rows tells.
func (g *Guard) write(c context.Context, l []crash.Change) error {
	var x store.Txn
	for _, n := range l {
		key := feed.CrashRow(n.Fingerprint)
		row, _ := g.o.View.Row(key)
		x.Expect = append(x.Expect, store.Expect{Key: key, Rev: row.Rev})
		if n.Crashes == 0 {
			x.Drop = append(x.Drop, key)
			continue
		}
		v, err := proto.Marshal(&wire.CrashRow{Crashes: uint32(n.Crashes)}) //nolint:gosec // small
		if err != nil {
			return err
		}
		x.Put = append(x.Put, store.Row{Key: key, Value: v})
	}
	return g.commit(c, x)
}

// commit makes a transaction and takes its rows in.
func (g *Guard) commit(c context.Context, x store.Txn) error {
	rev, err := g.o.Store.Commit(c, x)
	if err != nil {
		return err
	}
	rows := slices.Clone(x.Put)
	for i := range rows {
		rows[i].Rev = rev
	}
	for _, k := range x.Drop {
		rows = append(rows, store.Row{Key: k, Rev: rev, Gone: true})
	}
	g.o.View.Learn(rows)
	return nil
}

// drop drops old records while this daemon is the coordinator.
func (g *Guard) drop(c context.Context) error {
	t := time.NewTicker(dropEvery)
	defer t.Stop()
	aging := crash.NewExpiry()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
		}
		old := aging.Expired(g.o.Clock.Now(), g.o.View.Snapshot().Crashes)
		if !g.o.View.Leads() || len(old) == 0 {
			continue
		}
		var x store.Txn
		for _, f := range old[:min(len(old), maxWritten)] {
			row, _ := g.o.View.Row(feed.CrashRow(f))
			x.Expect = append(x.Expect, store.Expect{Key: row.Key, Rev: row.Rev})
			x.Drop = append(x.Drop, row.Key)
		}
		if err := g.commit(c, x); err != nil {
			g.o.Log.Info().Err(err).Int("rows", len(x.Drop)).Msg("old records of crashes not dropped")
			continue
		}
		g.o.Log.Info().Int("rows", len(x.Drop)).Msg("old records of crashes dropped")
	}
}

// State is one record, for the state page.
type State struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	Refused     bool   `json:"refused"`
}

// States returns the records, those of most crashes first.
func (g *Guard) States() []State {
	var l []State
	for f, n := range g.o.View.Snapshot().Crashes {
		l = append(l, State{Fingerprint: f.String(), Crashes: n, Refused: n >= crash.RefusalThreshold})
	}
	slices.SortFunc(l, func(a, b State) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return l
}
