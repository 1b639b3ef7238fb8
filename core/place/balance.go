package place

import (
	"math"
	"slices"
	"strings"

	"heatherrouter/core/ident"
)

// balance moves shards from more to less loaded servers until the loads are within the stop thresholds or
// the churn budget is used up.
func (p *planner) balance(t map[ident.Server]*target) {
	l := eligible(t)
	if len(l) < 2 || len(p.draft.shards) > len(p.in.Part.Shards) || p.now.Before(p.memory.balanceAt) {
		return
	}
	level := p.level(l)
	if !p.memory.balancing && !p.unbalanced(l, level) {
		p.memory.balanceAt = p.now.Add(balanceCheckWait)
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

// eligible returns the servers that may get shards, sorted by ID.
func eligible(t map[ident.Server]*target) []*target {
	var l []*target
	for _, x := range t {
		if x.weight > 0 {
			l = append(l, x)
		}
	}
	slices.SortFunc(l, func(a, b *target) int { return strings.Compare(string(a.id), string(b.id)) })
	return l
}

// level returns the load per unit of weight that every server would have if shards were divisible. A shard
// with more than its server's share stays alone there, as it can't be split and moving it would not help.
// Both are left out, and the other servers share the remaining load.
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

// excess returns the load of a server above its share. A pinned server should own only its busiest shard.
func (p *planner) excess(x *target, level float64) float64 {
	if x.pinned {
		return x.load - p.rate(x.busiest(p))
	}
	return x.load - level*x.weight
}

// unbalanced reports whether a server's load differs from its share by more than the hysteresis and by more
// than the statistical noise of the measured rates.
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

// extremes returns the server farthest above its share, without the stuck ones, which have no shard that may
// move, and the server farthest below its share.
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

// worthMove reports whether the loads of two servers still exceed the stop thresholds of a running round.
func (p *planner) worthMove(from, to *target, level float64) bool {
	if from == nil || to == nil || from == to {
		return false
	}
	over, under := p.excess(from, level), -p.excess(to, level)
	return over > highStop*level*from.weight || (over > 0 && under > lowStop*level*to.weight)
}

// bestShard returns the shard whose rate is closest to the load that should move between two servers.
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

// mayBalance reports whether a shard may move for balance. A shard that moved recently stays where it is;
// otherwise it would move back and forth between servers of similar load as their rates vary.
func (p *planner) mayBalance(s ident.Shard, to *target) bool {
	return !p.now.Before(p.memory.shards[s].heldUntil) && p.draft.shards[s] == p.in.Part.Owner(s) && mayMove(p.draft.shards[s], to.id)
}

// refills reports whether a server is ramping up. Its ramp limits moves to it, so they use no churn budget.
func (p *planner) refills(x *target) bool {
	return p.memory.servers[x.id].ramps(p.now)
}
