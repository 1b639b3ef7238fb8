package place

import (
	"cmp"
	"maps"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/part"
)

// target is a backend server as the placing of shards sees it.
type target struct {
	id     ident.Server
	weight float64 // slots, less while it ramps; 0 when it may get nothing
	load   float64 // requests/s of its shards
	shards []ident.Shard
	pinned bool // has one shard that is more than its fair load
	away   bool // all its shards are to leave
	reason string
	urgent bool // they leave all at once, since nobody serves them
}

// planShards gives shards that have no owner to one, takes them from servers that can't serve, and
// balances the rest.
func (p *planner) planShards() {
	p.firstShards()
	p.settleShards()
	t := p.targets()
	if !anyAway(t) && p.now.Before(p.memory.balanceAt) {
		return // counting the shards of every server ten times a second would be most of a plan's cost
	}
	p.countShards(t)
	if p.evacuate(t) {
		return
	}
	p.balance(t)
}

func anyAway(t map[ident.Server]*target) bool {
	for _, x := range t {
		if x.away {
			return true
		}
	}
	return false
}

// firstShards assigns shards that no row holds yet, evenly, a whole row at a time. It waits for the rows
// of all servers, which may need more than one transaction, so that none starts without shards.
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

// firstOwner chooses by rendezvous score among servers that are not full, so that two coordinators that
// see nearly the same servers choose nearly the same owners.
func firstOwner(s ident.Shard, ids []ident.Server, count map[ident.Server]int, even int) ident.Server {
	name := string(part.ShardsRow(int(s)))
	return slices.MaxFunc(ids, func(a, b ident.Server) int {
		return cmp.Or(
			cmp.Compare(max(count[b]-even, -1), max(count[a]-even, -1)),
			cmp.Compare(live.Score(name, ident.Daemon(a)), live.Score(name, ident.Daemon(b))),
		)
	})
}

// targets returns every server that has a row, by name, without its shards.
func (p *planner) targets() map[ident.Server]*target {
	t := map[ident.Server]*target{}
	slow := p.stragglers()
	for id, row := range p.draft.servers {
		x := &target{id: id}
		t[id] = x
		c, m := p.servers[id], p.memory.servers[id]
		switch {
		case c == nil || row.State == part.Draining:
			x.away, x.reason = true, "owner drains"
		case row.State == part.Down:
			x.away, x.urgent, x.reason = true, true, "owner is down"
		case slow[id]:
			x.away, x.reason = true, "owner is slow"
		case p.in.Part.Servers[id].State != part.Active:
			// It comes back with this very plan. Its ramp starts when the part shows that; until then it would
			// count as a whole server and be given its full share at once, cold.
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

// stragglers returns the servers that have been slow for long. When many are slow at once the cause is
// not theirs, and moving their shards would only load the others.
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

// settleShards writes down releases, so that the shards may move on. It waits a little for shards that
// have not been released, to need one transaction for all.
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

// urgent reports whether a released shard's owner is about to lose it.
func (p *planner) urgent(ready []ident.Shard) bool {
	return slices.ContainsFunc(ready, func(s ident.Shard) bool {
		return p.draft.servers[p.draft.shards[s].Server].State != part.Active
	})
}

// evacuate moves shards off servers that can't serve them, the busiest of all first, each to the server
// that is then the least loaded. It reports whether such shards were there to move.
//
// Servers that still work give up their shards in several small transactions: each move makes its keys
// wait for a release, and the receiving servers take the load up step by step.
func (p *planner) evacuate(t map[ident.Server]*target) bool {
	var all []ident.Shard
	for _, id := range slices.Sorted(maps.Keys(t)) {
		if t[id].away {
			all = append(all, t[id].shards...)
		}
	}
	slices.SortStableFunc(all, func(a, b ident.Shard) int { return cmp.Compare(p.rate(b), p.rate(a)) })
	to := carriers(t)
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
		return false // settled by this plan; the rules let it move by the next
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

// leastLoaded returns the server that would be the least loaded with another shard, or nil.
func leastLoaded(l []*target, rate float64) *target {
	var best *target
	for _, x := range l {
		if best == nil || (x.load+rate)/x.weight < (best.load+rate)/best.weight {
			best = x
		}
	}
	return best
}
