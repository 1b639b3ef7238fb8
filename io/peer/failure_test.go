package peer

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/io/clock"
	"heatherrouter/io/keys"
	"heatherrouter/io/keys/keytest"
)

// Guards against a daemon that runs on without its peers: its transport has failed, and nobody learns of it.
func TestFailedTransportIsReported(t *testing.T) {
	a, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	f, err := a.IssueCertificate("h01")
	require.NoError(t, err)
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	k, err := keys.New(f, l)
	require.NoError(t, err)
	x, err := New(t.Context(), Options{
		Self: "h01", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Resolver: addresses{}, TLS: k, Handler: make(calls, 1), Clock: clock.New(), Log: l,
	})
	require.NoError(t, err)
	t.Cleanup(x.Stop)
	require.NoError(t, x.Err())
	require.NoError(t, x.socket.Close())
	select {
	case <-x.Done():
		require.Error(t, x.Err())
	case <-time.After(3 * time.Second):
		require.Fail(t, "the failure isn't reported")
	}
}
