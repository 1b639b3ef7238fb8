package conns

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a release whose own response is taken for another's: nothing was sent on its connection before, as the guard refused.
func TestConnectionOfRefusedSendIsFresh(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) {
		readRequests(c, func(string) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) })
	})
	p := newPool(t, Options{Addr: a, ProbeInterval: NoProbes, ReuseIdentified: true})
	call := Call{Deadline: time.Now().Add(5 * time.Second), Guard: func() bool { return false }}
	resp := &fasthttp.Response{}
	r := p.Do(t.Context(), call, get("/release"), resp)
	require.ErrorIs(t, r.Err, ErrGuard)
	call.Guard = nil
	r = p.Do(t.Context(), call, get("/release"), resp)
	require.NoError(t, r.Err)
	require.Equal(t, 200, resp.StatusCode())
	require.True(t, r.IsOwn())
}
