// Package entry takes callers' requests, finds the home of the backend server that may run each, and answers.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/core/route"
	"heatherrouter/io/clock"
	"heatherrouter/io/peer"
	"heatherrouter/io/view"
	"heatherrouter/io/wire"
)

const (
	maxHeader   = 16 << 10 // bytes of a request's header
	maxBody     = 1 << 20  // bytes of a body that is not streamed
	maxHeld     = 4096     // requests of one service that may wait here; more are refused before they are accepted
	idleCaller  = 75 * time.Second
	readCaller  = 30 * time.Second // for one read of a request
	stopWaiting = 100 * time.Millisecond
)

// Homes runs exchanges on the backend servers that this daemon is home of.
type Homes interface {
	// Do runs one exchange, whose caller waits until the deadline, and returns its answer, whose outcome is certain.
	Do(c context.Context, x *wire.Exchange, deadline mono.Time) *wire.ExchangeAnswer

	// Stream runs one exchange with streamed bodies.
	Stream(c context.Context, x *wire.Exchange, deadline mono.Time, s Stream)
}

// Stream is the caller's side of an exchange with streamed bodies.
type Stream interface {
	// Read reads the request's body.
	Read(p []byte) (int, error)

	// WriteResponse takes the head of the answer; its body follows by Write, then Close, or Abort if it is not whole.
	WriteResponse(a *wire.ExchangeAnswer) error
	Write(p []byte) (int, error)
	Close() error
	Abort()
}

// Peers carries exchanges to the homes at other daemons.
type Peers interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
	OpenExchange(c context.Context, to ident.Daemon, head *wire.Exchange, asOf time.Duration) (*peer.Exchange, error)

	// Unreachable reports whether the last attempt to reach the daemon failed a moment ago.
	Unreachable(d ident.Daemon) bool
}

// Counter counts final answers.
type Counter interface {
	RecordAnswer(s ident.Service, kind, outcome, reason string, took time.Duration)
}

// Options are what an Entry needs.
type Options struct {
	Self    ident.Daemon
	Listen  net.Listener
	View    *view.View
	Homes   Homes
	Peers   Peers
	Clock   *clock.Clock
	Counter Counter
	Log     *log.Logger
}

// Entry answers callers.
type Entry struct {
	o       Options
	server  *fasthttp.Server
	loads   *loads
	waiting atomic.Int64
	open    atomic.Int64 // requests without a final answer
	leaving atomic.Bool

	mu       sync.Mutex
	policies map[policyKey]*policy
}

type policyKey struct {
	service ident.Service
	kind    string
}

// policy is what the requests of one kind share: the service's retry budget and the kind's usual time to answer.
type policy struct {
	mu     *sync.Mutex // shared by the kinds of one service, like the next two
	budget *retry.Budget
	held   *retry.WaitSlots
	delay  retry.HedgeDelay
}

// New starts to serve callers on the listener.
func New(o Options) *Entry {
	e := &Entry{o: o, loads: newLoads(), policies: map[policyKey]*policy{}}
	e.server = &fasthttp.Server{
		Name:                         "heatherrouter",
		Handler:                      e.handle,
		ErrorHandler:                 e.malformed,
		ReadBufferSize:               maxHeader,
		MaxRequestBodySize:           maxBody,
		StreamRequestBody:            true,
		ReadTimeout:                  readCaller,
		IdleTimeout:                  idleCaller,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		Logger:                       quiet{},
	}
	return e
}

// quiet drops the library's own log lines: what callers do wrong is counted and answered, not logged twice.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Serve answers callers until Shutdown.
func (e *Entry) Serve(context.Context) error {
	return trace.Wrap(e.server.Serve(e.o.Listen))
}

// Open returns how many requests wait for their final answer.
func (e *Entry) Open() int64 {
	return e.open.Load()
}

// Waiting returns how many requests are held until there is room.
func (e *Entry) Waiting() int64 {
	return e.waiting.Load()
}

// Leave makes each answer close its connection, so that callers go on elsewhere while this daemon still serves.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// Shutdown takes no new connections and waits for the open requests, downloads included.
func (e *Entry) Shutdown(c context.Context) error {
	e.Leave()
	return trace.Wrap(e.server.ShutdownWithContext(c))
}

// handle answers one request.
func (e *Entry) handle(x *fasthttp.RequestCtx) {
	e.open.Add(1)
	defer e.open.Add(-1)
	start := time.Now()
	if e.leaving.Load() {
		x.SetConnectionClose()
	}
	m, err := e.match(x)
	if err != nil {
		e.refuseMatch(x, err)
		return
	}
	r := e.newRequest(x, m)
	var f retry.Finish
	if m.Kind.Streamed {
		f = e.stream(x, r)
	} else {
		f = e.unary(x, r)
	}
	took := time.Since(start)
	e.o.Counter.RecordAnswer(m.Service.Name, m.Kind.Name, f.Outcome.String(), string(f.Reason), took)
	if f.Outcome != retry.Answered {
		e.o.Log.Info().Str("request-id", r.id).Str("service", string(m.Service.Name)).Str("kind", m.Kind.Name).
			Str("outcome", f.Outcome.String()).Str("reason", string(f.Reason)).Int("sends", r.entry.Sends()).
			Dur("took", took).Msg("request not answered by a backend server")
	}
}

func (e *Entry) match(x *fasthttp.RequestCtx) (route.Match, error) {
	q := func(n string) []byte { return x.QueryArgs().Peek(n) }
	h := func(n string) []byte { return x.Request.Header.Peek(n) }
	return e.o.View.Get().Routes.Match(x.Method(), x.Path(), q, h)
}

// policy returns what the kind's requests share; it outlives changes of the configuration.
func (e *Entry) policy(s *config.Service, k *config.Kind) *policy {
	key := policyKey{service: s.Name, kind: k.Name}
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.policies[key]; p != nil {
		return p
	}
	p := &policy{}
	for o, x := range e.policies {
		if o.service == s.Name {
			p.budget, p.held, p.mu = x.budget, x.held, x.mu
		}
	}
	if p.budget == nil {
		p.budget, p.held, p.mu = retry.NewBudget(e.o.Clock.Now()), retry.NewWaitSlots(maxHeld), &sync.Mutex{}
	}
	e.policies[key] = p
	return p
}

// next takes the next decision for a request.
func (p *policy) next(e *Entry, r *retry.Request, v retry.Event) retry.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := retry.Policy{Budget: p.budget, HedgeDelay: &p.delay, WaitSlots: p.held}
	return x.Next(e.o.Clock.Now(), r, v, rand.Uint64())
}

func (p *policy) observe(t time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay.Observe(t)
}
