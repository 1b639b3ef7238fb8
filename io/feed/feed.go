// Package feed maintains a daemon's copy of the store's tables and notifies the rest of the daemon of changes.
//
// The coordinator follows the store; the other daemons follow the coordinator, so that a site of hundreds of daemons makes
// few calls to the store. A daemon whose copy can't be confirmed as current for a while reads the store itself. It returns
// to its peers as soon as one of them has a current copy.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/core/source"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// Order is a request of an operator: Configure or Evacuate.
type Order interface {
	order()
}

type (
	// Configure puts a configuration into force.
	Configure struct{ Config *site.Config }

	// Evacuate keeps new work away from the backend servers of a failure domain for as long as its row exists.
	Evacuate struct{ Domain ident.Domain }
)

func (Configure) order() {}
func (Evacuate) order()  {}

// InvalidConfigError is the error of a configuration row that can't be decoded.
type InvalidConfigError struct{ Cause error }

func (e *InvalidConfigError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidConfigError) Unwrap() error { return e.Cause }

// Decoder decodes the rows that are written by operators and backend servers.
type Decoder interface {
	// Order decodes a row that an operator wrote. The error is an InvalidConfigError if the row holds a configuration.
	Order(key string, value []byte) (Order, error)

	// Server decodes the row of a backend server.
	Server(key string, value []byte, now mono.Time) (*site.Server, error)
}

// Caller sends calls to other daemons.
type Caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

// Options configures a Feed.
type Options struct {
	Self        ident.Daemon
	Incarnation ident.Incarnation
	Store       store.Store
	Decoder     Decoder
	Clock       *clock.Clock
	Log         *log.Logger

	// TakeMeasurements adds, for the coordinator, the measurements since its previous call.
	TakeMeasurements func(x *wire.Sync)

	// OnMeasurements receives a peer's message with its measurements, and when it was sent.
	OnMeasurements func(sentAt mono.Time, x *wire.Sync)

	// Tokens exchanges tokens with the coordinator as part of Sync; nil disables this.
	Tokens TokenClient
}

// TokenClient adds requests for tokens to the calls to the coordinator and receives the answers.
type TokenClient interface {
	Ask(x *wire.Sync)
	// Answered gets the answer r, which was sent at sentAt, to the request x of the time asked. r is nil if there was no answer.
	Answered(asked, sentAt mono.Time, from ident.Daemon, x *wire.Sync, r *wire.SyncReply)
}

// Feed is one daemon's copy of the store's tables.
type Feed struct {
	o     Options
	peers Caller

	mu              sync.Mutex
	tables          [store.Tables]table
	asOf            [store.Tables]mono.Time // when the copy was last confirmed as current
	loaded          [store.Tables]bool      // the table was read at least once
	snapshot        *site.Snapshot
	holds           *hold.Holds
	encodedHolds    versions[hold.Stamp] // holds, encoded for peers
	loads           loadView
	needsFull       [store.Tables]bool      // the next request to a peer asks for the full table
	coordinatorSeen mono.Time               // when the coordinator was last known to run and to reach the store
	sources         *source.Tracker         // selects the peers to synchronise with
	requested       [store.Tables]mono.Time // when the store was last called

	// siteSeen is the last contact with the rest of the site: with the coordinator, with or without the store, or with a daemon
	// of another domain.
	siteSeen mono.Time

	started      mono.Time
	firstStart   bool      // the site had no coordinator when the control table was first read
	roleRev      store.Rev // revision of the coordinator's row that this daemon has written last
	announcedRev store.Rev // revision of the row of this incarnation; 0 before it is written

	promise elect.Promise // support promised to the coordinator
	support elect.Support // support promised by other daemons while this one is the coordinator

	// proposedVoters are the voters of a transaction whose outcome is not known yet: they may have replaced those of the
	// snapshot. Nil for none.
	proposedVoters []ident.Daemon

	// While this daemon is the coordinator: when each daemon last sent a request in its term, and the daemons without a promise that
	// have been answered at once in the term.
	syncedAt map[ident.Daemon]mono.Time
	greeted  map[ident.Daemon]bool

	promiseStamp uint64    // stamp of the last coordinator answer that renewed the promise
	promiseTerm  site.Term // term of the coordinator that sent promiseStamp

	promiseDuration time.Duration // duration of the promise made with promiseStamp

	refreshMu   sync.Mutex // serialises Refresh
	refreshedAt mono.Time  // when the last exchange made by Refresh ended

	// controlConfirmed is the time of the store request that last confirmed the control table, on the clock that counts
	// suspensions.
	controlConfirmed time.Duration

	// leaving are the servers that said that they are leaving, whatever their rows say.
	leaving map[ident.Server]report.Target

	announcements announcements

	// needsAnnouncements is set while this copy may lack newest announcements that peers know: the store has only the rows.
	needsAnnouncements bool

	changed chan struct{} // closed at the next change
}

// New returns a Feed with an empty copy.
func New(o Options) *Feed {
	f := &Feed{
		o: o, changed: make(chan struct{}), coordinatorSeen: o.Clock.Now(), siteSeen: o.Clock.Now(), started: o.Clock.Now(), promise: elect.Promise{StartedAt: o.Clock.SinceBoot()},
		sources: source.New(o.Self, rand.IntN), leaving: map[ident.Server]report.Target{},
		announcements: newAnnouncements(),
		snapshot: (&site.Snapshot{
			Servers: map[ident.Server]*site.Server{}, Evacuated: map[ident.Domain]bool{}, Daemons: map[ident.Daemon]*site.Daemon{},
		}).BuildIndex(),
	}
	for t := range f.tables {
		f.tables[t] = newTable()
	}
	return f
}

// Run starts the goroutines that keep the copy current: one that polls peers, and one for each table that reads the store.
func (f *Feed) Run(g *group.Group, peers Caller) {
	f.peers = peers
	g.Go(f.followPeers)
	for t := range store.Table(store.Tables) {
		g.Go(func(c context.Context) error { return f.followStore(c, t) })
	}
}

// Snapshot returns the current state of the copy.
func (f *Feed) Snapshot() *site.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// Holds returns the latest known holders of keys; nil when none are known.
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

// IsCoordinator reports whether this incarnation of the daemon is the coordinator according to its copy.
func (f *Feed) IsCoordinator() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads()
}

func (f *Feed) leads() bool {
	c := f.snapshot.Coordinator
	return c.Daemon == f.o.Self && c.Incarnation == f.o.Incarnation
}

// Ages returns for how long the copy may be out of date, and for how long the coordinator was not known to run.
func (f *Feed) Ages() (copied, coordinator time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ages()
}

// CopyAge returns for how long the copy may be out of date.
func (f *Feed) CopyAge() time.Duration {
	copied, _ := f.Ages()
	return copied
}

func (f *Feed) ages() (copied, coordinator time.Duration) {
	now := f.o.Clock.Now()
	copied = now.Sub(min(f.asOf[store.Orders], f.asOf[store.Servers]))
	switch {
	case !f.leads():
		coordinator = now.Sub(f.coordinatorSeen)
	case copied > f.staleAfter():
		// A coordinator without the store is treated as unreachable: it can neither read changes nor move keys.
		coordinator = copied
	}
	return copied, coordinator
}

// IsolatedFor returns for how long this daemon may have been isolated from the rest of its site. During that time it had no answer
// from the store, no sign that the coordinator runs, and no contact with a daemon of another failure domain. It is zero in a
// site of one daemon.
func (f *Feed) IsolatedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.snapshot.Daemons) < 2 {
		return 0
	}
	copied, _ := f.ages()
	return min(copied, f.o.Clock.Now().Sub(f.siteSeen))
}

// noteContact records that a peer sent a message at the given time. The caller must hold f.mu. Peers of the same domain count only in a site of one
// domain, because the daemons of an isolated domain still reach each other.
func (f *Feed) noteContact(sentAt mono.Time, from ident.Daemon) {
	self, peer := f.snapshot.Daemons[f.o.Self], f.snapshot.Daemons[from]
	if self == nil || peer == nil {
		return
	}
	if peer.Domain != self.Domain || !f.multipleDomains() {
		f.siteSeen = max(f.siteSeen, sentAt)
	}
}

// multipleDomains reports whether the site's daemons are in more than one failure domain.
func (f *Feed) multipleDomains() bool {
	var first ident.Domain
	for _, d := range f.snapshot.Daemons {
		if first != "" && d.Domain != first {
			return true
		}
		first = d.Domain
	}
	return false
}

// Loaded reports whether all tables have been read once and a configuration is in force.
func (f *Feed) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded[store.Orders] && f.loaded[store.Servers] && f.loaded[store.Control] && f.snapshot.Config != nil
}

// ControlLoaded reports whether the control table has been read.
func (f *Feed) ControlLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded[store.Control]
}

// ControlAge returns the time since the control table was last confirmed as current, including suspensions of the host.
func (f *Feed) ControlAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.o.Clock.SinceBoot() - f.controlConfirmed
}

// SetAnnounced records the revision at which the row of this incarnation was written.
func (f *Feed) SetAnnounced(r store.Rev) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcedRev = r
}

// Silent returns the daemons from which this coordinator has received nothing for the duration d, counted from began at the
// earliest.
func (f *Feed) Silent(began, d time.Duration) []ident.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.support.Unresponsive(f.o.Clock.SinceBoot(), began, d, f.o.Self, f.snapshot.Daemons)
}

// Withdraw ends this daemon's support for coordinators up to the term. It reports false when support can't be withdrawn.
func (f *Feed) Withdraw(t site.Term) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leads() {
		return false // a coordinator supports itself
	}
	return f.promise.Withdraw(f.o.Clock.SinceBoot(), t)
}

// ConfirmControl records that the store answered a request for the control table that was made at the time asked.
func (f *Feed) ConfirmControl(asked time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controlConfirmed = max(f.controlConfirmed, asked)
}

// Row returns a row of this copy of the control table.
func (f *Feed) Row(key string) (store.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.tables[store.Control].rows[key]
	return r, ok
}

// ApplyWritten applies rows that this daemon has written itself, without waiting for them to come back from the store.
func (f *Feed) ApplyWritten(rows []store.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &f.tables[store.Control]
	for _, r := range rows {
		if r.Key == CoordinatorRow {
			f.roleRev = r.Rev
		}
	}
	// The page keeps the revision of the copy: earlier writes of other daemons may not have arrived yet.
	f.updateSnapshot(store.Control, t.apply(store.Page{Rows: rows, Rev: t.rev}), rowSource{name: fromSelf})
}

// Publish makes the holders of keys available to this daemon and its peers. It ignores holds that are not newer.
func (f *Feed) Publish(h *hold.Holds) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(encodeHolds(h))
	if err != nil {
		f.o.Log.Error().Err(err).Msg("failed to encode holders of keys")
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
	f.encodedHolds.add(h.Stamp, encoded)
	f.notifyChanged()
}

// NotifyChanged notifies all that wait for a change that something has changed which the daemon knows besides its copy.
func (f *Feed) NotifyChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notifyChanged()
}

// notifyChanged notifies all that wait for a change. The caller must hold f.mu.
func (f *Feed) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Names of row sources other than peers, for log lines.
const (
	fromStore = "store"
	fromSelf  = "self"
)

// applyPage applies a page of a table that came from a peer or the store; asOf is when the page was confirmed as current.
func (f *Feed) applyPage(t store.Table, p store.Page, full bool, asOf mono.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.o.Clock.Now().Sub(f.asOf[t])
	x := &f.tables[t]
	var changes []store.Row
	if full {
		// A full table that is older than the copy doesn't replace the rows that couldn't be unpacked.
		f.needsFull[t] = f.needsFull[t] && p.Rev < x.rev
		changes = x.replace(p)
		f.needsAnnouncements = f.needsAnnouncements || t == store.Servers && from == fromStore
	} else {
		changes = x.apply(p)
	}
	f.asOf[t] = max(f.asOf[t], asOf)
	first := !f.loaded[t]
	f.loaded[t] = true
	if !f.updateSnapshot(t, changes, rowSource{name: from, age: age}) && first {
		f.notifyChanged()
	}
	if t == store.Servers {
		f.useOlderRows()
	}
	if first && t == store.Control {
		f.firstStart = f.snapshot.Coordinator.Term == 0
	}
}

// updateSnapshot builds the next snapshot from changed rows. It reports whether there were any. The caller must hold f.mu.
func (f *Feed) updateSnapshot(t store.Table, changes []store.Row, from rowSource) bool {
	if len(changes) == 0 {
		return false
	}
	d := f.newBuilder(from)
	for _, r := range changes {
		d.applyRow(t, r)
		if t == store.Control && r.Key == CoordinatorRow {
			// The proposing transaction was conditional on the previous revision of the row, so its outcome is known now.
			f.proposedVoters = nil
		}
	}
	f.markLeaving(d.s)
	d.logServers(f.tables[t].rev)
	was := f.snapshot.Coordinator
	f.snapshot = d.s.BuildIndex()
	if c := f.snapshot.Coordinator; c.Term != was.Term || c.Daemon != was.Daemon || c.Incarnation != was.Incarnation {
		f.coordinatorSeen = f.o.Clock.Now()
		f.support.Reset()
		f.syncedAt, f.greeted = map[ident.Daemon]mono.Time{}, map[ident.Daemon]bool{}
		f.sources.CoordinatorChanged()
	}
	f.notifyChanged()
	return true
}
