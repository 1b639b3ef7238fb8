package cut

import (
	"net"
	"net/netip"
	"os"
	"syscall"

	"github.com/gravitational/trace"
)

// Block is what a relay does with new connections.
type Block int

// Blocks of new connections. Open ones are not affected.
const (
	Accept Block = iota
	Refuse       // connections are refused
	Hang         // connections are neither accepted nor refused
)

// Block sets what the relay does with new connections.
func (r *TCP) Block(b Block) error {
	r.blocking.Lock()
	defer r.blocking.Unlock()
	if r.block == b {
		return nil
	}
	_ = r.l.Close()
	r.fill.close()
	r.fill = nil
	r.block = b
	switch b {
	case Accept:
		l, err := net.Listen("tcp", r.addr)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		r.l = l
		r.wg.Go(func() { r.accept(l) })
	case Hang, Refuse:
		f, err := newBoundSocket(r.addr, b == Hang)
		if err != nil {
			return err
		}
		r.fill = f
	}
	return nil
}

// ResetOpen resets the open connections.
func (r *TCP) ResetOpen() { r.ResetFrom(func(net.Conn) bool { return true }) }

// ResetFrom resets the open connections from callers that match.
func (r *TCP) ResetFrom(match func(from net.Conn) bool) {
	r.pairs.Lock()
	defer r.pairs.Unlock()
	for p := range r.live {
		if match(p.from) {
			reset(p.from)
			reset(p.to)
		}
	}
}

// boundSocket keeps the relay's address from being used by others. It doesn't listen, so that connections are refused, or its queue of
// connections is full, so that the kernel drops further attempts to connect.
type boundSocket struct {
	file *os.File
	conn net.Conn // the one that fills the queue
}

// HoldAddress binds a socket to the address, so that connections to it are refused until release is called.
func HoldAddress(addr string) (release func(), err error) {
	f, err := newBoundSocket(addr, false)
	if err != nil {
		return nil, err
	}
	return f.close, nil
}

func newBoundSocket(addr string, full bool) (*boundSocket, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	f := &boundSocket{file: os.NewFile(uintptr(fd), "bound-socket")} //nolint:gosec // a descriptor
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()})
	}
	if err == nil && full {
		err = syscall.Listen(fd, 0)
	}
	if err == nil && full {
		f.conn, err = net.Dial("tcp", addr) // stays in the queue, which has one place
	}
	if err != nil {
		f.close()
		return nil, trace.ConvertSystemError(err)
	}
	return f, nil
}

func (f *boundSocket) close() {
	if f == nil {
		return
	}
	if f.conn != nil {
		reset(f.conn)
	}
	_ = f.file.Close()
}
