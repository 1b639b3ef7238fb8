package serve

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/io/node"
	"heatherrouter/io/ports"
	"heatherrouter/platform"
	"heatherrouter/platform/fake"
)

func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	a, err := ports.Addr()
	require.NoError(t, err)
	return a
}

// startNode starts a daemon whose components fail when the context ends.
func startNode(t *testing.T, c context.Context, l *log.Logger) (*node.Node, *node.Settings) { //nolint:revive // t comes first in tests
	t.Helper()
	st, err := fake.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	s := &node.Settings{
		Name: "d", Domain: "a", Entry: freeAddr(t), Ready: freeAddr(t), Peer: freeAddr(t), Admin: freeAddr(t), Store: st.Addr(),
		Limits: node.Limits{GracePeriod: 4 * time.Second},
	}
	n, err := node.New(c, node.Options{Settings: s, Log: l, Platform: node.Platform{
		Store: platform.NewStore(st.Addr()), Decoder: platform.Decoder{}, Dialect: platform.Dialect(), OrderCodec: platform.OrderCodec{},
	}})
	require.NoError(t, err)
	t.Cleanup(n.Stop)
	return n, s
}

// open opens connections to the daemon that keep its servers busy: one idle, and one with a part of a request, to each port.
func open(t *testing.T, s *node.Settings) {
	t.Helper()
	for _, a := range []netip.AddrPort{s.Entry, s.Ready, s.Admin} {
		for _, text := range []string{"", "GET / HT"} {
			c, err := net.Dial("tcp", a.String())
			require.NoError(t, err)
			t.Cleanup(func() { c.Close() })
			_, err = io.WriteString(c, text)
			require.NoError(t, err)
		}
	}
	time.Sleep(50 * time.Millisecond) // they are accepted
}

// Guards against a process that neither serves nor ends after one of its components has failed, and that ignores SIGTERM.
func TestFailedComponentEndsProcess(t *testing.T) {
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	c, fail := context.WithCancel(t.Context())
	n, s := startNode(t, c, l)
	open(t, s)
	ended := make(chan error, 1)
	began := time.Now()
	fail()
	go func() {
		err := await(Options{}, n, make(chan os.Signal), l)
		within(l, stopTimeout, "stop of the components", n.Stop)
		ended <- err
	}()
	select {
	case err := <-ended:
		require.Error(t, err, "the process must not end as if it had been asked to")
		require.Less(t, time.Since(began), failureDrainTimeout+stopTimeout)
	case <-time.After(2 * (failureDrainTimeout + stopTimeout)):
		require.Fail(t, "the process doesn't end")
	}
}

// Guards against a departure that takes longer than the grace period because of connections that have sent a part of a request.
func TestDepartureEndsInTime(t *testing.T) {
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	n, s := startNode(t, t.Context(), l)
	open(t, s)
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	began := time.Now()
	require.NoError(t, await(Options{}, n, signals, l))
	within(l, stopTimeout, "stop of the components", n.Stop)
	require.Less(t, time.Since(began), n.GracePeriod())
}

// Guards against a process that waits for a step that doesn't end.
func TestWithinGoesOn(t *testing.T) {
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	began := time.Now()
	within(l, 20*time.Millisecond, "step", func() { select {} })
	require.Less(t, time.Since(began), time.Second)
}
