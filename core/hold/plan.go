package hold

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/ident"
)

// BucketKeys is how many keys requests are counted together by. A few dozen busy keys side by side can be more than one
// server carries, so a bucket has few; only those with requests are told.
const BucketKeys = 4

// Rates are the requests a second by bucket of keys, all of equal width.
type Rates []float64

const (
	// mostPieces and firstPieces bound the ranges that are dealt out at first, in all and for each server. Busy keys lie
	// close together; many narrow ranges spread them before any are counted, and each costs an order every renewal.
	mostPieces  = 112
	firstPieces = 8

	// piecesPerServer is how many ranges there may be for each server of a large service: busy keys are cut out of the
	// middle of a range, which makes three of one. From manyPieces on there are only as many ranges as servers, since each
	// costs the coordinator an order every renewal.
	piecesPerServer = 2
	manyPieces      = 640

	// coldWork is how much longer work is taken to be at a cold server. It is sent little, whatever it could do.
	coldWork = 3

	// usualWork is assumed of servers while nobody has measured any.
	usualWork = 200 * time.Millisecond
)

// Target is a server that may hold keys.
type Target struct {
	Life
	Cold  bool
	Slots int
	Work  time.Duration // of an undisturbed request; 0 while unknown
}

// planner works out one change of the assignment.
type planner struct {
	pieces  []Piece
	targets []Target
	width   int                  // keys in a bucket
	sums    []float64            // of the rates of all buckets before
	load    []float64            // requests a second by target
	work    []float64            // seconds by target
	usual   float64              // the mean of those known
	indexes map[ident.Server]int // of the targets
}

// Plan returns the next assignment, and whether it differs. Ranges of servers that may not hold keys any more move at
// once; others for balance only, a few at a time, and never while an earlier move of theirs is under way.
func Plan(pieces []Piece, targets []Target, rates Rates) ([]Piece, bool) {
	if len(targets) == 0 {
		return pieces, false
	}
	p := newPlanner(pieces, targets, rates)
	if len(pieces) == 0 {
		return p.first(), true
	}
	changed := p.leave()
	changed = p.balance() || changed
	changed = p.tidy() || changed
	if !changed {
		return pieces, false
	}
	p.join()
	return p.pieces, true
}

func newPlanner(pieces []Piece, targets []Target, rates Rates) *planner {
	p := &planner{pieces: slices.Clone(pieces), targets: slices.Clone(targets), width: Keys / max(1, len(rates))}
	slices.SortFunc(p.targets, func(a, b Target) int { return cmp.Compare(a.Server, b.Server) })
	p.indexes = make(map[ident.Server]int, len(p.targets))
	for i, t := range p.targets {
		p.indexes[t.Server] = i
	}
	p.measure(rates)
	return p
}

// first deals out all keys.
func (p *planner) first() []Piece {
	n := len(p.targets) * min(firstPieces, max(1, mostPieces/len(p.targets)))
	var l []Piece
	for i := range n {
		first, last := i*Keys/n, (i+1)*Keys/n-1
		l = append(l, Piece{
			Range: Range{First: Key(first), Last: Key(last)}, //nolint:gosec // below Keys
			Owner: p.targets[i%len(p.targets)].Life,
		})
	}
	return l
}

// perKey is the rate that each key counts for even without requests, so that nothing is free.
const perKey = 1e-5

// measure sums up the rates, and the load and speed of each target.
func (p *planner) measure(rates Rates) {
	p.sums = make([]float64, len(rates)+1)
	for i, r := range rates {
		p.sums[i+1] = p.sums[i] + r
	}
	known, n := 0.0, 0.0
	for _, t := range p.targets {
		if t.Work > 0 {
			known, n = known+t.Work.Seconds(), n+1
		}
	}
	p.usual = usualWork.Seconds()
	if n > 0 {
		p.usual = known / n
	}
	p.load, p.work = make([]float64, len(p.targets)), make([]float64, len(p.targets))
	for i, t := range p.targets {
		p.work[i] = p.usual
		if t.Work > 0 {
			p.work[i] = t.Work.Seconds()
		}
		if t.Cold {
			p.work[i] *= coldWork
		}
	}
	for _, x := range p.pieces {
		if i := p.index(x.Owner); i >= 0 {
			p.load[i] += p.rate(x.Range)
		}
	}
}

// index returns the target that is the life of the server, or -1.
func (p *planner) index(l Life) int {
	if i, ok := p.indexes[l.Server]; ok {
		return i
	}
	return -1
}

// rate estimates the requests a second for a range. Within a bucket they are taken to be spread evenly.
func (p *planner) rate(r Range) float64 {
	return p.below(int(r.Last)+1) - p.below(int(r.First)) + perKey*float64(r.Len())
}

// below returns the requests a second for all keys below k.
func (p *planner) below(k int) float64 {
	b := k / p.width
	if b+1 >= len(p.sums) {
		return p.sums[len(p.sums)-1]
	}
	return p.sums[b] + (p.sums[b+1]-p.sums[b])*float64(k%p.width)/float64(p.width)
}

// time returns how late requests are at the target with the load, in seconds that count as callers notice them.
//
// They wait in line for what is left of the slots, and beyond nearFull the line only grows. What callers notice are the
// requests that meet a server while its neighbours disturb it, and then a slow server's are late by more than its work:
// so its work counts by its square.
func (p *planner) time(i int, load float64) float64 {
	used := p.used(i, load)
	q := used / (1 - min(nearFull, used))
	return p.work[i] * p.work[i] / p.usual * (1 + q*q/2)
}

// used returns which part of the target's slots the load fills.
func (p *planner) used(i int, load float64) float64 {
	return load * p.work[i] * choice.MeanInterference / float64(max(1, p.targets[i].Slots))
}

// nearFull is the part of a server's slots from which on a line only grows.
const nearFull = 0.9

// cost returns how late all requests a second at the target are together.
func (p *planner) cost(i int, load float64) float64 {
	return load * p.time(i, load)
}

// leave moves the ranges of servers that are no targets, the busiest first.
func (p *planner) leave() bool {
	var l []int
	for i, x := range p.pieces {
		// One that is still on its way from the last holder stays until that is settled: only one holder that may be left
		// can be written down.
		if p.index(x.Owner) < 0 && x.Previous == (Life{}) {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b int) int {
		return cmp.Compare(p.rate(p.pieces[b].Range), p.rate(p.pieces[a].Range))
	})
	for _, i := range l {
		p.give(i, p.quickest(p.rate(p.pieces[i].Range)))
	}
	return len(l) > 0
}

// give moves a piece to a target.
func (p *planner) give(i, to int) {
	x := &p.pieces[i]
	r := p.rate(x.Range)
	if from := p.index(x.Owner); from >= 0 {
		p.load[from] -= r
	}
	x.Previous, x.Owner = x.Owner, p.targets[to].Life
	p.load[to] += r
}

// quickest returns the target that serves some more requests a second soonest.
func (p *planner) quickest(more float64) int {
	best := 0
	for i := range p.load {
		if p.time(i, p.load[i]+more) < p.time(best, p.load[best]+more) {
			best = i
		}
	}
	return best
}

// smallPiece bounds the keys that are moved only to have fewer ranges.
const smallPiece = Keys / 400

// usualPieces is how many ranges there may be before none is cut any more for the sake of balance, and small ones are
// joined. What is left up to maxPieces is for servers that are overloaded: keys that turn busy need dozens of servers within
// a second or two.
func (p *planner) usualPieces() int {
	n := max(mostPieces, len(p.targets))
	return n + n/4
}

// maxPieces is how many ranges there may be at all. Each costs an order every renewal; a coordinator with too many sends
// renewals too late, and their keys lapse.
func (p *planner) maxPieces() int {
	n := max(mostPieces, min(piecesPerServer*len(p.targets), manyPieces), len(p.targets))
	return n + n/4
}

// overloaded reports whether the target gets more than its slots carry.
func (p *planner) overloaded(i int) bool {
	return p.load[i]*p.work[i] > nearFull*float64(max(1, p.targets[i].Slots))
}

// tidy gives small ranges with few requests to the holder of their neighbour, where there are too many.
func (p *planner) tidy() bool {
	changed := false
	for i := 1; i < len(p.pieces) && len(p.pieces) > p.usualPieces(); i++ {
		x, y := &p.pieces[i-1], &p.pieces[i]
		if x.Previous != (Life{}) || y.Previous != (Life{}) || x.Owner == y.Owner {
			continue
		}
		small, other := i-1, i
		if p.rate(y.Range) < p.rate(x.Range) {
			small, other = i, i-1
		}
		to := p.index(p.pieces[other].Owner)
		if r := p.pieces[small].Range; to >= 0 && r.Len() <= smallPiece && p.rate(r) < leastRate {
			p.give(small, to)
			changed = true
			i++ // at most one of each pair of neighbours at a time
		}
	}
	return changed
}

// join makes one of neighbours that one server surely holds, so that moves don't cut the keys up ever finer.
func (p *planner) join() {
	l := p.pieces[:0]
	for _, x := range p.pieces {
		if n := len(l); n > 0 && l[n-1].Owner == x.Owner && l[n-1].Previous == (Life{}) && x.Previous == (Life{}) {
			l[n-1].Last = x.Last
			continue
		}
		l = append(l, x)
	}
	p.pieces = l
}
