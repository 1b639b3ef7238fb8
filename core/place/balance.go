package place

import (
	"math"
	"slices"
	"strings"

	"heatherrouter/core/ident"
)

// balance moves shards from loaded to less loaded servers while the difference is worth it and the churn
// budget lasts.
func (p *planner) balance(t map[ident.Server]*target) {
	l := carriers(t)
	if len(l) < 2 || len(p.draft.shards) > len(p.in.Part.Shards) || p.now.Before(p.memory.balanceAt) {
		return
	}
	level := p.level(l)
	if !p.memory.balancing && !p.unbalanced(l, level) {
		p.memory.balanceAt = p.now.Add(lookWait)
		return
	}
	p.memory.balancing = true
	budget := int(p.memory.churn.tokens)
	stuck := map[ident.Server]bool{}
	moved := false
	for range 2 * len(p.draft.shards) {
		from, to := p.extremes(l, level, budget > 0, stuck)
		if !p.worthMove(from, to, level) {
			p.memory.endRound(p.now, p.in.Part, moved)
			return
		}
		s, ok := p.bestShard(from, to, level)
		if !ok {
			stuck[from.id] = true
			continue
		}
		if !p.draft.moveShard(s, to.id, "balance") {
			return // the transaction is full
		}
		moved = true
		from.load -= p.rate(s)
		to.load += p.rate(s)
		from.shards = slices.DeleteFunc(from.shards, func(x ident.Shard) bool { return x == s })
		if !p.refills(to) {
			budget--
		}
	}
}

// carriers returns the servers that may carry load, by name.
func carriers(t map[ident.Server]*target) []*target {
	var l []*target
	for _, x := range t {
		if x.weight > 0 {
			l = append(l, x)
		}
	}
	slices.SortFunc(l, func(a, b *target) int { return strings.Compare(string(a.id), string(b.id)) })
	return l
}

// level returns the load for each unit of weight that every server would have if shards could be cut at
// will. A shard above that stays alone on its server: both are left out, since neither splitting it nor
// giving it away would help, and the others share the rest.
func (p *planner) level(l []*target) float64 {
	for {
		load, weight := 0.0, 0.0
		for _, x := range l {
			if x.pinned {
				load += x.load - p.rate(x.busiest(p))
				continue
			}
			load += x.load
			weight += x.weight
		}
		if weight == 0 {
			return math.Inf(1)
		}
		level, again := load/weight, false
		for _, x := range l {
			if !x.pinned && len(x.shards) > 0 && p.rate(x.busiest(p)) > level*x.weight {
				x.pinned, again = true, true
			}
		}
		if !again {
			return level
		}
	}
}

func (x *target) busiest(p *planner) ident.Shard {
	return slices.MaxFunc(x.shards, func(a, b ident.Shard) int {
		if p.rate(a) < p.rate(b) {
			return -1
		}
		return 1
	})
}

// excess returns how much load a server has above its share; a pinned one should have its one shard only.
func (p *planner) excess(x *target, level float64) float64 {
	if x.pinned {
		return x.load - p.rate(x.busiest(p))
	}
	return x.load - level*x.weight
}

// unbalanced reports whether a difference is worth a round of moves: larger than the hysteresis, and
// larger than chance makes it at the rates that were measured.
func (p *planner) unbalanced(l []*target, level float64) bool {
	base := baseRate * float64(len(p.draft.shards)) / float64(len(l))
	for _, x := range l {
		share := level * x.weight
		noise := noiseGate * math.Sqrt(max(share-base, 0)/rateWindow.Seconds())
		e := p.excess(x, level)
		if e > max(highStart*share, noise) || (!x.pinned && -e > max(lowStart*share, noise)) {
			return true
		}
	}
	return false
}

// extremes returns the server with the most above its share, leaving out those that have no shard to give,
// and the one with the most below.
func (p *planner) extremes(l []*target, level float64, budget bool, stuck map[ident.Server]bool) (from, to *target) {
	for _, x := range l {
		e := p.excess(x, level) / x.weight
		if !stuck[x.id] && (from == nil || e > p.excess(from, level)/from.weight) {
			from = x
		}
		if !x.pinned && (budget || p.refills(x)) && (to == nil || e < p.excess(to, level)/to.weight) {
			to = x
		}
	}
	return from, to
}

// worthMove reports whether moving a shard between two servers is worth it, once a round has started.
func (p *planner) worthMove(from, to *target, level float64) bool {
	if from == nil || to == nil || from == to {
		return false
	}
	over, under := p.excess(from, level), -p.excess(to, level)
	return over > highStop*level*from.weight || (over > 0 && under > lowStop*level*to.weight)
}

// bestShard returns the shard of a server that comes closest to what both have to move.
func (p *planner) bestShard(from, to *target, level float64) (best ident.Shard, found bool) {
	over, under := p.excess(from, level), -p.excess(to, level)
	want := min(over, under)
	for _, s := range from.shards {
		r := p.rate(s)
		if !p.mayBalance(s, to) || r > (over+under)*largeMove || r < want*smallMove {
			continue
		}
		if !found || math.Abs(r-want) < math.Abs(p.rate(best)-want) {
			best, found = s, true
		}
	}
	return best, found
}

// mayBalance reports whether a shard is free to move for balance. One that moved lately is held, or two
// servers of like load would pass it back and forth as their rates vary.
func (p *planner) mayBalance(s ident.Shard, to *target) bool {
	return !p.now.Before(p.memory.shards[s].held) && p.draft.shards[s] == p.in.Part.Owner(s) && mayMove(p.draft.shards[s], to.id)
}

// refills reports whether a server is being filled after a return; that is paced by its ramp, not the budget.
func (p *planner) refills(x *target) bool {
	return p.memory.servers[x.id].ramps(p.now)
}
