package front

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"heatherrouter/core/buffer"
)

const (
	// sendBufferBytes is the system's buffer for each caller's connection where memory is limited. The bytes of a response count as held
	// until the system has accepted them, and by default it accepts megabytes for a caller that does not read.
	sendBufferBytes = 64 << 10

	// progressInterval is the time between two checks whether a caller reads.
	progressInterval = time.Second
)

// writing is the progress of writing one response.
type writing struct {
	began  time.Time
	reader buffer.Reader
}

var errSlowCaller = errors.New("caller does not read its response")

func (c *conn) limitSendBuffer() {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(sendBufferBytes) // fails only on a closed connection
	}
}

func (c *conn) resetOnClose() {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
}

// beginWrite sets the deadline for the first bytes of a response.
func (c *conn) beginWrite() error {
	c.writing = writing{began: time.Now()}
	if c.frontend.o.Memory == nil {
		return c.net.SetWriteDeadline(c.writing.began.Add(writeTimeout))
	}
	c.frontend.o.Memory.Begin(&c.writing.reader)
	return c.net.SetWriteDeadline(c.writing.began.Add(progressInterval))
}

// Write writes to the caller until writeTimeout after the beginning of the response, or until the caller hardly reads while requests are
// refused for lack of memory.
func (c *conn) Write(b []byte) (int, error) {
	total := 0
	for {
		n, err := c.net.Write(b[total:])
		total += n
		if c.frontend.o.Memory == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return total, err
		}
		if err := c.continueWrite(n); err != nil {
			return total, err
		}
	}
}

// continueWrite sets the next deadline after n bytes have been written until the last one.
func (c *conn) continueWrite(n int) error {
	now, end := time.Now(), c.writing.began.Add(writeTimeout)
	if !now.Before(end) || c.frontend.o.Memory.Reclaims(&c.writing.reader, n) {
		c.resetOnClose() // the system would go on to hold what the caller has not read
		return errSlowCaller
	}
	next := now.Add(progressInterval)
	if end.Before(next) {
		next = end
	}
	return c.net.SetWriteDeadline(next)
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
	if len(c.queue) > 0 {
		return
	}
	if c.closing {
		c.halfClose()
	} else if c.frontend.stopping.Load() {
		c.wakeIdleLocked() // it wasn't idle when Shutdown closed idle connections
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
