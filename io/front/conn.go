package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
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

// awaitRequest waits for the first byte of the next request. It returns an error if the connection ended or, with no request
// pending, was idle for too long.
func (c *conn) awaitRequest() error {
	c.setIdle(true)
	defer c.setIdle(false)
	for {
		idle := c.frontend.o.Limits().IdleTimeout
		if c.isClosing() {
			idle = lingerTimeout
		}
		if err := c.net.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return err
		}
		if c.closeIfIdle() {
			continue
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.pending() == 0 && !c.frontend.stopping.Load() {
			return err
		}
		if c.isClosing() && c.pending() == 0 {
			return err
		}
	}
}

// closeIfIdle closes the connection for further requests if the daemon stops, no request is in progress and none has arrived, as far as
// this side's system knows. Only the goroutine that reads calls it.
func (c *conn) closeIfIdle() bool {
	if !c.frontend.stopping.Load() || c.br.Buffered() > 0 || c.hasUnread() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || len(c.queue) > 0 {
		return false
	}
	c.closing = true
	c.halfClose()
	return true
}

// hasUnread reports whether the system holds bytes that have not been read.
func (c *conn) hasUnread() bool {
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a descriptor
	})
	return err == nil && n > 0
}

// discardRest reads and drops data after the last request of the connection until the caller closes it, at most for lingerTimeout after
// the last response. The data may be the body of a rejected request and look like a request.
func (c *conn) discardRest() {
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection, as the read would
		_, err := io.Copy(io.Discard, c.br)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.pending() == 0 {
			return
		}
	}
}

// readRequest reads one request. With an error, status is that of the response to send, or 0 for no response.
func (c *conn) readRequest(x *exchange) (status int, err error) {
	l, req := c.frontend.o.Limits(), x.req
	if err := c.net.SetReadDeadline(time.Now().Add(l.HeaderTimeout)); err != nil {
		return 0, err
	}
	if err := req.Header.Read(c.br); err != nil {
		return headerErrorStatus(err), err
	}
	if err := c.reserveBody(x, l.MaxBodyBytes); err != nil {
		return bodyErrorStatus(err), err
	}
	if err := c.net.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return 0, err
	}
	if req.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return 0, err
		}
	}
	if err := c.readBody(x, l.MaxBodyBytes); err != nil {
		return bodyErrorStatus(err), err
	}
	return 0, nil
}

func headerErrorStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case isDisconnect(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

func bodyErrorStatus(err error) int {
	switch {
	case errors.Is(err, memory.ErrNoMemory):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, memory.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case isDisconnect(err), errors.Is(err, errCallerLeft):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// isDisconnect reports whether the caller's connection failed in the middle of a request.
func isDisconnect(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}

// sendContinue sends 100 Continue to a caller that waits for it before sending the body. It sends nothing while earlier
// responses are pending: callers then send the body after a short wait.
func (c *conn) sendContinue() error {
	c.mu.Lock()
	free := len(c.queue) == 0 && !c.busy
	c.busy = c.busy || free
	c.mu.Unlock()
	if !free {
		return nil
	}
	defer func() {
		c.mu.Lock()
		c.busy = false
		c.mu.Unlock()
	}()
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// takesRequests reports whether another request may be read. Once the connection has to close, the requests in progress are its last:
// those behind them count as not read.
func (c *conn) takesRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last || len(c.queue) > 0 && c.frontend.closesConns()
	return !c.closing && !c.last
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
	c.queue = append(c.queue, x)
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

// complete marks the exchange as done and writes all responses that are next in order, unless another goroutine does.
func (c *conn) complete(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.done = true
	if c.busy {
		return
	}
	c.busy = true
	for len(c.queue) > 0 && c.queue[0].done {
		c.answerFirst()
	}
	c.busy = false
	if c.closing && len(c.queue) == 0 {
		c.halfClose()
	}
}

// answerFirst writes the response to the first request in the queue and removes it. Only the response to the last one closes the
// connection, as servers may be at work on the others. The caller holds c.mu, which is not held while the response is written.
func (c *conn) answerFirst() {
	x := c.queue[0]
	if !c.closing && c.ctx.Err() == nil {
		c.last = c.last || x.resp.ConnectionClose() || c.frontend.closesConns()
		x.resp.Header.ResetConnectionClose()
		if c.last && len(c.queue) == 1 {
			x.resp.SetConnectionClose()
			c.closing = true
		}
		c.mu.Unlock()
		c.writeResponse(x)
		c.mu.Lock()
	}
	c.queue = c.queue[1:]
	x.release()
	c.frontend.open.Add(-1)
	<-c.pipeline
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func (c *conn) writeResponse(x *exchange) {
	w := writerPool.Get().(*bufio.Writer) //nolint:errcheck,forcetypeassert // the pool holds nothing else
	defer writerPool.Put(w)
	w.Reset(c)
	err := c.beginWrite()
	if err == nil {
		x.resp.SkipBody = x.resp.SkipBody || x.req.Header.IsHead()
		err = x.resp.Write(w)
	}
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.abort() // a partial response must not be followed by another
	}
	w.Reset(nil)
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
	if c.idle {
		_ = c.net.SetReadDeadline(time.Now()) // fails only on a closed connection
	}
}

func (c *conn) setIdle(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = v
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
