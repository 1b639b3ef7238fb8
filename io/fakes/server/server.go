// Package server is a stand-in for a backend server: slots, cold start, late reports, drain, refusals, deadlines,
// cancellation, fenced grants, large bodies, and a log of all work from which tests prove what ran, where and when.
package server

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
)

// Headers between the router and a backend server.
const (
	RequestHeader     = "Heatherrouter-Request-Id"
	KeyHeader         = "Heatherrouter-Key"
	ShardHeader       = "Heatherrouter-Shard"
	EpochHeader       = "Heatherrouter-Epoch"
	DeadlineHeader    = "Heatherrouter-Deadline" // in unix milliseconds
	NotRunHeader      = "Heatherrouter-Not-Run"  // 1 on a refusal of which nothing ran
	ReasonHeader      = "Heatherrouter-Reason"   // of a refusal
	IncarnationHeader = "Heatherrouter-Incarnation"
)

// Paths of the server's own pages.
const (
	GrantPath  = "/heatherrouter/grant"
	LoadPath   = "/heatherrouter/load"
	HealthPath = "/heatherrouter/health"
)

// Options sets up one backend server stand-in.
type Options struct {
	Name         ident.Server
	Addr         string        // fakes.AnyPort when empty
	Slots        int           // 3 when 0
	Conns        int           // 130 when 0; more are closed as they come
	ConnectCost  time.Duration // before the first byte of a new connection is read
	ServiceTime  ServiceTime   // Fixed(0) when nil
	Seed         uint64        // of the service times
	ColdWork     int           // requests until it is warm; 0 for a server that never is cold
	ChecksGrants bool          // refuses work and grants of an older epoch
	Sheds        bool          // refuses, as not run, what exceeds twice its slots
	ReportLag    time.Duration // how late the load and health pages are
	BodyRate     int           // bytes per second of a large body; 0 for no limit
	NoLog        bool          // keeps no log of work
}

const (
	defaultSlots = 3
	defaultConns = 130

	// overloadFactor is how many times its slots a warm server takes at once before it fails.
	overloadFactor = 8
)

// Server is one backend server stand-in.
type Server struct {
	opts  Options
	http  *fasthttp.Server
	conns *listener
	work  workLog
	gate  gate

	inFlight atomic.Int64 // requests admitted and not ended; the atomics keep the way of a request that does nothing short

	mu          sync.Mutex
	faults      Faults
	incarnation ident.Incarnation
	tag         string        // the incarnation as its header has it
	done        int           // requests completed since the cold start
	life        chan struct{} // closed when the incarnation ends
	downUntil   time.Time
	overloads   int
	highest     ident.Epoch
	grantEnds   time.Time // zero for a grant that doesn't lapse
	random      *rand.Rand
	reports     []report // oldest first

	stop chan struct{}
	wg   sync.WaitGroup
}

// quiet drops the HTTP library's remarks on connections that tests break on purpose.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// incarnations makes them unique over every server of the process.
var incarnations atomic.Uint64

// New starts a backend server stand-in.
func New(o Options) (*Server, error) {
	if o.Addr == "" {
		o.Addr = fakes.AnyPort
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Conns <= 0 {
		o.Conns = defaultConns
	}
	if o.ServiceTime == nil {
		o.ServiceTime = Fixed(0)
	}
	l, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s := &Server{opts: o, stop: make(chan struct{}), random: rand.New(rand.NewPCG(o.Seed, 0))}
	s.faults.Straggle = 1
	s.gate.init()
	s.work.init(!o.NoLog)
	s.renew()
	s.conns = newListener(l, o.Conns, o.ConnectCost, &s.gate)
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		StreamRequestBody:     true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
	s.wg.Go(func() {
		if err := s.http.Serve(s.conns); err != nil && !errors.Is(err, net.ErrClosed) {
			panic("backend server stand-in: " + err.Error())
		}
	})
	s.wg.Go(s.sample)
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.conns.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Name returns the server's name.
func (s *Server) Name() ident.Server { return s.opts.Name }

// Log returns a copy of the log of work; what still runs has no end.
func (s *Server) Log() []fakes.Work { return s.work.all() }

// InFlight returns how many requests the server works on.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Close ends the server and every connection.
func (s *Server) Close() {
	select {
	case <-s.stop:
		return
	default:
	}
	close(s.stop)
	s.mu.Lock()
	close(s.life)
	s.life = nil
	s.mu.Unlock()
	s.gate.set(false)
	_ = s.conns.Close()
	s.conns.closeAll()
	s.wg.Wait()
}

// renew takes a new incarnation; it needs s.mu, or a server that nobody else knows yet.
func (s *Server) renew() {
	s.incarnation = ident.Incarnation(uint64(time.Now().UnixMilli())<<20 | incarnations.Add(1)&(1<<20-1))
	s.tag = formatIncarnation(s.incarnation)
	s.done = 0
	if s.life != nil {
		close(s.life)
	}
	s.life = make(chan struct{})
}
