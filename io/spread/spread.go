// Package spread keeps this daemon's copies of all documents and spreads new revisions to the others.
//
// A new revision goes out as a notice to a few random daemons, which pull what they lack and pass the notice on;
// probes between random daemons compare digests and mend whatever a notice missed. So a committed revision
// reaches everybody without the table, and a daemon that starts during an outage gets all from its peers.
package spread

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/table"
	"heatherrouter/io/wire"
)

const (
	fanOut    = 3 // daemons that are told of a new revision
	callLimit = time.Second

	// holders is how many other daemons hold what an operator has committed before the operator is told.
	holders      = 2
	confirmLimit = 500 * time.Millisecond

	// A daemon's budget at the table. All daemons that come back at once must stay under what the table
	// carries: 820 daemons at these rates ask for 1,640 reads and, only if all commit all the time, 820 writes
	// a second; what is over the budget waits here instead of failing there.
	readsPerSecond  = 2
	writesPerSecond = 1

	// Bursts: a daemon that starts reads a few documents at once, a coordinator writes for several services.
	readBurst  = 4
	writeBurst = 10
)

// Table is the platform's table service.
type Table interface {
	Load(c context.Context, d ident.Doc) (*docs.Doc, error)
	Head(c context.Context, d ident.Doc) (ident.Rev, error)
	Commit(c context.Context, d ident.Doc, from ident.Rev, t ident.Txn, l []docs.Change) (ident.Rev, error)
}

// Caller sends calls to peers.
type Caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

// Peers chooses whom to tell.
type Peers interface {
	Random(n int) []ident.Daemon
}

// Store holds the copies.
type Store struct {
	platform Table
	caller   Caller
	peers    func() Peers
	log      *log.Logger
	reads    *rate.Limiter
	writes   *rate.Limiter

	tableBad atomic.Bool // the last call of the table failed

	copies  atomic.Pointer[map[ident.Doc]*docs.Doc]
	mu      sync.Mutex // held while copies is replaced
	changed []func(*docs.Doc)
}

// New returns a store without copies. The peers are asked for late, since they in turn need the store.
func New(t Table, c Caller, p func() Peers, l *log.Logger) *Store {
	s := &Store{
		platform: t, caller: c, peers: p, log: l,
		reads:  rate.NewLimiter(readsPerSecond, readBurst),
		writes: rate.NewLimiter(writesPerSecond, writeBurst),
	}
	s.copies.Store(&map[ident.Doc]*docs.Doc{})
	return s
}

// OnChange calls f with each document that is replaced, in order of its revisions. It must be called before Run.
func (s *Store) OnChange(f func(*docs.Doc)) {
	s.changed = append(s.changed, f)
}

// Get returns the copy of a document, or nil when there is none.
func (s *Store) Get(d ident.Doc) *docs.Doc {
	return (*s.copies.Load())[d]
}

// Names returns the documents that the daemon holds, sorted.
func (s *Store) Names() []ident.Doc {
	return slices.Sorted(maps.Keys(*s.copies.Load()))
}

// Digest returns a hash over all names and revisions.
func (s *Store) Digest() uint64 {
	m := *s.copies.Load()
	h := xxhash.New()
	for _, n := range slices.Sorted(maps.Keys(m)) {
		_, _ = h.WriteString(string(n))
		_ = binary.Write(h, binary.BigEndian, uint64(m[n].Rev)) // a hash takes every write
	}
	return h.Sum64()
}

// Revs returns the name and revision of all copies.
func (s *Store) Revs() []*wire.DocRev {
	var l []*wire.DocRev
	for n, d := range *s.copies.Load() {
		l = append(l, &wire.DocRev{Doc: string(n), Rev: uint64(d.Rev)})
	}
	slices.SortFunc(l, func(a, b *wire.DocRev) int { return cmp.Compare(a.GetDoc(), b.GetDoc()) })
	return l
}

// Commit writes one transaction to the table, takes it into the copy and spreads it.
func (s *Store) Commit(c context.Context, d ident.Doc, from ident.Rev, t ident.Txn, l []docs.Change) (ident.Rev, error) {
	if err := s.writes.Wait(c); err != nil {
		return 0, trace.Wrap(err)
	}
	rev, err := s.platform.Commit(c, d, from, t, l)
	s.noteTable(err)
	if err != nil {
		return 0, err
	}
	x := docs.Delta{Name: d, From: from, Rev: rev, Rows: map[ident.Row]docs.Row{}}
	for _, r := range l {
		x.Rows[r.Row] = docs.Row{Rev: rev, Body: r.Body}
	}
	s.Apply(x)
	return rev, nil
}

// noteTable logs when the table goes and comes back; a conflict is an answer too.
func (s *Store) noteTable(err error) {
	var conflict *table.ConflictError
	bad := err != nil && !errors.As(err, &conflict)
	if s.tableBad.Swap(bad) == bad {
		return
	}
	if bad {
		s.log.Warn().Err(err).Msg("table can't be used; serving goes on with what was accepted")
		return
	}
	s.log.Info().Msg("table can be used again")
}

// TableOK reports whether the last call of the table was answered.
func (s *Store) TableOK() bool {
	return !s.tableBad.Load()
}

// Refresh reads a document from the table when the table has a newer revision.
func (s *Store) Refresh(c context.Context, d ident.Doc) error {
	if err := s.reads.Wait(c); err != nil {
		return trace.Wrap(err)
	}
	rev, err := s.platform.Head(c, d)
	s.noteTable(err)
	if err != nil {
		return err
	}
	if have := s.Get(d); have != nil && have.Rev >= rev {
		return nil
	}
	x, err := s.platform.Load(c, d)
	if err != nil {
		return err
	}
	s.Apply(x.Since(0))
	return nil
}

// Apply takes a delta into the copy and, when it is news, tells others.
func (s *Store) Apply(x docs.Delta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.copies.Load()
	have := old[x.Name]
	if have == nil {
		have = docs.New(x.Name)
	}
	d, ok := have.Apply(x)
	if !ok {
		return false
	}
	m := maps.Clone(old)
	m[x.Name] = d
	s.copies.Store(&m)
	for _, f := range s.changed {
		f(d)
	}
	go s.tell(x.Name, d.Rev)
	return true
}

// tell notifies a few random daemons; whom it misses the probes will find.
func (s *Store) tell(d ident.Doc, r ident.Rev) {
	m := &wire.DocNotice{Revs: []*wire.DocRev{{Doc: string(d), Rev: uint64(r)}}}
	for _, p := range s.peers().Random(fanOut) {
		go func() { _ = s.notify(p, m) }()
	}
}

// notify tells a peer of revisions and reports whether it holds them now.
func (s *Store) notify(p ident.Daemon, n *wire.DocNotice) bool {
	c, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	r, err := s.caller.Call(c, p, &wire.Call{Body: &wire.Call_Notice{Notice: n}})
	if err != nil {
		s.log.Debug().Err(err).Str("peer", string(p)).Msg("notice not delivered, a probe will mend it")
	}
	return err == nil && r.GetAck() != nil
}

// Confirm waits until a few other daemons hold the revision, or a little while.
//
// An operator who has been told of a revision may count on it. Were this daemon lost right after its answer, while the
// table is out, nobody else would know the revision until the table is back.
func (s *Store) Confirm(d ident.Doc, r ident.Rev) {
	m := &wire.DocNotice{Revs: []*wire.DocRev{{Doc: string(d), Rev: uint64(r)}}}
	l := s.peers().Random(2 * fanOut)
	told := make(chan bool, len(l))
	for _, p := range l {
		go func() { told <- s.notify(p, m) }()
	}
	limit := time.After(confirmLimit)
	have := 0
	for range l {
		select {
		case ok := <-told:
			if ok {
				have++
			}
		case <-limit:
			return
		}
		if have == holders {
			return
		}
	}
}

// Reconcile brings this daemon's copies and a peer's to the same revisions.
func (s *Store) Reconcile(c context.Context, from ident.Daemon, revs []*wire.DocRev) {
	theirs := map[ident.Doc]ident.Rev{}
	for _, r := range revs {
		theirs[ident.Doc(r.GetDoc())] = ident.Rev(r.GetRev())
	}
	s.pullNewer(c, from, theirs)
	n := &wire.DocNotice{}
	for name, d := range *s.copies.Load() {
		if d.Rev > theirs[name] {
			n.Revs = append(n.Revs, &wire.DocRev{Doc: string(name), Rev: uint64(d.Rev)})
		}
	}
	if len(n.GetRevs()) > 0 {
		_ = s.notify(from, n)
	}
}

// Noticed takes in a peer's notice: what is newer there is pulled. It reports whether all of it is here now.
func (s *Store) Noticed(c context.Context, from ident.Daemon, n *wire.DocNotice) bool {
	theirs := map[ident.Doc]ident.Rev{}
	for _, r := range n.GetRevs() {
		theirs[ident.Doc(r.GetDoc())] = ident.Rev(r.GetRev())
	}
	x, cancel := context.WithTimeout(c, callLimit)
	defer cancel()
	s.pullNewer(x, from, theirs)
	for name, rev := range theirs {
		if d := s.Get(name); d == nil || d.Rev < rev {
			return false
		}
	}
	return true
}

func (s *Store) pullNewer(c context.Context, from ident.Daemon, theirs map[ident.Doc]ident.Rev) {
	for name, rev := range theirs {
		have := ident.Rev(0)
		if d := s.Get(name); d != nil {
			have = d.Rev
		}
		if rev <= have {
			continue
		}
		if err := s.pull(c, from, name, have); err != nil {
			s.log.Debug().Err(err).Str("peer", string(from)).Str("doc", string(name)).Msg("document not pulled")
		}
	}
}

func (s *Store) pull(c context.Context, from ident.Daemon, d ident.Doc, have ident.Rev) error {
	x, cancel := context.WithTimeout(c, callLimit)
	defer cancel()
	r, err := s.caller.Call(x, from, &wire.Call{Body: &wire.Call_Pull{Pull: &wire.DocPull{
		Doc: string(d), FromRev: uint64(have),
	}}})
	if err != nil {
		return err
	}
	if r.GetDelta() == nil {
		return errors.New("peer has no such document")
	}
	s.Apply(decodeDelta(r.GetDelta(), have))
	return nil
}

// Pulled answers a peer's pull, or nil when there is nothing newer.
func (s *Store) Pulled(p *wire.DocPull) *wire.DocDelta {
	d := s.Get(ident.Doc(p.GetDoc()))
	if d == nil {
		return nil
	}
	return encodeDelta(d.Since(ident.Rev(p.GetFromRev())))
}

func encodeDelta(x docs.Delta) *wire.DocDelta {
	w := &wire.DocDelta{Doc: string(x.Name), Rev: uint64(x.Rev)}
	for k, r := range x.Rows {
		w.Rows = append(w.Rows, &wire.DocRow{Row: string(k), Rev: uint64(r.Rev), Body: r.Body})
	}
	return w
}

func decodeDelta(w *wire.DocDelta, from ident.Rev) docs.Delta {
	x := docs.Delta{Name: ident.Doc(w.GetDoc()), From: from, Rev: ident.Rev(w.GetRev()), Rows: map[ident.Row]docs.Row{}}
	for _, r := range w.GetRows() {
		x.Rows[ident.Row(r.GetRow())] = docs.Row{Rev: ident.Rev(r.GetRev()), Body: r.GetBody()}
	}
	return x
}
