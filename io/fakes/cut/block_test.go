package cut_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/cut"
)

func TestBlockedConnections(t *testing.T) {
	r, err := cut.NewTCP(fakes.AnyPort, echoTCP(t))
	require.NoError(t, err)
	t.Cleanup(r.Close)
	open := dial(t, "tcp", r)
	require.True(t, echoes(t, open, "a", short))

	require.NoError(t, r.Block(cut.Refuse))
	_, err = net.DialTimeout("tcp", r.Addr(), short)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.True(t, echoes(t, open, "b", short))

	require.NoError(t, r.Block(cut.Hang))
	_, err = net.DialTimeout("tcp", r.Addr(), short)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), err)
	require.True(t, echoes(t, open, "c", short))

	require.NoError(t, r.Block(cut.Accept))
	require.True(t, echoes(t, dial(t, "tcp", r), "d", short))
	r.ResetOpen()
	_, err = open.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
