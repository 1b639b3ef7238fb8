package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"heatherrouter/core/ident"
	"heatherrouter/io/clock"
	"heatherrouter/io/wire"
)

// dataStreams is the number of call streams for exchanges. Leases and documents have a stream of their own, so that
// they never wait behind bodies.
const dataStreams = 2

// link is the calling side of one connection with a peer; either side may have dialled it.
type link struct {
	conn      *quic.Conn
	hostClock *clock.Clock
	peerClock peerClock
	control   *callStream
	data      [dataStreams]*callStream
	nextData  atomic.Uint32
}

// streamFor returns the call stream for a call.
func (l *link) streamFor(m *wire.Call) *callStream {
	if m.GetExchange() == nil {
		return l.control
	}
	return l.data[l.nextData.Add(1)%dataStreams]
}

func (l *link) close(why string) {
	_ = l.conn.CloseWithError(0, why) // fails only if already closed
}

// attempt is one attempt to connect, shared by all calls that wait for it.
type attempt struct {
	done        chan struct{}
	link        *link
	err         error
	retryAt     time.Time // calls get the error of a failed attempt until then
	previousErr error     // error of the previous attempt, nil if it succeeded or there was none
}

// failure returns the error of the attempt; nil if it succeeded or x is nil.
func (x *attempt) failure() error {
	if x == nil {
		return nil
	}
	return x.err
}

// Unreachable reports whether the last finished attempt to connect to the daemon failed.
func (t *Transport) Unreachable(d ident.Daemon) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.attempts[d]
	if x == nil {
		return false
	}
	select {
	case <-x.done:
		return x.err != nil
	default:
		return x.previousErr != nil
	}
}

// link returns the connection to a peer and dials if there is none.
//
// All callers share one attempt, and after a failed one the next waits for redialDelay: when a host fails, thousands
// of requests need a connection to it at once, and a handshake for each would starve the rest of the daemon.
func (t *Transport) link(c context.Context, to ident.Daemon) (*link, error) {
	t.mu.Lock()
	if l := t.links[to]; l != nil {
		if l.conn.Context().Err() == nil {
			t.mu.Unlock()
			return l, nil
		}
		delete(t.links, to)
	}
	x := t.attempts[to]
	if x == nil || x.expired(time.Now()) {
		x = &attempt{done: make(chan struct{}), previousErr: x.failure()}
		t.attempts[to] = x
		t.group.Go(func(c context.Context) error {
			t.connect(c, to, x)
			return nil
		})
	}
	t.mu.Unlock()
	if x.previousErr != nil {
		// The previous attempt failed too, so no caller waits for this one. Requests go to the standby at once
		// instead of each waiting for a handshake with a failed host.
		select {
		case <-x.done:
			return x.link, x.err
		default:
			return nil, x.previousErr
		}
	}
	select {
	case <-x.done:
		return x.link, x.err
	case <-c.Done():
		return nil, context.Cause(c)
	}
}

// expired reports whether the attempt has ended and its result is no longer used.
func (x *attempt) expired(now time.Time) bool {
	select {
	case <-x.done:
		return x.err == nil || now.After(x.retryAt)
	default:
		return false
	}
}

func (t *Transport) connect(c context.Context, to ident.Daemon, x *attempt) {
	l, err := t.dial(c, to)
	t.mu.Lock()
	defer t.mu.Unlock()
	x.link, x.err = l, err
	x.retryAt = time.Now().Add(redialDelay)
	switch have := t.links[to]; {
	case err != nil:
	case have != nil && have.conn.Context().Err() == nil && to < t.self:
		// The peer's own connection arrived meanwhile and is the one that both sides keep.
		x.link = have
		time.AfterFunc(replacedCloseDelay, func() { l.close("the peer's connection is used") })
		delete(t.attempts, to)
	default:
		t.links[to] = l
		delete(t.attempts, to)
	}
	close(x.done)
}

// replacedCloseDelay is how long a replaced connection stays open for the calls in flight on it.
const replacedCloseDelay = 3 * time.Second

// useIncoming also uses a connection that the peer dialled for calls to it, so that a pair of daemons needs one
// connection with one set of keep-alives. If both have dialled, both keep the connection of the daemon whose name
// sorts first.
func (t *Transport) useIncoming(c context.Context, q *quic.Conn, from ident.Daemon) {
	t.mu.Lock()
	have := t.links[from]
	t.mu.Unlock()
	if have != nil && have.conn.Context().Err() == nil && from > t.self {
		return
	}
	x, cancel := context.WithTimeout(c, handshakeTimeout)
	defer cancel()
	l, err := t.newLink(x, q)
	if err != nil {
		return // the connection has ended; the next call dials
	}
	t.mu.Lock()
	old := t.links[from]
	t.links[from] = l
	delete(t.attempts, from)
	t.mu.Unlock()
	if old != nil {
		time.AfterFunc(replacedCloseDelay, func() { old.close("replaced by the peer's connection") })
	}
}

func (t *Transport) dial(c context.Context, to ident.Daemon) (*link, error) {
	a, ok := t.resolver.Addr(to)
	if !ok {
		return nil, trace.NotFound("dial daemon %s: no address known", to)
	}
	x, cancel := context.WithTimeout(c, handshakeTimeout)
	defer cancel()
	q, err := t.quic.Dial(x, net.UDPAddrFromAddrPort(a), t.tls.Client(to), quicConfig())
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dial daemon %s at %v", to, a)
	}
	t.trackConn(q)
	t.serve(t.group.Context(), q, to)
	l, err := t.newLink(x, q)
	if err != nil {
		_ = q.CloseWithError(0, "not set up: "+err.Error()) // fails only if already closed
	}
	return l, err
}

// newLink opens the call streams on a connection and has the peer's clock read.
func (t *Transport) newLink(x context.Context, q *quic.Conn) (*link, error) {
	l := &link{conn: q, hostClock: t.clock}
	l.control = newCallStream(l)
	if err := t.startCallStream(x, q, l.control); err != nil {
		return nil, err
	}
	for i := range l.data {
		l.data[i] = newCallStream(l)
		if err := t.startCallStream(x, q, l.data[i]); err != nil {
			return nil, err
		}
	}
	t.group.Go(func(c context.Context) error {
		_ = l.readClock(c) // an exchange that finds no reading takes one itself
		return nil
	})
	return l, nil
}

func (t *Transport) startCallStream(c context.Context, q *quic.Conn, l *callStream) error {
	s, err := q.OpenStreamSync(c)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := s.Write([]byte{byte(callStreamKind)}); err != nil {
		return trace.Wrap(err)
	}
	t.group.Go(func(context.Context) error {
		err := writeFrames(q.Context(), s, l.out)
		_ = q.CloseWithError(0, "writer ended: "+err.Error())
		return nil
	})
	t.group.Go(func(context.Context) error {
		err := l.read(s)
		_ = q.CloseWithError(0, "reader ended: "+err.Error())
		return nil
	})
	return nil
}
