// Package grant does the coordinator's work: it assigns the keys of services to backend servers, writes each change to the
// store, and carries it out with orders to the servers. Every daemon runs it, but only the elected coordinator acts.
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
	"heatherrouter/core/reach"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/feed"
	"heatherrouter/io/group"
	"heatherrouter/io/socket"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// OrderCodec encodes orders to backend servers and decodes their responses.
type OrderCodec interface {
	Grant(req *fasthttp.Request, g hold.Grant)
	Release(req *fasthttp.Request, r hold.Release)
	Handover(resp *fasthttp.Response) string // handover data in the response to a release

	// Health is the request for what a server says of its health, at the path of its service.
	Health(req *fasthttp.Request, path string)

	// ReadHealth returns what a server says of its health, or false if the response is of another server or can't be read.
	ReadHealth(resp *fasthttp.Response, id ident.Server) (report.Health, bool)
}

// Options configure a Granter.
type Options struct {
	Shares bool // whether requests are refused by priority while a service is short of capacity

	Self        ident.Daemon
	Incarnation ident.Incarnation
	Feed        *feed.Feed
	Store       store.Store
	OrderCodec  OrderCodec

	// OrderIDHeader is the header with the id of an order, which servers may echo; empty for none.
	OrderIDHeader string

	Timing  hold.Timing
	Clock   *clock.Clock
	Paths   Paths
	Reports Reports
	Sockets *socket.Budget // of connections to servers; nil for no limit
	Log     *log.Logger
}

// Reports is the daemon's record of what backend servers say of themselves.
type Reports interface {
	Limit(x *site.Server) float64              // requests per second; 0 if the server names none
	Placement(x *site.Server) report.Placement // whether its backoff allows to place keys on it
}

// Paths is the daemon's record of which servers it can reach.
type Paths interface {
	Answered(x *site.Server, fresh bool)
	Failed(began mono.Time, x *site.Server, f reach.Failure)
	Verify(x *site.Server)                                      // checks the server in the background
	Check(c context.Context, ids []ident.Server) []ident.Server // connects to the servers and returns those that accept
	Suspected(n ident.Service) bool                             // whether no server of the service is reachable, as far as known
}

const (
	// planInterval is the time between two checks of the load of the keys.
	planInterval = 500 * time.Millisecond

	// settleDelay is how long the servers of a service must be unchanged before its keys are first assigned, and
	// maxSettleDelay the longest wait. Keys assigned to only the first few servers would have to move again at once.
	settleDelay    = 700 * time.Millisecond
	maxSettleDelay = 3 * time.Second

	// pollInterval is the time between two checks whether this daemon should become the coordinator.
	pollInterval = 250 * time.Millisecond
)

// Granter assigns and grants keys while its daemon is the coordinator, and otherwise waits to take over.
type Granter struct {
	o                Options
	group            *group.Group
	peers            feed.Caller
	results          chan orderResult
	withdrawals      chan withdrawal
	writeResults     chan writeResult
	stepDownRequests chan chan struct{}
	loadedAt         mono.Time // when the feed had first read all tables; 0 before
	leaving          atomic.Bool

	// State of the current term, used only by the goroutine of run.
	term          site.Term
	probedAt      mono.Time // when servers were last asked for their health
	rev           store.Rev // revision of the coordinator's row
	sequence      uint64
	services      map[ident.Service]*service
	links         map[ident.Server]*link
	servers       map[ident.Server]*site.Server // last known incarnation of each server that is announced or has assignments
	plannedAt     mono.Time
	earlierOrders elect.EarlierOrders
	measurements  *measurements
	survey        *survey
	bounds        *bounds

	termStarted time.Duration // start of the term on the clock that includes suspensions
	supportedAt mono.Time     // when a quorum last supported this coordinator

	withdrawnRows          map[ident.Daemon]store.Rev // row revisions of voters that withdrew support in withdrawTerm
	withdrawTerm           site.Term                  // term of the coordinator that voters are asked to withdraw from
	withdrawalsRequestedAt mono.Time
	nextTakeOver           mono.Time // earliest time of the next attempt to become the coordinator
	votersRevisedAt        mono.Time // when a replacement of voters was last attempted

	unreached      map[ident.Server]mono.Time // servers that orders of this term don't reach, by when that was first seen
	reachChecks    chan reachCheck
	checkingReach  bool
	nextReachCheck mono.Time
	surrendered    site.Term     // term that was handed to another daemon, with an outcome that may be unknown
	endedTerm      atomic.Uint64 // highest term in which this daemon sends no more orders
}

// orderResult is the outcome of one order.
type orderResult struct {
	term     site.Term
	service  ident.Service
	order    hold.Order
	result   hold.Result
	connLost bool // the connection for grants to the server is lost
	server   ident.Server
	lostPath bool  // the order may not have reached the server because of the network
	err      error // why there is no response; nil if there is one
	status   int   // HTTP status of the response

	identified bool // the response carries the id of the order
	freshConn  bool // no other order was sent on the connection before
}

// resultBuffer is the capacity of the channels that return results to run.
const resultBuffer = 256

// New returns a Granter that does nothing until Run.
func New(o Options) *Granter {
	return &Granter{
		o: o, results: make(chan orderResult, resultBuffer), withdrawals: make(chan withdrawal, resultBuffer), writeResults: make(chan writeResult, resultBuffer),
		stepDownRequests: make(chan chan struct{}), reachChecks: make(chan reachCheck, 1), unreached: map[ident.Server]mono.Time{}, measurements: newMeasurements(), survey: newSurvey(), bounds: newBounds(0, nil, 0, nil),
	}
}

// Run starts the Granter in the group r.
func (g *Granter) Run(r *group.Group, peers feed.Caller) {
	g.group, g.peers = r, peers
	r.Go(g.run)
}

// AddMeasurements records what a daemon has measured until the given time, as it tells the coordinator.
func (g *Granter) AddMeasurements(at mono.Time, m *wire.Sync) {
	g.measurements.add(at, m.GetCounts(), m.GetWorks())
	g.survey.add(at, g.o.Feed.Snapshot(), m)
}

// serviceTime returns the time of a request at a server without interference, or 0 if the server's speed is unknown.
func (g *Granter) serviceTime(now mono.Time, x *site.Server) time.Duration {
	t := g.measurements.serviceTime(x.Service)
	if t == 0 {
		t = hold.DefaultServiceTime // before the first requests, servers differ by their slowdowns alone
	}
	return time.Duration(float64(t) * g.survey.Slowdown(now, report.TargetOf(x)))
}

// StepDown gives up the coordinator role, and returns when that is done or the context ends.
//
// While the store doesn't answer, no daemon could take over and all grants would expire, so this daemon stays the
// coordinator for as long as it may. The store is queried right before the handover: its last answer may be a second old,
// and a term that has ended can't be resumed.
func (g *Granter) StepDown(c context.Context) {
	g.leaving.Store(true)
	for g.o.Feed.IsCoordinator() && !g.storeAnswers(c) {
		if c.Err() != nil {
			return
		}
		clock.Sleep(c, pollInterval)
	}
	d := make(chan struct{})
	select {
	case g.stepDownRequests <- d:
		<-d
	case <-c.Done():
	}
}

// storeAnswers reports whether the store answers within storeTimeout.
func (g *Granter) storeAnswers(c context.Context) bool {
	x, cancel := context.WithTimeout(c, storeTimeout)
	defer cancel()
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	_, err := g.o.Store.Follow(x, store.Control, row.Rev, 0)
	return err == nil || errors.Is(err, store.ErrHistoryTruncated)
}

func (g *Granter) run(c context.Context) error {
	t := time.NewTimer(pollInterval)
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
			due = g.drainResults(x)
			next = min(next, g.o.Clock.Now().Add(hold.RenewAfter(g.o.Timing.TTL)))
		case x := <-g.withdrawals:
			g.handleWithdrawal(x)
		case x := <-g.reachChecks:
			g.handleReachCheck(c, x)
		case x := <-g.writeResults:
			g.handleWriteResult(x)
		case d := <-g.stepDownRequests:
			g.handOver(c)
			close(d)
		case <-t.C:
		}
	}
}

// drainResults handles x and all other results that are ready, and reports whether any of them needs a step before the next
// renewal. Without this, each of hundreds of renewals a second would cause a pass over all ranges.
func (g *Granter) drainResults(x orderResult) bool {
	due := g.handleResult(x)
	for {
		select {
		case x = <-g.results:
			due = g.handleResult(x) || due
		default:
			return due
		}
	}
}

// step does what is due and returns the time of the next step.
func (g *Granter) step(c context.Context) mono.Time {
	now := g.o.Clock.Now()
	if !g.o.Feed.Loaded() {
		return now.Add(pollInterval)
	}
	if g.loadedAt == 0 {
		g.loadedAt = now
	}
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	s := g.o.Feed.Snapshot()
	copyAge, contactAge := g.o.Feed.Ages()
	st := elect.State{
		Self: g.o.Self, Incarnation: g.o.Incarnation, Leaving: g.leaving.Load(), Snapshot: s, CopyAge: copyAge, SinceContact: contactAge, SinceLoaded: now.Sub(g.loadedAt),
		ServersUnreachable: g.serversUnreachable(s),
	}
	if st.IsCoordinator() && s.Coordinator.Term == g.surrendered && !g.leaving.Load() {
		// The transaction that hands the role over failed, or may still be applied. It can't be once this daemon has a new term.
		if !g.takeOver(c, row.Rev, s, elect.NextTerm(g.earlierOrdersEnded(), false)) {
			return now.Add(pollInterval)
		}
	}
	if !st.IsCoordinator() || g.leaving.Load() && g.term == 0 {
		g.endTerm()
		if !g.applyDecision(c, row, s, st.Decide()) {
			return now.Add(pollInterval)
		}
	}
	return g.coordinate(c)
}

// leads reports whether this incarnation of the daemon is the coordinator.
func (g *Granter) leads(s *site.Snapshot) bool {
	return s.Coordinator.Daemon == g.o.Self && s.Coordinator.Incarnation == g.o.Incarnation
}

// serversUnreachable reports whether this daemon can't reach the servers of a keyed service.
func (g *Granter) serversUnreachable(s *site.Snapshot) bool {
	if s.Config == nil {
		return false
	}
	for n, v := range s.Config.Services {
		if ownsKeys(v) && g.o.Paths.Suspected(n) {
			return true
		}
	}
	return false
}

// ownsKeys reports whether keys are assigned to the servers of the service. Servers whose protocol is unsupported can't be sent orders.
func ownsKeys(v *site.Service) bool { return v.Keyed && v.Unsupported == "" }

// coordinate does what is due as the coordinator and returns the time of the next step.
func (g *Granter) coordinate(c context.Context) mono.Time {
	s := g.o.Feed.Snapshot()
	if !g.leads(s) {
		return g.o.Clock.Now() // another coordinator's row has arrived since the step began
	}
	if s.Coordinator.Term != g.term {
		g.endTerm()
		g.beginTerm(s)
	}
	g.updateRev()
	now := g.o.Clock.Now()
	next := now.Add(planInterval)
	for id, x := range s.Servers {
		g.servers[id] = x
	}
	g.checkReach(s)
	due := now.Sub(g.plannedAt) >= planInterval
	if due {
		g.forgetServers(s)
	}
	if due && !g.updateMembers(c, s) {
		return now.Add(pollInterval)
	}
	next = min(next, g.probeServers(s, now))
	for n, v := range s.Config.Services {
		if !ownsKeys(v) {
			continue
		}
		x := g.services[n]
		if x == nil {
			x = g.loadService(n, now)
			if x == nil {
				continue
			}
		}
		next = min(next, g.updateService(s, x, due))
	}
	if due {
		g.plannedAt = now
		g.distributeLoads(s, now)
	}
	g.publish()
	return next
}

// distributeLoads tells the daemons the load of servers and services, and the shares of the requests to send.
func (g *Granter) distributeLoads(s *site.Snapshot, now mono.Time) {
	g.updateShares(s, now)
	if e := g.survey.update(now, s); e != nil {
		g.o.Feed.PublishLoads(e)
	}
}

// publish sends the holds of all services to all daemons if they have changed.
func (g *Granter) publish() {
	h := &hold.Holds{Services: map[ident.Service][]hold.Hold{}}
	changed := g.sequence == 0
	for n, x := range g.services {
		changed = x.updatePublished() || changed
		h.Services[n] = x.published
	}
	if !changed {
		return
	}
	g.sequence++
	h.Stamp = hold.Stamp{Term: g.term, Sequence: g.sequence}
	g.o.Feed.Publish(h)
}

// handleResult applies the result of an order, and reports whether it needs a step before the next renewal.
func (g *Granter) handleResult(x orderResult) bool {
	if x.term != g.term || g.services == nil {
		return false
	}
	s := g.services[x.service]
	if s == nil {
		return false
	}
	now := g.o.Clock.Now()
	s.table.Done(now, x.order, x.result)
	g.recordReach(now, x)
	if x.connLost {
		for _, v := range g.services {
			v.table.ConnectionLost(now, x.server)
		}
	}
	grant, ok := x.order.(hold.Grant)
	if x.result.Outcome == hold.Accepted && !x.connLost && ok {
		return !grant.Renewal
	}
	r := rangeOf(x.order)
	g.o.Log.Info().Err(x.err).Str("service", string(x.service)).Str("server", string(x.server)).Uint64("term", uint64(x.term)).
		Uint16("first", uint16(r.First)).Uint16("last", uint16(r.Last)).Int("status", x.status).Str("order", orderName(x.order)).
		Str("end", x.result.Outcome.String()).Bool("identified", x.identified).Bool("fresh-connection", x.freshConn).
		Bool("connection-lost", x.connLost).Msg("order ended")
	return true
}

func rangeOf(o hold.Order) hold.Range {
	switch x := o.(type) {
	case hold.Grant:
		return x.Range
	case hold.Release:
		return x.Range
	}
	return hold.Range{}
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
