package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
)

func (s *site) owned(id ident.Server) int {
	n := 0
	for _, o := range s.in.Part.Shards {
		if o.Server == id {
			n++
		}
	}
	return n
}

func (s *site) report(id ident.Server, r Report) {
	r.Received = s.now
	s.in.Reports[id] = r
}

// runReporting calls run for the time, with a report on one server before each step.
func (s *site) runReporting(d time.Duration, id ident.Server, r Report) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.report(id, r)
		s.run(100 * time.Millisecond)
	}
}

// A home reports its server as down and soon as up again, as after a lost connection. Each moved shard would have to
// wait for a release, so a single report, even an old one, must move nothing.
func TestSingleDownReportMovesNothing(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	s.report("svc/s00", Report{Down: true})
	s.run(2 * time.Second)
	s.runReporting(time.Second, "svc/s00", Report{})
	s.runReporting(600*time.Millisecond, "svc/s00", Report{Down: true})
	s.runReporting(time.Second, "svc/s00", Report{})
	require.Equal(t, 1, s.commits, "%v", s.reasons)
}

func TestDownServerLosesAllShardsAndRampsUp(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	had := s.owned("svc/s00")
	s.runReporting(time.Second, "svc/s00", Report{Down: true})
	require.Zero(t, s.owned("svc/s00"))
	require.Equal(t, part.Down, s.in.Part.Servers["svc/s00"].State)
	s.runReporting(1200*time.Millisecond, "svc/s00", Report{})
	require.Equal(t, part.Active, s.in.Part.Servers["svc/s00"].State)
	s.runReporting(5*time.Second, "svc/s00", Report{})
	require.LessOrEqual(t, s.owned("svc/s00"), had/4+1)
	s.runReporting(time.Minute, "svc/s00", Report{})
	require.InDelta(t, had, s.owned("svc/s00"), 5)
}

// A server repeatedly collapses under load and recovers. Each cycle moves its shards twice, so the waits between the
// cycles must grow.
func TestRepeatedlyFailingServerIsFilledLessOften(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	fills := 0
	for end := s.now.Add(10 * time.Minute); s.now.Before(end); {
		s.runReporting(100*time.Millisecond, "svc/s00", Report{})
		if s.owned("svc/s00") > 0 {
			fills++
			s.runReporting(2*time.Second, "svc/s00", Report{Down: true})
		}
	}
	require.LessOrEqual(t, fills, 8)
}

// A shard moves from a to b, and b fails before a has released it. As a may still process its requests, no third
// server may get the shard: it must move back to a, and at once.
func TestUnreleasedShardOnlyMovesBack(t *testing.T) {
	s := newSite(t, 3, 64)
	s.run(3 * time.Second)
	o := s.in.Part.Owner(7)
	to := ident.Server("svc/s00")
	if o.Server == to {
		to = "svc/s01"
	}
	owners := append([]part.Ownership(nil), s.in.Part.Chunk(0)...)
	owners[7] = part.Ownership{Server: to, Epoch: 2, Previous: o.Server}
	p, err := s.in.Part.Apply(part.SetShards{Chunk: 0, Owners: owners})
	require.NoError(t, err)
	s.in.Part = p
	for range 12 {
		s.report(to, Report{Down: true})
		s.heartbeat()
		delete(s.in.Released, 7)
		s.step()
		s.now = s.now.Add(100 * time.Millisecond)
	}
	require.Equal(t, part.Ownership{Server: o.Server, Epoch: 3, Previous: to}, s.in.Part.Owner(7))
}

// An operator drains a domain. Its servers must lose all shards within 3 s, in several transactions. After the
// drain ends, the servers must ramp up.
func TestDomainDrain(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	s.in.Drains.Domains["z1"] = true
	before := s.in.Part
	s.step()
	moved := 0
	for i, o := range s.in.Part.Shards {
		if before.Shards[i].Server != o.Server {
			moved++
		}
	}
	require.LessOrEqual(t, moved, evacuateStep)
	s.run(2 * time.Second)
	for _, c := range s.in.Service.Servers {
		row := s.in.Part.Servers[c.ID]
		if c.Domain == "z1" {
			require.Zero(t, s.owned(c.ID))
			require.Equal(t, part.Draining, row.State)
		}
		require.NotEqual(t, ident.Domain("z1"), s.domain(row.Home))
		require.NotEqual(t, ident.Domain("z1"), s.domain(row.Standby))
	}
	delete(s.in.Drains.Domains, "z1")
	s.run(4 * time.Second)
	ramping := 512 / 4 / (10 + 5.0/4) // a quarter of the share, with ten servers at full weight and five at a quarter
	require.LessOrEqual(t, float64(s.owned("svc/s01")), ramping+1)
	s.run(2 * time.Minute)
	require.InDelta(t, 34, s.owned("svc/s01"), 6)
}

// All daemons of a domain stop responding at once, so its servers have probably failed too. Waiting for new homes to
// detect this would add their lease wait to the time for which the keys are unserved.
func TestFailedDomainLosesShardsAtOnce(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	for _, c := range s.in.Service.Servers {
		s.report(c.ID, Report{})
	}
	lost := []ident.Daemon{"d01", "d04", "d07", "d10"}
	s.run(1200*time.Millisecond, lost...)
	for _, id := range []ident.Server{"svc/s01", "svc/s04", "svc/s07"} {
		require.Zero(t, s.owned(id))
		require.Equal(t, part.Down, s.in.Part.Servers[id].State)
	}
	s.run(time.Second, lost...)
	n, before := s.commits, s.in.Part
	s.run(20*time.Second, lost...)
	require.Equal(t, before.Shards, s.in.Part.Shards)
	for id, row := range before.Servers {
		require.Equal(t, row.State, s.in.Part.Servers[id].State, "state of %s changed although its last report was up", id)
	}
	// Two writes for witnesses, one for standbys, and one every 10 s for a home that moves back to its domain.
	require.LessOrEqual(t, s.commits-n, 5, "%v", s.reasons)
}

func TestConfigAddsAndRemovesServers(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	removed := s.in.Service.Servers[0].ID
	s.in.Service.Servers = append(s.in.Service.Servers[1:], config.Server{ID: "svc/new", Domain: "z2", Slots: 3})
	s.run(4 * time.Second)
	require.Zero(t, s.owned(removed))
	require.LessOrEqual(t, s.owned("svc/new"), 34/4+1, "new server got more than its first ramp step")
	require.Equal(t, part.Draining, s.in.Part.Servers[removed].State)
	s.run(6 * time.Second)
	require.NotContains(t, s.in.Part.Servers, removed)
	s.run(time.Minute)
	require.InDelta(t, 34, s.owned("svc/new"), 6)
}

// The drain of a server ends at any time between two checks of the balance. The server may be cold, so it must
// start with a quarter of its share, and must get no shards in the transaction that makes it active.
func TestServerRampsUpAfterDrain(t *testing.T) {
	for i := range 10 {
		s := newSite(t, 15, 512)
		s.run(3 * time.Second)
		s.in.Drains.Servers["svc/s00"] = true
		s.run(2 * time.Second)
		require.Zero(t, s.owned("svc/s00"))
		s.run(10*time.Second + time.Duration(i)*100*time.Millisecond)
		delete(s.in.Drains.Servers, "svc/s00")
		s.run(4 * time.Second)
		require.LessOrEqual(t, s.owned("svc/s00"), 34/4+1)
		s.run(time.Minute)
		require.InDelta(t, 34, s.owned("svc/s00"), 5)
	}
}

// More than a third of the servers become slow together, so the cause is shared, such as a common database. Moving
// their shards would only overload the other servers too.
func TestManyStragglersMoveNothing(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	for range 200 {
		for _, c := range s.in.Service.Servers[:6] {
			s.report(c.ID, Report{Slow: true})
		}
		s.run(100 * time.Millisecond)
	}
	require.Equal(t, 1, s.commits, "%v", s.reasons)
	for range 20 {
		for i, c := range s.in.Service.Servers[:6] {
			s.report(c.ID, Report{Slow: i < 3})
		}
		s.run(100 * time.Millisecond)
	}
	require.Equal(t, 1, s.commits, "three servers are still slow, three have not been fast for 30 s")
}

func TestUnkeyedServiceHasNoShards(t *testing.T) {
	s := newSite(t, 8, 0)
	s.run(3 * time.Second)
	s.in.Drains.Servers["svc/s03"] = true
	s.run(time.Second)
	require.Empty(t, s.in.Part.Shards)
	require.Equal(t, part.Draining, s.in.Part.Servers["svc/s03"].State)
	require.Equal(t, 2, s.commits)
}

// The assignment needs more rows than fit into one transaction, so it takes several, each valid by itself.
func TestLargeServiceIsAssignedInSeveralTransactions(t *testing.T) {
	s := newSite(t, 120, 8192)
	s.run(4 * time.Second)
	require.Len(t, s.in.Part.Servers, 120)
	require.Len(t, s.in.Part.Shards, 8192)
	require.LessOrEqual(t, s.commits, 4)
}

// Under random events of operators, daemons and servers, no plan may violate a rule of core/part (step applies each
// plan). After the events end, every shard must have an owner that may serve it, and plans must become empty.
func TestPlansUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSite(t, rapid.IntRange(1, 9).Draw(r, "servers"), rapid.SampledFrom([]int{0, 1, 64, 130}).Draw(r, "shards"))
		s.holding = true
		down, unresponsive := map[ident.Server]bool{}, map[ident.Daemon]bool{}
		all := append([]config.Server(nil), s.in.Service.Servers...)
		for range rapid.IntRange(1, 25).Draw(r, "events") {
			server := rapid.SampledFrom(all).Draw(r, "server")
			daemon := rapid.IntRange(0, len(s.in.Daemons)-1).Draw(r, "daemon")
			switch rapid.IntRange(0, 7).Draw(r, "event") {
			case 0:
				down[server.ID] = !down[server.ID]
			case 1:
				unresponsive[s.in.Daemons[daemon].Daemon] = !unresponsive[s.in.Daemons[daemon].Daemon]
			case 2:
				s.in.Drains.Servers[server.ID] = !s.in.Drains.Servers[server.ID]
			case 3:
				s.in.Drains.Domains[server.Domain] = !s.in.Drains.Domains[server.Domain]
			case 4:
				s.in.Daemons[daemon].Leaving = !s.in.Daemons[daemon].Leaving
			case 5:
				s.in.Memory = NewMemory() // another coordinator takes over
			case 6:
				s.withholdReleases = !s.withholdReleases
			case 7:
				if l := s.in.Service.Servers; len(l) > 1 {
					s.in.Service.Servers = append([]config.Server(nil), l[:len(l)-1]...)
				}
			}
			s.runSteps(r, down, unresponsive, rapid.IntRange(1, 40).Draw(r, "steps"), 100*time.Millisecond)
		}
		clear(unresponsive)
		s.withholdReleases = false
		for i := range s.in.Daemons {
			s.in.Daemons[i].Leaving = false
		}
		s.runSteps(r, down, unresponsive, 450, 2*time.Second)
		s.requireSettled(r, down)
		n := s.commits
		s.runSteps(r, down, unresponsive, 60, 2*time.Second)
		require.Equal(r, n, s.commits, "%v", s.reasons[max(0, len(s.reasons)-5):])
	})
}

func (s *site) runSteps(r *rapid.T, down map[ident.Server]bool, unresponsive map[ident.Daemon]bool, steps int, step time.Duration) {
	for range steps {
		var l []ident.Daemon
		for d, is := range unresponsive {
			if is {
				l = append(l, d)
			}
		}
		for _, c := range s.in.Service.Servers {
			s.report(c.ID, Report{Down: down[c.ID]})
		}
		s.heartbeat(l...)
		old := s.in.Part
		s.step()
		s.requireHigherEpochs(r, old)
		s.now = s.now.Add(step)
	}
}

func (s *site) requireHigherEpochs(r *rapid.T, old *part.Part) {
	if old == nil || old == s.in.Part {
		return
	}
	for id, was := range old.Servers {
		if row, ok := s.in.Part.Servers[id]; ok && row.Home != was.Home {
			require.Greater(r, row.Epoch, was.Epoch)
		}
	}
	for i, was := range old.Shards {
		if o := s.in.Part.Shards[i]; o.Server != was.Server {
			require.Greater(r, o.Epoch, was.Epoch)
		}
	}
}

func (s *site) requireSettled(r *rapid.T, down map[ident.Server]bool) {
	eligible := map[ident.Server]bool{}
	for _, c := range s.in.Service.Servers {
		if !down[c.ID] && !s.in.Drains.Servers[c.ID] && !s.in.Drains.Domains[c.Domain] {
			eligible[c.ID] = true
		}
	}
	for i, o := range s.in.Part.Shards {
		if len(eligible) > 0 {
			require.True(r, eligible[o.Server], "shard %d is owned by %s, eligible are %v", i, o.Server, eligible)
		}
	}
	drained := 0
	for _, is := range s.in.Drains.Domains {
		if is {
			drained++
		}
	}
	if drained < 3 {
		for id, row := range s.in.Part.Servers {
			require.False(r, s.in.Drains.Domains[s.domain(row.Home)], fmt.Sprintf("home of %s is %s, in a drained domain", id, row.Home))
		}
	}
}
