// Package feed keeps a daemon's copy of what lasts in the store, and tells the rest of the daemon of changes.
//
// The coordinator follows the store; the others follow the coordinator, so that a site of hundreds of daemons costs the
// store few calls. A daemon that hears nothing certain for a while asks the store itself, and goes back as soon as some
// peer knows the newest again.
package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/core/source"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// Order is what an operator asks for: Configure or Evacuate.
type Order interface {
	order()
}

type (
	// Configure puts a configuration into force.
	Configure struct{ Config *site.Config }

	// Evacuate keeps new work away from the backend servers of a failure domain for as long as its row stands.
	Evacuate struct{ Domain ident.Domain }
)

func (Configure) order() {}
func (Evacuate) order()  {}

// Decoder reads rows that others than the daemons write.
type Decoder interface {
	// Order reads a row of an operator.
	Order(key string, value []byte) (Order, error)

	// Server reads the row of a backend server.
	Server(key string, value []byte, now mono.Time) (*site.Server, error)
}

// Caller sends calls to other daemons.
type Caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

// Options are what a Feed needs.
type Options struct {
	Self    ident.Daemon
	Life    ident.Incarnation
	Store   store.Store
	Decoder Decoder
	Clock   *clock.Clock
	Log     *log.Logger

	// Measures takes what was measured since it was last asked, for the coordinator.
	Measures func() ([]*wire.KeyCount, []*wire.ServerWork)

	// Measured hands on what a peer has measured.
	Measured func([]*wire.KeyCount, []*wire.ServerWork)

	// Quota exchanges quota tokens with the coordinator as part of Sync; nil disables this.
	Quota QuotaClient
}

// QuotaClient builds the quota asks sent with Sync and receives the answers.
type QuotaClient interface {
	Ask() *wire.QuotaAsk
	Answered(asked mono.Time, a *wire.QuotaAsk, r *wire.QuotaAnswer) // r is nil if there was no answer
}

// Feed is one daemon's copy.
type Feed struct {
	o     Options
	peers Caller

	mu       sync.Mutex
	tables   [store.Tables]table
	asOf     [store.Tables]mono.Time // when the copy was last the newest for certain
	read     [store.Tables]bool      // something was read
	snapshot *site.Snapshot
	holds    *hold.Holds
	held     versions[hold.Stamp] // the same, encoded for peers
	whole    [store.Tables]bool   // peers are asked for the whole table
	heard    mono.Time            // of the present coordinator, as one that reaches the store
	sources  *source.Tracker      // of the copy
	asked    [store.Tables]mono.Time
	reached  mono.Time // of the rest of the site: of the coordinator, able or not, or of a daemon of another domain

	started    mono.Time
	firstStart bool      // of the site: there was no coordinator yet when the control table was first read
	announced  store.Rev // of this life's row; 0 before it is written

	promise elect.Promise // to the coordinator
	support elect.Support // of others, while this daemon is the coordinator

	proposed []ident.Daemon // voters that the coordinator's row may name by now, in place of those of the snapshot; nil for none
	stamp    uint64         // of the coordinator's last answer that was taken for a promise
	stamped  site.Term      // whose answer that was

	promised time.Duration // with it

	refreshMu   sync.Mutex // serialises Refresh
	refreshedAt mono.Time  // when the last exchange of Refresh ended

	confirmed time.Duration // on the clock that counts suspensions: when the store was asked for what the control table has
	changed   chan struct{} // closed at the next change
}

// New returns a feed that knows nothing yet.
func New(o Options) *Feed {
	f := &Feed{
		o: o, changed: make(chan struct{}), heard: o.Clock.Now(), reached: o.Clock.Now(), started: o.Clock.Now(), promise: elect.Promise{Started: o.Clock.Boot()},
		sources: source.New(o.Self, rand.IntN),
		snapshot: (&site.Snapshot{
			Servers: map[ident.Server]*site.Server{}, Evacuated: map[ident.Domain]bool{}, Daemons: map[ident.Daemon]*site.Daemon{},
		}).Finish(),
	}
	for t := range f.tables {
		f.tables[t] = newTable()
	}
	return f
}

// Run starts the duties that keep the copy new: one that asks peers and one a table that asks the store.
func (f *Feed) Run(g *group.Group, peers Caller) {
	f.peers = peers
	g.Go(f.follow)
	for t := range store.Table(store.Tables) {
		g.Go(func(c context.Context) error { return f.ask(c, t) })
	}
}

// Snapshot returns what is known now.
func (f *Feed) Snapshot() *site.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// Holds returns who holds which keys, as far as is known; nil for nothing.
func (f *Feed) Holds() *hold.Holds {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds
}

// Changed returns a channel that is closed at the next change.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// IsCoordinator reports whether this life of the daemon is the coordinator, as far as it knows.
func (f *Feed) IsCoordinator() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads()
}

func (f *Feed) leads() bool {
	c := f.snapshot.Coordinator
	return c.Daemon == f.o.Self && c.Incarnation == f.o.Life
}

// Ages returns for how long the copy may be behind, and for how long nothing was heard of the coordinator.
func (f *Feed) Ages() (copied, coordinator time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ages()
}

// CopyAge returns for how long the copy may be behind.
func (f *Feed) CopyAge() time.Duration {
	copied, _ := f.Ages()
	return copied
}

func (f *Feed) ages() (copied, coordinator time.Duration) {
	now := f.o.Clock.Now()
	copied = now.Sub(min(f.asOf[store.Orders], f.asOf[store.Servers]))
	switch {
	case !f.leads():
		coordinator = now.Sub(f.heard)
	case copied > f.staleAfter():
		// A coordinator that the store doesn't answer is as good as silent: it can neither learn nor move anything.
		coordinator = copied
	}
	return copied, coordinator
}

// IsolatedFor returns for how long this daemon may have been cut off from the rest of its site: neither the store answered it, nor
// did it hear that the coordinator runs, nor any daemon of another failure domain. It is zero where there are no others.
func (f *Feed) IsolatedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.snapshot.Daemons) < 2 {
		return 0
	}
	copied, _ := f.ages()
	return min(copied, f.o.Clock.Now().Sub(f.reached))
}

// reach notes that a peer was heard; the caller holds the lock. Peers of the own domain count only where there is no
// other: a domain that is cut off from the rest hears itself.
func (f *Feed) reach(from ident.Daemon) {
	self, peer := f.snapshot.Daemons[f.o.Self], f.snapshot.Daemons[from]
	if self == nil || peer == nil {
		return
	}
	if peer.Domain != self.Domain || !f.domains() {
		f.reached = f.o.Clock.Now()
	}
}

// domains reports whether the site's daemons are in more than one failure domain.
func (f *Feed) domains() bool {
	var one ident.Domain
	for _, d := range f.snapshot.Daemons {
		if one != "" && d.Domain != one {
			return true
		}
		one = d.Domain
	}
	return false
}

// Known reports whether all tables have been read once.
func (f *Feed) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read[store.Orders] && f.read[store.Servers] && f.read[store.Control] && f.snapshot.Config != nil
}

// Read reports whether the control table has been read.
func (f *Feed) Read() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read[store.Control]
}

// Confirmed returns for how long the control table hasn't been the newest for certain, a suspension of the host counted.
func (f *Feed) Confirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.o.Clock.Boot() - f.confirmed
}

// Supported reports whether a quorum of the voters supports this daemon as the coordinator.
func (f *Feed) Supported() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.supported()
}

func (f *Feed) supported() bool {
	return f.support.HasQuorum(f.o.Clock.Boot(), f.o.Self, voters(f.snapshot), f.proposed)
}

// HoldsTerm reports whether this daemon is the coordinator of the term, and has the support that it needs. A term that needs
// none needs it as soon as a row is proposed that ends this: a successor may count on it already.
func (f *Feed) HoldsTerm(t site.Term) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.snapshot.Coordinator
	return c.Term == t && f.leads() && (c.WithoutQuorum && f.proposed == nil || f.supported())
}

// voters returns the daemons whose majority a coordinator needs: all where its row names none.
func voters(s *site.Snapshot) []ident.Daemon {
	if len(s.Voters) > 0 {
		return s.Voters
	}
	return slices.Collect(maps.Keys(s.Daemons))
}

// Propose takes in that a transaction is sent that replaces the voters, or with nil that it has surely failed. Until the
// row is known in a newer revision, the coordinator needs a quorum of both sets.
func (f *Feed) Propose(voters []ident.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposed = voters
}

// Proposed returns the voters that were proposed and that the row may name by now; nil for none.
func (f *Feed) Proposed() []ident.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proposed
}

// Announced takes in that this life's row was written.
func (f *Feed) Announced(r store.Rev) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = r
}

// Silent returns the daemons that haven't been heard of for so long by this one as the coordinator since it began.
func (f *Feed) Silent(began, d time.Duration) []ident.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.support.Silent(f.o.Clock.Boot(), began, d, f.o.Self, f.snapshot.Daemons)
}

// Withdraw gives the word that this daemon doesn't support coordinators up to the term any more, if it can.
func (f *Feed) Withdraw(t site.Term) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leads() {
		return false // a coordinator supports itself
	}
	return f.promise.Withdraw(f.o.Clock.Boot(), t)
}

// Confirm takes in that the store answered for the control table what was asked of it at the time.
func (f *Feed) Confirm(asked time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = max(f.confirmed, asked)
}

// Row returns a row of the control table as it is known here.
func (f *Feed) Row(key string) (store.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.tables[store.Control].rows[key]
	return r, ok
}

// ApplyWritten takes in rows that this daemon has written itself, so that it needn't wait to hear of them.
func (f *Feed) ApplyWritten(rows []store.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &f.tables[store.Control]
	// The page claims no more than is known already: what others wrote before it may not have come yet.
	f.take(store.Control, t.apply(store.Page{Rows: rows, Rev: t.rev}), origin{from: fromSelf})
}

// Publish makes known who holds which keys.
func (f *Feed) Publish(h *hold.Holds) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(encodeHolds(h))
	if err != nil {
		f.o.Log.Error().Err(err).Msg("holders of keys not encoded")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(h, b)
}

func (f *Feed) publish(h *hold.Holds, encoded []byte) {
	if f.holds != nil && !f.holds.Stamp.Before(h.Stamp) {
		return
	}
	f.holds = h
	f.held.add(h.Stamp, encoded)
	f.wake()
}

// wake tells everybody who waits for a change.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// fromStore and fromSelf name, in log lines, a source that is no peer.
const (
	fromStore = "store"
	fromSelf  = "self"
)

// applied takes in a page of a table that came from a peer or the store; asOf is when the page was the newest for certain.
func (f *Feed) applied(t store.Table, p store.Page, whole bool, asOf mono.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.o.Clock.Now().Sub(f.asOf[t])
	x := &f.tables[t]
	var news []store.Row
	if whole {
		// An older table than the copy says nothing of what couldn't be unpacked.
		f.whole[t] = f.whole[t] && p.Rev < x.rev
		news = x.replace(p)
	} else {
		news = x.apply(p)
	}
	f.asOf[t] = max(f.asOf[t], asOf)
	first := !f.read[t]
	f.read[t] = true
	if !f.take(t, news, origin{from: from, age: age}) && first {
		f.wake()
	}
	if first && t == store.Control {
		f.firstStart = f.snapshot.Coordinator.Term == 0
	}
}

// take builds the next snapshot from rows that are news; it reports whether there is one.
func (f *Feed) take(t store.Table, news []store.Row, from origin) bool {
	if len(news) == 0 {
		return false
	}
	d := newDraft(f.snapshot, f.o, from)
	for _, r := range news {
		d.take(t, r)
		if t == store.Control && r.Key == CoordinatorRow {
			f.proposed = nil // the transaction that proposed them expected the row's revision before
		}
	}
	d.logServers(f.tables[t].rev)
	was := f.snapshot.Coordinator
	f.snapshot = d.s.Finish()
	if c := f.snapshot.Coordinator; c.Term != was.Term || c.Daemon != was.Daemon || c.Incarnation != was.Incarnation {
		f.heard = f.o.Clock.Now()
		f.support.Reset()
		f.sources.NewCoordinator()
	}
	f.wake()
	return true
}
