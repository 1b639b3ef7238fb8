package cut

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	chunkSize  = 32 << 10
	chunkQueue = 64
)

// TCP relays connections.
type TCP struct {
	control
	target string
	addr   string

	blocking sync.Mutex
	l        net.Listener
	block    Block
	fill     *boundSocket // set while new connections are blocked

	pairs  sync.Mutex
	live   map[*pair]struct{}
	onOpen func(from, to net.Conn) // see OnOpen
	wg     sync.WaitGroup
}

// OnOpen sets a function that is called for each relayed connection before anything is carried, with the connections from the caller and
// to the target.
func (r *TCP) OnOpen(f func(from, to net.Conn)) {
	r.pairs.Lock()
	defer r.pairs.Unlock()
	r.onOpen = f
}

// pair is one relayed connection: from the caller, and to the target.
type pair struct {
	from, to net.Conn
	silent   atomic.Bool
}

// NewTCP starts a relay from the listening address to the target.
func NewTCP(listen, target string) (*TCP, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	r := &TCP{target: target, addr: l.Addr().String(), l: l, live: map[*pair]struct{}{}}
	r.init()
	r.wg.Go(func() { r.accept(l) })
	return r, nil
}

// Addr implements Relay.
func (r *TCP) Addr() string { return r.addr }

// Silence implements Relay.
func (r *TCP) Silence() {
	r.pairs.Lock()
	defer r.pairs.Unlock()
	for p := range r.live {
		p.silent.Store(true)
	}
}

// Close implements Relay.
func (r *TCP) Close() {
	if !r.end() {
		return
	}
	r.blocking.Lock()
	_ = r.l.Close()
	r.fill.close()
	r.blocking.Unlock()
	r.ResetOpen()
	r.wg.Wait()
}

func (r *TCP) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.carry(c) })
	}
}

// carry relays one connection until both directions have ended.
func (r *TCP) carry(from net.Conn) {
	if !r.wait(Forward) || !r.wait(Back) {
		reset(from)
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(from)
		return
	}
	p := &pair{from: from, to: to}
	if !r.add(p) {
		reset(from)
		reset(to)
		return
	}
	r.pairs.Lock()
	f := r.onOpen
	r.pairs.Unlock()
	if f != nil {
		f(from, to)
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.pipe(p, from, to, Forward) })
	wg.Go(func() { r.pipe(p, to, from, Back) })
	wg.Wait()
	r.remove(p)
}

func (r *TCP) add(p *pair) bool {
	r.pairs.Lock()
	defer r.pairs.Unlock()
	select {
	case <-r.stop:
		return false
	default:
	}
	r.live[p] = struct{}{}
	return true
}

func (r *TCP) remove(p *pair) {
	r.pairs.Lock()
	defer r.pairs.Unlock()
	delete(r.live, p)
	_ = p.from.Close()
	_ = p.to.Close()
}

// parcel is what was read at once, or the end of it all.
type parcel struct {
	due  time.Time
	data []byte
	err  error
}

// pipe carries one direction.
func (r *TCP) pipe(p *pair, src, dst net.Conn, w Way) {
	q := make(chan parcel, chunkQueue)
	var wg sync.WaitGroup
	wg.Go(func() { r.read(src, q, w) })
	r.write(p, src, dst, q, w)
	wg.Wait()
}

func (r *TCP) read(src net.Conn, q chan<- parcel, w Way) {
	defer close(q)
	for {
		b := make([]byte, chunkSize)
		n, err := src.Read(b)
		l, _ := r.lane(w)
		x := parcel{due: time.Now().Add(l.delay), data: b[:n], err: err}
		select {
		case q <- x:
		case <-r.stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// write ends when the source has; until then it goes on taking parcels, also those that go nowhere.
func (r *TCP) write(p *pair, src, dst net.Conn, q <-chan parcel, w Way) {
	dead := false
	for x := range q {
		if dead || !r.sleep(time.Until(x.due)) || !r.wait(w) {
			continue
		}
		if p.silent.Load() {
			if x.err != nil {
				<-r.stop // an end is not passed on either
			}
			continue
		}
		if _, err := dst.Write(x.data); err != nil {
			// The destination is gone, so that the source has to learn of it.
			reset(src)
			dead = true
			continue
		}
		if x.err != nil {
			finish(dst, x.err)
		}
	}
}

// finish passes on how the source ended: in order, or by a reset.
func finish(dst net.Conn, err error) {
	if t, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	reset(dst)
}

func (r *TCP) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.stop:
		return false
	}
}
