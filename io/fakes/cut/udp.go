package cut

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const maxDatagram = 64 << 10

// UDP relays datagrams. Each source has a socket of its own towards the target, so that answers find back.
type UDP struct {
	control
	target *net.UDPAddr
	front  *net.UDPConn

	flows sync.Mutex
	live  map[netip.AddrPort]*flow
	wg    sync.WaitGroup
}

// flow is the datagrams of one source.
type flow struct {
	source netip.AddrPort
	to     *net.UDPConn
	silent atomic.Bool
}

// NewUDP starts a relay from the listening address to the target.
func NewUDP(listen, target string) (*UDP, error) {
	a, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, trace.BadParameter("relay address %q: %v", listen, err)
	}
	t, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, trace.BadParameter("relay target %q: %v", target, err)
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	r := &UDP{target: t, front: c, live: map[netip.AddrPort]*flow{}}
	r.init()
	r.wg.Go(r.forwardAll)
	return r, nil
}

// Addr implements Relay.
func (r *UDP) Addr() string { return r.front.LocalAddr().String() }

// Silence implements Relay: the flows of now deliver nothing for good, those of new sources work.
func (r *UDP) Silence() {
	r.flows.Lock()
	defer r.flows.Unlock()
	for _, f := range r.live {
		f.silent.Store(true)
	}
}

// Close implements Relay.
func (r *UDP) Close() {
	if !r.end() {
		return
	}
	_ = r.front.Close()
	r.flows.Lock()
	for _, f := range r.live {
		_ = f.to.Close()
	}
	r.flows.Unlock()
	r.wg.Wait()
}

func (r *UDP) forwardAll() {
	b := make([]byte, maxDatagram)
	for {
		n, source, err := r.front.ReadFromUDPAddrPort(b)
		if err != nil {
			if r.closed() {
				return
			}
			continue
		}
		f, err := r.flow(source)
		if err != nil {
			continue
		}
		r.pass(f, Forward, b[:n], func(p []byte) { _, _ = f.to.Write(p) })
	}
}

func (r *UDP) closed() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// flow returns the source's flow, a new one when it has none.
func (r *UDP) flow(source netip.AddrPort) (*flow, error) {
	r.flows.Lock()
	defer r.flows.Unlock()
	if f, ok := r.live[source]; ok {
		return f, nil
	}
	if r.closed() {
		return nil, net.ErrClosed
	}
	c, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, err
	}
	f := &flow{source: source, to: c}
	r.live[source] = f
	r.wg.Go(func() { r.backAll(f) })
	return f, nil
}

func (r *UDP) backAll(f *flow) {
	b := make([]byte, maxDatagram)
	for {
		n, err := f.to.Read(b)
		if err != nil {
			if r.closed() {
				return
			}
			// A target that doesn't listen now is reported here; it may come back.
			continue
		}
		r.pass(f, Back, b[:n], func(p []byte) { _, _ = r.front.WriteToUDPAddrPort(p, f.source) })
	}
}

// pass sends one datagram on, or loses it.
func (r *UDP) pass(f *flow, w Way, b []byte, send func([]byte)) {
	l, _ := r.lane(w)
	if l.cut || f.silent.Load() {
		return
	}
	if l.delay <= 0 {
		send(b)
		return
	}
	p := append([]byte(nil), b...)
	time.AfterFunc(l.delay, func() {
		// One that was under way when the cut came is lost too.
		if l, _ := r.lane(w); !l.cut && !f.silent.Load() {
			send(p)
		}
	})
}
