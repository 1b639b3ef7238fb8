package conns

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/retry"
)

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// A shift swap ends with an unknown outcome though no server has seen it. The server has as many connections as it takes
// and resets the next one as soon as it is open; with a look before the first byte the request has certainly not run.
func TestResetBeforeTheFirstByte(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) { reset(c) })
	p := newPool(t, Options{Addr: a})
	call := soon()
	call.Settle = 50 * time.Millisecond
	r, _ := do(p, call, "/swap")
	require.Equal(t, retry.NotRun, r.Outcome)
	require.Equal(t, admit.EndReset, r.End)
	require.False(t, r.Over, "there is no other connection: the server may have started again")
}

// A sound server is left alone as one that may have started again, and its keys go unserved. It resets a new connection
// because it has enough of them, while the ones that were open before go on.
func TestOverItsConnections(t *testing.T) {
	var accepted atomic.Int32
	a := listen(t, func(n int, c net.Conn) {
		accepted.Add(1)
		if n > 0 {
			reset(c)
			return
		}
		requests(c, func(path string) {
			time.Sleep(100 * time.Millisecond)
			answerWith(c, path)
		})
	})
	p := newPool(t, Options{Addr: a})
	first := make(chan Result, 1)
	go func() {
		r, _ := do(p, soon(), "/first")
		first <- r
	}()
	require.Eventually(t, func() bool { return accepted.Load() == 1 }, time.Second, time.Millisecond)
	call := soon()
	call.Settle = 50 * time.Millisecond
	r, _ := do(p, call, "/second")
	require.Equal(t, retry.NotRun, r.Outcome)
	require.True(t, r.Over)
	require.Equal(t, retry.Answered, (<-first).Outcome)
}

// A request waits on each new connection for a reset that doesn't come. It must wait once only, and no longer than said.
func TestSettleOnce(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) { requests(c, func(path string) { answerWith(c, path) }) })
	p := newPool(t, Options{Addr: a})
	start := time.Now()
	for range 5 {
		call := soon()
		call.Settle = 40 * time.Millisecond
		r, _ := do(p, call, "/x")
		require.Equal(t, retry.Answered, r.Outcome, r.Err)
	}
	require.Less(t, time.Since(start), 120*time.Millisecond)
}

// A filed correction fails though its server is sound. Its body is so long that it is sent while the answer is read; the
// end of the look at the new connection must not end that reading.
func TestSettleBeforeALongBody(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) { requests(c, func(path string) { answerWith(c, path) }) })
	p := newPool(t, Options{Addr: a})
	call := soon()
	call.Settle = 5 * time.Millisecond
	q, resp := get("/x"), &fasthttp.Response{}
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetBodyString(strings.Repeat("x", 2*earlyBody))
	r := p.Do(t.Context(), call, q, resp)
	require.Equal(t, retry.Answered, r.Outcome, r.Err)
}

// The keys of a busy server lapse while the coordinator waits for a connection to it. One is opened ahead in the background
// and taken by the next order, which may come at the same moment; with one open already none is opened.
func TestWarm(t *testing.T) {
	var accepted atomic.Int32
	a := listen(t, func(_ int, c net.Conn) {
		accepted.Add(1)
		requests(c, func(path string) { answerWith(c, path) })
	})
	p := newPool(t, Options{Addr: a, MaxConns: 1})
	for range 20 {
		warmed := make(chan bool, 1)
		go func() { warmed <- p.Warm(t.Context(), time.Now().Add(time.Second)) }()
		for {
			call := soon()
			call.Reuse = true
			if r, _ := do(p, call, "/grant"); r.Outcome == retry.Answered {
				break
			}
		}
		<-warmed
	}
	require.Equal(t, int32(1), accepted.Load())
}
