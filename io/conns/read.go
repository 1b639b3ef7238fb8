package conns

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http/httputil"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/io/memory"
)

const (
	// maxHead bounds the bytes of a response besides its body: the header, interim responses before it and trailers. Chunk
	// extensions are bounded to as much, beyond what usual chunk lines take.
	maxHead = readBuffer

	// headTimeout bounds the time from the first to the last byte of a header, and the time for trailers.
	headTimeout = 2 * time.Second

	maxInterim = 8 // limit for responses with a status of 1xx before the final one

	// maxMismatched is how many responses to other requests are skipped before the expected one.
	maxMismatched = 3
)

// Read reads from the connection within the limits of the response that is being read.
func (c *conn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.received >= c.receiveLimit {
		return 0, ErrEndless
	}
	if c.inHead && c.headBegun && c.headBy.IsZero() {
		c.headBy = time.Now().Add(headTimeout)
		if c.headBy.Before(c.readBy) {
			_ = c.net.SetReadDeadline(c.headBy) // fails only on a closed connection, as the read would
		}
	}
	n, err := c.net.Read(b)
	c.received += int64(n)
	c.headBegun = c.headBegun || n > 0
	if c.inHead && errors.Is(err, os.ErrDeadlineExceeded) && !c.headBy.IsZero() && c.headBy.Before(c.readBy) {
		return n, ErrEndless
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// consumed returns how many bytes of the connection have been parsed.
func (c *conn) consumed() int64 { return c.received - int64(c.br.Buffered()) }

// read reads the response to the request until the time given, which is the read deadline of the connection. A server may send a
// second response to an earlier request after that was done; its request id shows this, and the expected response still follows.
// The connection is not reused afterwards.
func (c *conn) read(p *Pool, req *fasthttp.Request, resp *fasthttp.Response, by time.Time, streamed bool) error {
	c.readBy = by
	defer func() { c.receiveLimit = math.MaxInt64 }()
	for i := 0; i < maxMismatched; i++ {
		held := c.memory.Held()
		head, err := c.readHead(resp)
		if err != nil {
			if i > 0 && !errors.Is(err, ErrEndless) {
				return ErrIDMismatch
			}
			return err
		}
		mismatch := idMismatch(req, resp, p.options.Names)
		if err := c.readBody(p, req, resp, head, streamed && !mismatch); err != nil {
			return err
		}
		if !mismatch {
			return nil
		}
		c.memory.Release(c.memory.Held() - held)
		c.broken = true
	}
	return ErrIDMismatch
}

// readHead reads the header of the final response and the interim responses before it, and returns their size in bytes.
func (c *conn) readHead(resp *fasthttp.Response) (size int64, err error) {
	resp.Reset()
	c.untilClose = false
	from := c.consumed()
	read := func(r *bufio.Reader) error {
		if err := checkHead(r); err != nil {
			return err
		}
		return resp.Header.Read(r)
	}
	for i := 0; ; i++ {
		if err := c.readLines(read, from); err != nil {
			return 0, err
		}
		if resp.StatusCode() >= 200 {
			return c.consumed() - from, nil
		}
		if i == maxInterim {
			return 0, ErrEndless
		}
	}
}

// readLines reads a header or trailers with the function given. Lines since the position from may take maxHead bytes.
func (c *conn) readLines(read func(r *bufio.Reader) error, from int64) error {
	c.inHead, c.headBegun, c.headBy = true, c.br.Buffered() > 0, time.Time{}
	err := read(c.br)
	c.inHead = false
	if !c.headBy.IsZero() {
		_ = c.net.SetReadDeadline(c.readBy)
	}
	if err == nil && c.consumed()-from > maxHead || err != nil && isBufferFull(err) {
		return ErrEndless
	}
	return err
}

func isBufferFull(err error) bool {
	var full *fasthttp.ErrSmallBuffer
	return errors.As(err, &full)
}

// readBody reads the body after a header of the given size.
func (c *conn) readBody(p *Pool, req *fasthttp.Request, resp *fasthttp.Response, head int64, streamed bool) error {
	if req.Header.IsHead() || !hasBody(resp.StatusCode()) {
		resp.SkipBody = true
		return nil
	}
	size := resp.Header.ContentLength()
	if size < -1 {
		if !p.options.CloseDelimited || streamed {
			return ErrNoLength
		}
		c.broken, c.untilClose = true, true // a reset before the end is an error
	}
	resp.StreamBody = streamed
	switch {
	case streamed:
		return resp.ReadBody(c.br, p.options.MaxBody)
	case size > p.options.MaxBody:
		return ErrEndless
	case size >= 0:
		if err := c.memory.ReserveResponse(size); err != nil {
			return err
		}
		return resp.ReadBody(c.br, p.options.MaxBody)
	case size == -1:
		return c.readChunked(p, resp, head)
	}
	b, err := c.readAll(p, c.br)
	if err != nil {
		return err
	}
	resp.SwapBody(b)
	resp.Header.SetContentLength(len(b))
	return nil
}

// readChunked reads a chunked body and its trailers after a header of the given size.
func (c *conn) readChunked(p *Pool, resp *fasthttp.Response, head int64) error {
	from := c.consumed()
	// The lines of very small chunks take more than their data.
	c.receiveLimit = c.received + maxHead + 2*int64(p.options.MaxBody)
	b, err := c.readAll(p, httputil.NewChunkedReader(c.br))
	switch lines := c.consumed() - from - int64(len(b)); {
	case errors.Is(err, httputil.ErrLineTooLong), err != nil && lines > maxHead && !isConnError(err):
		return ErrEndless
	case err != nil:
		return err
	}
	resp.SwapBody(b)
	return c.readLines(resp.Header.ReadTrailer, c.consumed()-head)
}

// readAll reads a body of unknown length.
func (c *conn) readAll(p *Pool, r io.Reader) ([]byte, error) {
	held := c.memory.Held()
	b, err := memory.ReadAll(r, p.options.MaxBody, c.memory.ReserveResponse)
	switch {
	case err == nil:
		c.memory.Release(c.memory.Held() - held - cap(b))
	case errors.Is(err, memory.ErrTooLarge):
		return b, ErrEndless
	case errors.Is(err, memory.ErrNoMemory) && b == nil: // nothing has been read
		b, err = memory.ReadAll(r, min(p.options.MaxBody, memory.MaxUnreserved), func(int) error { return nil })
		if errors.Is(err, memory.ErrTooLarge) {
			return b, memory.ErrNoMemory
		}
	}
	return b, err
}

// isConnError reports whether the connection failed or ended.
func isConnError(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n)
}
