package hold

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"heatherrouter/core/choice"
)

const (
	// worthIt is how many requests a second must be served sooner by the usual time for a move: below it the difference
	// is within what is measured in a few seconds.
	worthIt = 0.5

	// leastRate is the requests a second below which a move changes nothing that a caller notices.
	leastRate = 0.5

	// leastShare is the part of the mean load that each server keeps: by it its speed is known, and a server that joins
	// is put to use.
	leastShare = 0.15

	// minMoves bounds the ranges that are moved for balance at a time in a small service, and movesShare by its servers in
	// a large one. Each is nobody's for as long as the longest request under way at its last holder. 200 keys that get a
	// third of a large service's requests need 30 servers at once: four moves each half a second would take longer than
	// such keys stay busy, 5 s.
	minMoves   = 4
	movesShare = 0.25

	// maxMoves bounds them in any service, for the planner's own time.
	maxMoves = 48

	// mostTried is how many of the targets that are worst off are looked at in vain before the rest are left alone.
	mostTried = 8

	// fitting is the part of a server's slots that a range cut for it may fill, beside what it has.
	fitting = 0.5
)

// balance moves ranges to where their requests, and those that stay behind, are served sooner.
func (p *planner) balance() bool {
	changed := false
	for range min(maxMoves, max(minMoves, int(float64(len(p.targets))*movesShare))) {
		if i, ok := p.unused(); ok {
			if !p.use(i) {
				break
			}
			changed = true
			continue
		}
		m, ok := p.best()
		if !ok {
			break
		}
		p.carryOut(m)
		changed = true
	}
	return changed
}

// move is a range on its way to another target.
type move struct {
	piece int
	cut   Range
	to    int
	gain  float64
}

func (p *planner) carryOut(m move) {
	p.split(m.piece, m.cut)
	i := slices.IndexFunc(p.pieces, func(x Piece) bool { return x.Range == m.cut })
	p.give(i, m.to)
}

// best returns the move that gains most from the target that is worst off of those from which any move is worth it.
func (p *planner) best() (move, bool) {
	var l []int
	for i := range p.load {
		if p.load[i] >= leastRate {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b int) int { return cmp.Compare(p.time(b, p.load[b]), p.time(a, p.load[a])) })
	for _, from := range l[:min(mostTried, len(l))] {
		// A range on its way can't be cut up again before it has arrived: more than the next holder carries would make its
		// requests late there as well, for seconds. Where no server has room, the overload is shared.
		if m, ok := p.bestFrom(from, nearFull); ok {
			return m, true
		}
		if m, ok := p.bestFrom(from, math.Inf(1)); ok {
			return m, true
		}
	}
	return move{}, false
}

// bestFrom returns the move that gains most from a target, to one of whose slots no more than a part is filled then; false
// when none is worth it.
func (p *planner) bestFrom(from int, most float64) (move, bool) {
	best := move{gain: worthIt * p.usual}
	found := false
	for i, x := range p.pieces {
		if p.index(x.Owner) != from || x.Previous != (Life{}) {
			continue
		}
		for _, r := range p.candidates(x.Range, from) {
			if m := p.bestTarget(i, r, from, most); m.gain > best.gain {
				best, found = m, true
			}
		}
	}
	return best, found
}

// bestTarget returns where a range gains most, of the targets of whose slots no more than a part is filled then.
func (p *planner) bestTarget(piece int, r Range, from int, most float64) move {
	m := move{piece: piece, cut: r, to: from}
	d := p.rate(r)
	if d < leastRate {
		return m
	}
	left := p.cost(from, p.load[from]) - p.cost(from, p.load[from]-d)
	for to := range p.load {
		if to == from || p.used(to, p.load[to]+d) > most {
			continue
		}
		if g := left - (p.cost(to, p.load[to]+d) - p.cost(to, p.load[to])) - perMove*float64(r.Len())/Keys*p.usual; g > m.gain {
			m.to, m.gain = to, g
		}
	}
	return m
}

// perMove is the price of moving all keys, in requests a second that are late by the usual time: a move has to pay for
// itself within a few seconds.
const perMove = 10

// use gives an unused target its least share, from the one that has most to do.
func (p *planner) use(to int) bool {
	from, sum := 0, 0.0
	for i := range p.load {
		sum += p.load[i]
		if p.load[i]*p.work[i] > p.load[from]*p.work[from] {
			from = i
		}
	}
	want := max(leastShare*sum/float64(len(p.load)), leastRate)
	best, off := move{}, math.Inf(1)
	for i, x := range p.pieces {
		if p.index(x.Owner) != from || x.Previous != (Life{}) {
			continue
		}
		for _, r := range p.cuts(x.Range, want) {
			if d := math.Abs(p.rate(r) - want); d < off {
				best, off = move{piece: i, cut: r, to: to}, d
			}
		}
	}
	if math.IsInf(off, 1) {
		return false
	}
	p.carryOut(best)
	return true
}

// unused returns a target without any keys.
func (p *planner) unused() (int, bool) {
	has := make([]bool, len(p.targets))
	for _, x := range p.pieces {
		if i := p.index(x.Owner); i >= 0 {
			has[i] = true
		}
	}
	i := slices.Index(has, false)
	return i, i >= 0
}

// candidates returns ranges within a piece that may be worth moving: with different shares of the load, and the one
// bucket that is busiest.
func (p *planner) candidates(r Range, from int) []Range {
	l, load := []Range{r}, p.load[from]
	if len(p.pieces) >= p.usualPieces() && (!p.overloaded(from) || len(p.pieces) >= p.maxPieces()) {
		return l // each range costs an order every renewal, and one that is too many makes all of them late
	}
	for _, want := range []float64{0.15 * load, 0.3 * load, 0.5 * load, p.fits()} {
		l = append(l, p.cuts(r, want)...)
	}
	first, last := int(r.First)/p.width, int(r.Last)/p.width
	busiest := first
	for b := first; b <= last && b+1 < len(p.sums); b++ {
		if p.sums[b+1]-p.sums[b] > p.sums[busiest+1]-p.sums[busiest] {
			busiest = b
		}
	}
	lo, hi := max(int(r.First), busiest*p.width), min(int(r.Last), (busiest+1)*p.width-1)
	if p.rate(Range{First: key(lo), Last: key(hi)}) >= load*busyShare {
		l = append(l, Range{First: key(lo), Last: key(hi)})
	}
	return l
}

// fits returns the requests a second that a usual server without any takes on without being late.
func (p *planner) fits() float64 {
	return fitting * float64(max(1, p.targets[0].Slots)) / (p.usual * choice.MeanInterference)
}

// busyShare is the part of a server's load from which a single bucket is worth cutting out of the middle of a range.
const busyShare = 0.25

// cuts returns the ranges at either end of a range that come closest to the wanted load.
func (p *planner) cuts(r Range, want float64) []Range {
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
	return Key(k) //nolint:gosec // callers count within a range
}

// split cuts a range out of a piece.
func (p *planner) split(i int, r Range) {
	x := p.pieces[i]
	var l []Piece
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
	p.pieces = slices.Replace(p.pieces, i, i+1, l...)
}
