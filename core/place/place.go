// Package place is the coordinator's planner: it decides which daemons are witnesses and homes, and which
// backend server owns which shard.
//
// Plan proposes one transaction at a time. Nothing it gets wrong can give a key two owners: the rules of
// core/part refuse an unsafe change, the table commits one of two competing ones, and leases decide who
// sends. What is at stake here is unavailable time, balance and churn.
package place

import (
	"time"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
)

// Input is all that one plan rests on.
//
// Released holds answers to the Release calls that the caller sends to the homes named by
// part.Part.Unreleased. Without them a moved shard can go back to its last owner but no further.
type Input struct {
	Service   *config.Service // as published
	Drains    Drains
	Part      *part.Part // nil before the first assignment
	Daemons   []live.Daemon
	Reports   map[ident.Server]Report
	Holders   map[ident.Server]Holder     // who holds each server's lease now, where the witnesses told
	Released  map[ident.Shard]ident.Epoch // epoch of each ownership that its last owner's home has released
	MaySettle bool                        // the change of witnesses under way may be settled, by the rule of core/lease
	Memory    *Memory                     // kept by the caller from plan to plan, one for each service
}

// Drains are what operators have taken out.
type Drains struct {
	Domains map[ident.Domain]bool
	Servers map[ident.Server]bool
	Daemons map[ident.Daemon]bool
}

// Report is what a home itself sees of its backend server.
type Report struct {
	Received  mono.Time
	Down      bool
	Slow      bool // straggler by comparison with its peers
	InFlight  int
	Queued    int
	OpenSlots int
	PerSecond float64       // requests served
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

// Plan returns the next transaction, judged by what is known at the time now. It changes nothing but
// in.Memory, and proposes the same again until in.Part shows that it was committed.
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
	homes    map[ident.Daemon]int // of this service, by daemon
	standbys map[ident.Daemon]int
	isolated bool // most daemons seem silent at once
	usable   []*live.Daemon
	mostHome int // how many homes one daemon may have for the sake of locality
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
	p.isolated = p.mostSilent()
	for i := range in.Daemons {
		if d := &in.Daemons[i]; p.mayServe(d) {
			p.usable = append(p.usable, d)
		}
	}
	n := max(len(p.usable), 1)
	p.mostHome = homeCap * max((len(p.servers)+n-1)/n, 1)
	return p
}

// waitsForDaemons puts off the first assignment until the daemons have had time to hear of each other.
//
// All daemons of a new site start within seconds. The first one to plan knows only itself: it would make
// itself the only witness and the home of every server, and all of that would move seconds later.
func (p *planner) waitsForDaemons() bool {
	first := len(p.in.Part.Witnesses.Current) == 0
	return first && p.now.Before(p.memory.firstAt)
}
