package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/ident"
	"heatherrouter/core/retry"
)

// listen runs serve for each accepted connection, numbered from 0.
func listen(t testing.TB, serve func(n int, c net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var g sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	g.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			g.Go(func() {
				defer c.Close()
				serve(n, c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range open {
			c.Close()
		}
		mu.Unlock()
		g.Wait()
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func newPool(t testing.TB, o Options) *Pool {
	p := New(o)
	t.Cleanup(func() { p.Close() })
	return p
}

func get(path string) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.Header.SetHost("backend")
	r.Header.SetRequestURI(path)
	return r
}

// readRequests calls f with the path of each request on the connection until it ends.
func readRequests(c net.Conn, f func(path string)) {
	r := bufio.NewReader(c)
	for {
		req := &fasthttp.Request{}
		if req.Read(r) != nil {
			return
		}
		f(string(req.RequestURI()))
	}
}

func responseText(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHeatherrouter-Incarnation: 7\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func writeResponse(c net.Conn, body string) {
	fmt.Fprint(c, responseText(body))
}

func shortCall() Call {
	return Call{Deadline: time.Now().Add(300 * time.Millisecond)}
}

func do(p *Pool, c Call, path string) (Result, string) {
	resp := &fasthttp.Response{}
	r := p.Do(context.Background(), c, get(path), resp)
	return r, string(resp.Body())
}

func TestAnswered(t *testing.T) {
	var accepted atomic.Int32
	a := listen(t, func(_ int, c net.Conn) {
		accepted.Add(1)
		readRequests(c, func(path string) { writeResponse(c, "to "+path) })
	})
	p := newPool(t, Options{Addr: a})
	var conn ConnNumber
	for i := range 10 {
		path := fmt.Sprintf("/%d", i)
		r, body := do(p, shortCall(), path)
		if i == 0 {
			conn = r.Conn
			require.NotZero(t, conn)
		}
		require.Equal(t, Result{Outcome: retry.Answered, End: admit.EndAnswered, Incarnation: ident.Incarnation(7), Conn: conn, Fresh: i == 0}, r)
		require.Equal(t, "to "+path, body)
	}
	require.EqualValues(t, 1, accepted.Load(), "one connection is reused")
	require.Equal(t, Stats{Open: 1, Idle: 1}, p.Stats())
}

// Checks the outcome of each kind of response.
func TestOutcomeOfResponses(t *testing.T) {
	for _, x := range []struct {
		name, response string
		outcome        retry.Outcome
		end            admit.End
	}{
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", retry.Answered, admit.EndAnswered},
		{"interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", retry.Answered, admit.EndAnswered},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", retry.Answered, admit.EndAnswered},
		{"server error", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", retry.Answered, admit.EndFailed},
		{"overloaded, may have run", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", retry.Answered, admit.EndOverloaded},
		{"overloaded, not run", "HTTP/1.1 503 X\r\nHeatherrouter-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", retry.NotRun, admit.EndRefused},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", retry.Unknown, admit.EndReset},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab", retry.Unknown, admit.EndReset},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", retry.Unknown, admit.EndReset},
		{"no trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", retry.Unknown, admit.EndReset},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nab", retry.Unknown, admit.EndCancelled},
		{"larger than MaxBody", "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\nab", retry.Unknown, admit.EndEndless},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", retry.Unknown, admit.EndReset},
		{"empty response", "", retry.Unknown, admit.EndReset},
		{"not HTTP", "hello\r\n\r\n", retry.Unknown, admit.EndReset},
	} {
		t.Run(x.name, func(t *testing.T) {
			a := listen(t, func(_ int, c net.Conn) {
				readRequests(c, func(string) {
					_, _ = io.WriteString(c, x.response)
					c.Close()
				})
			})
			p := newPool(t, Options{Addr: a, MaxBody: 1000})
			r, _ := do(p, shortCall(), "/")
			require.Equal(t, x.outcome, r.Outcome, "%v", r.Err)
			require.Equal(t, x.end, r.End)
			require.Equal(t, x.outcome == retry.Unknown, r.Err != nil)
			if r.Err != nil {
				require.Zero(t, p.Stats().Open, "the connection must be closed")
			}
		})
	}
}

// The outcome of a refused dial is certain: it fails before any byte is sent, so the request has not run.
func TestDialRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	p := newPool(t, Options{Addr: a})
	r, _ := do(p, shortCall(), "/")
	require.Equal(t, retry.NotRun, r.Outcome)
	require.Equal(t, admit.EndDialFailed, r.End)
	require.Zero(t, p.Stats().Open)
	_, err = p.Probe(time.Now().Add(time.Second))
	require.Error(t, err)
}

// Guards against reporting a request as not run that may have run: the server reads it and resets the connection
// without a response.
func TestResetAfterWrite(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(string) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
	})
	r, _ := do(newPool(t, Options{Addr: a}), shortCall(), "/")
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Equal(t, admit.EndReset, r.End)
}

// Guards against a late response that reaches another caller. It arrives after the deadline of its own request, on a
// connection that must be closed by then.
func TestLateResponse(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(path string) {
			if path == "/late" {
				time.Sleep(100 * time.Millisecond)
			}
			writeResponse(c, path)
		})
	})
	p := newPool(t, Options{Addr: a})
	r, _ := do(p, Call{Deadline: time.Now().Add(50 * time.Millisecond)}, "/late")
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Equal(t, admit.EndTimeout, r.End)
	require.Zero(t, p.Stats().Open)
	time.Sleep(70 * time.Millisecond)
	r, body := do(p, shortCall(), "/own")
	require.NoError(t, r.Err)
	require.Equal(t, "/own", body)
}

// Guards against a surplus response that reaches another caller. The server responds twice to one request: in one
// write, so that the surplus is already buffered when the exchange ends, or later while the connection is idle. Both
// make the connection unusable.
func TestSurplusResponse(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		written := make(chan struct{}, 1) // the surplus response has arrived: loopback writes return after that
		a := listen(t, func(_ int, c net.Conn) {
			readRequests(c, func(path string) {
				if pause == 0 {
					fmt.Fprint(c, responseText(path)+responseText("surplus"))
					written <- struct{}{}
					return
				}
				writeResponse(c, path)
				time.Sleep(pause)
				writeResponse(c, "surplus")
				written <- struct{}{}
			})
		})
		p := newPool(t, Options{Addr: a})
		for i := range 5 {
			r, body := do(p, shortCall(), fmt.Sprint("/", i))
			require.NoError(t, r.Err)
			require.Equal(t, fmt.Sprint("/", i), body)
			<-written
		}
	}
}

// Guards against a response that the server sends to the wrong request. Only the request id reveals it, since the
// bytes arrive when a response is expected. The outcome is unknown, and the body is not passed on.
func TestIDMismatch(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(path string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHeatherrouter-Request-Id: other\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
		})
	})
	p := newPool(t, Options{Addr: a})
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://x/own")
	SetHeaders(req, Meta{RequestID: "own", Deadline: time.Now().Add(time.Second)})
	r := p.Do(t.Context(), shortCall(), req, resp)
	require.Equal(t, retry.Unknown, r.Outcome)
	require.ErrorIs(t, r.Err, ErrIDMismatch)
	require.Zero(t, p.Stats().Open, "the connection must not be reused")
}

// Guards against an unknown outcome after a restart of the server, which closes its idle connections. The next
// request must notice that before its first byte and use a new connection.
func TestIdleClosedByServer(t *testing.T) {
	var runs atomic.Int32
	a := listen(t, func(n int, c net.Conn) {
		readRequests(c, func(path string) {
			runs.Add(1)
			writeResponse(c, path)
			if n%2 == 0 {
				c.Close()
			}
		})
	})
	p := newPool(t, Options{Addr: a})
	for i := range 20 {
		r, _ := do(p, shortCall(), "/")
		require.NoError(t, r.Err)
		require.EqualValues(t, i+1, runs.Load(), "each request ran once")
		time.Sleep(5 * time.Millisecond)
	}
}

// A cancelled request returns an unknown outcome at once. The server sees the connection closed, which it treats as a
// cancellation.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(string) {})
		close(closed)
	})
	p := newPool(t, Options{Addr: a})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	r := p.Do(ctx, Call{Deadline: time.Now().Add(10 * time.Second)}, get("/"), &fasthttp.Response{})
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Equal(t, admit.EndCancelled, r.End)
	<-closed
	r = p.Do(ctx, Call{Deadline: time.Now().Add(10 * time.Second)}, get("/"), &fasthttp.Response{})
	require.Equal(t, retry.NotRun, r.Outcome, "cancelled before anything was sent")
	require.Equal(t, admit.EndCancelled, r.End)
}

// Guards against sending after the lease has expired, for example because the process was paused after the request
// was admitted. The guard runs right before the first byte, on a reused connection too.
func TestGuard(t *testing.T) {
	var runs atomic.Int32
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(path string) { runs.Add(1); writeResponse(c, path) })
	})
	p := newPool(t, Options{Addr: a})
	c := shortCall()
	for range 2 {
		r, _ := do(p, c, "/")
		require.NoError(t, r.Err)
	}
	c.Guard = func() bool { return false }
	r, _ := do(p, c, "/")
	require.Equal(t, retry.NotRun, r.Outcome)
	require.Equal(t, admit.EndNoConnFree, r.End)
	require.EqualValues(t, 2, runs.Load())
}

// Guards against grants that expire one after the other: an order that waited too long is not sent, and its
// connection must stay open for the next order, since opening another one to a busy server takes seconds.
func TestGuardKeepsConnection(t *testing.T) {
	var accepted atomic.Int32
	a := listen(t, func(_ int, c net.Conn) {
		accepted.Add(1)
		readRequests(c, func(path string) { writeResponse(c, path) })
	})
	p := newPool(t, Options{Addr: a})
	for i := range 6 {
		call := shortCall()
		call.Guard = func() bool { return i%2 == 0 }
		r, _ := do(p, call, "/grant")
		if i%2 == 0 {
			require.Equal(t, retry.Answered, r.Outcome, r.Err)
			continue
		}
		require.ErrorIs(t, r.Err, ErrGuard)
	}
	require.Equal(t, int32(1), accepted.Load())
}

// Guards against waiting until the deadline on an unresponsive connection. While other connections get responses, it
// is given up, and the idle ones with it, so that the caller can retry early.
func TestUnresponsiveInFlight(t *testing.T) {
	a := listen(t, func(n int, c net.Conn) {
		readRequests(c, func(path string) {
			if n > 0 {
				writeResponse(c, path)
			}
		})
	})
	p := newPool(t, Options{Addr: a})
	start := time.Now()
	done := make(chan Result)
	go func() {
		r, _ := do(p, Call{Deadline: start.Add(10 * time.Second), SuspectAt: start.Add(100 * time.Millisecond)}, "/")
		done <- r
	}()
	time.Sleep(20 * time.Millisecond)
	for range minLaterResponses {
		r, _ := do(p, shortCall(), "/")
		require.NoError(t, r.Err)
	}
	r := <-done
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Equal(t, admit.EndUnresponsive, r.End)
	require.Less(t, time.Since(start), time.Second)
	require.Zero(t, p.Stats().Open)
}

// Guards against giving up a slow request: no other exchange got a response meanwhile, so nothing shows that the
// connection is at fault rather than the server slow.
func TestSlowIsNotUnresponsive(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(path string) { time.Sleep(150 * time.Millisecond); writeResponse(c, path) })
	})
	p := newPool(t, Options{Addr: a, ProbeTimeout: 20 * time.Millisecond})
	r, body := do(p, Call{Deadline: time.Now().Add(time.Second), SuspectAt: time.Now().Add(20 * time.Millisecond)}, "/slow")
	require.NoError(t, r.Err)
	require.Equal(t, "/slow", body)
}

// Guards against a request on an idle connection that has become unresponsive: its probe gets no response, and the
// next request takes another connection.
func TestUnresponsiveIdle(t *testing.T) {
	var unresponsive atomic.Bool
	a := listen(t, func(n int, c net.Conn) {
		readRequests(c, func(path string) {
			if n > 0 || !unresponsive.Load() {
				writeResponse(c, path)
			}
		})
	})
	p := newPool(t, Options{Addr: a, ProbeInterval: 40 * time.Millisecond, ProbeTimeout: 40 * time.Millisecond})
	r, _ := do(p, shortCall(), "/")
	require.NoError(t, r.Err)
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, 1, p.Stats().Open, "a connection with an answered probe stays open")
	unresponsive.Store(true)
	require.Eventually(t, func() bool { return p.Stats().Open == 0 }, 2*time.Second, 5*time.Millisecond)
	r, _ = do(p, shortCall(), "/")
	require.NoError(t, r.Err)
}

func TestExhaustedAndClosed(t *testing.T) {
	started := make(chan struct{})
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(path string) {
			started <- struct{}{}
			time.Sleep(50 * time.Millisecond)
			writeResponse(c, path)
		})
	})
	p := newPool(t, Options{Addr: a, MaxConns: 1})
	done := make(chan Result)
	go func() {
		r, _ := do(p, shortCall(), "/")
		done <- r
	}()
	<-started
	r, _ := do(p, shortCall(), "/")
	require.Equal(t, retry.NotRun, r.Outcome)
	require.ErrorIs(t, r.Err, ErrExhausted)
	require.NoError(t, p.Close())
	require.NoError(t, (<-done).Err, "an exchange in flight completes")
	require.Zero(t, p.Stats().Open)
	r, _ = do(p, shortCall(), "/")
	require.ErrorIs(t, r.Err, ErrClosed)
	require.Equal(t, retry.NotRun, r.Outcome)
}

func TestProbe(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(path string) { writeResponse(c, path) })
	})
	h, err := newPool(t, Options{Addr: a}).Probe(time.Now().Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, admit.ProbeResult{Alive: true, Incarnation: 7}, h)
}

// Guards against a caller that forges the headers of the home.
func TestStamp(t *testing.T) {
	r := get("/")
	r.Header.Set("heatherrouter-epoch", "99")
	r.Header.Set("Heatherrouter-Key", "forged")
	r.Header.Add("Heatherrouter-Request-Id", "forged")
	r.Header.Add("Heatherrouter-Request-Id", "twice")
	SetHeaders(r, Meta{RequestID: "r1", Epoch: 3, Deadline: time.UnixMilli(5)})
	s := r.Header.String()
	require.Contains(t, s, "Heatherrouter-Epoch: 3\r\n")
	require.Contains(t, s, "Heatherrouter-Deadline: 5\r\n")
	require.Contains(t, s, "Heatherrouter-Request-Id: r1\r\n")
	require.NotContains(t, s, "Heatherrouter-Key")
	require.NotContains(t, s, "forged")
	require.NotContains(t, s, "twice")
	require.Equal(t, 3, strings.Count(s, "Heatherrouter-"))
	SetHeaders(r, Meta{Key: []byte("k"), Shard: 4})
	require.Equal(t, "k", string(r.Header.Peek(HeaderKey)))
	require.Equal(t, "4", string(r.Header.Peek(HeaderShard)))
}
