// Package conns maintains the connections from a home to its one backend server and reports of each exchange whether
// the request ran.
//
// It uses the messages of fasthttp but not its clients: their hidden retries could run a request that is not
// idempotent twice. A connection carries one exchange at a time. One whose exchange did not end with a whole response
// is never reused, so a late response cannot reach another request.
package conns

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/descr"
	"heatherrouter/core/ident"
	"heatherrouter/core/retry"
	"heatherrouter/io/memory"
	"heatherrouter/io/socket"
)

// Options configures a Pool; a zero field other than Addr takes its default.
type Options struct {
	Addr           netip.AddrPort
	MaxConns       int           // open at once, not counting probes of the server
	DialTimeout    time.Duration // timeout for opening one connection
	ProbeInterval  time.Duration // idle time after which a connection is probed
	ProbeTimeout   time.Duration // timeout for the response to a probe on an idle connection
	StallTimeout   time.Duration // timeout for a body that makes no progress
	HealthPath     string
	MaxBody        int // limit in bytes for the body of a response that is not streamed
	Names          Names
	CloseDelimited bool // accept a response without a length, which ends with its connection

	// Sockets bounds the connections of all pools together, by SocketUse; nil for no bound.
	Sockets   *socket.Budget
	SocketUse descr.Use

	// ReuseIdentified limits the reuse of a connection to responses that carry the id of their request. Without it, a late copy of a
	// response without an id passes for the response to the next request.
	ReuseIdentified bool

	// OnIdleClosed is called when the server has closed an idle connection, as it does on a restart. It is called
	// before the next request is sent on another connection.
	OnIdleClosed func()
}

// NoProbes as ProbeInterval disables probes of idle connections.
const NoProbes time.Duration = -1

const (
	defaultMaxConns      = 64
	defaultDialTimeout   = 250 * time.Millisecond
	defaultProbeInterval = 500 * time.Millisecond
	defaultProbeTimeout  = 250 * time.Millisecond
	defaultStallTimeout  = 5 * time.Second
	defaultHealthPath    = "/heatherrouter/health" // an error response of a server without this page also shows that it is alive
	defaultMaxBody       = 16 << 20
)

func (o *Options) setDefaults() {
	setDefault(&o.MaxConns, defaultMaxConns)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.HealthPath, defaultHealthPath)
	setDefault(&o.MaxBody, defaultMaxBody)
	setDefault(&o.Names, defaultNames)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// ConnNumber identifies a connection among all that the process opens.
type ConnNumber uint64

var lastConn atomic.Uint64

// Call holds the parameters of one exchange besides its messages.
type Call struct {
	Deadline time.Time // for the whole response; in DoStream for its header

	// SuspectAt is the time from which a connection without any response bytes is given up as unresponsive, if later
	// exchanges on other connections or a probe on a new one got a response; zero for never. Set it for idempotent
	// requests only: for others it could only bring forward the unknown outcome.
	SuspectAt time.Time

	// ResetWait is how long to wait for a reset on a new connection before the first byte is sent; zero for not at
	// all. A server that has reached its connection limit resets a further connection once it is open, and anything
	// written by then has an unknown outcome.
	ResetWait time.Duration

	// ReuseOnly forbids a new connection: the call may reach only the incarnation of the server that accepted the
	// last one.
	ReuseOnly bool

	// OnlyOn is the number of the connection that must carry the call; 0 for any.
	OnlyOn ConnNumber

	// Guard is called right before the first byte is written and permits the send; nil for no check. It is the place
	// to check the lease, since the process may have been paused since any earlier check.
	Guard func() bool

	// Memory accounts for the body of the response; nil for no limit. It keeps what Result.Reserved says. Streamed bodies are not counted.
	Memory *memory.Reservation
}

// Result reports what is certain about one exchange.
type Result struct {
	Outcome     retry.Outcome
	End         admit.End
	Incarnation ident.Incarnation // of the backend server, 0 if it reports none
	Err         error             // why there is no whole response; nil if there is one
	Reserved    int               // bytes that Call.Memory holds for the response

	// ConnLimitReached reports that the server reset a new connection and left others open: it has reached its
	// connection limit and has not restarted.
	ConnLimitReached bool

	Conn       ConnNumber // of the connection that carried the exchange; 0 if there was none
	Fresh      bool       // the connection had carried no exchange before
	Identified bool       // the response carries the id of its request
	OthersOpen bool       // the connection was reset, or no new one could be opened, while others are open
}

// IsOwn reports whether the response is certain to be that to the request: it carries the id, or nothing was sent on its connection
// before. Otherwise a late response to an earlier request may have taken its place.
func (r *Result) IsOwn() bool { return r.Err == nil && (r.Identified || r.Fresh) }

// Errors of exchanges, as found in Result.Err.
var (
	ErrClosed       = trace.Errorf("connection pool of the backend server is closed")
	ErrNoSocket     = trace.Errorf("no connection to the backend server free: the process has no socket for it")
	ErrExhausted    = trace.Errorf("no connection to the backend server free: limit reached")
	ErrNoReuse      = trace.Errorf("no open connection to the backend server to reuse")
	ErrGuard        = trace.Errorf("request not sent: permission to send has expired")
	ErrNoLength     = trace.Errorf("response has neither a length nor chunks: truncation would go undetected")
	ErrUnresponsive = trace.Errorf("connection unresponsive while other connections receive responses")
	ErrEndless      = trace.Errorf("response exceeds the limits of its size or of the time for its header")
	ErrIDMismatch   = trace.Errorf("response carries the id of another request")
	errNoDeadline   = trace.Errorf("exchange has no deadline")
	errBodyNotRead  = trace.Errorf("response body closed before its end")
)

// Pool manages the connections to one backend server.
type Pool struct {
	options Options
	addr    string

	mu     sync.Mutex
	idle   []*conn // the most recently used at the end
	open   int
	closed bool

	responses atomic.Uint64 // count of whole responses
	lastProbe atomic.Int64  // when the last answered probe on a new connection was sent, in Unix nanoseconds
	stop      context.CancelFunc
	probes    sync.WaitGroup
}

// New returns a pool that opens connections on demand. Close it to stop its probes.
func New(o Options) *Pool {
	o.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{options: o, addr: o.Addr.String(), stop: stop}
	if o.ProbeInterval != NoProbes {
		p.probes.Go(func() { p.probeIdle(ctx) })
	}
	return p
}

// Close closes the idle connections and stops the probes; connections in use are closed as their exchanges end.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
	p.stop()
	p.probes.Wait()
	return nil
}

// Stats is the state of a Pool in the state dump.
type Stats struct {
	Open int
	Idle int
}

// Stats returns the current connection counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle)}
}

// Do sends the request and reads the whole response. The request body must not be a stream.
func (p *Pool) Do(ctx context.Context, call Call, req *fasthttp.Request, resp *fasthttp.Response) Result {
	c, r := p.exchange(ctx, call, req, resp, false)
	if c != nil {
		p.put(c)
	}
	return r
}

// exchange runs the exchange up to the whole response, or up to its header in streamed mode. It returns the
// connection if that may be reused.
func (p *Pool) exchange(ctx context.Context, call Call, req *fasthttp.Request, resp *fasthttp.Response, streamed bool) (*conn, Result) {
	if call.Deadline.IsZero() {
		return nil, Result{Outcome: retry.NotRun, End: admit.EndNoConnFree, Err: errNoDeadline}
	}
	id := hashID(req, p.options.Names)
	for {
		c, r := p.get(ctx, call, id)
		if c == nil {
			r.OthersOpen = p.hasOpenConn()
			r.ConnLimitReached = r.End == admit.EndReset && r.OthersOpen
			return nil, r
		}
		used := c.used
		r = c.do(ctx, p, call, req, resp, streamed)
		r.Fresh, r.Conn = !used, c.number
		if c.wrote {
			c.used = true
			c.recordSent(id, call.Deadline)
		}
		if r.Err == nil && (streamed || c.reusable()) {
			return c, r
		}
		if errors.Is(r.Err, ErrGuard) && !c.broken {
			// Nothing was written, so the connection can be reused. Closing it because of an order that came too late
			// would make the next order open a new one and come too late as well.
			c.unanswered = false
			return c, r
		}
		p.discard(c)
		r.OthersOpen = r.End == admit.EndReset && p.hasOpenConn()
		r.ConnLimitReached = !used && r.OthersOpen
		// The write fails on a connection that the server closed while it was idle. If no byte was accepted, the
		// request cannot have run, and another connection may take it. A streamed body may have been read from and
		// cannot be sent again.
		if used && r.Outcome == retry.NotRun && r.End == admit.EndReset && !req.IsBodyStream() {
			continue
		}
		return nil, r
	}
}

// get returns an idle connection that is still open and has not carried the request, or dials one.
func (p *Pool) get(ctx context.Context, call Call, id requestHash) (*conn, Result) {
	for {
		c, err := p.take(call, id)
		if err != nil {
			return nil, Result{Outcome: retry.NotRun, End: admit.EndNoConnFree, Err: err}
		}
		if c == nil {
			break
		}
		if c.alive() {
			return c, Result{}
		}
		p.discardClosed(c)
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
		end = admit.EndReset // the server accepted and reset the connection before connect returned
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		end = admit.EndNoConnFree // says nothing about the server
	}
	return nil, Result{Outcome: retry.NotRun, End: end, Err: trace.Wrap(err, "dial %v", p.addr)}
}

// Preconnect opens a connection in advance unless an idle one is open. It reports whether an idle connection is
// available afterwards.
func (p *Pool) Preconnect(ctx context.Context, deadline time.Time) bool {
	c, r := p.get(ctx, Call{Deadline: deadline}, 0)
	if r.Err != nil {
		return false
	}
	p.addIdle(c)
	return true
}

// take returns the most recently used idle connection that has not carried the request. A nil connection reserves a place for
// one that the caller must dial; none is reserved with ReuseOnly or OnlyOn, not even for a moment, since another caller would find the
// pool full.
func (p *Pool) take(call Call, id requestHash) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	for i, c := range slices.Backward(p.idle) {
		if !c.hasCarried(id) && (call.OnlyOn == 0 || call.OnlyOn == c.number) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, nil
		}
	}
	full := p.open >= p.options.MaxConns
	switch {
	case full && len(p.idle) == 0:
		return nil, ErrExhausted
	case call.ReuseOnly || call.OnlyOn != 0:
		return nil, ErrNoReuse
	case full: // the new connection takes the place of one that has carried the request
		p.idle[0].close()
		p.idle = slices.Delete(p.idle, 0, 1)
	case !p.options.Sockets.Acquire(p.options.SocketUse):
		return nil, ErrNoSocket
	default:
		p.open++
	}
	return nil, nil
}

// hasOpenConn reports whether some connection is not known to be closed by the server: an idle one, or one that waits
// for its response.
func (p *Pool) hasOpenConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > len(p.idle) {
		return true
	}
	return len(p.idle) > 0 && p.idle[len(p.idle)-1].alive()
}

// put returns a connection to the pool after an exchange.
func (p *Pool) put(c *conn) { p.addIdle(c) }

// addIdle makes the connection available to other goroutines; the caller must not use it afterwards.
func (p *Pool) addIdle(c *conn) {
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

// discardClosed discards an idle connection that the server has closed.
func (p *Pool) discardClosed(c *conn) {
	p.discard(c)
	if p.options.OnIdleClosed != nil {
		p.options.OnIdleClosed()
	}
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.options.Sockets.Release(p.options.SocketUse)
}

// HasIdle reports whether an idle connection is open, as far as this side knows.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && p.idle[len(p.idle)-1].alive()
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() { p.closeIdle() }

// CloseUnused closes the connections that have been idle since the given time, and those that the server has closed.
func (p *Pool) CloseUnused(since time.Time) {
	p.mu.Lock()
	var unused []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.idleSince.After(since) && c.alive() {
			return false
		}
		unused = append(unused, c)
		return true
	})
	p.mu.Unlock()
	for _, c := range unused {
		p.discard(c)
	}
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
