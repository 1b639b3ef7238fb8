package ports

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against returning a port twice: of two daemons with the same port only one would start.
func TestFreeReturnsDistinctPorts(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for i := range 1000 {
		n := 1 + i%2
		p, err := Free(n)
		require.NoError(t, err)
		for k := range n {
			a := addr(p + uint16(k)) //nolint:gosec // 0 or 1
			require.False(t, seen[a], "%v", a)
			seen[a] = true
		}
	}
}
