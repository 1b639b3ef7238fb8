package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/io/memory"
)

// gate is a handler whose requests wait until they are released.
type gate struct {
	mu       sync.Mutex
	handled  []string
	released chan struct{}
}

func newGate() *gate { return &gate{released: make(chan struct{})} }

func (g *gate) handle(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, _ *memory.Reservation) {
	path := string(req.RequestURI())
	g.mu.Lock()
	g.handled = append(g.handled, path)
	g.mu.Unlock()
	<-g.released
	resp.SetBodyString(path)
}

func (g *gate) paths() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.handled...)
}

func (g *gate) awaitRequests(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return len(g.paths()) == n }, 5*time.Second, time.Millisecond)
}

func getText(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

// Guards against requests that servers are at work on and that get no answer: a daemon that leaves closed the connection with the
// response to the first of several requests in progress on it.
func TestRequestsInProgressWhenDraining(t *testing.T) {
	g := newGate()
	f := start(t, 0, g.handle)
	c := f.dial()
	fmt.Fprint(c, getText("/0")+getText("/1")+getText("/2"))
	g.awaitRequests(t, 3)
	f.front.Drain()
	close(g.released)
	r := bufio.NewReader(c)
	for i := range 3 {
		resp := answer(t, r)
		require.Equal(t, fmt.Sprint("/", i), string(resp.Body()))
		require.Equal(t, i == 2, resp.ConnectionClose(), "the response to request %d closes the connection", i)
	}
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a connection that never closes, and against a request that is passed on though no response follows: what a caller sends
// behind the last request of a connection counts as not read.
func TestRequestBehindTheLastOne(t *testing.T) {
	for _, x := range []struct {
		name, first string
		drain       bool
	}{
		{"the daemon leaves", getText("/0"), true},
		{"the caller closes the connection", "GET /0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := newGate()
			f := start(t, 0, g.handle)
			c := f.dial()
			fmt.Fprint(c, x.first)
			g.awaitRequests(t, 1)
			if x.drain {
				f.front.Drain()
			}
			fmt.Fprint(c, getText("/1"))
			time.Sleep(20 * time.Millisecond)
			close(g.released)
			r := bufio.NewReader(c)
			require.True(t, answer(t, r).ConnectionClose())
			_, err := r.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, []string{"/0"}, g.paths())
		})
	}
}

// Guards against idle connections that stay open, and a daemon that doesn't end within its grace period, because one caller reads its
// response slowly.
func TestShutdownWithSlowCaller(t *testing.T) {
	f := start(t, 0, func(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, _ *memory.Reservation) {
		if string(req.RequestURI()) == "/large" {
			resp.SetBody(make([]byte, 64<<20))
		}
	})
	var idle []net.Conn
	for range 20 {
		c := f.dial()
		fmt.Fprint(c, getText("/"))
		answer(t, bufio.NewReader(c))
		idle = append(idle, c)
	}
	slow := f.dial()
	fmt.Fprint(slow, getText("/large"))
	_, err := io.ReadFull(slow, make([]byte, 1000))
	require.NoError(t, err)
	f.front.Drain()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	require.Error(t, f.front.Shutdown(ctx), "the slow caller's response isn't complete")
	require.Less(t, time.Since(began), 3*time.Second)
	for _, c := range idle {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against a request that gets no answer because it has arrived but has not been read when the daemon closes idle connections.
func TestRequestThatArrivesBeforeShutdown(t *testing.T) {
	for i := range 50 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			f := start(t, 0, echoSize)
			c := f.dial()
			r := bufio.NewReader(c)
			fmt.Fprint(c, getText("/"))
			answer(t, r)
			time.Sleep(time.Millisecond)
			_, err := c.Write([]byte(getText("/"))) // returns when the request has arrived
			require.NoError(t, err)
			require.NoError(t, f.front.Shutdown(t.Context()))
			answer(t, r)
		})
	}
}

// heldListener accepts connections whose writes don't return until they are released.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{Conn: c, released: l.released}, err
}

type heldConn struct {
	net.Conn
	released chan struct{}
}

func (c *heldConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	<-c.released
	return n, err
}

// startHeld starts a Frontend that has sent a response, the write of which doesn't return until released is closed.
func startHeld(t *testing.T) (f *testFront, c net.Conn, r *bufio.Reader, released chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	released = make(chan struct{})
	f = startOn(t, &heldListener{Listener: l, released: released}, 0, echoSize)
	c = f.dial()
	r = bufio.NewReader(c)
	fmt.Fprint(c, getText("/"))
	answer(t, r)
	return f, c, r, released
}

// Guards against a request that gets no answer because the daemon begins to drain between the response before it and the end of its write:
// that response doesn't close the connection.
func TestRequestBehindAnsweredOneWhenDraining(t *testing.T) {
	f, c, r, released := startHeld(t)
	f.front.Drain()
	fmt.Fprint(c, getText("/"))
	time.Sleep(50 * time.Millisecond) // until it has been read
	close(released)
	require.True(t, answer(t, r).ConnectionClose())
}

// Guards against a daemon that doesn't end within its grace period because a connection became idle after idle ones had been closed.
func TestShutdownBeforeEndOfWrite(t *testing.T) {
	f, _, r, released := startHeld(t)
	go func() {
		time.Sleep(50 * time.Millisecond) // until the idle connections have been closed
		close(released)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, f.front.Shutdown(ctx))
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// slowListener accepts connections slowly, as a daemon with little processor time does.
type slowListener struct{ *net.TCPListener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(20 * time.Millisecond)
	return l.TCPListener.Accept()
}

// Guards against callers that are cut off because their connections wait to be accepted, with requests on them, when the daemon stops.
func TestConnectionsThatWaitBeforeShutdownAreServed(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	f := startOn(t, slowListener{l}, 0, echoSize)
	var waiting []*bufio.Reader
	for range 10 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = c.Write([]byte(getText("/")))
		require.NoError(t, err)
		waiting = append(waiting, bufio.NewReader(c))
	}
	require.NoError(t, f.front.Shutdown(t.Context()))
	for _, r := range waiting {
		answer(t, r)
	}
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err, "the listener is closed")
}
