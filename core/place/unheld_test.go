package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

// Callers of one server's keys get no answer although its home is alive: a standby took the home for silent, was given
// the next epoch by some witnesses and then stopped, and those witnesses refuse the home since. The home has to get a
// higher epoch. While no lease at all is seen, the fault is with the one who looks, and nothing may change.
func TestServerThatNobodyHolds(t *testing.T) {
	s := newSite(t, 6, 64)
	s.run(3 * time.Second)
	stuck := ident.ServerID("svc", "s02")
	before := s.in.Part.Servers[stuck]
	s.run(time.Minute)
	require.Equal(t, before, s.in.Part.Servers[stuck], "no lease seen at all")
	s.hold(stuck)
	s.run(4 * time.Second)
	after := s.in.Part.Servers[stuck]
	require.Equal(t, before.Home, after.Home)
	require.Greater(t, after.Epoch, before.Epoch+1, "not above what the standby may have been given")
	require.Equal(t, []string{"nobody holds the lease"}, s.reasons[len(s.reasons)-1:])
	commits := s.commits
	s.hold("")
	s.run(4 * time.Second)
	require.Equal(t, commits, s.commits, "held again")
}

// hold lets each home hold its lease but that of one server.
func (s *site) hold(but ident.Server) {
	clear(s.in.Holders)
	for id, row := range s.in.Part.Servers {
		if id != but {
			s.in.Holders[id] = Holder{Daemon: row.Home, Epoch: row.Epoch}
		}
	}
}
