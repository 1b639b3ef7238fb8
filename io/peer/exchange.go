package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

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
	// Head is set on the serving side only. SentAt is when the durations in the head or, on the calling side, in the response count from,
	// at the earliest, as the time since the start of this host; 0 if the peer doesn't know this host's clock.
	Head   *wire.Exchange
	SentAt time.Duration

	transport *Transport
	link      *link         // on the calling side
	call      *wire.Call    // on the serving side
	received  time.Duration // on the serving side: since the start of the host
	stream    *quic.Stream
	reader    *bufio.Reader
}

// WriteResponse sends the head of the response. A body follows with Write and ends with Close or Abort.
func (x *Exchange) WriteResponse(a *wire.ExchangeAnswer) error {
	m := &wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}}
	x.transport.stampReply(m, x.call, x.received)
	return x.send(m)
}

// ReadResponse reads the head of the response; Read then reads its body.
func (x *Exchange) ReadResponse() (*wire.ExchangeAnswer, error) {
	m := &wire.Reply{}
	if err := readFrame(x.reader, m, maxAnswerHead); err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	x.link.observeReply(m)
	x.SentAt = fromMicros(m.GetSentUs())
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

// CloseWithPeriod marks this side's body as whole and ends it, and allows the peer to send the request to servers for the given time from now. It
// returns the end of the period as the time since the start of this host. By the peer's clock it ends no later, whenever the peer reads it.
func (x *Exchange) CloseWithPeriod(d time.Duration) (end time.Duration, err error) {
	end = x.link.hostClock.SinceBoot() + d
	data, err := encodeFrame(&wire.ExchangeEnd{SendUntilUs: micros(x.link.peerClock.earliest(end))})
	if err != nil {
		return end, err
	}
	defer freeFrame(data)
	if _, err := x.stream.Write(*data); err != nil {
		return end, err
	}
	return end, x.Close()
}

// ReadPeriod reads what CloseWithPeriod wrote, behind the body: until when the request may be sent to servers, as the time since the start of
// this host. It fails unless the whole body and nothing more was read.
func (x *Exchange) ReadPeriod() (end time.Duration, err error) {
	m := &wire.ExchangeEnd{}
	if err := readFrame(x.reader, m, maxFrameSize); err != nil {
		return 0, err
	}
	if _, err := x.reader.ReadByte(); !errors.Is(err, io.EOF) {
		return 0, errLongBody
	}
	return fromMicros(m.GetSendUntilUs()), nil
}

var errLongBody = errors.New("body is longer than announced")

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
// Close. The durations in the head count from asOf, as the time since the start of this host, whenever the peer reads them.
func (t *Transport) OpenExchange(c context.Context, to ident.Daemon, head *wire.Exchange, asOf time.Duration) (*Exchange, error) {
	l, err := t.link(c, to)
	if err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	if err := l.readClock(c); err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	call := &wire.Call{Body: &wire.Call_Exchange{Exchange: head}}
	l.stampCall(call, asOf)
	s, err := l.conn.OpenStreamSync(c)
	if err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	if d, ok := c.Deadline(); ok {
		_ = s.SetDeadline(d) // fails only on a closed stream, which the write below reports
	}
	data, err := encodeFrame(call)
	if err != nil {
		s.CancelWrite(resetCode)
		return nil, &Error{Sent: false, Err: err}
	}
	defer freeFrame(data)
	if _, err := s.Write(append([]byte{byte(exchangeStreamKind)}, *data...)); err != nil {
		return nil, &Error{Sent: true, Err: err}
	}
	return &Exchange{transport: t, link: l, stream: s, reader: bufio.NewReaderSize(s, readBufferSize)}, nil
}

func (t *Transport) serveExchange(c context.Context, s *quic.Stream, from ident.Daemon) {
	x := &Exchange{transport: t, stream: s, reader: bufio.NewReaderSize(s, readBufferSize)}
	m := &wire.Call{}
	if err := readFrame(x.reader, m, maxFrameSize); err != nil || m.GetExchange() == nil {
		x.Abort()
		return
	}
	x.received, x.call = t.clock.SinceBoot(), m
	x.Head, x.SentAt = m.GetExchange(), fromMicros(m.GetSentUs())
	t.handler.Exchange(c, from, x)
}
