package hold

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"heatherrouter/core/choice"
)

const (
	// minGain is the least gain of a move, in requests per second that are served sooner by the mean service time.
	// Smaller differences are within the measurement error of a few seconds.
	minGain = 0.5

	// minRate is the requests per second below which a move has no effect that callers notice.
	minRate = 0.5

	// minLoadShare is the fraction of the mean load that each server keeps. It allows the speed of the server to be
	// measured, and puts a server that joins to use.
	minLoadShare = 0.15

	// minMoves bounds the ranges moved for balance at a time in a small service; in a large one the bound is
	// movesPerServer times its servers. A moving range has no owner until the longest request in progress at its
	// previous owner ends. 200 keys with a third of a large service's requests need 30 servers at once: four moves
	// every half second would take longer than the 5 s for which such keys stay hot.
	minMoves       = 4
	movesPerServer = 0.25

	// maxMoves bounds the moves in any service, to limit the planner's running time.
	maxMoves = 48

	// maxSources is the number of targets with the highest latency that are searched for a move before the planner
	// stops.
	maxSources = 8

	// newRangeFill is the fraction of a server's slots that a newly cut range may occupy, besides the server's existing
	// load.
	newRangeFill = 0.5
)

// balance moves ranges to where their requests, and those that remain at the source, are served sooner.
func (p *planner) balance() bool {
	changed := p.fillStarved()
	for range min(maxMoves, max(minMoves, int(float64(len(p.targets))*movesPerServer))) {
		if i, ok := p.idleTarget(); ok {
			if !p.fill(i, max(p.minLoad(), minRate), 0) {
				break
			}
			changed = true
			continue
		}
		m, ok := p.bestMove()
		if !ok {
			break
		}
		p.apply(m)
		changed = true
	}
	return changed
}

// move is a planned move of a range to another target.
type move struct {
	assignment int
	cut        Range
	to         int
	gain       float64
}

func (p *planner) apply(m move) {
	p.split(m.assignment, m.cut)
	i := slices.IndexFunc(p.assignments, func(x Assignment) bool { return x.Range == m.cut })
	p.assign(i, m.to)
}

// bestMove returns the move with the highest gain from the target with the highest latency that has any worthwhile
// move.
func (p *planner) bestMove() (move, bool) {
	var l []int
	for i := range p.load {
		if p.load[i] >= minRate {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b int) int { return cmp.Compare(p.latency(b, p.load[b]), p.latency(a, p.load[a])) })
	for _, from := range l[:min(maxSources, len(l))] {
		// A moving range cannot be split before the move is complete. If it exceeded the capacity of its next owner,
		// its requests would be late there as well, for seconds. If no server has room, the overload is shared.
		if m, ok := p.bestMoveFrom(from, saturation); ok {
			return m, true
		}
		if m, ok := p.bestMoveFrom(from, math.Inf(1)); ok {
			return m, true
		}
	}
	return move{}, false
}

// bestMoveFrom returns the move with the highest gain from a target that leaves the receiving target at or below
// maxUtilisation. It returns false if no move is worthwhile.
func (p *planner) bestMoveFrom(from int, maxUtilisation float64) (move, bool) {
	best := move{gain: minGain * p.meanServiceTime}
	found := false
	for i, x := range p.assignments {
		if p.index(x.Owner) != from || x.Previous != (Incarnation{}) {
			continue
		}
		for _, r := range p.candidates(x.Range, from) {
			if m := p.bestTarget(i, r, from, maxUtilisation); m.gain > best.gain {
				best, found = m, true
			}
		}
	}
	return best, found
}

// bestTarget returns the move of a range with the highest gain, among the targets that stay at or below maxUtilisation.
func (p *planner) bestTarget(assignment int, r Range, from int, maxUtilisation float64) move {
	m := move{assignment: assignment, cut: r, to: from}
	d := p.rate(r)
	if d < minRate || !p.overloaded(from) && p.load[from]-d < p.limitedMin(from) {
		return m
	}
	saved := p.cost(from, p.load[from]) - p.cost(from, p.load[from]-d)
	for to := range p.load {
		if to == from || p.utilisation(to, p.load[to]+d) > maxUtilisation {
			continue
		}
		if g := saved - (p.cost(to, p.load[to]+d) - p.cost(to, p.load[to])) - moveCost*float64(r.Len())/Keys*p.meanServiceTime; g > m.gain {
			m.to, m.gain = to, g
		}
	}
	return m
}

// moveCost is the cost of moving all keys, in requests per second that are delayed by the mean service time. A move has
// to pay off within a few seconds.
const moveCost = 10

// fill moves a range with about the wanted requests per second, and no less than the least, to a target from the one with the most
// work.
func (p *planner) fill(to int, want, least float64) bool {
	if p.targets[to].Limit > 0 {
		want = min(want, newRangeFill*p.targets[to].Limit)
	}
	from := 0
	for i := range p.load {
		if p.load[i]*p.serviceTimes[i] > p.load[from]*p.serviceTimes[from] {
			from = i
		}
	}
	if from == to {
		return false
	}
	best, off := move{}, math.Inf(1)
	for i, x := range p.assignments {
		if p.index(x.Owner) != from || x.Previous != (Incarnation{}) {
			continue
		}
		for _, r := range p.cutsAtEnds(x.Range, want) {
			if d := p.rate(r); d >= least && math.Abs(d-want) < off {
				best, off = move{assignment: i, cut: r, to: to}, math.Abs(d-want)
			}
		}
	}
	if math.IsInf(off, 1) {
		return false
	}
	p.apply(best)
	return true
}

// fillStarved gives keys to targets that get too few requests.
func (p *planner) fillStarved() bool {
	moves := 0
	for i := range p.targets {
		want, enough := p.minimum(i)
		for moves < minMoves && p.load[i] < enough && p.fill(i, want-p.load[i], min(enough, minRate)) {
			moves++
		}
	}
	return moves > 0
}

// minimum returns the requests per second that a target gets whether or not this shortens delays, and those below which it gets more
// keys. Both are 0 if that is left to balance.
//
// A server that names a limit keeps a few requests. When the limit has ended, it gets its keys back: otherwise the few would be enough
// for balance as long as the other servers have room, and the next rise of the load would find that server unused.
func (p *planner) minimum(i int) (want, enough float64) {
	switch {
	case p.targets[i].Limit > 0:
		want = p.limitedMin(i)
		return want, starved * want
	case p.targets[i].Restored:
		want = p.meanLoad() * min(1, p.meanServiceTime/p.serviceTimes[i])
		return want, restoredShare * want
	}
	return 0, 0
}

// minLoad returns the requests per second that each server keeps.
func (p *planner) minLoad() float64 { return minLoadShare * p.meanLoad() }

// meanLoad returns the mean load of the targets, in requests per second.
func (p *planner) meanLoad() float64 {
	sum := 0.0
	for _, x := range p.load {
		sum += x
	}
	return sum / float64(len(p.load))
}

// limitedMin returns the requests per second that a server which names a limit keeps, or 0 if it names none. Only the response to a
// request shows that the limit has ended.
func (p *planner) limitedMin(i int) float64 {
	if p.targets[i].Limit == 0 {
		return 0
	}
	return min(p.minLoad(), newRangeFill*p.targets[i].Limit)
}

// starved is the fraction of its minimum below which a server that names a limit gets keys. Measured rates as low as this vary by
// chance.
const starved = 0.25

// restoredShare is the fraction of its share of the load below which a server whose limit has ended gets keys.
const restoredShare = 0.5

// idleTarget returns a target that owns no keys.
func (p *planner) idleTarget() (int, bool) {
	has := make([]bool, len(p.targets))
	for _, x := range p.assignments {
		if i := p.index(x.Owner); i >= 0 {
			has[i] = true
		}
	}
	i := slices.Index(has, false)
	return i, i >= 0
}

// candidates returns ranges within r that may be worth moving: ranges with different fractions of the load, and the
// hottest bucket.
func (p *planner) candidates(r Range, from int) []Range {
	l, load := []Range{r}, p.load[from]
	if len(p.assignments) >= p.softRangeLimit() && (!p.overloaded(from) || len(p.assignments) >= p.hardRangeLimit()) {
		return l // each range costs an order per renewal, and too many delay all renewals
	}
	for _, want := range []float64{0.15 * load, 0.3 * load, 0.5 * load, p.newRangeRate()} {
		l = append(l, p.cutsAtEnds(r, want)...)
	}
	first, last := int(r.First)/p.width, int(r.Last)/p.width
	hottest := first
	for b := first; b <= last && b+1 < len(p.prefixSums); b++ {
		if p.prefixSums[b+1]-p.prefixSums[b] > p.prefixSums[hottest+1]-p.prefixSums[hottest] {
			hottest = b
		}
	}
	lo, hi := max(int(r.First), hottest*p.width), min(int(r.Last), (hottest+1)*p.width-1)
	if p.rate(Range{First: key(lo), Last: key(hi)}) >= load*hotShare {
		l = append(l, Range{First: key(lo), Last: key(hi)})
	}
	return l
}

// newRangeRate returns the requests per second that an average server without load can take on without delay.
func (p *planner) newRangeRate() float64 {
	return newRangeFill * float64(max(1, p.targets[0].Slots)) / (p.meanServiceTime * choice.MeanInterference)
}

// hotShare is the fraction of a server's load from which a single bucket is cut out of the middle of a range.
const hotShare = 0.25

// cutsAtEnds returns the ranges at both ends of r whose rates are closest to want.
func (p *planner) cutsAtEnds(r Range, want float64) []Range {
	var l []Range
	first, last := int(r.First), int(r.Last)
	n := last - first
	up := first + sort.Search(n, func(k int) bool { return p.rate(Range{First: r.First, Last: key(first + k)}) >= want })
	down := last - sort.Search(n, func(k int) bool { return p.rate(Range{First: key(last - k), Last: r.Last}) >= want })
	for _, k := range []int{up - 1, up} {
		if k >= first && k < last {
			l = append(l, Range{First: r.First, Last: key(k)})
		}
	}
	for _, k := range []int{down, down + 1} {
		if k > first && k <= last {
			l = append(l, Range{First: key(k), Last: r.Last})
		}
	}
	return l
}

func key(k int) Key {
	return Key(k) //nolint:gosec // callers pass keys within a range
}

// split cuts a range out of assignment i.
func (p *planner) split(i int, r Range) {
	x := p.assignments[i]
	var l []Assignment
	if x.First < r.First {
		y := x
		y.Last = r.First - 1
		l = append(l, y)
	}
	y := x
	y.Range = r
	l = append(l, y)
	if r.Last < x.Last {
		y := x
		y.First = r.Last + 1
		l = append(l, y)
	}
	p.assignments = slices.Replace(p.assignments, i, i+1, l...)
}
