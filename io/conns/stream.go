package conns

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/retry"
)

// Stream is the body of an answer as it comes in. Close it in any case.
type Stream struct {
	pool *Pool
	conn *conn
	ctx  context.Context
	stop func() bool
	body io.Reader // nil when there is no body
	resp *fasthttp.Response
	r    Result
	done bool // the body ended, whole or not
}

// DoStream sends the request, whose body may be a stream, and reads the header of the answer into resp.
//
// The stream is nil unless the outcome is Answered. Until it has ended, Answered holds for the header only;
// Close returns the final result. The call's deadline bounds the time to the header; from then on the body
// may take as long as it makes progress, since a volume is as slow as its reader.
func (p *Pool) DoStream(ctx context.Context, call Call, req *fasthttp.Request, resp *fasthttp.Response) (*Stream, Result) {
	c, r := p.exchange(ctx, call, req, resp, true)
	if c == nil {
		return nil, r
	}
	s := &Stream{pool: p, conn: c, ctx: ctx, stop: c.stopCancel, body: resp.BodyStream(), resp: resp, r: r}
	if r.Outcome == retry.Answered {
		return s, r
	}
	_, _ = io.CopyN(io.Discard, s, maxDrain)
	s.Close()
	return nil, r
}

// maxDrain is how much of a refusal's body is read to keep its connection.
const maxDrain = 16 << 10

// Read implements io.Reader. It returns io.EOF only after a whole body, and io.ErrUnexpectedEOF when the
// body is cut, however that came about: passing a cut on as an end would hand the caller half a volume.
func (s *Stream) Read(b []byte) (int, error) {
	if s.done {
		return 0, s.last()
	}
	if s.body == nil {
		s.finish(nil)
		return 0, io.EOF
	}
	if s.conn.br.Buffered() == 0 {
		_ = s.conn.net.SetReadDeadline(time.Now().Add(s.pool.options.StallTimeout))
	}
	n, err := s.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		s.finish(nil)
	default:
		s.finish(err)
	}
	return n, s.last()
}

func (s *Stream) last() error {
	if s.r.Err != nil {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

func (s *Stream) finish(err error) {
	if s.done {
		return
	}
	s.done = true
	if !s.stop() {
		s.conn.broken = true
	}
	if err != nil {
		i := s.r.Incarnation
		s.r = s.conn.failure(s.ctx.Err() != nil, err)
		s.r.Outcome, s.r.Incarnation = retry.Unknown, i
	}
	_ = s.resp.CloseBodyStream()
	if err == nil && s.conn.reusable() {
		s.pool.put(s.conn)
	} else {
		s.pool.discard(s.conn)
	}
}

// Close ends the stream and returns the final result. Before the end of the body it closes the connection,
// which cancels the work at the server.
func (s *Stream) Close() Result {
	if !s.done {
		s.finish(errAbandoned)
		s.r.End = admit.EndCancelled
	}
	return s.r
}
