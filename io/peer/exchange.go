package peer

import (
	"bufio"
	"context"
	"io"

	"github.com/quic-go/quic-go"

	"heatherrouter/core/ident"
	"heatherrouter/io/wire"
)

// cutCode resets a stream whose body did not end as it should, so that the other side sees it as cut.
const cutCode quic.StreamErrorCode = 1

// Exchange is one request with streamed bodies, on a stream of its own.
//
// The end of a body is the end of its direction of the stream; a reset stands for a cut body. So a body that
// ends early can't be taken for a whole one.
type Exchange struct {
	Head *wire.Exchange // set on the answering side

	s *quic.Stream
	r *bufio.Reader
}

// Answer sends the head of the answer; its body, if any, is written with Write and ended with Close or Cut.
func (x *Exchange) Answer(a *wire.ExchangeAnswer) error {
	return x.send(&wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}})
}

// ReadAnswer reads the head of the answer; its body is then read with Read.
func (x *Exchange) ReadAnswer() (*wire.ExchangeAnswer, error) {
	m := &wire.Reply{}
	if err := readFrame(x.r, m); err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	if a := m.GetExchange(); a != nil {
		return a, nil
	}
	return nil, &Error{Sent: false, Err: io.ErrUnexpectedEOF}
}

// Read reads the other side's body; io.EOF only when it is whole.
func (x *Exchange) Read(p []byte) (int, error) {
	return x.r.Read(p)
}

// Write writes this side's body.
func (x *Exchange) Write(p []byte) (int, error) {
	return x.s.Write(p)
}

// Close ends this side's body as whole.
func (x *Exchange) Close() error {
	return x.s.Close()
}

// Cut ends both directions; the other side sees its body cut.
func (x *Exchange) Cut() {
	x.s.CancelWrite(cutCode)
	x.s.CancelRead(cutCode)
}

// Done ends when the other side has gone.
func (x *Exchange) Done() <-chan struct{} {
	return x.s.Context().Done()
}

func (x *Exchange) send(m *wire.Reply) error {
	data, err := encodeFrame(m)
	if err != nil {
		return err
	}
	defer freeFrame(data)
	_, err = x.s.Write(*data)
	return err
}

// Open starts a streamed exchange with a peer. The request's body is written to the result and ended with Close.
func (t *Transport) Open(c context.Context, to ident.Daemon, head *wire.Exchange) (*Exchange, error) {
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
		s.CancelWrite(cutCode)
		return nil, &Error{Sent: false, Err: err}
	}
	defer freeFrame(data)
	if _, err := s.Write(append([]byte{byte(exchangeStream)}, *data...)); err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	return &Exchange{s: s, r: bufio.NewReaderSize(s, laneBuffer)}, nil
}

func (t *Transport) serveExchange(c context.Context, s *quic.Stream, from ident.Daemon) {
	x := &Exchange{s: s, r: bufio.NewReaderSize(s, laneBuffer)}
	m := &wire.Call{}
	if err := readFrame(x.r, m); err != nil || m.GetExchange() == nil {
		x.Cut()
		return
	}
	x.Head = m.GetExchange()
	t.handler.Exchange(c, from, x)
}
