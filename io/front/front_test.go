package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/buffer"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/memory"
)

// testFront is a Frontend whose requests have the priority of their header "Priority".
type testFront struct {
	t       testing.TB
	addr    string
	front   *Frontend
	memory  *memory.Budget
	refused atomic.Int64
}

// start starts a Frontend; a limit of 0 is none.
func start(t testing.TB, limit buffer.Bytes, h Handler) *testFront {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startOn(t, l, limit, h)
}

func startOn(t testing.TB, l net.Listener, limit buffer.Bytes, h Handler) *testFront {
	t.Helper()
	f := &testFront{t: t, addr: l.Addr().String()}
	o := Options{Listen: l, Limits: site.DefaultLimits, Handler: h, CloseAfterResponse: func() bool { return false }}
	if limit > 0 {
		f.memory = memory.New(memory.Options{Limit: limit, Clock: clock.New(), Refused: func(int) { f.refused.Add(1) }})
		o.Memory = f.memory
		o.Priority = func(h *fasthttp.RequestHeader) int { return int(h.Peek("Priority")[0] - '0') }
		o.RefuseNoMemory = func(_ context.Context, _ *fasthttp.Request, resp *fasthttp.Response, _ *memory.Reservation) {
			resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
			resp.Header.Set(fasthttp.HeaderRetryAfter, "0.1")
		}
	}
	g := group.New(context.Background())
	x := New(g, o)
	f.front = x
	t.Cleanup(func() {
		x.Close()
		g.Stop()
		x.wait.Wait()
		require.Zero(t, x.OpenRequests())
		if f.memory != nil {
			require.Zero(t, f.memory.State().Held, "everything is returned")
		}
	})
	return f
}

func (f *testFront) dial() net.Conn {
	c, err := net.Dial("tcp", f.addr)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	require.NoError(f.t, c.SetDeadline(time.Now().Add(30*time.Second)))
	return c
}

// upload returns a request with a body.
func upload(path string, priority int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nPriority: %d\r\nContent-Length: %d\r\n\r\n%s", path, priority, len(body), body)
}

// answer reads one response.
func answer(t testing.TB, r *bufio.Reader) *fasthttp.Response {
	t.Helper()
	resp := &fasthttp.Response{}
	require.NoError(t, resp.Read(r))
	return resp
}

// echoSize answers with the size of the request's body.
func echoSize(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, _ *memory.Reservation) {
	resp.SetBodyString(fmt.Sprint(len(req.Body())))
}

const smallestDaemon buffer.Bytes = 144 << 20 / 4 // limit of a daemon with 144 MB

// Guards against a daemon of 144 MB that a burst of 250 uploads of 60 to 360 KB at once fills: urgent requests still get in, the sum stays
// within the limit, uploads that don't fit are refused at once, and everything is returned.
func TestBurstOfUploadsOnDaemonOf144MB(t *testing.T) {
	release := make(chan struct{})
	var most atomic.Int64
	var f *testFront
	f = start(t, smallestDaemon, func(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, _ *memory.Reservation) {
		most.Store(max(most.Load(), int64(f.memory.State().Held)))
		if req.Header.Peek("Priority")[0] == '2' {
			<-release
		}
		resp.SetBodyString(fmt.Sprint(len(req.Body())))
	})
	body := strings.Repeat("x", 360<<10)
	var served, refused atomic.Int64
	var g sync.WaitGroup
	for i := range 250 {
		g.Go(func() {
			c := f.dial()
			go fmt.Fprint(c, upload("/", 2, body[:60<<10+i*1200]))
			resp := answer(t, bufio.NewReader(c))
			if resp.StatusCode() == fasthttp.StatusOK {
				served.Add(1)
				return
			}
			refused.Add(1)
			require.Equal(t, fasthttp.StatusServiceUnavailable, resp.StatusCode())
			require.NotEmpty(t, resp.Header.Peek(fasthttp.HeaderRetryAfter))
			require.True(t, resp.ConnectionClose())
		})
	}
	require.Eventually(t, func() bool { return f.memory.State().Held > smallestDaemon*3/4 && refused.Load() > 0 }, 10*time.Second, time.Millisecond)
	for p := range 2 {
		c := f.dial()
		r := bufio.NewReader(c)
		for range 50 {
			fmt.Fprint(c, upload("/", p, body[:9<<10]))
			require.Equal(t, fasthttp.StatusOK, answer(t, r).StatusCode(), "priority %d", p)
		}
	}
	close(release)
	g.Wait()
	require.EqualValues(t, 250, served.Load()+refused.Load())
	require.Greater(t, served.Load(), int64(90))
	require.Equal(t, refused.Load(), f.refused.Load())
	require.LessOrEqual(t, buffer.Bytes(most.Load()), smallestDaemon)
}

// Guards against memory that stays reserved for callers that leave in the middle of their uploads.
func TestCallersThatLeaveMidway(t *testing.T) {
	f := start(t, smallestDaemon, echoSize)
	whole := upload("/", 2, strings.Repeat("x", 300<<10))
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nPriority: 2\r\nTransfer-Encoding: chunked\r\n\r\n3e8000\r\n" + strings.Repeat("x", 200<<10)
	for _, sent := range []string{whole[:200], whole[:100<<10], chunked} {
		for range 20 {
			c := f.dial()
			fmt.Fprint(c, sent)
			require.Eventually(t, func() bool { return f.memory.State().Held > 0 }, 5*time.Second, 100*time.Microsecond)
			c.Close()
			require.Eventually(t, func() bool { return f.memory.State().Held == 0 }, 5*time.Second, 100*time.Microsecond)
		}
	}
	require.Zero(t, f.refused.Load())
}

// Guards against refusing a chunked body that fits, reading one that doesn't, and confusing what follows it with a request.
func TestChunkedBodies(t *testing.T) {
	f := start(t, 1<<20, echoSize)
	chunked := func(priority int, size int) string {
		var b strings.Builder
		fmt.Fprintf(&b, "POST / HTTP/1.1\r\nHost: h\r\nPriority: %d\r\nTransfer-Encoding: chunked\r\n\r\n", priority)
		for n := size; n > 0; n -= 1000 {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", min(n, 1000), strings.Repeat("x", min(n, 1000)))
		}
		return b.String() + "0\r\nA: b\r\n\r\n"
	}
	c := f.dial()
	r := bufio.NewReader(c)
	for _, n := range []int{0, 1, 1000, 5000, 70_000, 500_000, 1 << 20} {
		fmt.Fprint(c, chunked(0, n)+upload("/", 0, "abc"))
		require.Equal(t, fmt.Sprint(n), string(answer(t, r).Body()))
		require.Equal(t, "3", string(answer(t, r).Body()))
	}
	go fmt.Fprint(c, chunked(2, 1<<20))
	require.Equal(t, fasthttp.StatusServiceUnavailable, answer(t, r).StatusCode(), "more than the part of the lowest priority")
	c = f.dial()
	go fmt.Fprint(c, chunked(0, 1<<20+1))
	require.Equal(t, fasthttp.StatusRequestEntityTooLarge, answer(t, bufio.NewReader(c)).StatusCode())
	require.Eventually(t, func() bool { return f.memory.State().Held == 0 }, 5*time.Second, time.Millisecond, "given back after the answer")
	c = f.dial()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nPriority: 2\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n")
	require.Equal(t, fasthttp.StatusBadRequest, answer(t, bufio.NewReader(c)).StatusCode())
}

// Guards against one connection that fills a daemon of 144 MB with 16 pipelined uploads of 1 MB each: the bodies in progress of a connection
// may be as large as one may. All are served, in order.
func TestPipelinedUploads(t *testing.T) {
	var most atomic.Int64
	var f *testFront
	f = start(t, smallestDaemon, func(c context.Context, req *fasthttp.Request, resp *fasthttp.Response, m *memory.Reservation) {
		most.Store(max(most.Load(), int64(f.memory.State().Held)))
		time.Sleep(10 * time.Millisecond)
		echoSize(c, req, resp, m)
	})
	for _, size := range []int{100, 300 << 10, 1 << 20} {
		most.Store(0)
		c := f.dial()
		go func() {
			for i := range maxPipelined {
				fmt.Fprint(c, upload("/", 2, strings.Repeat("x", size-i)))
			}
		}()
		r := bufio.NewReader(c)
		for i := range maxPipelined {
			require.Equal(t, fmt.Sprint(size-i), string(answer(t, r).Body()))
		}
		require.LessOrEqual(t, most.Load(), int64(site.DefaultLimits().MaxBodyBytes))
	}
}

// Guards against taking the body of a rejected request for a request, while an earlier one of the connection is in progress.
func TestBodyOfRejectedRequestIsNoRequest(t *testing.T) {
	for name, x := range map[string]struct {
		limit  buffer.Bytes
		size   int
		status int
	}{
		"too large":             {0, site.DefaultLimits().MaxBodyBytes + 1, fasthttp.StatusRequestEntityTooLarge},
		"too large, with limit": {smallestDaemon, site.DefaultLimits().MaxBodyBytes + 1, fasthttp.StatusRequestEntityTooLarge},
		"no memory":             {1 << 10, 10 << 10, fasthttp.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			var paths sync.Map
			var requests atomic.Int64
			f := start(t, x.limit, func(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, _ *memory.Reservation) {
				paths.Store(string(req.RequestURI()), true)
				requests.Add(1)
				time.Sleep(1200 * time.Millisecond) // longer than lingerTimeout
				resp.SetBodyString("first")
			})
			c := f.dial()
			body := strings.Repeat("GET /smuggled HTTP/1.1\r\nHost: h\r\nPriority: 0\r\n\r\n", x.size/40)
			go fmt.Fprint(c, "GET /first HTTP/1.1\r\nHost: h\r\nPriority: 0\r\n\r\n"+upload("/", 0, body))
			r := bufio.NewReader(c)
			require.Equal(t, "first", string(answer(t, r).Body()), "the earlier request is served")
			require.Equal(t, x.status, answer(t, r).StatusCode())
			_, err := r.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.EqualValues(t, 1, requests.Load())
			_, smuggled := paths.Load("/smuggled")
			require.False(t, smuggled)
		})
	}
}

// Guards against asking a caller for a body that is not read then.
func TestRefusedBeforeContinue(t *testing.T) {
	f := start(t, 1<<10, echoSize)
	c := f.dial()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nPriority: 0\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n")
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	require.True(t, bytes.HasPrefix(b, []byte("HTTP/1.1 503")), "%s", b)
}

// Guards against a caller that takes memory from others by not reading its response, and against disconnecting it while there is room.
func TestCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	const size = 8 << 20 // more than the system buffers
	f := start(t, 10<<20, func(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, m *memory.Reservation) {
		if string(req.RequestURI()) == "/large" {
			resp.SetBodyRaw(make([]byte, size))
			_ = m.ReserveResponse(size)
		}
	})
	c := f.dial()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	fmt.Fprint(c, "GET /large HTTP/1.1\r\nHost: h\r\nPriority: 2\r\n\r\n")
	time.Sleep(6 * time.Second)
	require.EqualValues(t, size, f.memory.State().Held, "it is not disconnected while nobody else needs the memory")
	other := f.dial()
	fmt.Fprint(other, upload("/", 2, strings.Repeat("x", 1<<20)))
	require.Equal(t, fasthttp.StatusServiceUnavailable, answer(t, bufio.NewReader(other)).StatusCode())
	require.Eventually(t, func() bool { return f.memory.State().Held == 0 }, 3*time.Second, 10*time.Millisecond, "it is disconnected")
	_, err := io.Copy(io.Discard, c)
	require.Error(t, err, "the connection is reset")
	other = f.dial()
	fmt.Fprint(other, upload("/", 2, strings.Repeat("x", 1<<20)))
	require.Equal(t, fasthttp.StatusOK, answer(t, bufio.NewReader(other)).StatusCode())
}

// Guards against disconnecting a caller that reads slowly but steadily while memory is short.
func TestSlowCallerIsServed(t *testing.T) {
	t.Parallel()
	const size = 4 << 20
	f := start(t, size+1000, func(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, m *memory.Reservation) {
		if string(req.RequestURI()) == "/large" {
			resp.SetBodyRaw(make([]byte, size))
			_ = m.ReserveResponse(size)
		}
	})
	c := f.dial()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	fmt.Fprint(c, "GET /large HTTP/1.1\r\nHost: h\r\nPriority: 0\r\n\r\n")
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			other := f.dial()
			fmt.Fprint(other, upload("/", 0, strings.Repeat("x", 10_000)))
			_, _ = io.Copy(io.Discard, other)
		}
	})
	began, got := time.Now(), 0
	b := make([]byte, 20<<10)
	for time.Since(began) < 8*time.Second {
		n, err := c.Read(b)
		require.NoError(t, err)
		got += n
		time.Sleep(200 * time.Millisecond)
	}
	_, err := io.CopyN(io.Discard, c, int64(size-got))
	require.NoError(t, err)
	close(stop)
	g.Wait()
	require.Positive(t, f.refused.Load(), "memory was short")
}

// BenchmarkSmallRequest is a request without a body and a small response, with and without a memory limit.
func BenchmarkSmallRequest(b *testing.B) {
	for name, limit := range map[string]buffer.Bytes{"no limit": 0, "limit": smallestDaemon} {
		b.Run(name, func(b *testing.B) {
			f := start(b, limit, func(_ context.Context, _ *fasthttp.Request, resp *fasthttp.Response, m *memory.Reservation) {
				_ = m.ReserveResponse(16)
				resp.SetBodyString("0123456789abcdef")
			})
			c := f.dial()
			require.NoError(b, c.SetDeadline(time.Time{}))
			r, resp, req := bufio.NewReader(c), &fasthttp.Response{}, []byte("GET / HTTP/1.1\r\nHost: h\r\nPriority: 0\r\n\r\n")
			b.ReportAllocs()
			for b.Loop() {
				_, _ = c.Write(req)
				require.NoError(b, resp.Read(r))
			}
		})
	}
}
