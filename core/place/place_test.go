package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
)

const start = mono.Time(time.Hour)

// site is a service with its daemons, planned step by step under a manual clock.
type site struct {
	t                *testing.T
	now              mono.Time
	in               Input
	commits          int
	reasons          []string
	withholdReleases bool // homes report no releases
	holding          bool // the home of each row holds its lease, if it is responsive
}

// newSite returns a site with the servers, and four daemons in each of three domains.
func newSite(t *testing.T, servers, shards int) *site {
	s := &site{t: t, now: start, in: Input{
		Service: &config.Service{Name: "svc", Region: "r", Shards: shards},
		Drains:  Drains{Domains: map[ident.Domain]bool{}, Servers: map[ident.Server]bool{}, Daemons: map[ident.Daemon]bool{}},
		Reports: map[ident.Server]Report{}, Holders: map[ident.Server]Holder{}, Released: map[ident.Shard]ident.Epoch{},
		Memory: NewMemory(),
	}}
	if shards > 0 {
		s.in.Service.Key = config.PathKey{}
	}
	for i := range servers {
		s.in.Service.Servers = append(s.in.Service.Servers, config.Server{
			ID: ident.ServerID("svc", fmt.Sprintf("s%02d", i)), Domain: domain(i % 3), Slots: 3,
		})
	}
	for i := range 12 {
		s.in.Daemons = append(s.in.Daemons, live.Daemon{
			Heartbeat:  live.Heartbeat{Daemon: ident.Daemon(fmt.Sprintf("d%02d", i)), Domain: domain(i % 3), Region: "r", Incarnation: 1},
			AliveSince: start, LastContact: start,
		})
	}
	return s
}

func domain(i int) ident.Domain {
	return ident.Domain(fmt.Sprintf("z%d", i))
}

// step plans once and commits the plan. A plan that violates a rule fails the test.
func (s *site) step() Decision {
	d := Plan(s.now, s.in)
	require.Len(s.t, d.Reasons, len(d.Changes))
	if len(d.Changes) == 0 {
		return d
	}
	if s.in.Part == nil {
		s.in.Part = part.New(s.in.Service.Name)
	}
	p, err := s.in.Part.Apply(d.Changes...)
	require.NoError(s.t, err)
	s.in.Part = p
	s.commits++
	s.reasons = append(s.reasons, d.Reasons...)
	return d
}

// run plans every 100 ms. All daemons but the unresponsive ones send heartbeats, and homes release moved
// shards at once.
func (s *site) run(d time.Duration, unresponsive ...ident.Daemon) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		s.heartbeat(unresponsive...)
		s.step()
	}
}

func (s *site) heartbeat(unresponsive ...ident.Daemon) {
	skip := map[ident.Daemon]bool{}
	for _, d := range unresponsive {
		skip[d] = true
	}
	for i := range s.in.Daemons {
		if d := &s.in.Daemons[i]; !skip[d.Daemon] {
			d.LastContact = s.now
		}
	}
	if s.in.Part == nil {
		return
	}
	if s.holding {
		s.holdLeases(skip)
	}
	clear(s.in.Released)
	s.in.MaySettle = s.in.Part.Witnesses.Changing()
	if s.withholdReleases {
		return
	}
	for _, l := range s.in.Part.Unreleased() {
		for _, x := range l {
			s.in.Released[x.Shard] = x.Epoch
		}
	}
}

func TestFirstAssignmentIsEvenAndThenStays(t *testing.T) {
	s := newSite(t, 15, 512)
	s.run(3 * time.Second)
	p := s.in.Part
	require.Equal(t, 1, s.commits)
	require.Len(t, p.Witnesses.Current, 5)
	count := map[ident.Server]int{}
	for _, o := range p.Shards {
		count[o.Server]++
	}
	require.Len(t, p.Shards, 512)
	for _, c := range s.in.Service.Servers {
		row := p.Servers[c.ID]
		require.Equal(t, c.Domain, s.domain(row.Home), "home in the server's own domain")
		require.NotEqual(t, c.Domain, s.domain(row.Standby), "standby in another domain")
		require.InDelta(t, 34, count[c.ID], 1)
	}
	s.run(2 * time.Minute)
	require.Equal(t, 1, s.commits, "%v", s.reasons)
}

func (s *site) holdLeases(unresponsive map[ident.Daemon]bool) {
	clear(s.in.Holders)
	for id, row := range s.in.Part.Servers {
		if !unresponsive[row.Home] {
			s.in.Holders[id] = Holder{Daemon: row.Home, Epoch: row.Epoch}
		}
	}
}

func (s *site) domain(id ident.Daemon) ident.Domain {
	for _, d := range s.in.Daemons {
		if d.Daemon == id {
			return d.Domain
		}
	}
	return ""
}
