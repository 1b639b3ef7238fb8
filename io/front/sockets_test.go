package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/descr"
	"heatherrouter/core/site"
	"heatherrouter/io/group"
	"heatherrouter/io/memory"
	"heatherrouter/io/socket"
)

// evictionAge is how long connections of these tests must be idle to be closed for others.
const evictionAge = 10 * time.Millisecond

// startLimited starts a Frontend whose connections are bounded.
func startLimited(t *testing.T, b *socket.Budget, h Handler) *testFront {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := group.New(context.Background())
	f := &testFront{t: t, addr: l.Addr().String()}
	limits := func() site.Limits {
		x := site.DefaultLimits()
		x.IdleTimeout = time.Duration(float64(evictionAge) / evictionRatio)
		return x
	}
	f.front = New(g, Options{Listen: l, Limits: limits, Handler: h, CloseAfterResponse: func() bool { return false }, Sockets: b})
	t.Cleanup(func() {
		f.front.Close()
		g.Stop()
		f.front.wait.Wait()
		require.Zero(t, b.Open(descr.Callers), "all are given back")
	})
	return f
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// exchange sends a request on a new connection and returns the connection, which is kept open.
func (f *testFront) exchange() (net.Conn, error) {
	c := f.dial()
	if _, err := io.WriteString(c, get); err != nil {
		return c, err
	}
	resp := &fasthttp.Response{}
	return c, resp.Read(bufio.NewReader(c))
}

// Guards against callers without a request that keep those with one out, and against callers that take the sockets of the rest.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	b := socket.New(80) // 60 are divided
	f := startLimited(t, b, echoSize)
	var l []net.Conn
	for i := range 100 {
		c, err := f.exchange()
		require.NoError(t, err, i)
		l = append(l, c)
		require.LessOrEqual(t, b.Open(descr.Callers), 45)
		time.Sleep(2 * time.Millisecond) // callers close what the daemon has closed
		for _, x := range l {
			_ = x.SetReadDeadline(time.Now().Add(10 * time.Microsecond))
			if _, err := x.Read(make([]byte, 1)); err == io.EOF { //nolint:errorlint // as Read returns it
				x.Close()
			}
		}
	}
	_, err := io.WriteString(l[len(l)-1], get)
	require.NoError(t, err)
	require.NoError(t, l[len(l)-1].SetReadDeadline(time.Now().Add(time.Second)))
	answer(t, bufio.NewReader(l[len(l)-1]))
}

// Guards against callers that wait for a connection that the daemon can't serve: they are turned away at once, without a request that was
// read.
func TestConnectionsBeyondTheLimitAreClosedAtOnce(t *testing.T) {
	b, release := socket.New(80), make(chan struct{})
	f := startLimited(t, b, func(_ context.Context, _ *fasthttp.Request, resp *fasthttp.Response, _ *memory.Reservation) {
		<-release
		resp.SetBodyString("done")
	})
	var l []net.Conn
	for range 45 {
		c := f.dial()
		_, err := io.WriteString(c, get)
		require.NoError(t, err)
		l = append(l, c)
	}
	require.Eventually(t, func() bool { return f.front.OpenRequests() == 45 }, 5*time.Second, time.Millisecond)
	began := time.Now()
	_, err := f.exchange()
	require.Error(t, err)
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Equal(t, 45, f.front.OpenRequests())
	close(release)
	for _, c := range l {
		answer(t, bufio.NewReader(c))
	}
	require.Eventually(t, func() bool {
		_, err := f.exchange()
		return err == nil
	}, 5*time.Second, 20*time.Millisecond, "there is room again")
}
