// Package grant is the coordinator's duty: it assigns the keys of services to backend servers, writes each change to the
// store, and carries it out by orders to the servers. One daemon does it at a time; all run the duty and wait.
package grant

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/feed"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// Speaker writes orders as the servers read them.
type Speaker interface {
	Grant(req *fasthttp.Request, g hold.Grant)
	Release(req *fasthttp.Request, r hold.Release)
	Handover(resp *fasthttp.Response) string // of an answered release

	// Foreign reports whether an answer to a release is of a server that holds no keys at all: the one that it was sent to
	// has ended, and another service has its address.
	Foreign(resp *fasthttp.Response) bool
}

// Options are what a Granter needs.
type Options struct {
	Self    ident.Daemon
	Life    ident.Incarnation
	Feed    *feed.Feed
	Store   store.Store
	Speaker Speaker
	Terms   hold.Terms
	Clock   *clock.Clock
	Log     *log.Logger
}

const (
	// right is how long a coordinator may send orders after the store last said that it is the coordinator, however many
	// daemons support it. It bounds how long grants outlast an outage of the store, and how long a successor waits for a
	// server that it can't reach when too many daemons are lost to give their word.
	right = 30 * time.Second

	// planEvery is how often the load of the keys is looked at.
	planEvery = 500 * time.Millisecond

	// settle is how long the servers of a service must not have changed before its keys are first dealt out, and
	// settleMost the most that is waited: dealt out to the first few, the keys would move again at once.
	settle     = 700 * time.Millisecond
	settleMost = 3 * time.Second

	lookEvery = 250 * time.Millisecond // whether it is this daemon's turn
)

// Granter is the duty of one daemon.
type Granter struct {
	o           Options
	group       *group.Group
	peers       feed.Caller
	results     chan done
	withdrawals chan withdrawal
	written     chan written
	leave       chan chan struct{}
	known       mono.Time // when the feed was first whole
	leaving     atomic.Bool

	// Of the present term; only the duty's goroutine uses them.
	term         site.Term
	rev          store.Rev // of the coordinator's row
	sequence     uint64
	services     map[ident.Service]*service
	links        map[ident.Server]*link
	lives        map[ident.Server]*site.Server // the last known life of each server
	planned      mono.Time
	orderedUntil mono.Time // when earlier coordinators have surely sent their last orders
	rates        *rates

	began     time.Duration // on the clock that counts suspensions
	supported mono.Time     // when a quorum last supported this one

	given   map[ident.Daemon]store.Rev // rows of the voters that withdrew their support of the coordinator of the term
	against site.Term
	asked   mono.Time
	nextTry mono.Time // to become the coordinator
	revised mono.Time // when voters were last looked at
}

// done is the end of an order.
type done struct {
	term    site.Term
	service ident.Service
	order   hold.Order
	result  hold.Result
	lost    bool // the connection for renewals to the server is gone
	server  ident.Server
	err     error // why there is no answer
	status  int   // of the answer
}

// doneRing is how many ends of orders may wait for the duty.
const doneRing = 256

// New returns a granter; Run starts it.
func New(o Options) *Granter {
	return &Granter{
		o: o, results: make(chan done, doneRing), withdrawals: make(chan withdrawal, doneRing), written: make(chan written, doneRing),
		leave: make(chan chan struct{}), rates: newRates(),
	}
}

// Run starts the duty.
func (g *Granter) Run(r *group.Group, peers feed.Caller) {
	g.group, g.peers = r, peers
	r.Go(g.run)
}

// Measured takes in what a daemon has measured.
func (g *Granter) Measured(l []*wire.KeyCount, w []*wire.ServerWork) {
	g.rates.add(g.o.Clock.Now(), l, w)
}

// Leave hands the duty over, and returns when that is done or the context ends.
//
// While the store doesn't answer nobody could take over, and all grants would lapse: then the daemon goes on as the
// coordinator for as long as it may. The store is asked right before: its last word may be a second old, and once the term
// has ended it can't be taken up again.
func (g *Granter) Leave(c context.Context) {
	g.leaving.Store(true)
	for g.o.Feed.IsCoordinator() && !g.storeAnswers(c) {
		if c.Err() != nil {
			return
		}
		clock.Sleep(c, lookEvery)
	}
	d := make(chan struct{})
	select {
	case g.leave <- d:
		<-d
	case <-c.Done():
	}
}

// storeAnswers reports whether the store answers within a usual time.
func (g *Granter) storeAnswers(c context.Context) bool {
	x, cancel := context.WithTimeout(c, storeLimit)
	defer cancel()
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	_, err := g.o.Store.Follow(x, store.Control, row.Rev, 0)
	return err == nil || errors.Is(err, store.ErrHistoryGone)
}

func (g *Granter) run(c context.Context) error {
	t := time.NewTimer(lookEvery)
	defer t.Stop()
	var next mono.Time
	for due := true; ; {
		changed := g.o.Feed.Changed()
		if due {
			next = g.step(c)
		}
		t.Reset(max(time.Millisecond, next.Sub(g.o.Clock.Now())))
		due = true
		select {
		case <-c.Done():
			return nil
		case <-changed:
		case x := <-g.results:
			due = g.takeAll(x)
			next = min(next, g.o.Clock.Now().Add(hold.RenewAfter(g.o.Terms.Hold)))
		case x := <-g.withdrawals:
			g.takeWithdrawal(x)
		case x := <-g.written:
			g.takeWritten(x)
		case d := <-g.leave:
			g.handOver(c)
			close(d)
		case <-t.C:
		}
	}
}

// takeAll takes in all ends of orders that are there; it reports whether any of them asks for more than the next renewal.
// Hundreds of renewals a second would else each cost a look at all ranges.
func (g *Granter) takeAll(x done) bool {
	due := g.take(x)
	for {
		select {
		case x = <-g.results:
			due = g.take(x) || due
		default:
			return due
		}
	}
}

// step does what is due and returns when to look again.
func (g *Granter) step(c context.Context) mono.Time {
	now := g.o.Clock.Now()
	if !g.o.Feed.Known() {
		return now.Add(lookEvery)
	}
	if g.known == 0 {
		g.known = now
	}
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	s := g.o.Feed.Snapshot()
	copied, heard := g.o.Feed.Ages()
	st := elect.State{
		Self: g.o.Self, Life: g.o.Life, Leaving: g.leaving.Load(), Snapshot: s, Copied: copied, Heard: heard, Known: now.Sub(g.known),
	}
	if !st.Leads() || g.leaving.Load() && g.term == 0 {
		g.stop()
		if !g.takeTurn(c, row, s, st.Decide()) {
			return now.Add(lookEvery)
		}
	}
	return g.lead(c)
}

// lead does what is due as the coordinator.
func (g *Granter) lead(c context.Context) mono.Time {
	s := g.o.Feed.Snapshot()
	if s.Coordinator.Term != g.term {
		g.stop()
		g.begin(s)
	}
	g.followRow()
	now := g.o.Clock.Now()
	next := now.Add(planEvery)
	for id, x := range s.Servers {
		g.lives[id] = x
	}
	due := now.Sub(g.planned) >= planEvery
	if due && !g.members(c, s) {
		return now.Add(lookEvery)
	}
	for n, v := range s.Config.Services {
		if !v.Keyed {
			continue
		}
		x := g.services[n]
		if x == nil {
			x = g.open(n, now)
			if x == nil {
				continue
			}
		}
		next = min(next, g.keep(s, x, due))
	}
	if due {
		g.planned = now
	}
	g.publish()
	return next
}

// publish tells all daemons who holds which keys, if that has changed.
func (g *Granter) publish() {
	h := &hold.Holds{Services: map[ident.Service][]hold.Hold{}}
	changed := g.sequence == 0
	for n, x := range g.services {
		changed = x.admitted() || changed
		h.Services[n] = x.published
	}
	if !changed {
		return
	}
	g.sequence++
	h.Stamp = hold.Stamp{Term: g.term, Sequence: g.sequence}
	g.o.Feed.Publish(h)
}

// take takes in the end of an order; it reports whether there is anything to do beyond the next renewal.
func (g *Granter) take(x done) bool {
	if x.term != g.term || g.services == nil {
		return false
	}
	s := g.services[x.service]
	if s == nil {
		return false
	}
	now := g.o.Clock.Now()
	s.table.Done(now, x.order, x.result)
	if x.lost {
		for _, v := range g.services {
			v.table.Lost(now, x.server)
		}
	}
	if x.result.Outcome != hold.Accepted || x.lost {
		g.o.Log.Info().Err(x.err).Str("service", string(x.service)).Str("server", string(x.server)).
			Int("status", x.status).Str("order", orderName(x.order)).Str("end", x.result.Outcome.String()).Bool("connection-lost", x.lost).Msg("order ended")
		return true
	}
	grant, ok := x.order.(hold.Grant)
	return !ok || !grant.Renewal
}

func orderName(o hold.Order) string {
	switch o.(type) {
	case hold.Grant:
		return "grant"
	case hold.Release:
		return "release"
	}
	return "unknown"
}
