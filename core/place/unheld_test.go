package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

// A server's keys are unserved although its home is alive: a standby suspected the home, got the next epoch from some
// witnesses and stopped, and since then those witnesses refuse the home. The home must get a higher epoch. If no leases
// are reported at all, the fault is with the reports and nothing may change.
func TestUnheldLeaseGetsHigherEpoch(t *testing.T) {
	s := newSite(t, 6, 64)
	s.run(3 * time.Second)
	stuck := ident.ServerID("svc", "s02")
	before := s.in.Part.Servers[stuck]
	s.run(time.Minute)
	require.Equal(t, before, s.in.Part.Servers[stuck], "no leases reported")
	s.holdAllBut(stuck)
	s.run(4 * time.Second)
	after := s.in.Part.Servers[stuck]
	require.Equal(t, before.Home, after.Home)
	require.Greater(t, after.Epoch, before.Epoch+1, "epoch is not above the one that the standby may have acquired")
	require.Equal(t, []string{"lease has no holder"}, s.reasons[len(s.reasons)-1:])
	commits := s.commits
	s.holdAllBut("")
	s.run(4 * time.Second)
	require.Equal(t, commits, s.commits, "lease is held again")
}

// holdAllBut reports every home as holder of its lease, but for one server.
func (s *site) holdAllBut(but ident.Server) {
	clear(s.in.Holders)
	for id, row := range s.in.Part.Servers {
		if id != but {
			s.in.Holders[id] = Holder{Daemon: row.Home, Epoch: row.Epoch}
		}
	}
}
