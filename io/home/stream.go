package home

import (
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
	"heatherrouter/io/wire"
)

// Stream is the entry's side of an exchange with streamed bodies.
type Stream interface {
	// Read reads the request's body.
	Read(p []byte) (int, error)

	// WriteResponse takes the head of the answer; its body follows by Write, then Close, or Abort if it is not whole.
	WriteResponse(a *wire.ExchangeAnswer) error
	Write(p []byte) (int, error)
	Close() error
	Abort()
}

const copyBuffer = 64 << 10

// Stream runs one exchange with streamed bodies, whose caller waits until the deadline for the head of the answer. The slot stays taken until
// the body has ended.
func (s *Homes) Stream(c context.Context, x *wire.Exchange, deadline mono.Time, t Stream) {
	h := s.get(ident.Server(x.GetServer()))
	if h == nil {
		finish(t, s.notHome(x))
		return
	}
	j, a := h.begin(c, x, deadline)
	if a != nil {
		finish(t, a)
		return
	}
	h.stream(c, j, t)
}

// finish gives an answer without a body.
func finish(t Stream, a *wire.ExchangeAnswer) {
	if t.WriteResponse(a) == nil {
		_ = t.Close() // the entry may have gone
	}
}

func (h *Home) stream(c context.Context, j *job, t Stream) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	h.fill(req, j)
	if j.x.GetBodyFollows() {
		req.SetBodyStream(t, int(j.x.GetBodySize()))
	}
	s, r := j.pool.DoStream(c, h.call(j), req, resp)
	if s == nil {
		finish(t, h.end(j, r))
		return
	}
	a := &wire.ExchangeAnswer{
		Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: uint32(resp.StatusCode()), Headers: encodeHeaders(resp),
		BodyFollows: true, BodySize: bodySize(resp),
	}
	if err := t.WriteResponse(a); err != nil {
		h.end(j, s.Close())
		t.Abort()
		return
	}
	h.pass(j, s, t)
}

func bodySize(resp *fasthttp.Response) int64 {
	if resp.Header.ContentLength() >= 0 {
		return int64(resp.Header.ContentLength())
	}
	return -1
}

// pass copies the body. One that ends early is cut for the caller too, never closed as whole.
func (h *Home) pass(j *job, s *conns.Stream, t Stream) {
	_, err := io.CopyBuffer(writer{t}, reader{s}, make([]byte, copyBuffer))
	r := s.Close()
	h.end(j, r)
	if err != nil || r.Outcome != retry.Answered {
		t.Abort()
		return
	}
	if err := t.Close(); err != nil && !errors.Is(err, io.ErrClosedPipe) {
		h.o.Log.Debug().Err(err).Str("request-id", j.x.GetRequestId()).Msg("entry gone at the end of a body")
	}
}

// reader and writer hide every other method from io.Copy, which would go around the stall timeouts.
type (
	reader struct{ io.Reader }
	writer struct{ io.Writer }
)
