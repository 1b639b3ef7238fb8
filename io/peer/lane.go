package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"

	"heatherrouter/io/ring"
	"heatherrouter/io/wire"
)

const (
	// A daemon may be connected with hundreds of others, with six lane ends each, so what a lane holds while it is
	// idle counts: with buffers of 64 and 128 KiB a connection held 1.4 MB.
	laneRing   = 128      // frames that wait for a lane's writer
	laneBuffer = 4 << 10  // bytes that a lane's reader asks for at once
	maxBatch   = 64 << 10 // bytes of frames joined into one write, in a buffer that is shared

	maxInFlight = 4096 // calls that a peer may have open on one lane
)

// frame is one encoded message on its way to a lane's writer.
type frame struct {
	data *[]byte
	call *pending // nil on the answering side
}

// pending is a call that waits for its reply.
type pending struct {
	reply chan *wire.Reply

	mu    sync.Mutex
	taken bool // the writer has it, so that the peer may have seen it
	dead  bool // given up before the writer took it
}

// take marks the call as possibly seen by the peer, unless it was given up before.
func (p *pending) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = !p.dead
	return p.taken
}

// giveUp ends the wait and reports whether the peer may have seen the call.
//
// A call given up while it still waits in the ring must not go out later: its caller may have sent the
// request elsewhere already, and it would run twice.
func (p *pending) giveUp() (sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = !p.taken
	return p.taken
}

// writeLane joins the frames that wait in the ring into few writes.
// One write per frame would cost one packet and one wake-up each; this way the cost is shared under load.
func writeLane(c context.Context, w io.Writer, r *ring.Ring[frame]) error {
	for {
		f, err := r.Take(c)
		if err != nil {
			return err
		}
		if err := writeBatch(w, r, f); err != nil {
			return err
		}
	}
}

var batchPool = sync.Pool{New: func() any { b := make([]byte, 0, maxBatch); return &b }}

// writeBatch writes a frame and those that wait behind it.
func writeBatch(w io.Writer, r *ring.Ring[frame], f frame) error {
	p, _ := batchPool.Get().(*[]byte)
	defer batchPool.Put(p)
	batch := appendFrame((*p)[:0], f)
	for len(batch) < maxBatch {
		f, ok := r.TryTake()
		if !ok {
			break
		}
		batch = appendFrame(batch, f)
	}
	if cap(batch) <= 2*maxBatch {
		*p = batch[:0] // grown a little; one grown by a large body is left to the collector
	}
	if len(batch) == 0 {
		return nil
	}
	_, err := w.Write(batch)
	return err
}

func appendFrame(b []byte, f frame) []byte {
	defer freeFrame(f.data)
	if f.call != nil && !f.call.take() {
		return b
	}
	return append(b, *f.data...)
}

// lane is the calling side of one long-lived stream.
type lane struct {
	out  *ring.Ring[frame]
	done context.Context

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]*pending
}

func newLane(done context.Context) *lane {
	return &lane{out: ring.New[frame](laneRing), done: done, waiting: map[uint64]*pending{}}
}

// call sends m and waits for its reply.
func (l *lane) call(c context.Context, m *wire.Call) (*wire.Reply, error) {
	p := &pending{reply: make(chan *wire.Reply, 1)}
	m.Id = l.add(p)
	defer l.remove(m.Id)
	data, err := encodeFrame(m)
	if err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	if err := l.put(c, frame{data: data, call: p}); err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	select {
	case r := <-p.reply:
		return r, nil
	case <-c.Done():
		return nil, &Error{Sent: p.giveUp(), Err: context.Cause(c)}
	case <-l.done.Done():
		return nil, &Error{Sent: p.giveUp(), Err: context.Cause(l.done)}
	}
}

func (l *lane) put(c context.Context, f frame) error {
	if l.out.TryPut(f) {
		return nil
	}
	x, cancel := context.WithCancel(c)
	defer cancel()
	stop := context.AfterFunc(l.done, cancel)
	defer stop()
	return l.out.Put(x, f)
}

func (l *lane) add(p *pending) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.waiting[l.next] = p
	return l.next
}

func (l *lane) remove(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// read hands each reply to the call that waits for it; a late one, whose call has been given up, is discarded.
func (l *lane) read(r io.Reader) error {
	b := bufio.NewReaderSize(r, laneBuffer)
	for {
		m := &wire.Reply{}
		if err := readFrame(b, m); err != nil {
			return err
		}
		l.mu.Lock()
		p := l.waiting[m.GetId()]
		delete(l.waiting, m.GetId())
		l.mu.Unlock()
		if p != nil {
			p.reply <- m
		}
	}
}

// Error tells whether a failed call may have reached the peer.
type Error struct {
	Sent bool // the peer may have seen the call
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return "no reply from peer: " + e.Err.Error()
	}
	return "not sent to peer: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// MaybeSent reports whether the peer may have seen the call that failed with err.
func MaybeSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}
