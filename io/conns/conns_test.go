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

// requests calls f with the path of each request that comes on the connection.
func requests(c net.Conn, f func(path string)) {
	r := bufio.NewReader(c)
	for {
		req := &fasthttp.Request{}
		if req.Read(r) != nil {
			return
		}
		f(string(req.RequestURI()))
	}
}

func answerText(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHeatherrouter-Incarnation: 7\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func answerWith(c net.Conn, body string) {
	fmt.Fprint(c, answerText(body))
}

func soon() Call {
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
		requests(c, func(path string) { answerWith(c, "to "+path) })
	})
	p := newPool(t, Options{Addr: a})
	for i := range 10 {
		path := fmt.Sprintf("/%d", i)
		r, body := do(p, soon(), path)
		require.Equal(t, Result{Outcome: retry.Answered, End: admit.EndAnswered, Incarnation: ident.Incarnation(7)}, r)
		require.Equal(t, "to "+path, body)
	}
	require.EqualValues(t, 1, accepted.Load(), "one connection is kept")
	require.Equal(t, Stats{Open: 1, Idle: 1}, p.Stats())
}

// What each kind of answer makes certain.
func TestOutcomeOfAnswers(t *testing.T) {
	for _, x := range []struct {
		name, answer string
		outcome      retry.Outcome
		end          admit.End
	}{
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", retry.Answered, admit.EndAnswered},
		{"interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", retry.Answered, admit.EndAnswered},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", retry.Answered, admit.EndAnswered},
		{"error of the server", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", retry.Answered, admit.EndFailed},
		{"overload, may have run", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", retry.Answered, admit.EndOverloaded},
		{"overload, not run", "HTTP/1.1 503 X\r\nHeatherrouter-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", retry.NotRun, admit.EndRefused},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", retry.Unknown, admit.EndReset},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab", retry.Unknown, admit.EndReset},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", retry.Unknown, admit.EndReset},
		{"no trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", retry.Unknown, admit.EndReset},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nab", retry.Unknown, admit.EndCancelled},
		{"more than we hold", "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\nab", retry.Unknown, admit.EndCancelled},
		{"cut header", "HTTP/1.1 200 OK\r\nContent-Le", retry.Unknown, admit.EndReset},
		{"nothing", "", retry.Unknown, admit.EndReset},
		{"no HTTP", "hello\r\n\r\n", retry.Unknown, admit.EndReset},
	} {
		t.Run(x.name, func(t *testing.T) {
			a := listen(t, func(_ int, c net.Conn) {
				requests(c, func(string) {
					_, _ = io.WriteString(c, x.answer)
					c.Close()
				})
			})
			p := newPool(t, Options{Addr: a, MaxBody: 1000})
			r, _ := do(p, soon(), "/")
			require.Equal(t, x.outcome, r.Outcome, "%v", r.Err)
			require.Equal(t, x.end, r.End)
			require.Equal(t, x.outcome == retry.Unknown, r.Err != nil)
			if r.Err != nil {
				require.Zero(t, p.Stats().Open, "the connection is not kept")
			}
		})
	}
}

// The caller sees a refusal as not run. The server's port is closed, so the dial fails before any byte is
// sent, and that is certain.
func TestDialRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	p := newPool(t, Options{Addr: a})
	r, _ := do(p, soon(), "/")
	require.Equal(t, retry.NotRun, r.Outcome)
	require.Equal(t, admit.EndDialFailed, r.End)
	require.Zero(t, p.Stats().Open)
	_, err = p.Probe(time.Now().Add(time.Second))
	require.Error(t, err)
}

// The caller sees an unknown outcome. The server takes the request and resets the connection without an
// answer: it may have run the request before that, so no refusal is possible any more.
func TestResetAfterWrite(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(string) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
	})
	r, _ := do(newPool(t, Options{Addr: a}), soon(), "/")
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Equal(t, admit.EndReset, r.End)
}

// The caller of the second request sees its own answer. The first one's answer comes after its deadline, on
// a connection that is closed by then; were that connection used on, the second caller would get it.
func TestLateAnswer(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(path string) {
			if path == "/late" {
				time.Sleep(100 * time.Millisecond)
			}
			answerWith(c, path)
		})
	})
	p := newPool(t, Options{Addr: a})
	r, _ := do(p, Call{Deadline: time.Now().Add(50 * time.Millisecond)}, "/late")
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Equal(t, admit.EndTimeout, r.End)
	require.Zero(t, p.Stats().Open)
	time.Sleep(70 * time.Millisecond)
	r, body := do(p, soon(), "/own")
	require.NoError(t, r.Err)
	require.Equal(t, "/own", body)
}

// The caller of the second request sees its own answer. The server answers the first one twice on one
// connection: in one write, so that the surplus lies there when the first exchange ends, or while the
// connection is idle. Either way the surplus bytes make the connection unusable.
func TestSurplusAnswer(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		a := listen(t, func(_ int, c net.Conn) {
			requests(c, func(path string) {
				if pause == 0 {
					fmt.Fprint(c, answerText(path)+answerText("foreign"))
					return
				}
				answerWith(c, path)
				time.Sleep(pause)
				answerWith(c, "foreign")
			})
		})
		p := newPool(t, Options{Addr: a})
		for i := range 5 {
			r, body := do(p, soon(), fmt.Sprint("/", i))
			require.NoError(t, r.Err)
			require.Equal(t, fmt.Sprint("/", i), body)
			time.Sleep(2 * pause)
		}
	}
}

// The caller sees an unknown outcome and no foreign body. The server mixes up two requests and answers with
// the other one's id; nothing but the id tells, since the bytes come when an answer is due.
func TestForeignID(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(path string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHeatherrouter-Request-Id: other\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
		})
	})
	p := newPool(t, Options{Addr: a})
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://x/own")
	Stamp(req, Meta{RequestID: "own", Deadline: time.Now().Add(time.Second)})
	r := p.Do(t.Context(), soon(), req, resp)
	require.Equal(t, retry.Unknown, r.Outcome)
	require.ErrorIs(t, r.Err, ErrForeign)
	require.Zero(t, p.Stats().Open, "the connection must not be used again")
}

// The caller sees an answer, not an unknown outcome. The server closes the connection while it is idle, as
// on a restart; the next request finds that out before its first byte and takes a new connection.
func TestIdleClosedByServer(t *testing.T) {
	var runs atomic.Int32
	a := listen(t, func(n int, c net.Conn) {
		requests(c, func(path string) {
			runs.Add(1)
			answerWith(c, path)
			if n%2 == 0 {
				c.Close()
			}
		})
	})
	p := newPool(t, Options{Addr: a})
	for i := range 20 {
		r, _ := do(p, soon(), "/")
		require.NoError(t, r.Err)
		require.EqualValues(t, i+1, runs.Load(), "each ran once")
		time.Sleep(5 * time.Millisecond)
	}
}

// The caller gives up, and sees an unknown outcome at once; the server sees the connection closed, which it
// takes for a cancellation.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(string) {})
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
	require.Equal(t, retry.NotRun, r.Outcome, "gone before anything was sent")
	require.Equal(t, admit.EndCancelled, r.End)
}

// The caller sees a refusal as not run. The process was paused after the request was admitted, and its
// lease lapsed: the guard right before the first byte stops the send, on a kept connection too.
func TestGuard(t *testing.T) {
	var runs atomic.Int32
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(path string) { runs.Add(1); answerWith(c, path) })
	})
	p := newPool(t, Options{Addr: a})
	c := soon()
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

// A server's keys lapse one after the other. An order that waited too long isn't sent, and its connection must stay for
// the next one: opening another takes a busy server seconds.
func TestGuardLeavesTheConnection(t *testing.T) {
	var accepted atomic.Int32
	a := listen(t, func(_ int, c net.Conn) {
		accepted.Add(1)
		requests(c, func(path string) { answerWith(c, path) })
	})
	p := newPool(t, Options{Addr: a})
	for i := range 6 {
		call := soon()
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

// The caller sees an answer well before its deadline, from a second send. Its connection delivers nothing
// more while others are answered, so it is given up as silent, and the idle ones with it.
func TestSilentInFlight(t *testing.T) {
	a := listen(t, func(n int, c net.Conn) {
		requests(c, func(path string) {
			if n > 0 {
				answerWith(c, path)
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
	for range othersAnswered {
		r, _ := do(p, soon(), "/")
		require.NoError(t, r.Err)
	}
	r := <-done
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Equal(t, admit.EndUnresponsive, r.End)
	require.Less(t, time.Since(start), time.Second)
	require.Zero(t, p.Stats().Open)
}

// The caller waits for its slow answer and gets it. No other exchange was answered meanwhile, so nothing
// says that the connection is at fault rather than the server slow.
func TestSlowIsNotSilent(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(path string) { time.Sleep(150 * time.Millisecond); answerWith(c, path) })
	})
	p := newPool(t, Options{Addr: a, ProbeTimeout: 20 * time.Millisecond})
	r, body := do(p, Call{Deadline: time.Now().Add(time.Second), SuspectAt: time.Now().Add(20 * time.Millisecond)}, "/slow")
	require.NoError(t, r.Err)
	require.Equal(t, "/slow", body)
}

// Nobody sees anything: a connection goes silent while it is idle, its probe gets no answer, and the next
// request takes another one.
func TestSilentIdle(t *testing.T) {
	var silent atomic.Bool
	a := listen(t, func(n int, c net.Conn) {
		requests(c, func(path string) {
			if n > 0 || !silent.Load() {
				answerWith(c, path)
			}
		})
	})
	p := newPool(t, Options{Addr: a, ProbeEvery: 40 * time.Millisecond, ProbeTimeout: 40 * time.Millisecond})
	r, _ := do(p, soon(), "/")
	require.NoError(t, r.Err)
	time.Sleep(200 * time.Millisecond)
	require.Equal(t, 1, p.Stats().Open, "an answered probe keeps the connection")
	silent.Store(true)
	require.Eventually(t, func() bool { return p.Stats().Open == 0 }, 2*time.Second, 5*time.Millisecond)
	r, _ = do(p, soon(), "/")
	require.NoError(t, r.Err)
}

func TestExhaustedAndClosed(t *testing.T) {
	started := make(chan struct{})
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(path string) {
			started <- struct{}{}
			time.Sleep(50 * time.Millisecond)
			answerWith(c, path)
		})
	})
	p := newPool(t, Options{Addr: a, MaxConns: 1})
	done := make(chan Result)
	go func() {
		r, _ := do(p, soon(), "/")
		done <- r
	}()
	<-started
	r, _ := do(p, soon(), "/")
	require.Equal(t, retry.NotRun, r.Outcome)
	require.ErrorIs(t, r.Err, ErrExhausted)
	require.NoError(t, p.Close())
	require.NoError(t, (<-done).Err, "what is in flight ends")
	require.Zero(t, p.Stats().Open)
	r, _ = do(p, soon(), "/")
	require.ErrorIs(t, r.Err, ErrClosed)
	require.Equal(t, retry.NotRun, r.Outcome)
}

func TestProbe(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		requests(c, func(path string) { answerWith(c, path) })
	})
	h, err := newPool(t, Options{Addr: a}).Probe(time.Now().Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, admit.ProbeResult{Alive: true, Incarnation: 7}, h)
}

// A caller that sends our own headers doesn't get through with them.
func TestStamp(t *testing.T) {
	r := get("/")
	r.Header.Set("heatherrouter-epoch", "99")
	r.Header.Set("Heatherrouter-Key", "forged")
	r.Header.Add("Heatherrouter-Request-Id", "forged")
	r.Header.Add("Heatherrouter-Request-Id", "twice")
	Stamp(r, Meta{RequestID: "r1", Epoch: 3, Deadline: time.UnixMilli(5)})
	s := r.Header.String()
	require.Contains(t, s, "Heatherrouter-Epoch: 3\r\n")
	require.Contains(t, s, "Heatherrouter-Deadline: 5\r\n")
	require.Contains(t, s, "Heatherrouter-Request-Id: r1\r\n")
	require.NotContains(t, s, "Heatherrouter-Key")
	require.NotContains(t, s, "forged")
	require.NotContains(t, s, "twice")
	require.Equal(t, 3, strings.Count(s, "Heatherrouter-"))
	Stamp(r, Meta{Key: []byte("k"), Shard: 4})
	require.Equal(t, "k", string(r.Header.Peek(HeaderKey)))
	require.Equal(t, "4", string(r.Header.Peek(HeaderShard)))
}
