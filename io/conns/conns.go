// Package conns keeps the connections from a home to its one backend server, and tells of each exchange what
// is certain about it.
//
// It stands on the messages of fasthttp but not on its clients: their hidden retries would run a shift swap
// twice. One connection carries one exchange at a time, and one whose exchange did not end with a whole
// answer is never used again, so no late answer can reach another request.
package conns

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/ident"
	"heatherrouter/core/retry"
)

// Options sets up a Pool; the zero value of each but Addr takes its default.
type Options struct {
	Addr         netip.AddrPort
	MaxConns     int           // open at once, probes of the server not counted
	DialTimeout  time.Duration // for one connection
	ProbeEvery   time.Duration // how long a connection may be idle before it is probed
	ProbeTimeout time.Duration // for the answer to a probe on an idle connection
	StallTimeout time.Duration // for a body that makes no progress
	HealthPath   string
	MaxBody      int // bytes of an answer that is not streamed
	Names        Names
	Unframed     bool // take an answer that has no length and ends with its connection

	// Lost is called when the server has closed a connection that was idle, as it does when it restarts. It is called
	// before the next request goes out on another connection.
	Lost func()
}

// NoProbes as ProbeEvery leaves idle connections alone.
const NoProbes time.Duration = -1

const (
	defaultMaxConns     = 64
	defaultDialTimeout  = 250 * time.Millisecond
	defaultProbeEvery   = 500 * time.Millisecond
	defaultProbeTimeout = 250 * time.Millisecond
	defaultStallTimeout = 5 * time.Second
	defaultHealthPath   = "/heatherrouter/health" // a server that has no such page answers that it hasn't, which is alive too
	defaultMaxBody      = 16 << 20
)

func (o *Options) setDefaults() {
	setDefault(&o.MaxConns, defaultMaxConns)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.ProbeEvery, defaultProbeEvery)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.HealthPath, defaultHealthPath)
	setDefault(&o.MaxBody, defaultMaxBody)
	setDefault(&o.Names, ownNames)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Call is what one exchange needs besides its messages.
type Call struct {
	Deadline time.Time // for the whole answer; in DoStream for the header of the answer

	// SuspectAt is from when a connection without any answer is given up as silent if later exchanges on
	// others were answered, or a probe on a new connection; zero for never. Set it for
	// idempotent requests only: for others it could only bring forward the unknown outcome.
	SuspectAt time.Time

	// Settle is for how long a new connection is looked at before the first byte goes out; zero for not at all. A server that
	// has as many connections as it takes resets the next one once it is open, and what was written by then has an unknown
	// outcome.
	Settle time.Duration

	// Reuse forbids a new connection: the call may reach only the life of the server that accepted the last one.
	Reuse bool

	// Guard is asked right before the first byte is written, nil for none. It is the place to check the
	// lease: the process may have been paused since any earlier check.
	Guard func() bool
}

// Result is what is certain about one exchange.
type Result struct {
	Outcome     retry.Outcome
	End         admit.End
	Incarnation ident.Incarnation // of the backend server, 0 where it doesn't tell one
	Err         error             // why there is no whole answer

	// Over says that the server reset a new connection and left others open: it has as many as it takes, and has not
	// started again.
	Over bool
}

// Errors of exchanges.
var (
	ErrClosed     = trace.Errorf("connections to the backend server are closed")
	ErrExhausted  = trace.Errorf("all connections to the backend server are in use")
	ErrNoReuse    = trace.Errorf("no connection to the backend server is open")
	ErrGuard      = trace.Errorf("not allowed to send any more")
	ErrNoLength   = trace.Errorf("the answer has neither a length nor chunks, so that a cut could not be seen")
	ErrSilent     = trace.Errorf("the connection is silent while others are answered")
	ErrForeign    = trace.Errorf("the answers are to other requests, by their ids")
	errNoDeadline = trace.Errorf("an exchange needs a deadline")
	errAbandoned  = trace.Errorf("the body of the answer was given up")
)

// Pool is the connections to one backend server.
type Pool struct {
	options Options
	addr    string

	mu     sync.Mutex
	idle   []*conn // the last used at the end
	open   int
	closed bool

	answers atomic.Uint64 // whole answers so far
	probed  atomic.Int64  // when the last probe was asked that was answered on a new connection, in unix nanoseconds
	stop    context.CancelFunc
	probes  sync.WaitGroup
}

// New returns a pool that opens connections as they are needed. Close it to end its probes.
func New(o Options) *Pool {
	o.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{options: o, addr: o.Addr.String(), stop: stop}
	if o.ProbeEvery != NoProbes {
		p.probes.Go(func() { p.probeIdle(ctx) })
	}
	return p
}

// Close closes the idle connections; the others are closed as their exchanges end.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
	p.stop()
	p.probes.Wait()
	return nil
}

// Stats is the state of a Pool for the state dump.
type Stats struct {
	Open int
	Idle int
}

// Stats returns how many connections there are.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle)}
}

// Do sends the request and reads the whole answer. The body of the request must not be a stream.
func (p *Pool) Do(ctx context.Context, call Call, req *fasthttp.Request, resp *fasthttp.Response) Result {
	c, r := p.exchange(ctx, call, req, resp, false)
	if c != nil {
		p.put(c)
	}
	return r
}

// exchange runs the exchange up to the whole answer, or to the header of it in streamed mode. It returns
// the connection if that may be used on.
func (p *Pool) exchange(ctx context.Context, call Call, req *fasthttp.Request, resp *fasthttp.Response, streamed bool) (*conn, Result) {
	if call.Deadline.IsZero() {
		return nil, Result{Outcome: retry.NotRun, End: admit.EndNoConnFree, Err: errNoDeadline}
	}
	for {
		c, r := p.get(ctx, call)
		if c == nil {
			r.Over = r.End == admit.EndReset && p.stays()
			return nil, r
		}
		used := c.used
		r = c.do(ctx, p, call, req, resp, streamed)
		if r.Err == nil && (streamed || c.reusable()) {
			return c, r
		}
		if errors.Is(r.Err, ErrGuard) && !c.broken {
			// Nothing was written. Closed for an order that came too late, the connection would be missed by the next, which
			// would be late in turn.
			c.unanswered = false
			return c, r
		}
		p.discard(c)
		r.Over = !used && r.End == admit.EndReset && p.stays()
		// A connection that the server closed while it was idle fails at the write. As long as not one byte
		// was taken, the request can't have run, and another connection may take it. A streamed body may
		// have been read from, and can't be sent again.
		if used && r.Outcome == retry.NotRun && r.End == admit.EndReset && !req.IsBodyStream() {
			continue
		}
		return nil, r
	}
}

// get returns an idle connection that is still open, or dials one.
func (p *Pool) get(ctx context.Context, call Call) (*conn, Result) {
	for {
		c, err := p.take()
		if err != nil {
			return nil, Result{Outcome: retry.NotRun, End: admit.EndNoConnFree, Err: err}
		}
		if c == nil {
			break
		}
		if c.alive() {
			return c, Result{}
		}
		p.lost(c)
	}
	if call.Reuse {
		p.release()
		return nil, Result{Outcome: retry.NotRun, End: admit.EndNoConnFree, Err: ErrNoReuse}
	}
	c, err := p.dial(ctx, call.Deadline)
	if err == nil {
		return c, Result{}
	}
	p.release()
	end := admit.EndDialFailed
	switch {
	case ctx.Err() != nil:
		end = admit.EndCancelled
	case errors.Is(err, syscall.ECONNRESET):
		end = admit.EndReset // the server accepted it and reset it, before this process was told that it is open
	}
	return nil, Result{Outcome: retry.NotRun, End: end, Err: trace.Wrap(err, "dial %v", p.addr)}
}

// Warm opens a connection ahead of its use, unless there is one that is idle and open; it reports whether there is one then.
func (p *Pool) Warm(ctx context.Context, deadline time.Time) bool {
	c, r := p.get(ctx, Call{Deadline: deadline})
	if r.Err != nil {
		return false
	}
	p.keep(c)
	return true
}

// take returns the connection used last, or nil for leave to dial one.
func (p *Pool) take() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.options.MaxConns {
		return nil, ErrExhausted
	}
	p.open++
	return nil, nil
}

// stays reports whether a connection is left that the server hasn't closed, as far as can be seen: an idle one, or one that
// still waits for its answer.
func (p *Pool) stays() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > len(p.idle) {
		return true
	}
	return len(p.idle) > 0 && p.idle[len(p.idle)-1].alive()
}

// put keeps a connection after an exchange.
func (p *Pool) put(c *conn) {
	c.used = true
	p.keep(c)
}

// keep makes a connection one of the idle ones; from then on it is anybody's.
func (p *Pool) keep(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

func (p *Pool) discard(c *conn) {
	c.close()
	p.release()
}

// lost discards an idle connection that the server has closed.
func (p *Pool) lost(c *conn) {
	p.discard(c)
	if p.options.Lost != nil {
		p.options.Lost()
	}
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	l := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range l {
		p.discard(c)
	}
}
