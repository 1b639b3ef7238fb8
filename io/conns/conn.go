package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"math"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/retry"
	"heatherrouter/io/memory"
)

const (
	readBuffer  = 16 << 10 // bytes; also the limit for each header
	writeBuffer = 4 << 10

	// earlyResponseWait is how long to wait for a response after a failed write: a server may refuse a large body and
	// close before it has read it.
	earlyResponseWait = 50 * time.Millisecond

	// minLaterResponses is the number of responses on other connections, since an exchange was sent, after which its
	// connection is considered unresponsive. It exceeds the slots of a server, so some of these exchanges were sent
	// later.
	minLaterResponses = 6

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT, missing in package syscall

	keepAliveInterval = time.Second
	keepAliveCount    = 3

	// userTimeout is the time after which the kernel ends a connection without acknowledgements. While it is set, it also decides when
	// keep-alive probes give up, whatever their count, so that it must not exceed the time that the probes take.
	userTimeout = keepAliveInterval + keepAliveCount*keepAliveInterval
)

// conn is one connection; it carries at most one exchange at a time.
type conn struct {
	number       ConnNumber
	net          *net.TCPConn
	raw          syscall.RawConn
	br           *bufio.Reader
	bw           *bufio.Writer
	stallTimeout time.Duration // limit for each write of a streamed body; 0 where only the deadline applies
	wrote        bool          // the connection accepted some byte of the current request
	writeErr     error         // of the current request; nil if sending failed before the connection
	broken       bool          // must not be reused
	unanswered   bool          // the current request has no whole response
	untilClose   bool          // the body of the current response ends with the connection
	used         bool          // something was sent on it
	idleSince    time.Time
	sent         []sentRequest // requests that may be sent again

	memory       *memory.Reservation // for the body of the current response; nil for no limit
	received     int64               // bytes since the connection was opened
	receiveLimit int64               // of received, while a body without a stated length is read
	readErr      error               // of the connection, which reports a reset once and then the end of the data
	readBy       time.Time           // read deadline of the response that is being read
	inHead       bool                // a header or trailers are being read
	headBegun    bool                // some of them has been received
	headBy       time.Time           // their deadline, set once some of them is missing

	// stopCancel stops closing the connection on cancellation; false if the cancellation came first.
	stopCancel func() bool

	peekFunc func(fd uintptr)
	peekOpen bool
	peekByte [1]byte
}

func (p *Pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	d := net.Dialer{
		Timeout:  p.options.DialTimeout,
		Deadline: deadline,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, userTimeout)
		},
	}
	n, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	t := n.(*net.TCPConn) //nolint:errcheck // a tcp dial gives no other
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, trace.NewAggregate(err, t.Close())
	}
	c := &conn{number: ConnNumber(lastConn.Add(1)), net: t, raw: raw}
	c.receiveLimit = math.MaxInt64
	c.br = bufio.NewReaderSize(c, readBuffer)
	c.bw = bufio.NewWriterSize(c, writeBuffer)
	c.peekFunc = c.peek
	return c, nil
}

// setUserTimeout makes the kernel abort a connection whose bytes are not acknowledged. A middlebox may have lost the
// connection state; writes would then seem to succeed for many minutes.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	errc := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds())) //nolint:gosec // a descriptor
	})
	return errors.Join(errc, err)
}

// Write records whether the connection accepted any byte: this decides between the outcomes not run and unknown.
func (c *conn) Write(b []byte) (int, error) {
	if c.stallTimeout > 0 {
		if err := c.net.SetWriteDeadline(time.Now().Add(c.stallTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.net.Write(b)
	if n > 0 {
		c.wrote = true
	}
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// alive reports, without waiting, whether an idle connection is still open and has no unread bytes. The kernel
// accepts a request on a half-closed connection and loses it, which leaves its outcome unknown.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	c.peekOpen = false
	// Not raw.Read: it would fail on the read deadline of the last exchange, which may have passed.
	if err := c.raw.Control(c.peekFunc); err != nil {
		return false
	}
	return c.peekOpen
}

func (c *conn) peek(fd uintptr) {
	_, _, err := syscall.Recvfrom(int(fd), c.peekByte[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a descriptor
	c.peekOpen = errors.Is(err, syscall.EAGAIN)                                                  // any other result is end of file, an error or unsolicited bytes
}

// close closes the connection. With an exchange unanswered it sends a reset: otherwise bytes delayed in the network
// could be delivered after the sender has given up, when this home may no longer own what the request is for.
func (c *conn) close() {
	c.broken = true
	if c.unanswered {
		_ = c.net.SetLinger(0) // fails only on a closed connection
	}
	_ = c.net.Close()
}

// reusable reports whether the next response on the connection can only belong to the next request.
func (c *conn) reusable() bool {
	return !c.broken && c.br.Buffered() == 0
}

// do runs one exchange. The connection must be discarded after a result with an error, except ErrGuard on an unbroken
// one, before which nothing was written.
func (c *conn) do(ctx context.Context, p *Pool, call Call, req *fasthttp.Request, resp *fasthttp.Response, streamed bool) Result {
	c.wrote, c.writeErr, c.unanswered, c.memory = false, nil, true, call.Memory
	held := c.memory.Held()
	if err := ctx.Err(); err != nil {
		return c.failure(true, err)
	}
	c.closeOnCancel(ctx)
	if err := c.waitForReset(call); err != nil {
		c.stopCancel()
		return c.failure(ctx.Err() != nil, err)
	}
	var ours bool
	var err error
	if !req.IsBodyStream() && len(req.Body()) > concurrentBodySize {
		err = c.exchangeLarge(p, call, req, resp)
	} else {
		err = c.send(p, call, req)
		ours = err != nil && c.writeErr == nil // the guard refused, or the caller's body was truncated
		if err == nil || c.wrote && c.writeErr != nil && !isTimeout(err) && ctx.Err() == nil {
			err = c.receive(p, call, req, resp, streamed, err)
		}
	}
	if (!streamed || err != nil) && !c.stopCancel() {
		c.broken = true // the cancellation is closing or has closed the connection
	}
	if err == nil && c.untilClose && isReset(c.writeErr) {
		err = c.writeErr
	}
	reserved := c.memory.Held() - held
	c.memory = nil
	if err != nil {
		call.Memory.Release(reserved)
		ours = ours || ctx.Err() != nil || errors.Is(err, ErrNoLength) || errors.Is(err, memory.ErrNoMemory)
		return c.failure(ours, err)
	}
	identified := p.options.Names.RequestID != "" && len(resp.Header.Peek(p.options.Names.RequestID)) > 0
	if resp.ConnectionClose() || p.options.ReuseIdentified && !identified {
		c.broken = true
	}
	c.unanswered = streamed
	p.responses.Add(1)
	r := classify(resp, p.options.Names)
	r.Reserved, r.Identified = reserved, identified
	return r
}

// waitForReset waits on a new connection for a reset by the server.
func (c *conn) waitForReset(call Call) error {
	if c.used || call.ResetWait == 0 {
		return nil
	}
	if err := c.net.SetReadDeadline(time.Now().Add(call.ResetWait)); err != nil {
		return err
	}
	if _, err := c.br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err // nil if the server sent bytes first: reading the response handles them
	}
	// A large body is sent while the response is read, so the short read deadline must be replaced before either
	// starts.
	return c.net.SetReadDeadline(call.Deadline)
}

// concurrentBodySize is the body size in bytes above which a body is sent while the response is read. A server may
// respond before it has read a large body and then stop reading. Below this size the buffers on the path hold the
// whole body.
const concurrentBodySize = 4 << 10

// exchangeLarge sends a large body and reads the response at the same time. A connection whose response came before
// the body was sent is not reused: the server would read the next request as the rest of the body.
func (c *conn) exchangeLarge(p *Pool, call Call, req *fasthttp.Request, resp *fasthttp.Response) error {
	sent := make(chan error, 1)
	go func() {
		err := c.send(p, call, req)
		if err != nil && !c.wrote {
			_ = c.net.Close() // nothing was sent, so there will be no response
		}
		sent <- err
	}()
	err := c.read(p, req, resp, call.Deadline, false)
	select {
	case serr := <-sent:
		c.broken = c.broken || serr != nil
		if err != nil && serr != nil {
			return serr
		}
		return err
	default:
	}
	c.broken = true
	_ = c.net.Close()
	if serr := <-sent; err != nil && serr != nil && !c.wrote {
		return serr
	}
	return err
}

// closeOnCancel closes the connection when the context ends; the server treats that as a cancellation.
func (c *conn) closeOnCancel(ctx context.Context) {
	c.stopCancel = neverCancelled
	if ctx.Done() != nil {
		c.stopCancel = context.AfterFunc(ctx, func() {
			_ = c.net.SetLinger(0) // reset, as close does
			_ = c.net.Close()
		})
	}
}

func neverCancelled() bool { return true }

func (c *conn) send(p *Pool, call Call, req *fasthttp.Request) error {
	c.stallTimeout = 0
	if err := c.net.SetDeadline(call.Deadline); err != nil {
		return err
	}
	if req.IsBodyStream() {
		c.stallTimeout = p.options.StallTimeout
	}
	if call.Guard != nil && !call.Guard() {
		return ErrGuard
	}
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// receive reads the response. The argument sent is the error of sending, if any; it is returned unless a whole
// response arrives.
func (c *conn) receive(p *Pool, call Call, req *fasthttp.Request, resp *fasthttp.Response, streamed bool, sent error) error {
	by := call.Deadline
	if sent != nil {
		c.broken = true
		by = time.Now().Add(earlyResponseWait)
		_ = c.net.SetReadDeadline(by)
	} else if err := c.awaitResponse(p, call); err != nil {
		return err
	}
	err := c.read(p, req, resp, by, streamed)
	if err != nil && sent != nil {
		return sent
	}
	return err
}

// awaitResponse waits for the first byte of the response. From SuspectAt on it gives up a connection if enough other
// connections get responses: a middlebox has lost its state, or the server has lost it.
//
// If all connections in use become unresponsive at once, few others remain, and the unresponsive ones would occupy
// all slots until their deadlines. A probe answered on a new connection then shows that the server is up. It says
// little about a slow request, so it does not count against a new connection: a retry, which finds the idle
// connections closed and dials, is not given up for the same reason.
func (c *conn) awaitResponse(p *Pool, call Call) error {
	before, sent := p.responses.Load(), time.Now()
	for at := call.SuspectAt; !at.IsZero() && at.Before(call.Deadline); at = time.Now().Add(p.options.ProbeTimeout) {
		if err := c.net.SetReadDeadline(at); err != nil {
			return err
		}
		_, err := c.br.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			break // read returns the error again
		}
		if p.responses.Load()-before >= minLaterResponses || c.used && p.lastProbe.Load() > sent.UnixNano() {
			p.closeIdle() // the cause may affect the idle connections as well
			return ErrUnresponsive
		}
	}
	return c.net.SetReadDeadline(call.Deadline)
}

// idMismatch reports whether the response carries the id of another request. Servers that echo the request id also
// protect callers from responses that the server itself mixes up; nothing else reveals such an error.
func idMismatch(req *fasthttp.Request, resp *fasthttp.Response, n Names) bool {
	if n.RequestID == "" {
		return false
	}
	own := req.Header.Peek(n.RequestID)
	for _, id := range resp.Header.PeekAll(n.RequestID) { // a server may break off a header and go on with that of another response
		if len(id) > 0 && !bytes.Equal(id, own) {
			return true
		}
	}
	return false
}

// isReset reports whether a write failed because the connection had failed before the other side ended its data. The system
// reports that once: a later read finds the end of the data, as if the response were whole. After the end of its data the
// error would be EPIPE.
func isReset(err error) bool {
	var e syscall.Errno
	return errors.As(err, &e) && e != syscall.EPIPE
}

func hasBody(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// failure returns the result of an exchange without a whole response. The argument ours is true if this side ended
// it, so that it does not count against the server.
func (c *conn) failure(ours bool, err error) Result {
	r := Result{Outcome: retry.NotRun, Err: err}
	if c.wrote {
		r.Outcome = retry.Unknown
	}
	switch {
	case errors.Is(err, ErrGuard):
		r.End = admit.EndNoConnFree
	case ours:
		r.End = admit.EndCancelled
	case errors.Is(err, ErrUnresponsive):
		r.End = admit.EndUnresponsive
	case errors.Is(err, ErrEndless):
		r.End = admit.EndEndless
	case isTimeout(err):
		r.End = admit.EndTimeout
	default:
		r.End = admit.EndReset
	}
	return r
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, syscall.ETIMEDOUT)
}
