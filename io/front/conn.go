package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxAhead is how many requests of one connection are worked on at once. Callers send a few ahead of the answers.
	maxAhead = 16

	// bodyTime bounds the reading of one body. Deadlines of requests are far shorter; it only frees the connection of a
	// caller that vanished in the middle.
	bodyTime = 30 * time.Second

	// writeTime bounds the writing of one answer to a caller that doesn't read.
	writeTime = 30 * time.Second

	// lingerTime is how long a connection is read on after its last answer. Closed at once with requests unread, it
	// would be reset, and the caller's system may drop an answer that is still on its way.
	lingerTime = time.Second

	writeBuffer = 4 << 10
)

// conn is one caller's connection.
type conn struct {
	front  *Front
	net    net.Conn
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelCauseFunc
	ahead  chan struct{} // one for each request under way

	mu    sync.Mutex
	queue []*exchange // in the order of the requests
	last  bool        // an answer has been given that closes the connection
	idle  bool        // waits for the first byte of a request
}

// exchange is one request and its answer.
type exchange struct {
	req  *fasthttp.Request
	resp *fasthttp.Response
	done bool
}

// errLeft is the cause for which a context ends when its caller has left.
var errLeft = errors.New("the caller has left")

func newConn(f *Front, n net.Conn) *conn {
	c := &conn{front: f, net: n, br: bufio.NewReaderSize(n, f.o.Limits().MaxHeaderBytes), ahead: make(chan struct{}, maxAhead)}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// serve reads requests until the caller leaves or an answer closes the connection. It goes on reading while requests
// are under way, since only so it learns that the caller has left.
func (c *conn) serve() {
	defer c.net.Close()
	for {
		if err := c.await(); err != nil {
			break
		}
		if c.ended() {
			c.discard()
			break
		}
		x := &exchange{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse()}
		status, err := c.read(x.req)
		if err != nil && status == 0 {
			break
		}
		c.ahead <- struct{}{}
		c.push(x)
		if err != nil {
			c.refuse(x, status)
			continue
		}
		go c.run(x)
	}
	c.cancel(errLeft)
	for range maxAhead {
		c.ahead <- struct{}{} // until the last request under way has ended
	}
}

// await waits for the first byte of the next request, or the end of the connection.
func (c *conn) await() error {
	c.setIdle(true)
	defer c.setIdle(false)
	for {
		idle := c.front.o.Limits().IdleTimeout
		if c.ended() {
			idle = lingerTime
		}
		if err := c.net.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return err
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.pending() == 0 {
			return err
		}
	}
}

// discard reads what comes behind the last answer until the caller closes.
func (c *conn) discard() {
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection, as the read would
	_, _ = io.Copy(io.Discard, c.br)
}

// read reads one request. With an error, the status is the answer to give, or 0 for none.
func (c *conn) read(req *fasthttp.Request) (status int, err error) {
	l := c.front.o.Limits()
	if err := c.net.SetReadDeadline(time.Now().Add(l.HeaderTimeout)); err != nil {
		return 0, err
	}
	if err := req.Header.Read(c.br); err != nil {
		return headStatus(err), err
	}
	if err := c.net.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		return 0, err
	}
	if req.MayContinue() {
		if err := c.interim(); err != nil {
			return 0, err
		}
	}
	if err := req.ContinueReadBody(c.br, l.MaxBodyBytes, false); err != nil {
		return bodyStatus(err), err
	}
	return 0, nil
}

func headStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case isCut(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

func bodyStatus(err error) int {
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	case isCut(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// isCut reports whether the caller's connection ended in the middle of a request.
func isCut(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}

// interim tells a caller that waits for it to send the body. With answers due before, it isn't sent: callers send the
// body after a short wait.
func (c *conn) interim() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return nil
	}
	_, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

func (c *conn) push(x *exchange) {
	c.front.open.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, x)
}

// refuse answers a request that can't be read. Where the next one would begin isn't known, so the answer closes.
func (c *conn) refuse(x *exchange, status int) {
	x.resp.SetStatusCode(status)
	x.resp.SetConnectionClose()
	c.finish(x)
}

func (c *conn) run(x *exchange) {
	c.front.o.Handler(c.ctx, x.req, x.resp)
	c.finish(x)
}

// finish gives the answers that are next in order.
func (c *conn) finish(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.done = true
	for len(c.queue) > 0 && c.queue[0].done {
		c.write(c.queue[0])
		c.queue = c.queue[1:]
		c.front.open.Add(-1)
		<-c.ahead
	}
	if c.last && len(c.queue) == 0 {
		c.hangUp()
	}
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// write gives one answer, unless an earlier one has closed the connection: what stood behind that counts as not read.
func (c *conn) write(x *exchange) {
	defer fasthttp.ReleaseRequest(x.req)
	defer fasthttp.ReleaseResponse(x.resp)
	if c.last || c.ctx.Err() != nil {
		return
	}
	if x.req.Header.ConnectionClose() || c.front.leaving.Load() || c.front.o.Away() {
		x.resp.SetConnectionClose()
	}
	c.last = x.resp.ConnectionClose()
	w := writers.Get().(*bufio.Writer) //nolint:errcheck,forcetypeassert // the pool holds nothing else
	defer writers.Put(w)
	w.Reset(c.net)
	err := c.net.SetWriteDeadline(time.Now().Add(writeTime))
	if err == nil {
		x.resp.SkipBody = x.resp.SkipBody || x.req.Header.IsHead()
		err = x.resp.Write(w)
	}
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.cut() // half an answer must not be followed by another
	}
	w.Reset(nil)
}

// hangUp ends our side of the connection; the caller reads the last answer and closes its own.
func (c *conn) hangUp() {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails only when the caller has closed
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
}

// cut ends the connection without regard to what is under way.
func (c *conn) cut() {
	c.cancel(errLeft)
	_ = c.net.Close()
}

// closeIdle closes the connection if no request is under way and none has begun to come.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && len(c.queue) == 0 {
		c.last = true
		c.hangUp()
	}
}

func (c *conn) setIdle(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = v
}

func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

func (c *conn) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}
