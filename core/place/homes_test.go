package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

// homesOf returns the servers whose home is the daemon.
func (s *site) homesOf(d ident.Daemon) []ident.Server {
	var l []ident.Server
	for _, id := range s.in.Part.ServerIDs() {
		if s.in.Part.Servers[id].Home == d {
			l = append(l, id)
		}
	}
	return l
}

// A home fails. Its standby waits for the lease to expire and takes over by itself with the next epoch. The
// coordinator detects the failure earlier and must write the same epoch: with a different one, the keys
// would be unserved for another lease time.
func TestUnresponsiveHomeGoesToStandbyWithItsEpoch(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	lost := s.in.Part.Servers["svc/s00"]
	s.run(800*time.Millisecond, lost.Home)
	require.Equal(t, lost, s.in.Part.Servers["svc/s00"])
	s.run(300*time.Millisecond, lost.Home)
	row := s.in.Part.Servers["svc/s00"]
	require.Equal(t, lost.Standby, row.Home)
	require.Equal(t, lost.Epoch+1, row.Epoch)
	require.True(t, row.Supersede)
	require.Empty(t, s.homesOf(lost.Home))
}

// The standby takes over while the coordinator still has contact with the old home, for example over another
// path than the lease renewals. The row must follow the lease, or entry daemons go on sending to the old home.
func TestStandbyThatTookOverBecomesHome(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	old := s.in.Part.Servers["svc/s00"]
	s.in.Holders["svc/s00"] = Holder{Daemon: old.Standby, Epoch: old.Epoch + 1}
	s.step()
	row := s.in.Part.Servers["svc/s00"]
	require.Equal(t, old.Standby, row.Home)
	require.Equal(t, old.Epoch+1, row.Epoch)
	require.NotEqual(t, old.Standby, row.Standby)
}

// Home and standby fail together. A third daemon must get the epoch after the standby's: the standby may have
// taken over unnoticed, and its leases must not count as the new home's.
func TestThirdDaemonGetsNewEpochWhenHomeAndStandbyFail(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	old := s.in.Part.Servers["svc/s00"]
	s.run(1100*time.Millisecond, old.Home, old.Standby)
	row := s.in.Part.Servers["svc/s00"]
	require.NotContains(t, []ident.Daemon{old.Home, old.Standby}, row.Home)
	require.Equal(t, old.Epoch+2, row.Epoch)
}

// A daemon gets SIGTERM and reports that it is leaving. It must be replaced as home and witness in one transaction
// while it is alive, and without Supersede: its requests in flight must end first.
func TestLeavingDaemonHandsOverAlive(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	w := s.in.Part.Witnesses.Current[0]
	for i := range s.in.Daemons {
		if s.in.Daemons[i].Daemon == w {
			s.in.Daemons[i].Leaving = true
		}
	}
	moved := s.homesOf(w)
	require.NotEmpty(t, moved)
	d := s.step()
	require.Empty(t, s.homesOf(w))
	require.NotContains(t, s.in.Part.Witnesses.Next, w)
	require.Len(t, s.in.Part.Witnesses.Next, 5)
	for _, id := range moved {
		require.False(t, s.in.Part.Servers[id].Supersede)
	}
	require.Contains(t, d.Reasons, "home is leaving")
	// The old home stops responding before its handover, so the new one must no longer wait for it.
	s.in.Holders[moved[0]] = Holder{Daemon: w, Epoch: 1}
	s.run(1100*time.Millisecond, w)
	require.True(t, s.in.Part.Servers[moved[0]].Supersede)
}

// The coordinator is isolated or all other daemons are paused. If it acted at once, it would make itself the home of
// all servers while the other daemons still work.
func TestIsolatedCoordinatorWaits(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	n := s.commits
	var others []ident.Daemon
	for _, d := range s.in.Daemons[1:] {
		others = append(others, d.Daemon)
	}
	s.run(4*time.Second, others...)
	require.Equal(t, n, s.commits, "%v", s.reasons)
	s.run(2*time.Second, others...)
	require.Greater(t, s.commits, n, "homes of unresponsive daemons are never replaced")
}

// All daemons are replaced at once, so the part names only unknown daemons. The assignment of shards must stay, and
// homes and witnesses must move to the new daemons within seconds.
func TestAllDaemonsReplaced(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	old := s.in.Part
	for i := range s.in.Daemons {
		s.in.Daemons[i].Daemon = "new-" + s.in.Daemons[i].Daemon
	}
	s.in.Memory = NewMemory()
	s.run(3 * time.Second)
	require.Equal(t, old.Shards, s.in.Part.Shards)
	for _, row := range s.in.Part.Servers {
		require.Contains(t, row.Home, "new-")
		require.Contains(t, row.Standby, "new-")
		require.Greater(t, row.Epoch, old.Servers[row.ID].Epoch+1)
	}
	s.run(30 * time.Second)
	for _, w := range s.in.Part.Witnesses.Current {
		require.Contains(t, w, "new-")
	}
}

func TestWitnessesAreReplacedOneChangeAtATime(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	old := s.in.Part.Witnesses.Current
	dead := old[1:3]
	s.run(4*time.Second, dead...)
	require.False(t, s.in.Part.Witnesses.Changing(), "witnesses replaced before the wait is over")
	s.run(1200*time.Millisecond, dead...)
	s.run(time.Second, dead...)
	w := s.in.Part.Witnesses
	require.False(t, w.Changing())
	require.Equal(t, old, w.Retired)
	require.NotContains(t, w.Current, dead[0])
	require.NotContains(t, w.Current, dead[1])
	require.Equal(t, old[0], w.Current[0])
}

// One of only three daemons leaves, and no other daemon can replace it as a witness. A single witness would fail with
// its daemon; in the set of three, the two daemons that stay still form a majority.
func TestWitnessWithoutReplacementStays(t *testing.T) {
	s := newSite(t, 3, 64)
	s.in.Daemons = s.in.Daemons[:3]
	s.run(3 * time.Second)
	require.Len(t, s.in.Part.Witnesses.Current, 3)
	s.in.Daemons[1].Leaving = true
	s.run(time.Minute)
	require.Len(t, s.in.Part.Witnesses.Current, 3)
	require.Empty(t, s.in.Part.Witnesses.Retired)
}

// All daemons of a domain fail, the witnesses move to the other two domains, and the domain returns. Unless the
// witnesses are rebalanced, three of five stay in one domain, whose failure then stops all leases.
func TestWitnessesAreRebalancedAfterDomainReturns(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	var z1 []ident.Daemon
	for _, d := range s.in.Daemons {
		if d.Domain == "z1" {
			z1 = append(z1, d.Daemon)
		}
	}
	s.run(20*time.Second, z1...)
	count := s.witnessDomains()
	require.Zero(t, count["z1"])
	for i := range s.in.Daemons {
		if s.in.Daemons[i].Domain == "z1" {
			s.in.Daemons[i].AliveSince = s.now
		}
	}
	s.run(40 * time.Second)
	for _, n := range s.witnessDomains() {
		require.LessOrEqual(t, n, 2)
	}
	require.False(t, s.in.Part.Witnesses.Changing())
}

func (s *site) witnessDomains() map[ident.Domain]int {
	m := map[ident.Domain]int{}
	for _, w := range s.in.Part.Witnesses.Current {
		m[s.domain(w)]++
	}
	return m
}

func TestHomesReturnToTheirDomainOneByOne(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	lost := s.in.Part.Servers["svc/s00"].Home
	s.run(5*time.Second, lost)
	n := s.commits
	s.run(5 * time.Minute)
	for _, c := range s.in.Service.Servers {
		require.Equal(t, c.Domain, s.domain(s.in.Part.Servers[c.ID].Home))
	}
	require.LessOrEqual(t, s.commits-n, 4, "%v", s.reasons)
}

func TestDaemonsOfOtherRegionsGetNothing(t *testing.T) {
	s := newSite(t, 15, 512)
	for i := range 6 {
		s.in.Daemons[i].Region = "elsewhere"
	}
	s.run(3 * time.Second)
	for _, row := range s.in.Part.Servers {
		for _, d := range []ident.Daemon{row.Home, row.Standby} {
			require.GreaterOrEqual(t, d, ident.Daemon("d06"))
		}
	}
	require.Len(t, s.in.Part.Witnesses.Current, 5)
}

// All daemons of a new site start within seconds, and the first one to plan knows only itself. If it assigned at once,
// it would be the home of every server, and all homes would move seconds later.
func TestFirstDaemonWaitsForTheOthers(t *testing.T) {
	s := newSite(t, 15, 512)
	all := s.in.Daemons
	s.in.Daemons = all[:1]
	s.run(time.Second)
	require.Zero(t, s.commits)
	s.in.Daemons = all
	s.run(2 * time.Second)
	require.Equal(t, 1, s.commits)
	require.Len(t, s.in.Part.Witnesses.Current, 5)
}
