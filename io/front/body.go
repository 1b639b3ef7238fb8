package front

import (
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"heatherrouter/io/memory"
)

// reserveBody reserves the memory for a request's body of known length.
func (c *conn) reserveBody(x *exchange, limit int) error {
	n := x.req.Header.ContentLength()
	if c.frontend.o.Memory == nil || n == 0 || n < -1 {
		return nil
	}
	x.memory.Priority = c.frontend.o.Priority(&x.req.Header)
	if n > limit {
		return fasthttp.ErrBodyTooLarge
	}
	return c.reserve(x, max(0, n), limit)
}

// reserve reserves n more bytes for a request's body. The bodies of all requests in progress on a connection may be as large as the limit
// for one: it waits for the responses to earlier requests if they would be larger.
func (c *conn) reserve(x *exchange, n, limit int) error {
	for !c.mayHold(x.body+n, limit) {
		select {
		case <-c.answered:
		case <-c.ctx.Done():
			return errCallerLeft
		}
	}
	if err := x.memory.ReserveRequest(n); err != nil {
		return err
	}
	x.body += n
	return nil
}

// mayHold reports whether a body of n bytes may be held in addition to those of requests in progress.
func (c *conn) mayHold(n, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodies == 0 || c.bodies+n <= limit
}

// releaseBody gives back the memory of a request's body, which is not needed after its response is known.
func (c *conn) releaseBody(x *exchange) {
	if x.body == 0 {
		return
	}
	x.req.ResetBody()
	x.memory.Release(x.body)
	c.mu.Lock()
	c.bodies -= x.body
	c.mu.Unlock()
	x.body = 0
	select {
	case c.answered <- struct{}{}:
	default:
	}
}

// readBody reads a request's body.
func (c *conn) readBody(x *exchange, limit int) error {
	if c.frontend.o.Memory == nil || x.req.Header.ContentLength() != -1 {
		return x.req.ContinueReadBody(c.br, limit, false)
	}
	b, err := memory.ReadAll(httputil.NewChunkedReader(c.br), limit, func(n int) error { return c.reserve(x, n, limit) })
	if err != nil {
		return err
	}
	x.memory.Release(x.body - cap(b))
	x.body = min(x.body, cap(b))
	if len(b) == 0 {
		x.req.Header.SetContentLength(0)
	}
	x.req.SetBodyRaw(b)
	if err := x.req.Header.ReadTrailer(c.br); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}
