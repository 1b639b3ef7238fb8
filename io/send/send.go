// Package send carries each caller's request to a backend server and its answer back.
//
// Every daemon sends by itself, by its own copy of the configuration, the servers and the holders of keys. What is
// certain about a request decides what may follow: one that has surely not run is sent elsewhere or refused, one that
// may have run is repeated only if it is idempotent.
package send

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/choice"
	"heatherrouter/core/crash"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/conns"
	"heatherrouter/io/limit"
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

	Organisation string // to servers: the caller's organisation; removed from what callers send

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
	Refresh(c context.Context) bool // fetches changes from the coordinator; reports whether the snapshot may have changed
	CopyAge() time.Duration         // for which the copy may be behind
}

// Counter counts final answers.
type Counter interface {
	RecordAnswer(s ident.Service, kind, outcome, reason string, took time.Duration)
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
	Limiter Limiter
	Guard   Guard
	Log     *log.Logger

	// MaxCopyAge is the maximum CopyAge at which keys are accepted. Beyond it, a key may have been revoked without this daemon
	// knowing. 0 means no limit.
	MaxCopyAge time.Duration
}

// Limiter enforces the request limits of organisations.
type Limiter interface {
	Acquire(c context.Context, o *site.Organisation) *limit.Refusal
	Return(n ident.Organisation)
}

// Sender sends requests.
type Sender struct {
	o       Options
	names   conns.Names
	started mono.Time

	mu      sync.Mutex
	backs   map[backKey]*back
	budgets map[ident.Service]*pace.Budget
	counts  map[bucket]uint32 // requests by key since the coordinator was last told
	units   map[ident.Service]*choice.Quantile
	sizes   map[string]float64        // mean bytes of a request and its answer, by route
	waits   map[string]*pace.Patience // of callers, by route
	splits  map[string]*choice.Split  // by route
	usuals  map[ident.Service]map[ident.Server]bool
	usualOf *site.Snapshot // that the usual servers were worked out from
	unknown unknownKeys    // that recently triggered a refresh
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
		base: base, giveUp: giveUp, o: o, started: o.Clock.Now(), names: conns.Names{RequestID: o.Dialect.RequestID, NotRun: o.Dialect.NotRun},
		backs: map[backKey]*back{}, budgets: map[ident.Service]*pace.Budget{}, counts: map[bucket]uint32{},
		units: map[ident.Service]*choice.Quantile{}, sizes: map[string]float64{},
		waits: map[string]*pace.Patience{}, splits: map[string]*choice.Split{},
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

	credential   credential
	organisation *site.Organisation // nil if the caller is anonymous or no organisations are configured
	token        ident.Organisation // organisation whose token the request holds; empty for none
	authEnabled  bool               // organisations are configured

	tried  []ident.Server  // sent to, whatever came of it
	failed []ident.Server  // couldn't be reached
	again  mono.Time       // not to be sent before
	maybe  bool            // some send may have run
	broke  int             // sends whose runs broke off
	probed <-chan struct{} // since the last of them, see Guard
	back   bool            // its caller was refused before, as far as can be told
	lot    int             // drawn once, below 100: whether it is among the share of a busy key's requests that is sent
	answer *fasthttp.Response

	name    crash.Fingerprint // once it was needed
	named   bool
	crashes int // known when it was last sent
}

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
	s.releaseToken(r, f)
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
	if k, err := strconv.ParseUint(string(r.req.Header.Peek(s.o.Dialect.Key)), 10, 16); err == nil {
		r.key, r.hasKey = hold.Key(k), true
	}
	r.credential = readCredential(&r.req.Header)
	if f := s.matchWithRefresh(r, snap); f != nil {
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
	s.arrive(r)
	return nil
}

// match finds the route by the configuration in force now: a request that waited is sent as the newest one says.
func (s *Sender) match(r *request, snap *site.Snapshot) *final {
	r.route = snap.Config.Route(r.host, r.path)
	if r.route == nil {
		return &final{status: fasthttp.StatusNotFound, outcome: notRun, reason: "no-route"}
	}
	if f := s.authenticate(r, snap.Config); f != nil {
		return f
	}
	n := ident.Service("")
	if r.service != nil && r.route.Sends(r.service.Name) {
		n = r.service.Name
	} else {
		n = s.part(r, snap)
	}
	r.service = snap.Config.Services[n]
	return nil
}

// part returns which part of the route the request goes to. Each try of it goes to the same one: a part that is short of
// room turns its own requests away without spilling them on the others.
func (s *Sender) part(r *request, snap *site.Snapshot) ident.Service {
	if len(r.route.Parts) == 1 {
		return r.route.Parts[0].Service
	}
	l := make([]choice.Part, len(r.route.Parts))
	for i, p := range r.route.Parts {
		l[i] = choice.Part{Service: p.Service, Weight: p.Weight, Near: s.nearby(r, snap, snap.Config.Services[p.Service])}
	}
	daemons := len(s.daemonNames(snap))
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.splits[r.route.Name]
	if x == nil {
		x = &choice.Split{}
		s.splits[r.route.Name] = x
	}
	return x.Pick(l, daemons)
}

// nearby reports whether the server of the service that the request would go to is in the own failure domain: the holder
// of its key, or any.
func (s *Sender) nearby(r *request, snap *site.Snapshot, v *site.Service) bool {
	if v.Keyed {
		x := snap.Servers[s.o.View.Holds().Find(v.Name, r.key).Server]
		return r.hasKey && x != nil && x.Domain == s.o.Domain
	}
	return slices.ContainsFunc(snap.Service(v.Name), func(x *site.Server) bool {
		return x.Domain == s.o.Domain && snap.Takes(x)
	})
}

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
		if f := s.match(r, snap); f != nil {
			return *f
		}
		if s.deadly(r) {
			return s.refuse(r, reasonDeadly)
		}
		if f := s.acquireToken(r); f != nil {
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
