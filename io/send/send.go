// Package send forwards callers' requests to backend servers and returns the responses.
//
// Every daemon chooses servers independently, by its own copy of the configuration, the servers and the owners of keys. A
// request that is guaranteed not to have run may be sent to another server or refused. One that may have run is retried only
// if it is idempotent.
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

	"heatherrouter/core/check"
	"heatherrouter/core/choice"
	"heatherrouter/core/crash"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/reach"
	"heatherrouter/core/report"
	"heatherrouter/core/shares"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/conns"
	"heatherrouter/io/limit"
	"heatherrouter/io/memory"
	"heatherrouter/io/socket"
)

// Dialect contains the names of the headers that callers, daemons and backend servers exchange.
type Dialect struct {
	RequestID      string // id of one attempt of a caller, echoed by the server
	Deadline       string // remaining time in milliseconds
	Key            string // integer below hold.Keys
	ExpectedServer string // id of the only server that may run the request
	NotRun         string // in responses: the server did not run the request
	Signature      string // in responses: the server's signature, without which a success is not accepted
	RetryAfter     string // in refusals: delay in seconds, with fractions

	Organisation string // to servers: the caller's organisation; removed from what callers send

	// ReadReport returns what a response says of the server that sent it, and a finding for each value that isn't taken as it is.
	ReadReport func(resp *fasthttp.Response) (report.Report, check.Findings)
}

// View is the daemon's local copy of the configuration, the servers and the owners of keys.
type View interface {
	Snapshot() *site.Snapshot
	Holds() *hold.Holds

	// Loads returns the coordinator's view of the load of services and servers, and its age; nil if there is none.
	Loads() (*loads.View, time.Duration)

	Changed() <-chan struct{}
	Refresh(c context.Context) bool // fetches changes from the coordinator; reports whether the snapshot may have changed
	CopyAge() time.Duration         // upper bound on how long the copy has been outdated
}

// Counter counts final responses and requests handed to peers.
type Counter interface {
	RecordRelay(s ident.Service, outcome, reason string)
	RecordDelegated(s ident.Service, outcome, reason string)
	RecordRetry(s ident.Service, cause string, allowed bool)
	RecordAnswer(s ident.Service, route, outcome, reason string, took time.Duration)

	// RecordShortage counts a request that was refused for lack of capacity.
	RecordShortage(s ident.Service, route string, priority int, reason string)
}

// Options configure a Sender.
type Options struct {
	Self       ident.Daemon
	Domain     ident.Domain
	View       View
	Dialect    Dialect
	ColdLimit  pace.ColdLimit // Rate is set from the service
	RetryLimit pace.RetryLimit
	Clock      *clock.Clock
	Counter    Counter
	Sockets    *socket.Budget // of connections to servers; nil for no limit
	Limiter    Limiter
	Reports    Reports
	Guard      Guard
	Paths      Paths
	Health     HealthCodec
	Relays     *reach.Relays
	Relay      Relay
	Log        *log.Logger

	// Shares is whether requests are refused by priority while a service is short of capacity.
	Shares bool

	// MaxCopyAge is the maximum CopyAge at which keys are accepted. Beyond it, a key may have been revoked without this daemon
	// knowing. 0 means no limit.
	MaxCopyAge time.Duration
}

// Limiter enforces the request limits of organisations.
type Limiter interface {
	Acquire(c context.Context, o *site.Organisation) *limit.Refusal
	Return(n ident.Organisation)
}

// Reports is the daemon's record of what backend servers say of themselves. It enforces the request limits that they name.
type Reports interface {
	// Observe records what a response of the server says, to a request sent at the given time or later.
	Observe(x *site.Server, sentAt mono.Time, r report.Report)

	// Access says whether requests may be sent to the server, as far as its backoff is concerned.
	Access(x *site.Server) report.Access

	// TakeAccess reports whether a request may be sent now. It is called right before the request is sent.
	TakeAccess(x *site.Server) bool

	// BackoffTime returns until when nothing is sent to the server because it requested backoff, and since when; 0 if it may be used now.
	BackoffTime(x *site.Server) (until, since mono.Time)

	// ObserveCold records that the server said in a health check for how long it stays cold.
	ObserveCold(x *site.Server, d time.Duration)

	// ColdUntil returns until when the server is cold, as it said in a health check of any daemon; 0 if it didn't.
	ColdUntil(x *site.Server) mono.Time

	// Limit returns the limit that the server names, in requests per second; 0 if it names none.
	Limit(x *site.Server) float64

	// Acquire takes a token for a request to the server, for which it waits until the time given. It returns false for ok if
	// the limit allows no request now, and false for token if the server names no limit.
	Acquire(c context.Context, x *site.Server, until mono.Time) (token, ok bool)

	// Return puts back the token of a request that was not sent.
	Return(x *site.Server)

	// Exhausted reports whether the limit is known to allow no request now.
	Exhausted(x *site.Server) bool

	// Sent records that a request was sent to the server.
	Sent(x *site.Server)
}

// Paths is the daemon's record of which servers it can reach.
type Paths interface {
	State(x *site.Server) (reach.State, reach.Failure)
	Answered(x *site.Server, fresh bool)
	Failed(began mono.Time, x *site.Server, f reach.Failure)
	Verify(x *site.Server) // checks the server in the background
	Suspected(n ident.Service) bool
	SilentSince() mono.Time // when a server was last found to be silent
}

// Sender forwards requests to backend servers. It is safe for concurrent use.
type Sender struct {
	o     Options
	names conns.Names

	mu            sync.Mutex
	backends      map[backendKey]*backend
	fleet         *pace.Fleet
	retries       *pace.Retries
	budgetsLogged map[ident.Service]mono.Time
	counts        map[keyBucket]uint32   // requests by keys since the last report to the coordinator
	demands       map[demandClass]uint32 // callers' requests since then
	serviceTimes  map[ident.Service]*choice.Quantile
	meanSizes     map[string]float64                   // moving average of the bytes of a request and its response, by route
	callerRetries map[string]*pace.CallerRetryDetector // by route
	splitters     map[string]*choice.Splitter          // by route
	subsets       map[ident.Service]map[ident.Server]bool
	subsetsOf     *site.Snapshot // snapshot that subsets was computed from
	relays        *reach.Relays
	delegates     *reach.Delegates
	unknownKeys   unknownKeys    // unknown keys that recently triggered a refresh
	daemons       []ident.Daemon // sorted names
	daemonsOf     *site.Snapshot // snapshot that daemons was listed from

	shortages    shares.Shortages
	healthChecks chan *backend // servers to ask for their health

	waiting atomic.Int64

	base  context.Context // cancelled when the daemon aborts its requests before it exits
	abort context.CancelFunc
	stop  stop
}

// New returns a Sender without connections.
func New(o Options) *Sender {
	base, abort := context.WithCancel(context.Background())
	fleet := pace.NewFleet(o.Self, o.Clock.Now())
	return &Sender{
		base: base, abort: abort, o: o, fleet: fleet, retries: pace.NewRetries(o.RetryLimit, fleet), names: conns.Names{RequestID: o.Dialect.RequestID, NotRun: o.Dialect.NotRun},
		backends: map[backendKey]*backend{}, budgetsLogged: map[ident.Service]mono.Time{}, counts: map[keyBucket]uint32{}, demands: map[demandClass]uint32{},
		serviceTimes: map[ident.Service]*choice.Quantile{}, meanSizes: map[string]float64{},
		callerRetries: map[string]*pace.CallerRetryDetector{}, splitters: map[string]*choice.Splitter{}, relays: o.Relays, delegates: reach.NewDelegates(o.Self),
		healthChecks: make(chan *backend, maxHealthChecks), stop: stop{times: map[string]*choice.Longest{}},
	}
}

// request is the state of one attempt of a caller.
type request struct {
	id       ident.Request
	req      *fasthttp.Request
	host     string
	path     string
	key      hold.Key
	hasKey   bool
	keys     hold.Range // of the key's owner, as last chosen; empty for a service without keys
	arrived  mono.Time
	deadline mono.Time
	caller   context.Context // cancelled when the caller disconnects
	ctx      context.Context // cancels the exchanges with servers

	route   *site.Route
	service *site.Service

	credential   credential
	organisation *site.Organisation // nil if the caller is anonymous or no organisations are configured
	token        ident.Organisation // organisation whose token the request holds; empty for none
	authEnabled  bool               // organisations are configured

	relayed       bool           // a peer has handed the request to this daemon
	counted       bool           // the request counts for the retry budget of this daemon or of another one
	undelegated   bool           // the request is sent by this daemon itself, as its delegate has not served it
	relayDeadline mono.Time      // the peer's deadline
	sendEnd       time.Duration  // until when a relayed request may be sent, as the time since the start of the host
	relayedTo     []ident.Daemon // peers that the request was handed to
	target        ident.Server   // server that alone can run the request and that can't be reached

	tokenUntil   mono.Time          // time until which the request waits for tokens of servers; 0 before the first
	limited      []ident.Server     // servers whose limits allowed no request
	serverToken  *site.Server       // server whose limit the request holds a token of; nil for none
	backoffUntil mono.Time          // when the first of the servers that requested backoff may be used again; 0 if none did
	sentTo       []ident.Server     // servers that the request was sent to, whatever the result
	unreachable  []ident.Server     // servers that could not be reached
	retryCause   pace.RetryCause    // how the last attempt ended
	reservedFor  []ident.Service    // services whose budgets hold a retry for the attempt on its way
	notBefore    mono.Time          // time before which the request is not sent again
	mayHaveRun   bool               // some attempt may have run
	interrupted  int                // number of interrupted runs
	crashKnown   <-chan struct{}    // closed once it is known whether the last of them crashed its server; see Guard
	callerRetry  bool               // the request is likely a caller's retry after a refusal
	draw         float64            // random number from 0 to 1, drawn once; the request is sent if it is below the share of such requests
	share        float64            // share by which the request was last decided; 0 for all
	response     *fasthttp.Response // last 5xx response of a server, used if no later attempt succeeds; nil for none
	reserved     int                // bytes that memory holds for it
	memory       *memory.Reservation

	cachedFingerprint crash.Fingerprint // set if hasFingerprint
	hasFingerprint    bool
	knownCrashes      int // crashes known when the request was last sent
}

// Handle forwards one request and writes the final response, whose body is added to the bytes that m holds. The context is cancelled when
// the caller disconnects.
func (s *Sender) Handle(c context.Context, req *fasthttp.Request, resp *fasthttp.Response, m *memory.Reservation) {
	r := s.newRequest(c, req)
	r.memory = m
	f := s.runToEnd(r)
	s.respond(r, f, resp)
	s.recordOutcome(r, f)
}

func (s *Sender) newRequest(c context.Context, req *fasthttp.Request) *request {
	return &request{
		id: ident.Request(req.Header.Peek(s.o.Dialect.RequestID)), req: req, host: string(req.Header.Host()),
		path: pathOf(req.Header.RequestURI()), arrived: s.o.Clock.Now(), caller: c, draw: rand.Float64(),
	}
}

// runToEnd runs the request and releases what it holds.
func (s *Sender) runToEnd(r *request) result {
	var end context.CancelFunc
	r.ctx, end = context.WithCancel(r.caller)
	defer end()
	defer context.AfterFunc(s.base, end)()
	f := s.run(r)
	if !r.relayed {
		s.countForBudget(r)
	}
	s.releaseToken(r, f)
	return f
}

// pathOf returns the path of a URI without its query.
func pathOf(uri []byte) string {
	for i, b := range uri {
		if b == '?' {
			return string(uri[:i])
		}
	}
	return string(uri)
}

// Waiting returns how many requests wait for an available server.
func (s *Sender) Waiting() int {
	return int(s.waiting.Load())
}

// begin matches the request to a route and sets its deadline; a non-nil result ends the request.
func (s *Sender) begin(r *request) *result {
	snap := s.o.View.Snapshot()
	if snap.Config == nil {
		return &result{status: fasthttp.StatusServiceUnavailable, outcome: outcomeNotRun, reason: "no-configuration", retryAfter: retryStarting}
	}
	if k, err := strconv.ParseUint(string(r.req.Header.Peek(s.o.Dialect.Key)), 10, 16); err == nil {
		r.key, r.hasKey = hold.Key(k), true
	}
	r.credential = readCredential(&r.req.Header)
	if f := s.matchWithRefresh(r, snap); f != nil {
		return f
	}
	if r.id == "" {
		return &result{status: fasthttp.StatusBadRequest, outcome: outcomeNotRun, reason: "no-request-id"}
	}
	limit := r.route.Timeout
	if ms, err := strconv.ParseFloat(string(r.req.Header.Peek(s.o.Dialect.Deadline)), 64); err == nil && ms >= 0 {
		remaining := time.Duration(ms * float64(time.Millisecond))
		limit = min(limit, remaining)
		if !r.relayed {
			r.callerRetry = s.isCallerRetry(r.route, remaining)
		}
	}
	r.memory.SetPriority(r.route.Priority)
	r.deadline = r.arrived.Add(limit)
	if r.relayed {
		r.deadline = min(r.deadline, r.relayDeadline)
	}
	if !r.route.Idempotent {
		// A request that must not run twice continues without its caller: if cancelled, it would be unknown whether it ran.
		r.ctx = s.base
	}
	if !r.relayed {
		s.recordArrival(r)
	}
	return nil
}

// match finds the route and service by the current configuration, and is repeated after each wait so that the latest applies.
func (s *Sender) match(r *request, snap *site.Snapshot) *result {
	r.route = snap.Config.Route(r.host, r.path)
	if r.route == nil {
		return &result{status: fasthttp.StatusNotFound, outcome: outcomeNotRun, reason: "no-route"}
	}
	if f := s.authenticate(r, snap.Config); f != nil {
		return f
	}
	if r.route.Unsupported != "" {
		f := s.refuse(r, reasonUnsupportedRoute)
		return &f
	}
	if r.mayHaveRun && !r.route.Idempotent { // no longer idempotent since it was sent
		f := s.refuse(r, reasonAttempts)
		return &f
	}
	n := ident.Service("")
	if r.service != nil && r.route.RoutesTo(r.service.Name) {
		n = r.service.Name
	} else {
		n = s.choosePart(r, snap)
	}
	r.service = snap.Config.Services[n]
	if r.service.Unsupported != "" {
		f := s.refuse(r, reasonUnsupportedService)
		return &f
	}
	return nil
}

// choosePart returns the part of the route that the request goes to. All attempts go to the same part: one without free
// capacity refuses its own requests instead of moving them to the others.
func (s *Sender) choosePart(r *request, snap *site.Snapshot) ident.Service {
	if len(r.route.Parts) == 1 {
		return r.route.Parts[0].Service
	}
	l := make([]choice.Part, len(r.route.Parts))
	for i, p := range r.route.Parts {
		l[i] = choice.Part{Service: p.Service, Weight: p.Weight, Local: s.hasLocal(r, snap, snap.Config.Services[p.Service])}
	}
	daemons := len(s.daemonNames(snap))
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.splitters[r.route.Name]
	if x == nil {
		x = &choice.Splitter{}
		s.splitters[r.route.Name] = x
	}
	return x.Pick(l, daemons)
}

// hasLocal reports whether the request can go to a server of the service in the daemon's own failure domain: the owner of its
// key, or any server if the service is not keyed.
func (s *Sender) hasLocal(r *request, snap *site.Snapshot, v *site.Service) bool {
	if v.Keyed {
		x := snap.Servers[s.o.View.Holds().Find(v.Name, r.key).Server]
		return r.hasKey && x != nil && x.Domain == s.o.Domain
	}
	return slices.ContainsFunc(snap.ServersOf(v.Name), func(x *site.Server) bool {
		return x.Domain == s.o.Domain && snap.Accepts(x)
	})
}

// run sends the request, with retries where they are allowed, and returns its result.
func (s *Sender) run(r *request) result {
	if f := s.begin(r); f != nil {
		return *f
	}
	for {
		now := s.o.Clock.Now()
		if r.caller.Err() != nil {
			return result{outcome: outcomeCallerLeft, reason: "caller-left"} // no further attempt, whatever the result of earlier ones
		}
		if !s.endsInTime(r, now) {
			return s.refuse(r, reasonStopping)
		}
		if f := s.checkTime(r, now); f != nil {
			return *f
		}
		snap := s.o.View.Snapshot()
		if f := s.match(r, snap); f != nil {
			return *f
		}
		if s.isCrashing(r) {
			return s.refuse(r, reasonCrashing)
		}
		if f := s.acquireToken(r); f != nil {
			return *f
		}
		b, why := s.choose(r, snap, now)
		if why == reasonUnreachable {
			if f, again := s.relay(r, now); f != nil {
				return *f
			} else if again {
				continue
			}
		}
		if b == nil {
			if s.waitForChange(r, why, now) {
				continue
			}
			return s.refuse(r, why)
		}
		if to, ok := s.delegateOf(r, b, snap, now); ok {
			if f := s.delegate(r, b, to, snap, now); f != nil {
				return *f
			}
			continue
		}
		if s.shouldShed(r, b, now) {
			return s.refuse(r, reasonFull)
		}
		if !s.acquireServerToken(r, b) {
			if r.service.Keyed {
				return s.refuse(r, reasonLimited)
			}
			continue
		}
		f := s.attempt(r, b)
		s.returnServerToken(r)
		if f != nil {
			return *f
		}
	}
}

// maxTokenWait is the longest time that a request waits for tokens of servers. One exchange with the coordinator takes milliseconds.
const maxTokenWait = 150 * time.Millisecond

// acquireServerToken takes a token for the request if the server names a limit, and reports whether the request may be sent.
func (s *Sender) acquireServerToken(r *request, b *backend) bool {
	if r.tokenUntil == 0 {
		r.tokenUntil = s.o.Clock.Now().Add(maxTokenWait)
	}
	token, ok := s.o.Reports.Acquire(r.caller, b.server, r.tokenUntil)
	if token {
		r.serverToken = b.server
	}
	if !ok {
		r.limited = append(r.limited, b.server.ID)
	}
	return ok
}

// returnServerToken puts back the token of a request that was not sent.
func (s *Sender) returnServerToken(r *request) {
	if r.serverToken != nil {
		s.o.Reports.Return(r.serverToken)
		r.serverToken = nil
	}
}
