package send

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/buffer"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/memory"
)

// respond returns a server that answers with the status and a body of the given size, and counts its requests.
func respond(t *testing.T, status, size int, count *atomic.Int32) *site.Server {
	body := strings.Repeat("a", size)
	return &site.Server{Addr: listen(t, func(c net.Conn, _ *fasthttp.Request) bool {
		count.Add(1)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", status, size, body)
		return err == nil
	})}
}

// connect opens a connection to each server in advance. On a busy machine a dial can time out, and the request would then go elsewhere.
func connect(t *testing.T, s *Sender, servers ...*site.Server) {
	for _, x := range servers {
		require.Eventually(t, func() bool {
			return s.backend(x, false).pool.Preconnect(t.Context(), time.Now().Add(time.Second))
		}, 10*time.Second, time.Millisecond)
	}
}

func newMemory(limit buffer.Bytes) *memory.Budget {
	return memory.New(memory.Options{Limit: limit, Clock: clock.New(), Refused: func(int) {}})
}

// Guards against losing a response that is small enough for the buffer of its connection, and against repeating a request at other servers,
// or blaming its server, because its response finds no room in this daemon.
func TestResponseWithoutMemory(t *testing.T) {
	var count atomic.Int32
	x, y := respond(t, 200, 100<<10, &count), respond(t, 200, 100<<10, &count)
	x.ID, y.ID = "a", "b"
	s := newTestSender(t, x, y)
	full := memory.Reservation{Budget: newMemory(1 << 20)}
	require.NoError(t, full.ReserveRequest(1<<20))
	for i, path := range []string{"/safe/x", "/x"} {
		m, resp := &memory.Reservation{Budget: full.Budget}, &fasthttp.Response{}
		s.Handle(t.Context(), testRequest(path), resp, m)
		require.Equal(t, fasthttp.StatusBadGateway, resp.StatusCode(), "it may have run")
		require.Equal(t, "no-memory\n", string(resp.Body()))
		require.EqualValues(t, i+1, count.Load())
		require.Zero(t, m.Held())
		require.Zero(t, s.backend(x, false).load.AvoidUntil+s.backend(y, false).load.AvoidUntil)
	}
	small := respond(t, 200, memory.MaxUnreserved, &count)
	small.ID = "c"
	s = newTestSender(t, small)
	m, resp := &memory.Reservation{Budget: full.Budget}, &fasthttp.Response{}
	s.Handle(t.Context(), testRequest("/x"), resp, m)
	require.Equal(t, fasthttp.StatusOK, resp.StatusCode())
	require.Len(t, resp.Body(), memory.MaxUnreserved)
}

// Guards against holding the memory of responses that no caller receives: a safe request that fails at one server is answered by another.
func TestMemoryOfFailedAttempts(t *testing.T) {
	var failed, served atomic.Int32
	x, y := respond(t, 500, 300<<10, &failed), respond(t, 200, 100<<10, &served)
	x.ID, y.ID = "a", "b"
	s := newTestSender(t, x, y)
	for i := range 6 {
		connect(t, s, x, y)
		s.backend(x, false).load.AvoidUntil = 0
		s.backend(y, false).load.AvoidUntil = s.o.Clock.Now().Add(time.Minute) // so that the request goes to the failing server first
		m, resp := &memory.Reservation{Budget: newMemory(1 << 20)}, &fasthttp.Response{}
		s.Handle(t.Context(), testRequest("/safe/x"), resp, m)
		require.Equal(t, fasthttp.StatusOK, resp.StatusCode())
		require.Equal(t, 100<<10, m.Held(), "only what the caller receives")
		m.ReleaseAll()
		require.Zero(t, m.Budget.State().Held)
		require.EqualValues(t, i+1, failed.Load(), "each request failed at one server")
		require.EqualValues(t, i+1, served.Load(), "and was answered by the other")
	}
	s = newTestSender(t, x)
	connect(t, s, x)
	m, resp := &memory.Reservation{Budget: newMemory(1 << 20)}, &fasthttp.Response{}
	s.Handle(t.Context(), testRequest("/safe/x"), resp, m)
	require.Equal(t, fasthttp.StatusInternalServerError, resp.StatusCode())
	require.Equal(t, 300<<10, m.Held())
}

// Guards against large bodies that are held twice: the server's request shares the body of the caller's.
func TestRequestBodyIsShared(t *testing.T) {
	s := newTestSender(t)
	req, out := testRequest("/x"), &fasthttp.Request{}
	req.SetBodyRaw(make([]byte, 360<<10))
	s.buildRequest(out, &request{req: req}, &backend{server: &site.Server{ID: "a"}})
	require.Same(t, &req.Body()[0], &out.Body()[0])
}

// Guards against urgent requests that are refused as ones of low priority, and requests without a route that take the memory of others.
func TestPriorityForMemory(t *testing.T) {
	s := newTestSender(t)
	for path, want := range map[string]int{"/safe/x?y=/": 0, "/x": 1} {
		require.Equal(t, want, s.Priority(&testRequest(path).Header), path)
	}
	req := testRequest("/x")
	req.Header.SetHost("other")
	require.Equal(t, buffer.Lowest, s.Priority(&req.Header))
	s.o.View = staticView{s: &site.Snapshot{}}
	require.Equal(t, buffer.Lowest, s.Priority(&req.Header), "no configuration")
}

// Guards against a refusal without the time to return, and against all refused callers returning at once.
func TestRefusalForLackOfMemory(t *testing.T) {
	s := newTestSender(t)
	seen := map[string]bool{}
	for range 20 {
		resp := &fasthttp.Response{}
		s.RefuseNoMemory(t.Context(), testRequest("/x"), resp, &memory.Reservation{Priority: 1})
		require.Equal(t, fasthttp.StatusServiceUnavailable, resp.StatusCode())
		require.Equal(t, "no-memory\n", string(resp.Body()))
		require.Equal(t, "a", string(resp.Header.Peek("Request-Id")))
		seen[string(resp.Header.Peek("Retry-After"))] = true
	}
	require.Greater(t, len(seen), 10)
	require.NotContains(t, seen, "")
	for p := range buffer.Classes - 1 {
		require.Less(t, retryNoMemory[p], retryNoMemory[p+1])
	}
}
