package stand

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two daemons that were given the same port would not both start.
func TestPortsAreGivenOnce(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 1000 {
		a, err := freePort()
		require.NoError(t, err)
		require.False(t, seen[a], "%v", a)
		seen[a] = true
	}
}
