package conns

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against idle connections that outlive their keep-alive probes because another option of the socket decides when these end.
func TestUserTimeoutIsThatOfKeepAlive(t *testing.T) {
	a := listen(t, func(_ int, c net.Conn) { time.Sleep(time.Second) })
	for _, stall := range []time.Duration{0, time.Minute} {
		p := newPool(t, Options{Addr: a, StallTimeout: stall})
		c, err := p.dial(t.Context(), time.Now().Add(time.Second))
		require.NoError(t, err)
		option := func(level, name int) (v int) {
			require.NoError(t, c.raw.Control(func(fd uintptr) { v, err = syscall.GetsockoptInt(int(fd), level, name) }))
			require.NoError(t, err)
			return v
		}
		idle, interval := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE), option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
		count := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
		require.Equal(t, 1000*(idle+count*interval), option(syscall.IPPROTO_TCP, tcpUserTimeout))
		c.close()
	}
}
