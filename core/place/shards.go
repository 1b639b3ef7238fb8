package place

import (
	"cmp"
	"maps"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/part"
)

// target is a backend server as an owner of shards.
type target struct {
	id         ident.Server
	weight     float64 // slots, scaled by the ramp; 0 if it may get no shards
	load       float64 // requests/s of its shards
	shards     []ident.Shard
	pinned     bool // one of its shards exceeds its share of the load
	evacuating bool // all its shards must move away
	reason     string
	urgent     bool // its shards move all at once, as they are unserved
}

// planShards assigns shards without an owner, moves shards off servers that can't serve, and balances the
// rest.
func (p *planner) planShards() {
	p.firstShards()
	p.settleShards()
	t := p.targets()
	if !anyEvacuating(t) && p.now.Before(p.memory.balanceAt) {
		return // counting every server's shards ten times a second would be most of the cost of planning
	}
	p.countShards(t)
	if p.evacuate(t) {
		return
	}
	p.balance(t)
}

func anyEvacuating(t map[ident.Server]*target) bool {
	for _, x := range t {
		if x.evacuating {
			return true
		}
	}
	return false
}

// firstShards assigns the shards that are in no row yet, evenly and a whole row at a time. It waits for the
// rows of all servers, which may take more than one transaction, so that no server starts without shards.
func (p *planner) firstShards() {
	var ids []ident.Server
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		row, ok := p.draft.servers[id]
		if !ok {
			return
		}
		if row.State == part.Active {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	total := p.in.Service.Shards
	even := total / len(ids)
	count := map[ident.Server]int{}
	for _, o := range p.draft.shards {
		count[o.Server]++
	}
	for len(p.draft.shards) < total && len(p.draft.shards)%part.ChunkSize == 0 {
		first := len(p.draft.shards)
		owners := make([]part.Ownership, 0, part.ChunkSize)
		for s := first; s < min(first+part.ChunkSize, total); s++ {
			id := firstOwner(ident.Shard(s), ids, count, even)
			count[id]++
			owners = append(owners, part.Ownership{Server: id, Epoch: 1})
		}
		if !p.draft.addChunk(owners, "first owners") {
			return
		}
	}
}

// firstOwner chooses by rendezvous score among servers below their even share, so that two coordinators with
// nearly the same servers choose nearly the same owners.
func firstOwner(s ident.Shard, ids []ident.Server, count map[ident.Server]int, even int) ident.Server {
	name := string(part.ShardsRow(int(s)))
	return slices.MaxFunc(ids, func(a, b ident.Server) int {
		return cmp.Or(
			cmp.Compare(max(count[b]-even, -1), max(count[a]-even, -1)),
			cmp.Compare(live.Score(name, ident.Daemon(a)), live.Score(name, ident.Daemon(b))),
		)
	})
}

// targets returns every server that has a row, by ID, without its shards.
func (p *planner) targets() map[ident.Server]*target {
	t := map[ident.Server]*target{}
	slow := p.stragglers()
	for id, row := range p.draft.servers {
		x := &target{id: id}
		t[id] = x
		c, m := p.servers[id], p.memory.servers[id]
		switch {
		case c == nil || row.State == part.Draining:
			x.evacuating, x.reason = true, "owner is draining"
		case row.State == part.Down:
			x.evacuating, x.urgent, x.reason = true, true, "owner is down"
		case slow[id]:
			x.evacuating, x.reason = true, "owner is slow"
		case p.in.Part.Servers[id].State != part.Active:
			// This plan makes the server active. Its ramp starts only when that is committed; until then it would
			// get its full share at once while cold.
		default:
			x.weight = float64(max(c.Slots, 1)) * m.ramp(p.now)
		}
	}
	return t
}

func (p *planner) countShards(t map[ident.Server]*target) {
	for i, o := range p.draft.shards {
		if x := t[o.Server]; x != nil {
			x.shards = append(x.shards, ident.Shard(i))
			x.load += p.rate(ident.Shard(i))
		}
	}
}

// stragglers returns the servers that have been slow for long. If many are slow at once, the cause is shared
// and moving their shards would only load the others.
func (p *planner) stragglers() map[ident.Server]bool {
	slow := map[ident.Server]bool{}
	for id, m := range p.memory.servers {
		if m.slow && p.servers[id] != nil {
			slow[id] = true
		}
	}
	if len(slow)*maxSlow > len(p.servers) {
		return nil
	}
	return slow
}

func (p *planner) rate(s ident.Shard) float64 {
	if int(s) >= len(p.memory.shards) {
		return baseRate
	}
	return p.memory.shards[s].rate + baseRate
}

// settleShards records releases, so that the shards may move again. It waits up to settleWait for unreleased
// shards, to record all in one transaction.
func (p *planner) settleShards() {
	var ready []ident.Shard
	pending := 0
	for i, o := range p.in.Part.Shards {
		if o.Previous == "" {
			continue
		}
		pending++
		if p.in.Released[ident.Shard(i)] == o.Epoch {
			ready = append(ready, ident.Shard(i))
		}
	}
	if len(ready) < pending && p.now.Before(p.memory.settleAt) && !p.urgent(ready) {
		return
	}
	for _, s := range ready {
		p.draft.clearPrevious(s, "last owner released")
	}
}

// urgent reports whether the owner of a released shard is not active, so that the shard must move again.
func (p *planner) urgent(ready []ident.Shard) bool {
	return slices.ContainsFunc(ready, func(s ident.Shard) bool {
		return p.draft.servers[p.draft.shards[s].Server].State != part.Active
	})
}

// evacuate moves shards off servers that can't serve them, the busiest shards first, each to the server that
// is then the least loaded. It reports whether it moved any.
//
// Servers that still work lose their shards in several small transactions: the keys of each move wait for a
// release, and the receiving servers get the load in steps.
func (p *planner) evacuate(t map[ident.Server]*target) bool {
	var all []ident.Shard
	for _, id := range slices.Sorted(maps.Keys(t)) {
		if t[id].evacuating {
			all = append(all, t[id].shards...)
		}
	}
	slices.SortStableFunc(all, func(a, b ident.Shard) int { return cmp.Compare(p.rate(b), p.rate(a)) })
	to := eligible(t)
	moved, planned := false, 0
	for _, s := range all {
		from := t[p.draft.shards[s].Server]
		if !from.urgent && planned == evacuateStep {
			continue
		}
		if p.evacuateShard(t, to, from, s) {
			moved = true
			if !from.urgent {
				planned++
			}
		}
	}
	return moved
}

func (p *planner) evacuateShard(t map[ident.Server]*target, l []*target, from *target, s ident.Shard) bool {
	o := p.draft.shards[s]
	if o != p.in.Part.Owner(s) {
		return false // changed by this plan; the rules allow the next plan to move it
	}
	to := t[o.Previous]
	if o.Previous == "" {
		to = leastLoaded(l, p.rate(s))
	}
	if to == nil || to.weight <= 0 || !p.draft.moveShard(s, to.id, from.reason) {
		return false
	}
	to.load += p.rate(s)
	from.load -= p.rate(s)
	return true
}

// leastLoaded returns the server that would have the lowest load with another shard, or nil.
func leastLoaded(l []*target, rate float64) *target {
	var best *target
	for _, x := range l {
		if best == nil || (x.load+rate)/x.weight < (best.load+rate)/best.weight {
			best = x
		}
	}
	return best
}
