package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/io/memory"
)

const (
	// maxPipelined bounds the requests of one connection in progress. Callers pipeline only a few.
	maxPipelined = 16

	// bodyTimeout bounds the reading of one body. Deadlines of requests are far shorter; it only frees the connection of a
	// caller that vanished while sending.
	bodyTimeout = 30 * time.Second

	// writeTimeout bounds the writing of one response to a caller that doesn't read.
	writeTimeout = 30 * time.Second

	// lingerTimeout is how long a connection is read after its last response. If it were closed with unread requests, it
	// would be reset, and the caller's system could drop a response in transit.
	lingerTimeout = time.Second

	writeBufferBytes = 4 << 10
)

// conn is a caller's connection.
type conn struct {
	frontend *Frontend
	net      net.Conn
	br       *bufio.Reader
	ctx      context.Context
	cancel   context.CancelCauseFunc
	pipeline chan struct{} // semaphore with one element per request in progress
	answered chan struct{} // has an element if bodies may have become smaller
	writing  writing       // of the response that is being written; used by the goroutine that set busy

	mu      sync.Mutex
	bodies  int         // bytes of the bodies of requests in progress, if they are accounted for
	queue   []*exchange // exchanges without a written response, in the order of the requests
	busy    bool        // a goroutine writes to the caller. It does not hold mu, as a slow caller may take long to read
	last    bool        // no request follows those in the queue: the response to the last one closes the connection
	closing bool        // no response follows: one with Connection: close was written, or the idle connection was closed
	idle    bool        // waiting for the first byte of a request
	idleAt  time.Time   // since when, if idle
	used    bool        // has carried a request
	evicted bool        // to be closed as soon as no request is in progress
}

// exchange is a request and its response.
type exchange struct {
	req    *fasthttp.Request
	resp   *fasthttp.Response
	memory memory.Reservation // of the bodies of both
	body   int                // bytes that memory holds for the request
	done   bool
}

var exchangePool = sync.Pool{New: func() any { return &exchange{} }}

func acquireExchange(m *memory.Budget) *exchange {
	x := exchangePool.Get().(*exchange) //nolint:errcheck,forcetypeassert // the pool holds nothing else
	*x = exchange{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), memory: memory.Reservation{Budget: m}}
	return x
}

// release gives back the exchange and what it holds.
func (x *exchange) release() {
	x.memory.ReleaseAll()
	fasthttp.ReleaseRequest(x.req)
	fasthttp.ReleaseResponse(x.resp)
	exchangePool.Put(x)
}

// errCallerLeft is the cancellation cause of a connection's context.
var errCallerLeft = errors.New("caller's connection ended")

func newConn(f *Frontend, n net.Conn) *conn {
	c := &conn{
		frontend: f, net: n, br: bufio.NewReaderSize(n, f.o.Limits().MaxHeaderBytes), pipeline: make(chan struct{}, maxPipelined),
		answered: make(chan struct{}, 1),
	}
	if f.o.Memory != nil {
		c.limitSendBuffer()
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// serve reads requests until the caller disconnects or a response closes the connection. It continues to read while requests
// are in progress, which is the only way to detect that the caller has disconnected.
func (c *conn) serve() {
	defer c.net.Close()
	for {
		if err := c.awaitRequest(); err != nil {
			break
		}
		if !c.takesRequests() {
			c.discardRest()
			break
		}
		x := acquireExchange(c.frontend.o.Memory)
		status, err := c.readRequest(x)
		if err != nil && status == 0 {
			x.release()
			break
		}
		c.pipeline <- struct{}{}
		if !c.enqueue(x, err != nil || x.req.Header.ConnectionClose()) {
			<-c.pipeline
			x.release()
			c.discardRest()
			break
		}
		if err != nil {
			c.reject(x, status, err)
			c.discardRest()
			break
		}
		go c.handle(x)
	}
	c.cancel(errCallerLeft)
	for range maxPipelined {
		c.pipeline <- struct{}{} // waits for all requests in progress
	}
}

// takesRequests reports whether another request may be read. Once the connection has to close, the requests in progress are its last:
// those behind them count as not read.
func (c *conn) takesRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last || c.unanswered() > 0 && c.frontend.closesConns()
	return !c.closing && !c.last
}

// unanswered returns how many requests in progress may still get a response that closes the connection. The caller holds c.mu, so that a
// busy goroutine is writing the first response of the queue.
func (c *conn) unanswered() int {
	if c.busy {
		return len(c.queue) - 1
	}
	return len(c.queue)
}

// enqueue adds a request that has been read; last means that none follows on the connection. It returns false if a response that closes
// the connection has been written meanwhile, so that the request counts as not read.
func (c *conn) enqueue(x *exchange, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.frontend.open.Add(1)
	c.queue, c.used = append(c.queue, x), true
	c.bodies += x.body
	c.last = c.last || last
	return true
}

// reject responds to a request that could not be read. The response closes the connection, as the start of the next request
// is unknown.
func (c *conn) reject(x *exchange, status int, err error) {
	x.resp.SetStatusCode(status)
	if errors.Is(err, memory.ErrNoMemory) {
		c.frontend.o.RefuseNoMemory(c.ctx, x.req, x.resp, &x.memory)
	}
	x.resp.SetConnectionClose()
	c.complete(x)
}

func (c *conn) handle(x *exchange) {
	c.frontend.o.Handler(c.ctx, x.req, x.resp, &x.memory)
	c.releaseBody(x)
	c.complete(x)
}

// halfClose closes the write side of the connection, so that the caller reads the last response and then closes its side.
func (c *conn) halfClose() {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails only if the caller has closed the connection
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// abort closes the connection at once and cancels the context of its requests.
func (c *conn) abort() {
	c.cancel(errCallerLeft)
	_ = c.net.Close()
}

// wakeIdle makes the connection check at once whether it is to be closed, if it waits for a request.
func (c *conn) wakeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeIdleLocked()
}

// wakeIdleLocked is wakeIdle for a caller that holds c.mu.
func (c *conn) wakeIdleLocked() {
	if c.idle {
		_ = c.net.SetReadDeadline(time.Now()) // fails only on a closed connection
	}
}

func (c *conn) setIdle(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleAt = v, time.Now()
}

// evictableAt returns from when on the connection may be closed to make room; false unless it waits for a request.
func (c *conn) evictableAt(idleTimeout time.Duration) (t time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.closing || c.evicted || len(c.queue) > 0 {
		return time.Time{}, false
	}
	ratio := unusedEvictionRatio
	if c.used {
		ratio = evictionRatio
	}
	return c.idleAt.Add(time.Duration(float64(idleTimeout) * ratio)), true
}

// evict closes the connection as soon as no request is in progress on it.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	c.wakeIdleLocked()
}

// closesWhenIdle reports whether the connection is to be closed when no request is in progress on it.
func (c *conn) closesWhenIdle() bool {
	if c.frontend.stopping.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *conn) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}
