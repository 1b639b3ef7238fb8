package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"heatherrouter/core/ident"
	"heatherrouter/io/group"
	"heatherrouter/io/ring"
	"heatherrouter/io/wire"
)

// streamKind is the first byte of each stream.
type streamKind byte

const (
	callStreamKind     streamKind = 1 // many calls, one frame for each
	exchangeStreamKind streamKind = 2 // one exchange with its bodies
)

// Handler serves the calls of other daemons.
type Handler interface {
	// Call serves one call; it runs on a goroutine of its own. A nil reply refuses the call.
	Call(c context.Context, from ident.Daemon, m *wire.Call) *wire.Reply

	// Exchange serves one exchange with streamed bodies.
	Exchange(c context.Context, from ident.Daemon, x *Exchange)
}

// serve serves the peer's streams on a connection, whichever side dialled it, until the connection ends.
func (t *Transport) serve(c context.Context, q *quic.Conn, from ident.Daemon) {
	g := group.New(c)
	g.Go(func(context.Context) error {
		// Registered from within the group: a connection that has already ended stops it at once, and a WaitGroup
		// must not be waited on while its first goroutine is being added.
		stop := context.AfterFunc(q.Context(), func() { g.Stop() })
		defer stop()
		return t.serveConn(g, q, from)
	})
}

// serveConn accepts a peer's streams until its connection ends.
func (t *Transport) serveConn(g *group.Group, q *quic.Conn, from ident.Daemon) error {
	for {
		s, err := q.AcceptStream(g.Context())
		if err != nil {
			return nil // only this connection has ended
		}
		g.Go(func(c context.Context) error {
			t.serveStream(c, s, from)
			return nil
		})
	}
}

func (t *Transport) serveStream(c context.Context, s *quic.Stream, from ident.Daemon) {
	var kind [1]byte
	if _, err := io.ReadFull(s, kind[:]); err != nil {
		return
	}
	switch streamKind(kind[0]) {
	case callStreamKind:
		t.serveCalls(c, s, from)
	case exchangeStreamKind:
		t.serveExchange(c, s, from)
	default:
		s.CancelRead(0)
		s.CancelWrite(0)
	}
}

// serveCalls reads calls and writes replies. Each call runs on its own goroutine; maxInFlight limits their number.
func (t *Transport) serveCalls(c context.Context, s *quic.Stream, from ident.Daemon) {
	x, cancel := context.WithCancelCause(c)
	defer cancel(nil)
	out := ring.New[frame](sendQueueLen)
	go func() { cancel(writeFrames(x, s, out)) }()
	stop := context.AfterFunc(s.Context(), func() { cancel(errors.New("stream ended")) })
	defer stop()

	slots := make(chan struct{}, maxInFlight)
	r := bufio.NewReaderSize(s, readBufferSize)
	for {
		m := &wire.Call{}
		if err := readFrame(r, m, maxFrameSize); err != nil {
			return
		}
		received := t.clock.SinceBoot()
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			t.serveCall(x, from, m, received, out)
		}()
	}
}

func (t *Transport) serveCall(c context.Context, from ident.Daemon, m *wire.Call, received time.Duration, out *ring.Queue[frame]) {
	r := &wire.Reply{}
	if m.GetClock() == nil {
		r = t.handler.Call(c, from, m)
	}
	if r == nil {
		r = NewRefusal("not-served")
	}
	r.Id = m.GetId()
	t.stampReply(r, m, received)
	data, err := encodeFrame(r)
	if err != nil {
		t.log.Error().Err(err).Str("peer", string(from)).Msg("reply not encoded")
		r = NewRefusal("reply-too-large")
		r.Id = m.GetId()
		t.stampReply(r, m, received)
		data, _ = encodeFrame(r)
	}
	_ = out.Put(c, frame{data: data}) // fails only if the stream has ended, which the caller detects itself
}

// NewRefusal returns the reply that refuses a call for the given reason.
func NewRefusal(reason string) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{Reason: reason}}}
}
