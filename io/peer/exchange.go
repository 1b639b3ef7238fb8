package peer

import (
	"bufio"
	"context"
	"io"

	"github.com/quic-go/quic-go"

	"heatherrouter/core/ident"
	"heatherrouter/io/wire"
)

// resetCode resets a stream whose body did not end normally, so that the other side detects the truncation.
const resetCode quic.StreamErrorCode = 1

// Exchange is one request with streamed bodies, on a QUIC stream of its own.
//
// A body ends with its direction of the stream; a reset marks a truncated body. So a body that ends early cannot be
// taken for a whole one.
type Exchange struct {
	Head *wire.Exchange // set on the serving side only

	stream *quic.Stream
	reader *bufio.Reader
}

// WriteResponse sends the head of the response. A body follows with Write and ends with Close or Abort.
func (x *Exchange) WriteResponse(a *wire.ExchangeAnswer) error {
	return x.send(&wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}})
}

// ReadResponse reads the head of the response; Read then reads its body.
func (x *Exchange) ReadResponse() (*wire.ExchangeAnswer, error) {
	m := &wire.Reply{}
	if err := readFrame(x.reader, m, maxAnswerHead); err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	if a := m.GetExchange(); a != nil {
		return a, nil
	}
	return nil, &Error{Sent: m.GetRefusal() == nil, Err: io.ErrUnexpectedEOF}
}

// Read reads the other side's body. It returns io.EOF only at the end of a whole body.
func (x *Exchange) Read(p []byte) (int, error) {
	return x.reader.Read(p)
}

// Write writes this side's body.
func (x *Exchange) Write(p []byte) (int, error) {
	return x.stream.Write(p)
}

// Close marks this side's body as whole and ends it.
func (x *Exchange) Close() error {
	return x.stream.Close()
}

// Abort ends both directions; the other side sees a truncated body.
func (x *Exchange) Abort() {
	x.stream.CancelWrite(resetCode)
	x.stream.CancelRead(resetCode)
}

// Done returns a channel that is closed when this side's direction has ended: it was closed, or the other side
// stopped reading.
func (x *Exchange) Done() <-chan struct{} {
	return x.stream.Context().Done()
}

func (x *Exchange) send(m *wire.Reply) error {
	data, err := encodeFrame(m)
	if err != nil {
		return err
	}
	defer freeFrame(data)
	_, err = x.stream.Write(*data)
	return err
}

// OpenExchange starts a streamed exchange with a peer. The request body is written to the result and ended with
// Close.
func (t *Transport) OpenExchange(c context.Context, to ident.Daemon, head *wire.Exchange) (*Exchange, error) {
	l, err := t.link(c, to)
	if err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	s, err := l.conn.OpenStreamSync(c)
	if err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	if d, ok := c.Deadline(); ok {
		_ = s.SetDeadline(d) // fails only on a closed stream, which the write below reports
	}
	data, err := encodeFrame(&wire.Call{Body: &wire.Call_Exchange{Exchange: head}})
	if err != nil {
		s.CancelWrite(resetCode)
		return nil, &Error{Sent: false, Err: err}
	}
	defer freeFrame(data)
	if _, err := s.Write(append([]byte{byte(exchangeStreamKind)}, *data...)); err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	return &Exchange{stream: s, reader: bufio.NewReaderSize(s, readBufferSize)}, nil
}

func (t *Transport) serveExchange(c context.Context, s *quic.Stream, from ident.Daemon) {
	x := &Exchange{stream: s, reader: bufio.NewReaderSize(s, readBufferSize)}
	m := &wire.Call{}
	if err := readFrame(x.reader, m, maxFrameSize); err != nil || m.GetExchange() == nil {
		x.Abort()
		return
	}
	x.Head = m.GetExchange()
	t.handler.Exchange(c, from, x)
}
