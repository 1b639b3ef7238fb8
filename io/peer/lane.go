package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"heatherrouter/io/ring"
	"heatherrouter/io/wire"
)

const (
	// A daemon may have connections to hundreds of others, each with six call stream ends, so the idle memory of a
	// stream matters: with buffers of 64 and 128 KiB a connection used 1.4 MB.
	sendQueueLen   = 128      // frames queued for the writer of a call stream
	readBufferSize = 4 << 10  // bytes, buffer of a stream's reader
	maxBatchSize   = 64 << 10 // bytes of frames combined into one write, in a pooled buffer

	maxInFlight = 4096 // concurrent calls of a peer on one call stream
)

// frame is one encoded message queued for the writer of a call stream.
type frame struct {
	data *[]byte
	call *pending // nil on the serving side
}

// pending is a call that waits for its reply.
type pending struct {
	reply chan *wire.Reply

	mu        sync.Mutex
	writing   bool // the writer has accepted the call, so the peer may receive it
	abandoned bool // the caller gave up before the writer accepted the call
}

// startWrite marks the call as possibly received by the peer, unless it was abandoned before. It reports whether to
// write it.
func (p *pending) startWrite() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = !p.abandoned
	return p.writing
}

// abandon ends the wait and reports whether the peer may have received the call.
//
// A call abandoned while queued must not be sent later: its caller may have sent the request elsewhere already, and
// it would run twice.
func (p *pending) abandon() (sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = !p.writing
	return p.writing
}

// writeFrames combines queued frames into few writes. One write per frame would cost a packet and a wake-up each;
// under load, frames share this cost.
func writeFrames(c context.Context, w io.Writer, r *ring.Queue[frame]) error {
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

var batchPool = sync.Pool{New: func() any { b := make([]byte, 0, maxBatchSize); return &b }}

// writeBatch writes a frame and those queued behind it.
func writeBatch(w io.Writer, r *ring.Queue[frame], f frame) error {
	p, _ := batchPool.Get().(*[]byte)
	defer batchPool.Put(p)
	batch := appendFrame((*p)[:0], f)
	for len(batch) < maxBatchSize {
		f, ok := r.TryTake()
		if !ok {
			break
		}
		batch = appendFrame(batch, f)
	}
	if cap(batch) <= 2*maxBatchSize {
		*p = batch[:0] // a buffer grown by a large body is left to the garbage collector
	}
	if len(batch) == 0 {
		return nil
	}
	_, err := w.Write(batch)
	return err
}

func appendFrame(b []byte, f frame) []byte {
	defer freeFrame(f.data)
	if f.call != nil && !f.call.startWrite() {
		return b
	}
	return append(b, *f.data...)
}

// callStream is the calling side of one long-lived stream that carries many calls.
type callStream struct {
	link *link
	out  *ring.Queue[frame]
	done context.Context

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]*pending
}

func newCallStream(l *link) *callStream {
	return &callStream{link: l, out: ring.New[frame](sendQueueLen), done: l.conn.Context(), waiting: map[uint64]*pending{}}
}

// call sends m, whose contents are as of the given time since the start of the host, and waits for its reply, at most until the context or
// the connection ends.
func (l *callStream) call(c context.Context, m *wire.Call, asOf time.Duration) (*wire.Reply, error) {
	p := &pending{reply: make(chan *wire.Reply, 1)}
	m.Id = l.add(p)
	defer l.remove(m.Id)
	l.link.stampCall(m, asOf)
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
		return nil, &Error{Sent: p.abandon(), Err: context.Cause(c)}
	case <-l.done.Done():
		return nil, &Error{Sent: p.abandon(), Err: context.Cause(l.done)}
	}
}

func (l *callStream) put(c context.Context, f frame) error {
	if l.out.TryPut(f) {
		return nil
	}
	x, cancel := context.WithCancel(c)
	defer cancel()
	stop := context.AfterFunc(l.done, cancel)
	defer stop()
	return l.out.Put(x, f)
}

func (l *callStream) add(p *pending) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.waiting[l.next] = p
	return l.next
}

func (l *callStream) remove(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// read passes each reply to its pending call. A late reply, whose call was abandoned, is discarded.
func (l *callStream) read(r io.Reader) error {
	b := bufio.NewReaderSize(r, readBufferSize)
	for {
		m := &wire.Reply{}
		if err := readFrame(b, m, maxFrameSize); err != nil {
			return err
		}
		l.link.observeReply(m)
		l.mu.Lock()
		p := l.waiting[m.GetId()]
		delete(l.waiting, m.GetId())
		l.mu.Unlock()
		if p != nil {
			p.reply <- m
		}
	}
}

// Error is a failed call, with the information whether it may have reached the peer.
type Error struct {
	Sent bool // the peer may have received the call
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

// MaybeSent reports whether the peer may have received the call that failed with err.
func MaybeSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}
