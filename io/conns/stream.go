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

// Stream is the body of a response as it arrives. The caller must close it in any case.
type Stream struct {
	pool     *Pool
	conn     *conn
	ctx      context.Context
	stop     func() bool // conn.stopCancel
	body     io.Reader   // nil if there is no body
	resp     *fasthttp.Response
	result   Result
	finished bool // the body has ended, whole or truncated
}

// DoStream sends the request, whose body may be a stream, and reads the header of the response into resp.
//
// The stream is nil unless the outcome is Answered. Until the stream has ended, Answered holds for the header only;
// Close returns the final result. The call's deadline limits the time to the header. After that the body may take as
// long as it makes progress, since a large download is as slow as its reader.
func (p *Pool) DoStream(ctx context.Context, call Call, req *fasthttp.Request, resp *fasthttp.Response) (*Stream, Result) {
	c, r := p.exchange(ctx, call, req, resp, true)
	if c == nil {
		return nil, r
	}
	s := &Stream{pool: p, conn: c, ctx: ctx, stop: c.stopCancel, body: resp.BodyStream(), resp: resp, result: r}
	if r.Outcome == retry.Answered {
		return s, r
	}
	_, _ = io.CopyN(io.Discard, s, maxDrainBytes)
	s.Close()
	return nil, r
}

// maxDrainBytes is how much of a refusal's body is read so that its connection can be reused.
const maxDrainBytes = 16 << 10

// Read implements io.Reader. It returns io.EOF only after a whole body, and io.ErrUnexpectedEOF if the body is
// truncated for any reason: passing truncation on as a normal end would give the caller an incomplete body without a
// sign of it.
func (s *Stream) Read(b []byte) (int, error) {
	if s.finished {
		return 0, s.endErr()
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
	return n, s.endErr()
}

func (s *Stream) endErr() error {
	if s.result.Err != nil {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

func (s *Stream) finish(err error) {
	if s.finished {
		return
	}
	s.finished = true
	if !s.stop() {
		s.conn.broken = true
	}
	if err != nil {
		i := s.result.Incarnation
		s.result = s.conn.failure(s.ctx.Err() != nil, err)
		s.result.Outcome, s.result.Incarnation = retry.Unknown, i
	}
	_ = s.resp.CloseBodyStream()
	if err == nil && s.conn.reusable() {
		s.pool.put(s.conn)
	} else {
		s.pool.discard(s.conn)
	}
}

// Close ends the stream and returns the final result. Before the end of the body it closes the connection, which
// cancels the work at the server.
func (s *Stream) Close() Result {
	if !s.finished {
		s.finish(errBodyNotRead)
		s.result.End = admit.EndCancelled
	}
	return s.result
}
