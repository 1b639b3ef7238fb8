package stand

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/ports"
)

// Guards against daemons that get the ports of backend servers with given addresses, whose answers would be taken for theirs.
func TestDaemonsDoNotGetPortsOfServers(t *testing.T) {
	next, err := ports.Addr()
	require.NoError(t, err)
	var l []server.Options
	given := map[netip.AddrPort]bool{}
	for i := range 9 {
		a := netip.AddrPortFrom(next.Addr(), next.Port()+1+uint16(i)) //nolint:gosec // below 10
		l = append(l, server.Options{Name: ident.Server(fmt.Sprintf("a/s%d", i)), Addr: a.String()})
		given[a] = true
	}
	s, err := New(Options{Dir: t.TempDir(), Daemons: 3, Domains: 3, Servers: l})
	require.NoError(t, err)
	defer s.Close()
	for _, d := range s.Daemons {
		for _, a := range []netip.AddrPort{d.Entry, d.Peer, d.Admin} {
			require.False(t, given[a], "%v", a)
		}
	}
}
