// Package place is the coordinator's planner: it decides which daemons are witnesses and homes, and which
// backend server owns which shard.
//
// Plan proposes one transaction at a time. A wrong plan can't give a key two owners: the rules of core/part
// refuse unsafe changes, the table commits only one of two competing ones, and leases decide which daemon
// sends. Plans affect only availability, balance and churn.
package place

import (
	"time"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
)

// Input is the complete input of one plan.
//
// Released holds answers to the Release calls that the caller sends to the homes named by
// part.Part.Unreleased. Without them a moved shard can only move back to its last owner.
type Input struct {
	Service   *config.Service // the published configuration
	Drains    Drains
	Part      *part.Part // nil before the first assignment
	Daemons   []live.Daemon
	Reports   map[ident.Server]Report
	Holders   map[ident.Server]Holder     // current holder of each server's lease, as reported by the witnesses
	Released  map[ident.Shard]ident.Epoch // epoch of each ownership that its last owner's home has released
	MaySettle bool                        // core/lease allows settling the current change of witnesses
	Memory    *Memory                     // kept by the caller between plans, one for each service
}

// Drains are the domains, servers and daemons that operators have drained.
type Drains struct {
	Domains map[ident.Domain]bool
	Servers map[ident.Server]bool
	Daemons map[ident.Daemon]bool
}

// Report is what a home measures of its backend server.
type Report struct {
	Received  mono.Time
	Down      bool
	Slow      bool // slow in comparison with its peers
	InFlight  int
	Queued    int
	OpenSlots int
	PerSecond float64       // served requests/s
	Latency   time.Duration // moving mean of the service time
	Hot       []HotShard
}

// HotShard is the request rate of one of a server's busiest shards.
type HotShard struct {
	Shard     ident.Shard
	PerSecond float64
}

// Holder is a daemon that holds the lease of a server.
type Holder struct {
	Daemon ident.Daemon
	Epoch  ident.Epoch
}

// Decision is one transaction; it is empty when nothing needs to change.
type Decision struct {
	Changes []part.Change
	Reasons []string // one for each change, for the log
}

// Plan returns the next transaction for the time now. It changes only in.Memory, and proposes the same
// changes again until in.Part shows that they were committed.
func Plan(now mono.Time, in Input) Decision {
	if in.Part == nil {
		in.Part = part.New(in.Service.Name)
	}
	in.Memory.observe(now, &in)
	p := newPlanner(now, in)
	if p.waitsForDaemons() {
		return Decision{}
	}
	p.planWitnesses()
	p.planHomes()
	p.planStates()
	if in.Service.Keyed() {
		p.planShards()
	}
	p.planRemovals()
	if p.draft.empty() {
		p.rebalanceHomes()
	}
	return p.draft.decision()
}

// planner is one run of Plan.
type planner struct {
	now      mono.Time
	in       Input
	memory   *Memory
	draft    *draft
	daemons  map[ident.Daemon]*live.Daemon
	servers  map[ident.Server]*config.Server
	homes    map[ident.Daemon]int // number of homes of this service, by daemon
	standbys map[ident.Daemon]int
	isolated bool // most daemons are unresponsive at once
	usable   []*live.Daemon
	maxHomes int // homes that one daemon may have for locality
}

func newPlanner(now mono.Time, in Input) *planner {
	p := &planner{
		now: now, in: in, memory: in.Memory, draft: newDraft(in.Part),
		daemons: map[ident.Daemon]*live.Daemon{}, servers: map[ident.Server]*config.Server{},
		homes: map[ident.Daemon]int{}, standbys: map[ident.Daemon]int{},
	}
	for i := range in.Daemons {
		p.daemons[in.Daemons[i].Daemon] = &in.Daemons[i]
	}
	for i := range in.Service.Servers {
		p.servers[in.Service.Servers[i].ID] = &in.Service.Servers[i]
	}
	for _, s := range in.Part.Servers {
		p.homes[s.Home]++
		p.standbys[s.Standby]++
	}
	p.isolated = p.mostUnresponsive()
	for i := range in.Daemons {
		if d := &in.Daemons[i]; p.mayServe(d) {
			p.usable = append(p.usable, d)
		}
	}
	n := max(len(p.usable), 1)
	p.maxHomes = homeCap * max((len(p.servers)+n-1)/n, 1)
	return p
}

// waitsForDaemons delays the first assignment until the daemons have had time to discover each other.
//
// All daemons of a new site start within seconds. The first one to plan knows only itself, so it would become
// the only witness and the home of every server, and all of these would move seconds later.
func (p *planner) waitsForDaemons() bool {
	first := len(p.in.Part.Witnesses.Current) == 0
	return first && p.now.Before(p.memory.firstAt)
}
