package conns

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/admit"
	"heatherrouter/core/descr"
	"heatherrouter/core/retry"
	"heatherrouter/io/socket"
)

// Guards against pools that together open more connections than the process has sockets, and against sockets that are not given back.
func TestPoolsShareSockets(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(path string) { writeResponse(c, path) })
	})
	b := socket.New(4) // 3 are divided, 2 of them for requests
	o := Options{Addr: a, ProbeInterval: NoProbes, Sockets: b, SocketUse: descr.Requests}
	l := []*Pool{newPool(t, o), newPool(t, o), newPool(t, o)}
	for _, p := range l[:2] {
		r, _ := do(p, shortCall(), "/")
		require.NoError(t, r.Err)
	}
	r, _ := do(l[2], shortCall(), "/")
	require.ErrorIs(t, r.Err, ErrNoSocket)
	require.Equal(t, retry.NotRun, r.Outcome)
	require.Equal(t, admit.EndNoConnFree, r.End)
	r, _ = do(l[0], shortCall(), "/")
	require.NoError(t, r.Err, "an open connection needs no other socket")
	l[1].CloseUnused(time.Now().Add(-time.Hour))
	require.Equal(t, 2, b.Open(descr.Requests), "it was used a moment ago")
	l[1].CloseUnused(time.Now())
	require.Equal(t, 1, b.Open(descr.Requests))
	r, _ = do(l[2], shortCall(), "/")
	require.NoError(t, r.Err)
	for _, p := range l {
		require.NoError(t, p.Close())
	}
	require.Zero(t, b.Open(descr.Requests))
}

// Guards against connections that a server has closed and that stay open on this side for as long as nothing is sent to it.
func TestCloseUnusedClosesDeadConnections(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	a := listen(t, func(_ int, c net.Conn) {
		accepted <- c
		readRequests(c, func(path string) { writeResponse(c, path) })
	})
	p := newPool(t, Options{Addr: a, ProbeInterval: NoProbes})
	r, _ := do(p, shortCall(), "/")
	require.NoError(t, r.Err)
	(<-accepted).Close()
	require.Eventually(t, func() bool {
		p.CloseUnused(time.Now().Add(-time.Hour))
		return p.Stats().Open == 0
	}, time.Second, time.Millisecond)
}
