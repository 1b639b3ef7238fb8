// Package coord is the coordinator duty: for each service whose first living witness this daemon is, it plans
// the assignments and commits them to the table.
//
// There is no election and no lease for it. Each plan is one compare-and-set on the service's document, so two
// daemons that both take themselves for the coordinator cost a conflict and never a second owner.
package coord

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
	"heatherrouter/core/place"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/lessor"
	"heatherrouter/io/member"
	"heatherrouter/io/rows"
	"heatherrouter/io/spread"
	"heatherrouter/io/table"
	"heatherrouter/io/view"
	"heatherrouter/io/wire"
)

const (
	tick         = 100 * time.Millisecond
	watchEvery   = time.Second // between two choices of the daemons to follow
	commitLimit  = 5 * time.Second
	readLimit    = 3 * time.Second
	headEvery    = 2 * time.Second // between two looks of a coordinator at the head of its document
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	maxWatched   = 24               // daemons whose silence one witness follows for one service
	missingAfter = 2 * time.Second  // without a copy of a service's document, until it is read from the table
	lostAfter    = 10 * time.Second // of no living witness, until another daemon coordinates
)

// Caller sends calls to peers.
type Caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

// Options are what a Coordinator needs.
type Options struct {
	Self    ident.Daemon
	Region  ident.Region
	Terms   lease.Terms
	Clock   *clock.Clock
	View    *view.View
	Store   *spread.Store
	Members *member.Members
	Lessor  *lessor.Lessor
	Caller  Caller
	Log     *log.Logger
}

// Coordinator plans for the services that this daemon coordinates.
type Coordinator struct {
	o Options

	mu    sync.Mutex
	parts map[ident.Service]*duty
}

// duty is what the coordinator keeps of one service.
type duty struct {
	service  ident.Service
	leads    bool
	fresh    bool // read from the table since the duty was taken up
	busy     bool // one read or commit at a time
	memory   *place.Memory
	nextTry  mono.Time
	backoff  time.Duration
	headAt   mono.Time
	missing  mono.Time // since when there has been no copy of the document
	lost     mono.Time // since when no witness seems alive
	served   bool      // this daemon's witness knows the service from a read of the table
	change   *lease.Change
	changeAt ident.Rev
}

// New starts the duty in the group.
func New(g *group.Group, o Options) *Coordinator {
	x := &Coordinator{o: o, parts: map[ident.Service]*duty{}}
	g.Go(x.loop)
	g.Go(x.pollConfig)
	return x
}

// Leads returns the services that this daemon coordinates now.
func (x *Coordinator) Leads() []ident.Service {
	x.mu.Lock()
	defer x.mu.Unlock()
	var l []ident.Service
	for s, d := range x.parts {
		if d.leads {
			l = append(l, s)
		}
	}
	return l
}

func (x *Coordinator) loop(c context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	var watched mono.Time
	for {
		n, l := x.o.View.Get(), x.o.Members.Daemons()
		for _, s := range n.Config.Services {
			if s.Region == x.o.Region {
				x.step(c, n, s, l)
			}
		}
		if now := x.o.Clock.Now(); now.Sub(watched) >= watchEvery {
			watched = now
			x.o.Members.Watch(x.watched(n, l))
		}
		select {
		case <-c.Done():
			return nil
		case <-t.C:
		}
	}
}

// pollConfig looks at the head of the configuration in the table, so that a revision whose committer died before
// it told anybody is found. All daemons together look about once a second, however many they are.
func (x *Coordinator) pollConfig(c context.Context) error {
	pause := time.Duration(0)
	for {
		y, cancel := context.WithTimeout(c, readLimit)
		err := x.o.Store.Refresh(y, ident.ConfigDoc)
		cancel()
		alive := len(x.o.Members.Random(1 << 20))
		pause = time.Duration(float64(time.Duration(1+alive)*time.Second) * (0.5 + mrand.Float64()))
		if err != nil && x.o.Store.Get(ident.ConfigDoc) == nil {
			pause = time.Second
		}
		select {
		case <-c.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

func (x *Coordinator) duty(s ident.Service) *duty {
	x.mu.Lock()
	defer x.mu.Unlock()
	d := x.parts[s]
	if d == nil {
		d = &duty{service: s, memory: place.NewMemory(), missing: mono.Never, lost: mono.Never}
		x.parts[s] = d
	}
	return d
}

// step does what is due for one service.
func (x *Coordinator) step(c context.Context, n *view.Snapshot, s *config.Service, daemons []live.Daemon) {
	d := x.duty(s.Name)
	now := x.o.Clock.Now()
	p := n.Part(s.Name)
	witness := p != nil && isWitness(p, x.o.Self)
	if witness {
		x.serve(d, n, p)
	}
	leads := x.leads(now, d, s, p, daemons)
	x.mu.Lock()
	if leads && !d.leads {
		d.fresh, d.memory = false, place.NewMemory()
		x.o.Log.Info().Str("service", string(s.Name)).Msg("coordinating")
	}
	d.leads = leads
	x.mu.Unlock()
	switch {
	case !x.free(now, d):
	case x.needsRead(now, d, p, witness):
		x.start(c, d, x.read)
	case leads:
		x.plan(c, now, d, n, s, p, daemons)
	}
}

func isWitness(p *part.Part, self ident.Daemon) bool {
	for _, l := range [][]ident.Daemon{p.Witnesses.Current, p.Witnesses.Next, p.Witnesses.Retired} {
		for _, w := range l {
			if w == self {
				return true
			}
		}
	}
	return false
}

// watched returns the daemons whose silence this one has to notice. Everybody following everybody would not fit a
// daemon's share of the network at 820 daemons.
func (x *Coordinator) watched(n *view.Snapshot, l []live.Daemon) map[ident.Daemon]bool {
	out := map[ident.Daemon]bool{}
	for _, s := range n.Config.Services {
		if s.Region == x.o.Region {
			x.watch(out, s, n.Part(s.Name), l)
		}
	}
	return out
}

// watch adds the daemons to follow for one service: for a standby the home, for a witness those with a part in the
// service, and before there are witnesses the ones that could be.
func (x *Coordinator) watch(out map[ident.Daemon]bool, s *config.Service, p *part.Part, l []live.Daemon) {
	add := func(ids ...ident.Daemon) {
		for _, d := range ids {
			if d != "" && len(out) < maxWatched {
				out[d] = true
			}
		}
	}
	if p == nil || len(p.Witnesses.Current) == 0 {
		for _, y := range l {
			add(y.Daemon)
		}
		return
	}
	for _, row := range p.Servers {
		if row.Standby == x.o.Self {
			add(row.Home)
		}
	}
	if !isWitness(p, x.o.Self) {
		return
	}
	add(p.Witnesses.Current...)
	add(p.Witnesses.Next...)
	for _, row := range p.Servers {
		add(row.Home, row.Standby)
	}
	for _, y := range l {
		if y.Region == s.Region {
			add(y.Daemon)
		}
	}
}

// serve lets this daemon's witness know the service, at first only from a read of the table: a copy from a peer may
// be older than a change of witnesses that a former life of this process has already retired for.
func (x *Coordinator) serve(d *duty, n *view.Snapshot, p *part.Part) {
	x.mu.Lock()
	served := d.served
	x.mu.Unlock()
	if served {
		x.o.Lessor.Serve(p, n.Docs[p.Service].Rows[part.WitnessesRow].Rev)
	}
}

// leads reports whether this daemon coordinates the service.
func (x *Coordinator) leads(now mono.Time, d *duty, s *config.Service, p *part.Part, l []live.Daemon) bool {
	if p == nil || len(p.Witnesses.Current) == 0 {
		r := live.Rank(now, string(s.Name), s.Region, l)
		return len(r) > 0 && r[0] == x.o.Self
	}
	first := live.Coordinator(p.Witnesses.Current, x.o.Members.Alive)
	if first != "" {
		d.lost = mono.Never
		return first == x.o.Self
	}
	// All witnesses are gone at once. Somebody else has to plan new ones; who may send still rests on leases.
	if d.lost == mono.Never {
		d.lost = now
	}
	r := live.Rank(now, string(s.Name), s.Region, l)
	return now.Sub(d.lost) >= lostAfter && len(r) > 0 && r[0] == x.o.Self
}

func (x *Coordinator) free(now mono.Time, d *duty) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !d.busy && !now.Before(d.nextTry)
}

// needsRead reports whether the document has to be read from the table before anything else.
func (x *Coordinator) needsRead(now mono.Time, d *duty, p *part.Part, witness bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p != nil {
		d.missing = mono.Never
	} else if d.missing == mono.Never {
		d.missing = now
	}
	switch {
	case d.leads && (!d.fresh || !now.Before(d.headAt)):
		return true
	case witness && !d.served:
		return true
	}
	return p == nil && now.Sub(d.missing) >= missingAfter
}

// start runs one read or commit of the duty; the next waits for its end, and longer after a failure.
func (x *Coordinator) start(c context.Context, d *duty, f func(context.Context, *duty) error) {
	x.mu.Lock()
	d.busy = true
	x.mu.Unlock()
	go func() {
		err := f(c, d)
		x.mu.Lock()
		defer x.mu.Unlock()
		d.busy = false
		if err == nil {
			d.backoff = 0
			return
		}
		d.backoff = min(max(2*d.backoff, minBackoff), maxBackoff)
		jitter := time.Duration(float64(d.backoff) * (0.5 + mrand.Float64()))
		d.nextTry = x.o.Clock.Now().Add(jitter)
		x.o.Log.Warn().Err(err).Str("service", string(d.service)).Dur("again-after", jitter).Msg("table")
	}()
}

func (x *Coordinator) read(c context.Context, d *duty) error {
	y, cancel := context.WithTimeout(c, readLimit)
	defer cancel()
	if err := x.o.Store.Refresh(y, ident.AssignmentsDoc(d.service)); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	d.fresh, d.served = true, true
	d.headAt = x.o.Clock.Now().Add(headEvery)
	d.missing = mono.Never
	return nil
}

// plan proposes the next transaction and commits it.
func (x *Coordinator) plan(c context.Context, now mono.Time, d *duty, n *view.Snapshot, s *config.Service, p *part.Part, l []live.Daemon) {
	in := x.input(now, d, n, s, p, l)
	y := place.Plan(now, in)
	if len(y.Changes) == 0 {
		return
	}
	if p == nil {
		p = part.New(s.Name)
	}
	if _, err := p.Apply(y.Changes...); err != nil {
		x.o.Log.Error().Err(err).Str("service", string(s.Name)).Msg("plan breaks a rule")
		x.mu.Lock()
		d.nextTry = now.Add(maxBackoff)
		x.mu.Unlock()
		return
	}
	x.start(c, d, func(c context.Context, d *duty) error { return x.commit(c, d, p.Rev, y) })
}

func (x *Coordinator) commit(c context.Context, d *duty, from ident.Rev, y place.Decision) error {
	z, cancel := context.WithTimeout(c, commitLimit)
	defer cancel()
	rev, err := x.o.Store.Commit(z, ident.AssignmentsDoc(d.service), from, newTxn(), rows.Encode(y.Changes))
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		// Somebody else's transaction came first: look at it and plan anew.
		return x.read(c, d)
	}
	if err != nil {
		return err
	}
	x.o.Log.Info().Str("service", string(d.service)).Uint64("rev", uint64(rev)).Int("rows", len(y.Changes)).
		Str("why", strings.Join(unique(y.Reasons), ", ")).Msg("assignments committed")
	return nil
}

func unique(l []string) []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range l {
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}

func newTxn() ident.Txn {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return ident.Txn(hex.EncodeToString(b[:]))
}
