package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"heatherrouter/core/ident"
	"heatherrouter/io/wire"
)

// dataLanes is how many streams carry exchanges; leases and documents have one of their own, so that they
// never wait behind bodies.
const dataLanes = 2

// link is the calling side of one connection with a peer, which either of them may have dialled.
type link struct {
	conn    *quic.Conn
	control *lane
	data    [dataLanes]*lane
	turn    atomic.Uint32
}

// lane chooses the stream for a call.
func (l *link) lane(m *wire.Call) *lane {
	if m.GetExchange() == nil {
		return l.control
	}
	return l.data[l.turn.Add(1)%dataLanes]
}

func (l *link) close(why string) {
	_ = l.conn.CloseWithError(0, why) // fails only when already closed
}

// try is one attempt to connect, shared by all calls that wait for it.
type try struct {
	done  chan struct{}
	link  *link
	err   error
	until time.Time // a failed attempt stands for an answer until then
	after error     // of the attempt before, when that failed
}

// failure returns why the attempt failed, or nil. There may have been none.
func (x *try) failure() error {
	if x == nil {
		return nil
	}
	return x.err
}

// Down reports whether the last attempt to reach the daemon failed and none has succeeded since.
func (t *Transport) Down(d ident.Daemon) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.tries[d]
	if x == nil {
		return false
	}
	select {
	case <-x.done:
		return x.err != nil
	default:
		return x.after != nil
	}
}

// link returns the connection to a peer, made when there is none.
//
// All callers share one attempt, and after a failed one the next waits redialPause: when a host dies, thousands
// of requests ask for it at once, and each starting a handshake would drown the rest of the daemon.
func (t *Transport) link(c context.Context, to ident.Daemon) (*link, error) {
	t.mu.Lock()
	if l := t.links[to]; l != nil {
		if l.conn.Context().Err() == nil {
			t.mu.Unlock()
			return l, nil
		}
		delete(t.links, to)
	}
	x := t.tries[to]
	if x == nil || x.over(time.Now()) {
		x = &try{done: make(chan struct{}), after: x.failure()}
		t.tries[to] = x
		t.group.Go(func(c context.Context) error {
			t.connect(c, to, x)
			return nil
		})
	}
	t.mu.Unlock()
	if x.after != nil {
		// The last attempt failed as well: nobody waits for this one, so that requests go to the standby at
		// once instead of each waiting for a handshake with a dead host.
		select {
		case <-x.done:
			return x.link, x.err
		default:
			return nil, x.after
		}
	}
	select {
	case <-x.done:
		return x.link, x.err
	case <-c.Done():
		return nil, context.Cause(c)
	}
}

// over reports whether the attempt has ended and no longer stands for an answer.
func (x *try) over(now time.Time) bool {
	select {
	case <-x.done:
		return x.err == nil || now.After(x.until)
	default:
		return false
	}
}

func (t *Transport) connect(c context.Context, to ident.Daemon, x *try) {
	l, err := t.dial(c, to)
	t.mu.Lock()
	defer t.mu.Unlock()
	x.link, x.err = l, err
	x.until = time.Now().Add(redialPause)
	switch have := t.links[to]; {
	case err != nil:
	case have != nil && have.conn.Context().Err() == nil && to < t.self:
		// The peer's own connection came in meanwhile and is the one that both keep.
		x.link = have
		time.AfterFunc(replacedFor, func() { l.close("the peer's connection is used") })
		delete(t.tries, to)
	default:
		t.links[to] = l
		delete(t.tries, to)
	}
	close(x.done)
}

// replacedFor is how long a connection that another one replaces goes on, for the calls under way on it.
const replacedFor = 3 * time.Second

// adopt uses a connection that the peer dialled for calls to it too, so that a pair of daemons needs one connection
// and not two, each with keep-alives of its own. When both have dialled, both keep the one that the first by name
// dialled.
func (t *Transport) adopt(c context.Context, q *quic.Conn, from ident.Daemon) {
	t.mu.Lock()
	have := t.links[from]
	t.mu.Unlock()
	if have != nil && have.conn.Context().Err() == nil && from > t.self {
		return
	}
	x, cancel := context.WithTimeout(c, handshakeLimit)
	defer cancel()
	l, err := t.newLink(x, q)
	if err != nil {
		return // the connection has ended; the next call dials
	}
	t.mu.Lock()
	old := t.links[from]
	t.links[from] = l
	delete(t.tries, from)
	t.mu.Unlock()
	if old != nil {
		time.AfterFunc(replacedFor, func() { old.close("replaced by the peer's connection") })
	}
}

func (t *Transport) dial(c context.Context, to ident.Daemon) (*link, error) {
	a, ok := t.book.Addr(to)
	if !ok {
		return nil, trace.NotFound("no address known for daemon %s", to)
	}
	x, cancel := context.WithTimeout(c, handshakeLimit)
	defer cancel()
	q, err := t.quic.Dial(x, net.UDPAddrFromAddrPort(a), t.tls.Client(to), quicConfig())
	if err != nil {
		return nil, trace.ConnectionProblem(err, "daemon %s at %v", to, a)
	}
	t.count(q)
	t.serve(t.group.Context(), q, to)
	return t.newLink(x, q)
}

// newLink opens the lanes for calls on a connection.
func (t *Transport) newLink(x context.Context, q *quic.Conn) (*link, error) {
	l := &link{conn: q, control: newLane(q.Context())}
	if err := t.startLane(x, q, l.control); err != nil {
		return nil, err
	}
	for i := range l.data {
		l.data[i] = newLane(q.Context())
		if err := t.startLane(x, q, l.data[i]); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (t *Transport) startLane(c context.Context, q *quic.Conn, l *lane) error {
	s, err := q.OpenStreamSync(c)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := s.Write([]byte{byte(laneStream)}); err != nil {
		return trace.Wrap(err)
	}
	t.group.Go(func(context.Context) error {
		err := writeLane(q.Context(), s, l.out)
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
