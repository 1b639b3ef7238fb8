package front

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/io/memory"
)

// awaitRequest waits for the first byte of the next request. It returns an error if the connection ended or, with no request
// pending, was idle for too long. Once the daemon stops, or the connection is evicted, it closes the connection when that is idle.
func (c *conn) awaitRequest() error {
	c.setIdle(true)
	defer c.setIdle(false)
	for {
		idle, closing := c.frontend.o.Limits().IdleTimeout, c.isClosing()
		if closing {
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
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		woken := c.closesWhenIdle() && !closing // the time-out may be that of wakeIdle
		if c.pending() == 0 && !woken {
			return err
		}
	}
}

// closeIfIdle closes the connection for further requests if it is to be closed, no request is in progress and none has arrived, as far as
// this side's system knows. Only the goroutine that reads calls it.
func (c *conn) closeIfIdle() bool {
	if !c.closesWhenIdle() || c.br.Buffered() > 0 || c.hasUnread() {
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
