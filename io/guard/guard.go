// Package guard detects requests that crash backend servers. It probes servers after interrupted runs, shares the crashes that
// it detects with all daemons as rows of the store, and reports how many consecutive crashes a request has caused.
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

// View provides the daemon's view of its site.
type View interface {
	Snapshot() *site.Snapshot
	IsCoordinator() bool              // whether this daemon is the coordinator
	Row(key string) (store.Row, bool) // row as last read; false if it doesn't exist
	ApplyWritten(rows []store.Row)    // applies rows that this daemon has written to the store
}

// Counter counts crashes of backend servers.
type Counter interface {
	RecordCrash(s ident.Service)
}

// Options configures a Guard.
type Options struct {
	View    View
	Store   store.Store
	Clock   *clock.Clock
	Counter Counter
	Log     *log.Logger
	Dial    func(c context.Context, a netip.AddrPort) error // connects to a server to detect whether it is running

	// Observe has this and other daemons connect to a server that has refused a connection, and to others of its service. It
	// returns what they saw and the number of the other servers.
	Observe func(c context.Context, x *site.Server) ([]crash.Observation, int)
}

const (
	// probeDelay is the time from an interrupted run to the probe of its server. The operating system closes the sockets of
	// a crashed process one by one, and its listener may be the last.
	probeDelay = 30 * time.Millisecond

	// probeTimeout bounds the time to connect to a server. A server that doesn't answer is not considered crashed.
	probeTimeout = time.Second

	// maxProbes is the number of servers that are probed concurrently. As many more may be queued.
	maxProbes = 8

	// writeInterval is the pause between two transactions, and writeJitter the maximum random addition to it for each daemon
	// of the site. Many daemons observe the same crash at once and would otherwise write their records simultaneously.
	writeInterval = 250 * time.Millisecond
	writeJitter   = 3 * time.Millisecond

	// maxTxnRows bounds the rows in one transaction.
	maxTxnRows = 50

	// expiryInterval is the interval at which the coordinator deletes expired records.
	expiryInterval = time.Second
)

// Guard detects requests that crash backend servers, for one daemon. It is safe for concurrent use.
type Guard struct {
	o           Options
	toProbe     chan *site.Server
	writeNeeded chan struct{} // signals that a change may have to be written

	mu      sync.Mutex
	tracker *crash.Tracker
	probes  map[crash.ServerIncarnation]chan struct{} // closed once it is known whether the server has crashed
}

// New returns a Guard. Run starts its background work.
func New(o Options) *Guard {
	return &Guard{o: o, toProbe: make(chan *site.Server, maxProbes), writeNeeded: make(chan struct{}, 1), tracker: crash.NewTracker(), probes: map[crash.ServerIncarnation]chan struct{}{}}
}

// Run starts probing servers, writing crash records and deleting expired ones.
func (g *Guard) Run(r *group.Group) {
	for range maxProbes {
		r.Go(g.probe)
	}
	r.Go(g.writeChanges)
	r.Go(g.expireRecords)
}

// Dial connects to a server and closes the connection. It returns an error if the server doesn't accept the connection.
func Dial(c context.Context, a netip.AddrPort) error {
	var d net.Dialer
	x, err := d.DialContext(c, "tcp", a.String())
	if err != nil {
		return err
	}
	return x.Close()
}

// HasSuspects reports whether any request is suspected of crashing servers. Only then do requests need a fingerprint.
func (g *Guard) HasSuspects() bool {
	if len(g.o.View.Snapshot().Crashes) > 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.tracker.Empty()
}

// Crashes returns the number of consecutive server crashes for the request.
func (g *Guard) Crashes(f crash.Fingerprint) int {
	r := g.o.View.Snapshot().Crashes
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Crashes(r, f)
}

// Answered records that a server completed the request.
func (g *Guard) Answered(f crash.Fingerprint) {
	r := g.o.View.Snapshot().Crashes
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tracker.Answered(g.o.Clock.Now(), r, f) {
		g.notifyWriter()
	}
}

// notifyWriter makes writeChanges check for changes to write. It never blocks.
func (g *Guard) notifyWriter() {
	select {
	case g.writeNeeded <- struct{}{}:
	default:
	}
}

// Interrupted records that a run on the server was interrupted. The channel is closed once it is known whether the server has
// crashed. If the server isn't probed, the channel is already closed.
func (g *Guard) Interrupted(x *site.Server, r crash.Run) <-chan struct{} {
	if s := g.o.View.Snapshot().Servers[x.ID]; s == nil || s.Draining {
		return closedChannel // the server is shutting down or was removed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := incarnationOf(x)
	if !g.tracker.Interrupted(g.o.Clock.Now(), l, r) {
		return cmp.Or(g.probes[l], closedChannel)
	}
	select {
	case g.toProbe <- x:
		g.probes[l] = make(chan struct{})
		return g.probes[l]
	default:
		g.tracker.ServerAlive(l) // the queue of probes is full
		return closedChannel
	}
}

// closedChannel is returned for servers that aren't probed.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// incarnationOf returns the hash of a server's ID and start time.
func incarnationOf(x *site.Server) crash.ServerIncarnation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(x.ID) + " " + strconv.FormatInt(x.Born, 10))) // never fails
	return crash.ServerIncarnation(h.Sum64())
}

// probe connects to servers with interrupted runs to detect whether they have crashed.
func (g *Guard) probe(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return nil
		case x := <-g.toProbe:
			clock.Sleep(c, probeDelay)
			y, cancel := context.WithTimeout(c, probeTimeout)
			err := g.o.Dial(y, x.Addr)
			cancel()
			g.applyProbe(x, errors.Is(err, syscall.ECONNREFUSED) && g.hasCrashed(c, x))
		}
	}
}

// hasCrashed reports whether a server that refused a connection has crashed.
func (g *Guard) hasCrashed(c context.Context, x *site.Server) bool {
	l, others := g.o.Observe(c, x)
	if crash.HasCrashed(l, others) {
		return true
	}
	reached, reachedOthers := 0, 0
	for _, o := range l {
		if o.Reached {
			reached++
		}
		if o.ReachedOthers {
			reachedOthers++
		}
	}
	g.o.Log.Info().Str("server", string(x.ID)).Int64("born", x.Born).Int("observers", len(l)).Int("reached", reached).
		Int("reached-others", reachedOthers).Int("others", others).Msg("server refused a connection and hasn't crashed")
	return false
}

// applyProbe records whether a server has crashed.
func (g *Guard) applyProbe(x *site.Server, crashed bool) {
	r := g.o.View.Snapshot().Crashes
	g.mu.Lock()
	defer g.mu.Unlock()
	l := incarnationOf(x)
	if c := g.probes[l]; c != nil {
		defer close(c)
		delete(g.probes, l)
	}
	if !crashed {
		g.tracker.ServerAlive(l)
		return
	}
	suspects := g.tracker.ServerCrashed(g.o.Clock.Now(), r, l)
	if len(suspects) == 0 {
		return
	}
	names := make([]string, 0, len(suspects))
	for _, f := range suspects {
		names = append(names, f.String())
	}
	g.o.Counter.RecordCrash(x.Service)
	g.o.Log.Warn().Str("server", string(x.ID)).Str("service", string(x.Service)).Int64("born", x.Born).
		Strs("fingerprints", names).Msg("server crashed under requests")
	g.notifyWriter()
}

// writeChanges writes the crashes and answers that this daemon has observed, and retries until the records include them.
func (g *Guard) writeChanges(c context.Context) error {
	for c.Err() == nil {
		l := g.changes()
		if len(l) == 0 {
			select {
			case <-c.Done():
			case <-g.writeNeeded:
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
		clock.Sleep(c, writeInterval+rand.N(writeJitter*time.Duration(max(1, len(g.o.View.Snapshot().Daemons)))))
	}
	return nil
}

func (g *Guard) changes() []crash.Change {
	r := g.o.View.Snapshot().Crashes
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Changes(g.o.Clock.Now(), r, maxTxnRows)
}

// writeEach writes each change in a separate transaction. Otherwise a row that other daemons keep changing would make every
// transaction conflict and block the other rows.
func (g *Guard) writeEach(c context.Context, l []crash.Change) error {
	var failed error
	for _, x := range l {
		if err := g.write(c, []crash.Change{x}); err != nil {
			failed = err
		}
	}
	return failed
}

// write writes the changes in one transaction that expects the rows in the revisions of this daemon's copy. If its outcome is
// unknown, the next copy of the rows shows whether it was committed.
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

// commit commits a transaction and applies its rows to the view.
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
	g.o.View.ApplyWritten(rows)
	return nil
}

// expireRecords deletes expired records while this daemon is the coordinator.
func (g *Guard) expireRecords(c context.Context) error {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	expiry := crash.NewExpiry()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
		}
		expired := expiry.Expired(g.o.Clock.Now(), g.o.View.Snapshot().Crashes)
		if !g.o.View.IsCoordinator() || len(expired) == 0 {
			continue
		}
		var x store.Txn
		for _, f := range expired[:min(len(expired), maxTxnRows)] {
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

// State is one crash record, for the state page.
type State struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"` // number of consecutive server crashes
	Refused     bool   `json:"refused"` // whether the request is no longer sent to servers
}

// States returns the records, sorted by decreasing number of crashes.
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
