package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/io/fakes"
)

var volumePrefix = []byte("/volume/")

const sizeArg = "size"

// volumeSize returns the size of the large body that is asked for, by /volume/BYTES at the end of the path or
// by ?size=BYTES on any path.
func volumeSize(c *fasthttp.RequestCtx) (int64, bool) {
	var b []byte
	if len(c.URI().QueryString()) > 0 {
		b = c.QueryArgs().Peek(sizeArg)
	}
	if i := bytes.LastIndex(c.Path(), volumePrefix); len(b) == 0 && i >= 0 {
		b = c.Path()[i+len(volumePrefix):]
	}
	if len(b) == 0 {
		return 0, false
	}
	n, err := strconv.ParseInt(string(b), 10, 64)
	return n, err == nil && n >= 0
}

const (
	patternLen = 65521 // a prime, so that a body shifted by a chunk doesn't look right
	chunk      = 32 << 10
)

var pattern = func() []byte {
	p := make([]byte, patternLen)
	x := uint32(1)
	for i := range p {
		x = x*1664525 + 1013904223
		p[i] = byte(x >> 24)
	}
	return p
}()

// Fill writes the bytes of every large body from the offset on.
func Fill(p []byte, offset int64) {
	for len(p) > 0 {
		n := copy(p, pattern[offset%patternLen:])
		p, offset = p[n:], offset+int64(n)
	}
}

// volume answers with a large body, or the range of it that was asked for. It reports whether a body follows.
func (s *Server) volume(c *fasthttp.RequestCtx, j job, size int64) bool {
	h := &c.Response.Header
	h.Set("Accept-Ranges", "bytes")
	h.Set("ETag", fmt.Sprintf(`"v%d"`, size))
	c.SetContentType("application/octet-stream")
	first, last := int64(0), size-1
	if r := c.Request.Header.Peek("Range"); len(r) > 0 && size > 0 {
		a, b, err := fasthttp.ParseByteRange(r, int(size))
		if err != nil {
			c.SetStatusCode(fasthttp.StatusRequestedRangeNotSatisfiable)
			h.Set("Content-Range", fmt.Sprintf("bytes */%d", size))
			return false
		}
		first, last = int64(a), int64(b)
		c.SetStatusCode(fasthttp.StatusPartialContent)
		h.SetContentRange(a, b, int(size))
	}
	if c.IsHead() {
		c.Response.SkipBody = true
		h.SetContentLength(int(last - first + 1))
		return false
	}
	b := &body{server: s, job: j, next: first, end: last + 1, cut: -1, began: time.Now(), start: first}
	if j.cutAt >= 0 {
		b.cut = min(first+int64(j.cutAt), b.end-1)
	}
	c.SetBodyStream(b, int(last-first+1))
	return true
}

var (
	errCut  = errors.New("body cut on command")
	errLate = errors.New("deadline passed")
)

// body makes a large body chunk by chunk; its slot is taken until the last byte is written.
type body struct {
	server *Server
	job    job
	start  int64
	next   int64
	end    int64
	cut    int64 // where it breaks off; -1 for nowhere
	began  time.Time
	closed bool
	late   bool // the deadline passed
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.server.gate.pass()
	if b.next == b.cut {
		return 0, errCut
	}
	if b.next >= b.end {
		return 0, io.EOF
	}
	n := min(int64(len(p)), chunk, b.end-b.next)
	if b.cut >= 0 {
		n = min(n, b.cut-b.next)
	}
	if !b.wait(n) {
		return 0, errCut
	}
	if b.job.expired() {
		b.late = true
		return 0, errLate
	}
	Fill(p[:n], b.next)
	b.next += n
	return int(n), nil
}

// wait keeps to the rate.
func (b *body) wait(n int64) bool {
	rate := b.server.opts.BodyRate
	if rate <= 0 {
		return !b.job.over()
	}
	due := b.began.Add(time.Duration(float64(b.next+n-b.start) / float64(rate) * float64(time.Second)))
	select {
	case <-b.job.life:
		return false
	case <-time.After(time.Until(due)):
		return true
	}
}

// Close implements io.Closer; the HTTP library calls it at the end of the body or of the connection.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	switch {
	case b.next == b.end:
		b.server.finish(b.job, fakes.AnsweredOutcome)
	case b.late:
		b.server.finish(b.job, fakes.ExpiredOutcome)
	case b.next == b.cut, b.server.ended(&b.job):
		b.server.finish(b.job, fakes.FailedOutcome)
	default:
		b.server.finish(b.job, fakes.CancelledOutcome)
	}
	return nil
}
