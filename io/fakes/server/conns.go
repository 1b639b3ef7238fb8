package server

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// gate stops a frozen server's reads, writes and work. A frozen server still accepts: the kernel does that.
type gate struct {
	closed atomic.Bool

	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
}

func (g *gate) init() {
	g.open = make(chan struct{})
	close(g.open)
}

func (g *gate) set(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed.Load() == frozen {
		return
	}
	if frozen {
		g.open = make(chan struct{})
	} else {
		close(g.open)
	}
	g.closed.Store(frozen)
}

func (g *gate) pass() {
	if !g.closed.Load() {
		return
	}
	g.mu.Lock()
	c := g.open
	g.mu.Unlock()
	<-c
}

// listener bounds the connections and keeps them in reach of the faults.
type listener struct {
	net.Listener
	limit int
	cost  time.Duration
	gate  *gate

	mu   sync.Mutex
	down bool // closes what comes
	live map[*conn]struct{}
	dead []*conn // silent ones that the server is done with; kept, since a collected one would be closed
}

func newListener(l net.Listener, limit int, cost time.Duration, g *gate) *listener {
	return &listener{Listener: l, limit: limit, cost: cost, gate: g, live: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		x := &conn{Conn: c, from: l, cost: l.cost}
		if l.add(x) {
			return x, nil
		}
		reset(c)
	}
}

func (l *listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || len(l.live) >= l.limit {
		return false
	}
	l.live[c] = struct{}{}
	return true
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.live, c)
}

func (l *listener) keep(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = append(l.dead, c)
}

func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.live)
}

func (l *listener) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		l.closeAll()
	}
}

func (l *listener) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *listener) closeAll() {
	for _, c := range l.all() {
		reset(c.Conn)
		c.broken.Store(true)
	}
}

// silence makes every connection of now deliver nothing any more, either way, without being closed.
func (l *listener) silence() {
	for _, c := range l.all() {
		c.silent.Store(true)
	}
}

func (l *listener) all() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := slices.Clone(l.dead)
	for c := range l.live {
		x = append(x, c)
	}
	return x
}

// resetAny resets the connection, also one that the HTTP library has wrapped.
func resetAny(c net.Conn) {
	if u, ok := c.(interface{ UnsafeConn() net.Conn }); ok {
		c = u.UnsafeConn()
	}
	if x, ok := c.(*conn); ok {
		x.from.remove(x)
		c = x.Conn
	}
	reset(c)
}

// reset closes a connection as a process that died does: with a reset, not an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

type conn struct {
	net.Conn
	from   *listener
	cost   time.Duration // still to be paid before the first read
	silent atomic.Bool
	broken atomic.Bool // ended by the server, with what it has read
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.cost > 0 {
		time.Sleep(c.cost)
		c.cost = 0
	}
	for {
		n, err := c.Conn.Read(b)
		c.from.gate.pass()
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.from.gate.pass()
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.from.remove(c)
	if c.silent.Load() {
		c.from.keep(c) // an end would be delivered; the peer must not learn of anything
		return nil
	}
	return c.Conn.Close()
}

// gone reports whether the other end has closed the connection, without taking what it may have sent.
func (c *conn) gone() bool {
	t, ok := c.Conn.(syscall.Conn)
	if !ok || c.silent.Load() {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var b [1]byte
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return true
	}
	if peekErr != nil {
		return peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
	}
	return n == 0
}
