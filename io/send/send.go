// Package send carries each caller's request to a backend server and its answer back.
//
// Every daemon sends by itself, by its own copy of the configuration, the servers and the holders of keys. What is
// certain about a request decides what may follow: one that has surely not run is sent elsewhere or refused, one that
// may have run is repeated only if it is idempotent.
package send

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/choice"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/conns"
)

// Dialect is how callers and backend servers name what they tell about a request.
type Dialect struct {
	RequestID  string // of one attempt of a caller, echoed by the server
	Deadline   string // milliseconds that are left
	Key        string // a whole number below hold.Keys
	Expect     string // the id of the server that alone may run the request
	NotRun     string // in answers: the server did not run the request
	Signature  string // in answers: the server's own mark, without which a success isn't one
	Load       string // in answers: see ParseLoad
	RetryAfter string // in refusals: seconds, with fractions

	// ParseLoad reads a server's report of its load.
	ParseLoad func(value []byte) (Report, bool)
}

// Report is what a server says of its load.
type Report struct {
	Running, Waiting int
	Pace             float64 // how long work takes at this moment; 1 is as usual
}

// View is what the daemon knows.
type View interface {
	Snapshot() *site.Snapshot
	Holds() *hold.Holds
	Changed() <-chan struct{}
}

// Counter counts final answers.
type Counter interface {
	Answered(s ident.Service, kind, outcome, reason string, took time.Duration)
}

// Options are what a Sender needs.
type Options struct {
	Self    ident.Daemon
	Domain  ident.Domain
	View    View
	Dialect Dialect
	Cold    pace.ColdLimit // Rate comes with the service
	Budget  pace.BudgetLimit
	Clock   *clock.Clock
	Counter Counter
	Log     *log.Logger
}

// Sender sends requests.
type Sender struct {
	o     Options
	names conns.Names

	mu      sync.Mutex
	backs   map[backKey]*back
	budgets map[ident.Service]*pace.Budget
	counts  map[bucket]uint32 // requests by key since the coordinator was last told
	units   map[ident.Service]*choice.Quantile
	sizes   map[string]float64        // mean bytes of a request and its answer, by route
	waits   map[string]*pace.Patience // of callers, by route
	usuals  map[ident.Service]map[ident.Server]bool
	usualOf *site.Snapshot // that the usual servers were worked out from
	daemons []ident.Daemon // of the snapshot that they were listed from
	listed  *site.Snapshot

	waiting atomic.Int64

	base   context.Context // ends when requests are given up for the daemon's end
	giveUp context.CancelFunc
}

// New returns a sender without connections.
func New(o Options) *Sender {
	base, giveUp := context.WithCancel(context.Background())
	return &Sender{
		base: base, giveUp: giveUp, o: o, names: conns.Names{RequestID: o.Dialect.RequestID, NotRun: o.Dialect.NotRun},
		backs: map[backKey]*back{}, budgets: map[ident.Service]*pace.Budget{}, counts: map[bucket]uint32{},
		units: map[ident.Service]*choice.Quantile{}, sizes: map[string]float64{}, waits: map[string]*pace.Patience{},
	}
}

// GiveUp ends all requests with a final answer, as the process is about to end: cut off without one, their callers would
// learn of it only by the closed connection.
func (s *Sender) GiveUp() {
	s.giveUp()
}

// request is one attempt of a caller on its way.
type request struct {
	id       ident.Request
	req      *fasthttp.Request
	host     string
	path     string
	key      hold.Key
	hasKey   bool
	arrived  mono.Time
	deadline mono.Time
	caller   context.Context // ends when the caller has left
	ctx      context.Context // ends the sends

	route   *site.Route
	service *site.Service
	tried   []ident.Server // sent to, whatever came of it
	failed  []ident.Server // couldn't be reached
	again   mono.Time      // not to be sent before
	maybe   bool           // some send may have run
	back    bool           // its caller was refused before, as far as can be told
	lot     int            // drawn once, below 100: whether it is among the share of a busy key's requests that is sent
	answer  *fasthttp.Response
}

// final is how a request ends.
type final struct {
	status     int
	outcome    outcome
	reason     string
	retryAfter time.Duration
	answer     *fasthttp.Response // of the server, or nil
}

// outcome is what is certain about a request; kebab case, for metrics and logs.
type outcome string

const (
	answered outcome = "answered"
	notRun   outcome = "not-run"
	unknown  outcome = "unknown"
	left     outcome = "caller-left"
)

// Handle answers one request.
func (s *Sender) Handle(c context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	r := &request{
		id: ident.Request(req.Header.Peek(s.o.Dialect.RequestID)), req: req, host: string(req.Header.Host()),
		path: pathOf(req.Header.RequestURI()), arrived: s.o.Clock.Now(), caller: c, lot: rand.IntN(100),
	}
	var end context.CancelFunc
	r.ctx, end = context.WithCancel(c)
	stop := context.AfterFunc(s.base, end)
	f := s.run(r)
	stop()
	end()
	s.respond(r, f, resp)
	s.account(r, f)
}

// pathOf cuts off the query.
func pathOf(uri []byte) string {
	for i, b := range uri {
		if b == '?' {
			return string(uri[:i])
		}
	}
	return string(uri)
}

// Waiting returns how many requests wait for something to change.
func (s *Sender) Waiting() int {
	return int(s.waiting.Load())
}

// begin finds the route; a non-nil final ends the request.
func (s *Sender) begin(r *request) *final {
	snap := s.o.View.Snapshot()
	if snap.Config == nil {
		return &final{status: fasthttp.StatusServiceUnavailable, outcome: notRun, reason: "no-configuration", retryAfter: retryStarting}
	}
	if f := r.match(snap); f != nil {
		return f
	}
	if r.id == "" {
		return &final{status: fasthttp.StatusBadRequest, outcome: notRun, reason: "no-request-id"}
	}
	limit := r.route.Timeout
	if ms, err := strconv.ParseFloat(string(r.req.Header.Peek(s.o.Dialect.Deadline)), 64); err == nil && ms >= 0 {
		left := time.Duration(ms * float64(time.Millisecond))
		limit = min(limit, left)
		r.back = s.cameBack(r.route, left)
	}
	r.deadline = r.arrived.Add(limit)
	if !r.route.Idempotent {
		// A request that must not run twice is seen through: cancelled halfway, nobody would know whether it ran.
		r.ctx = s.base
	}
	if k, err := strconv.ParseUint(string(r.req.Header.Peek(s.o.Dialect.Key)), 10, 16); err == nil {
		r.key, r.hasKey = hold.Key(k), true
	}
	s.arrive(r)
	return nil
}

// match finds the route by the configuration in force now: a request that waited is sent as the newest one says.
func (r *request) match(snap *site.Snapshot) *final {
	r.route = snap.Config.Route(r.host, r.path)
	if r.route == nil {
		return &final{status: fasthttp.StatusNotFound, outcome: notRun, reason: "no-route"}
	}
	r.service = snap.Config.Services[r.route.Pick(r.id)]
	return nil
}

const (
	// retryStarting is for callers of a daemon that has just started; it knows its site in well under a second.
	retryStarting = 200 * time.Millisecond

	// retryNoServer is for callers of a service without any server to send to.
	retryNoServer = 300 * time.Millisecond

	// retryLost is for callers whose keys wait for the grants of a lost server to lapse, which takes up to 4 s from its loss.
	retryLost = time.Second

	// retryFull is for callers whose request found no room: queues of servers are shorter than this.
	retryFull = 150 * time.Millisecond

	// retryFailing is for callers whose request met a server that turns away some of its requests whatever its load: later
	// it would do no better, and the sooner it comes back the more time is left.
	retryFailing = 30 * time.Millisecond
)

// run sends the request as often as it takes and may be.
func (s *Sender) run(r *request) final {
	if f := s.begin(r); f != nil {
		return *f
	}
	for {
		now := s.o.Clock.Now()
		if r.caller.Err() != nil {
			return final{outcome: left, reason: "caller-left"} // whatever it is, it isn't sent any more
		}
		if s.base.Err() != nil {
			return s.refuse(r, reasonStopping)
		}
		if !now.Before(r.deadline) {
			return s.expired(r)
		}
		snap := s.o.View.Snapshot()
		if f := r.match(snap); f != nil {
			return *f
		}
		b, why := s.choose(r, snap, now)
		if b == nil {
			if s.wait(r, why, now) {
				continue
			}
			return s.refuse(r, why)
		}
		if s.crowded(r, b, now) {
			return s.refuse(r, reasonFull)
		}
		if f := s.attempt(r, b); f != nil {
			return *f
		}
	}
}

// expired ends a request whose time is over.
func (s *Sender) expired(r *request) final {
	if r.answer != nil {
		return final{status: r.answer.StatusCode(), outcome: answered, reason: "failed", answer: r.answer}
	}
	if r.maybe {
		return final{status: fasthttp.StatusGatewayTimeout, outcome: unknown, reason: "timeout"}
	}
	return final{status: fasthttp.StatusServiceUnavailable, outcome: notRun, reason: "timeout", retryAfter: retryFull}
}

// refuse ends a request that can't be served now.
func (s *Sender) refuse(r *request, why reason) final {
	if r.answer != nil {
		return final{status: r.answer.StatusCode(), outcome: answered, reason: "failed", answer: r.answer}
	}
	if r.maybe {
		return final{status: fasthttp.StatusBadGateway, outcome: unknown, reason: string(why)}
	}
	after := retryNoServer
	switch why {
	case reasonFull, reasonCold, reasonBusy:
		after = retryFull
	case reasonLost:
		after = retryLost
	case reasonBudget:
		after = retryFailing
	}
	return final{status: fasthttp.StatusServiceUnavailable, outcome: notRun, reason: string(why), retryAfter: after}
}

// respond writes the final answer.
func (s *Sender) respond(r *request, f final, resp *fasthttp.Response) {
	resp.Header.SetNoDefaultContentType(true)
	if f.answer != nil {
		copyAnswer(f.answer, resp)
		fasthttp.ReleaseResponse(f.answer)
		return
	}
	if f.status == 0 {
		resp.SetStatusCode(fasthttp.StatusBadGateway) // nobody reads it
		return
	}
	resp.SetStatusCode(f.status)
	resp.Header.Set(s.o.Dialect.RequestID, string(r.id))
	if f.retryAfter > 0 && f.status == fasthttp.StatusServiceUnavailable {
		resp.Header.Set(s.o.Dialect.RetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	resp.Header.SetContentType("text/plain; charset=utf-8")
	resp.SetBodyString(f.reason + "\n")
}

// copyAnswer moves a server's answer over, without the headers that concern its connection.
func copyAnswer(from, to *fasthttp.Response) {
	from.Header.CopyTo(&to.Header)
	to.Header.SetNoDefaultContentType(true)
	to.Header.ResetConnectionClose()
	for _, h := range hopHeaders {
		to.Header.Del(h)
	}
	to.SkipBody = from.SkipBody
	body := from.SwapBody(nil)
	to.SwapBody(body)
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderTE, "Proxy-Connection",
}

// account counts and logs how the request ended.
func (s *Sender) account(r *request, f final) {
	took := s.o.Clock.Now().Sub(r.arrived)
	service, route := "", ""
	if r.route != nil {
		route = r.route.Name
	}
	if r.service != nil {
		service = string(r.service.Name)
	}
	s.o.Counter.Answered(ident.Service(service), route, string(f.outcome), f.reason, took)
	if f.outcome == answered && f.reason == "" {
		return
	}
	e := s.o.Log.Info().Str("request-id", string(r.id)).Str("route", route).Str("service", service).
		Int("status", f.status).Str("outcome", string(f.outcome)).Str("reason", f.reason).Dur("took", took).
		Int("sends", len(r.tried))
	if r.hasKey {
		e.Uint16("key", uint16(r.key))
	}
	if n := len(r.tried); n > 0 {
		e.Str("last-server", string(r.tried[n-1]))
	}
	e.Msg("request ended")
}
