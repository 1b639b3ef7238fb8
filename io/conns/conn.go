package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/retry"
)

const (
	readBuffer  = 16 << 10 // bounds the header of an answer
	writeBuffer = 4 << 10

	// earlyAnswer is how long to look for an answer after a write failed: a server may refuse a large body
	// and close before it has read it.
	earlyAnswer = 50 * time.Millisecond

	// othersAnswered is how many exchanges must have been answered since an exchange was sent to call its
	// connection silent. It is more than the slots of a server, so that some of them were sent later.
	othersAnswered = 6

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT, which package syscall lacks

	keepAliveEvery = time.Second
	keepAliveCount = 3
)

// conn is one connection with at most one exchange at a time.
type conn struct {
	net        *net.TCPConn
	raw        syscall.RawConn
	br         *bufio.Reader
	bw         *bufio.Writer
	stall      time.Duration // bounds each write of a streamed body; 0 while the deadline does
	wrote      bool          // some byte of the present request was taken
	writeErr   error         // of the present request; nil when sending failed on our side of the connection
	broken     bool          // must not be used again
	unanswered bool          // the present request has no whole answer
	used       bool          // had an exchange
	idleSince  time.Time

	// stopCancel ends the watch for cancellation, and returns false when that came first.
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
			Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, p.options.StallTimeout)
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
	c := &conn{net: t, raw: raw}
	c.br = bufio.NewReaderSize(t, readBuffer)
	c.bw = bufio.NewWriterSize(c, writeBuffer)
	c.peekFunc = c.peek
	return c, nil
}

// setUserTimeout makes the kernel give up a connection whose bytes are not acknowledged. Something between
// the two ends may have lost track of it; without it, writes seem to succeed for many minutes.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	errc := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds())) //nolint:gosec // a descriptor
	})
	return errors.Join(errc, err)
}

// Write counts what the connection took, since that decides between not run and unknown.
func (c *conn) Write(b []byte) (int, error) {
	if c.stall > 0 {
		if err := c.net.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
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

// alive looks whether the server has closed the idle connection, without waiting. A request written to a
// half-closed one is taken by the kernel and lost, which leaves its outcome unknown.
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
	c.peekOpen = errors.Is(err, syscall.EAGAIN)                                                  // anything else is an end or bytes that nobody asked for
}

// close ends the connection. With an exchange unanswered it is reset: bytes that something on the way holds up would
// else be delivered after the sender has given up, when what they ask for may be somebody else's.
func (c *conn) close() {
	c.broken = true
	if c.unanswered {
		_ = c.net.SetLinger(0) // fails only on a closed connection
	}
	_ = c.net.Close()
}

// reusable reports whether the next answer on the connection can only belong to the next request.
func (c *conn) reusable() bool {
	return !c.broken && c.br.Buffered() == 0
}

// do runs one exchange. After any result with an error the connection must be discarded.
func (c *conn) do(ctx context.Context, p *Pool, call Call, req *fasthttp.Request, resp *fasthttp.Response, streamed bool) Result {
	c.wrote, c.writeErr, c.unanswered = false, nil, true
	if err := ctx.Err(); err != nil {
		return c.failure(true, err)
	}
	c.cancelWith(ctx)
	if err := c.settle(call); err != nil {
		c.stopCancel()
		return c.failure(ctx.Err() != nil, err)
	}
	var ours bool
	var err error
	if !req.IsBodyStream() && len(req.Body()) > earlyBody {
		err = c.exchangeLarge(p, call, req, resp)
	} else {
		err = c.send(p, call, req)
		ours = err != nil && c.writeErr == nil // the guard, or the caller's body was cut
		if err == nil || c.wrote && c.writeErr != nil && !isTimeout(err) && ctx.Err() == nil {
			err = c.receive(p, call, req, resp, streamed, err)
		}
	}
	if (!streamed || err != nil) && !c.stopCancel() {
		c.broken = true // the cancellation runs or has run, and closes the connection
	}
	if err != nil {
		ours = ours || ctx.Err() != nil || errors.Is(err, ErrNoLength) || errors.Is(err, fasthttp.ErrBodyTooLarge)
		return c.failure(ours, err)
	}
	if resp.ConnectionClose() {
		c.broken = true
	}
	c.unanswered = streamed
	p.answers.Add(1)
	return answer(resp, p.options.Names)
}

// settle waits for a reset of a new connection.
func (c *conn) settle(call Call) error {
	if c.used || call.Settle == 0 {
		return nil
	}
	if err := c.net.SetReadDeadline(time.Now().Add(call.Settle)); err != nil {
		return err
	}
	if _, err := c.br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err // nil where the server speaks first: reading the answer finds out what that is
	}
	// A long body is sent while the answer is read, so the time of this look must be over for both.
	return c.net.SetReadDeadline(call.Deadline)
}

// earlyBody is the size in bytes from which a body is sent while the answer is read. A server may answer before it has
// read a long body, and reads on, or not, later; below this size the buffers on the way take the whole body.
const earlyBody = 4 << 10

// exchangeLarge sends a long body and reads the answer at the same time. A connection on which the answer came before
// the body was out is not used again: the server takes what comes next for the rest of the body.
func (c *conn) exchangeLarge(p *Pool, call Call, req *fasthttp.Request, resp *fasthttp.Response) error {
	sent := make(chan error, 1)
	go func() {
		err := c.send(p, call, req)
		if err != nil && !c.wrote {
			_ = c.net.Close() // nothing was sent, so nothing will be answered
		}
		sent <- err
	}()
	err := c.read(p, req, resp, false)
	select {
	case serr := <-sent:
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

// cancelWith closes the connection when the context ends: the server takes that for a cancellation.
func (c *conn) cancelWith(ctx context.Context) {
	c.stopCancel = neverCancelled
	if ctx.Done() != nil {
		c.stopCancel = context.AfterFunc(ctx, func() {
			_ = c.net.SetLinger(0) // as close does
			_ = c.net.Close()
		})
	}
}

func neverCancelled() bool { return true }

func (c *conn) send(p *Pool, call Call, req *fasthttp.Request) error {
	c.stall = 0
	if err := c.net.SetDeadline(call.Deadline); err != nil {
		return err
	}
	if req.IsBodyStream() {
		c.stall = p.options.StallTimeout
	}
	if call.Guard != nil && !call.Guard() {
		return ErrGuard
	}
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// receive reads the answer; sent is the error of sending, if any, which stands unless a whole answer came.
func (c *conn) receive(p *Pool, call Call, req *fasthttp.Request, resp *fasthttp.Response, streamed bool, sent error) error {
	if sent != nil {
		c.broken = true
		_ = c.net.SetReadDeadline(time.Now().Add(earlyAnswer))
	} else if err := c.await(p, call); err != nil {
		return err
	}
	err := c.read(p, req, resp, streamed)
	if err != nil && sent != nil {
		return sent
	}
	return err
}

// await waits for the first byte of the answer. From SuspectAt on it gives up a connection that is passed
// by others: something between the two ends has lost track of it, or the server forgot it.
//
// When every connection in use goes silent at once few others are left, and all slots would stay taken by the
// silent ones until their deadlines. A probe on a new connection then shows that the server is there. That alone says
// little of a slow request, so it is not held against a new connection: the next send, which finds the idle ones
// closed and gets a new one, is not given up for the same reason.
func (c *conn) await(p *Pool, call Call) error {
	before, sent := p.answers.Load(), time.Now()
	for at := call.SuspectAt; !at.IsZero() && at.Before(call.Deadline); at = time.Now().Add(p.options.ProbeTimeout) {
		if err := c.net.SetReadDeadline(at); err != nil {
			return err
		}
		_, err := c.br.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			break // read reports the error again
		}
		if p.answers.Load()-before >= othersAnswered || c.used && p.probed.Load() > sent.UnixNano() {
			p.closeIdle() // whatever silenced this one may have silenced them
			return ErrSilent
		}
	}
	return c.net.SetReadDeadline(call.Deadline)
}

const maxInterim = 8 // answers with a status of 1xx before the final one

// maxForeign is how many answers to other requests are passed over in front of the one that is due.
const maxForeign = 3

// read reads the answer. A server may send a second answer to an earlier request after that was done; by its id it is
// known to be no answer to this one, which still follows. The connection is not used again afterwards.
func (c *conn) read(p *Pool, req *fasthttp.Request, resp *fasthttp.Response, streamed bool) error {
	for i := 0; i < maxForeign; i++ {
		if err := c.readHead(resp); err != nil {
			if i > 0 {
				return ErrForeign
			}
			return err
		}
		foreign := isForeign(req, resp, p.options.Names)
		if err := c.readBody(p, req, resp, streamed && !foreign); err != nil {
			return err
		}
		if !foreign {
			return nil
		}
		c.broken = true
	}
	return ErrForeign
}

func (c *conn) readHead(resp *fasthttp.Response) error {
	resp.Reset()
	for i := 0; ; i++ {
		if err := resp.Header.Read(c.br); err != nil {
			return err
		}
		if s := resp.StatusCode(); s >= 200 || s < 100 {
			return nil
		}
		if i == maxInterim {
			return trace.LimitExceeded("too many interim answers")
		}
	}
}

func (c *conn) readBody(p *Pool, req *fasthttp.Request, resp *fasthttp.Response, streamed bool) error {
	if req.Header.IsHead() || !hasBody(resp.StatusCode()) {
		resp.SkipBody = true
		return nil
	}
	if resp.Header.ContentLength() < -1 {
		if !p.options.Unframed || streamed {
			return ErrNoLength
		}
		c.broken = true // the answer ends with its connection; one that is reset on the way ends with an error
	}
	resp.StreamBody = streamed
	if err := resp.ReadBody(c.br, p.options.MaxBody); err != nil {
		return err
	}
	if !streamed && resp.Header.ContentLength() == -1 {
		return resp.Header.ReadTrailer(c.br)
	}
	return nil
}

// isForeign reports whether the server says that it answers another request. Servers that echo the request's id
// protect their callers also from answers that the server itself mixes up; nothing else could tell them apart.
func isForeign(req *fasthttp.Request, resp *fasthttp.Response, n Names) bool {
	if n.RequestID == "" {
		return false
	}
	id := resp.Header.Peek(n.RequestID)
	return len(id) > 0 && !bytes.Equal(id, req.Header.Peek(n.RequestID))
}

func hasBody(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// failure tells what is certain after an exchange without a whole answer; ours is whether our side ended it,
// so that it doesn't count against the server.
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
	case errors.Is(err, ErrSilent):
		r.End = admit.EndUnresponsive
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
