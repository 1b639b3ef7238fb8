package hold

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/ident"
)

// BucketKeys is the number of keys per bucket of request rates. Buckets are small because a few dozen adjacent hot keys
// can exceed the capacity of one server. Only buckets with requests are reported.
const BucketKeys = 4

// Rates are the requests per second in each bucket of keys. All buckets have the same width.
type Rates []float64

const (
	// maxInitialRanges and initialRangesPerServer bound the ranges of the initial assignment, in total and per server.
	// Hot keys are often neighbours: many narrow ranges spread them before any rate is known, but each range costs an
	// order per renewal.
	maxInitialRanges       = 112
	initialRangesPerServer = 8

	// rangesPerServer bounds the ranges per server of a large service: cutting hot keys out of the middle of a range
	// turns one range into three. From largeServiceRanges on, the bound is one range per server, because each range
	// costs the coordinator an order per renewal.
	rangesPerServer    = 2
	largeServiceRanges = 640

	// coldFactor multiplies the service time of a cold server, so that it gets little load whatever its capacity.
	coldFactor = 3

	// DefaultServiceTime is assumed while no server has been measured.
	DefaultServiceTime = 200 * time.Millisecond

	// probationRate bounds the requests per second for which an unproven server gets keys. Low measured rates are of two or three
	// requests: keys chosen by them get fewer on average.
	probationRate = 16
)

// Target is a server that may hold keys.
type Target struct {
	Incarnation
	Cold        bool
	Slots       int
	ServiceTime time.Duration // of a request without interference; 0 if unknown
	Limit       float64       // requests per second that the server takes; 0 if it names no limit
	Unproven    bool          // whether its backoff is over and it hasn't taken a request yet
	Restored    bool          // whether the server named a limit, or was unproven, until a short time ago
	Bound       float64       // requests per second that daemons may send, by the load that they observe; 0 for the estimated capacity
}

// planner computes one change of the assignments.
type planner struct {
	assignments     []Assignment
	targets         []Target
	width           int                  // keys per bucket
	prefixSums      []float64            // prefixSums[i] is the total rate of the buckets before i
	load            []float64            // requests per second by target
	serviceTimes    []float64            // seconds by target
	meanServiceTime float64              // seconds, over the targets with a known service time
	indexes         map[ident.Server]int // of the targets, by server
}

// Plan returns the next assignments and whether they differ from the current ones. Ranges move at once from servers
// that may no longer hold keys. Other ranges move only for balance, a few at a time, and never while an earlier move of
// the range is in progress.
func Plan(assignments []Assignment, targets []Target, rates Rates) ([]Assignment, bool) {
	if len(targets) == 0 {
		return assignments, false
	}
	p := newPlanner(assignments, targets, rates)
	if len(assignments) == 0 {
		return p.initial(), true
	}
	changed := p.evacuate()
	changed = p.balance() || changed
	changed = p.mergeSmall() || changed
	if !changed {
		return assignments, false
	}
	p.mergeAdjacent()
	return p.assignments, true
}

func newPlanner(assignments []Assignment, targets []Target, rates Rates) *planner {
	p := &planner{assignments: slices.Clone(assignments), targets: slices.Clone(targets), width: Keys / max(1, len(rates))}
	slices.SortFunc(p.targets, func(a, b Target) int { return cmp.Compare(a.Server, b.Server) })
	p.indexes = make(map[ident.Server]int, len(p.targets))
	for i, t := range p.targets {
		p.indexes[t.Server] = i
		if t.Unproven && (t.Limit == 0 || t.Limit > probationRate) {
			p.targets[i].Limit = probationRate
		}
	}
	p.computeLoad(rates)
	return p
}

// initial returns the first assignment of all keys: to each server as many as its share of the capacity.
func (p *planner) initial() []Assignment {
	n := len(p.targets) * min(initialRangesPerServer, max(1, maxInitialRanges/len(p.targets)))
	bounds := p.initialBounds(n)
	var l []Assignment
	for i := range n {
		if bounds[i+1] == bounds[i] {
			continue
		}
		l = append(l, Assignment{Range: Range{First: key(bounds[i]), Last: key(bounds[i+1] - 1)}, Owner: p.targets[i%len(p.targets)].Incarnation})
	}
	return l
}

// initialBounds returns the first keys of n ranges, which go to the targets in turn, and the number of all keys.
func (p *planner) initialBounds(n int) []int {
	bounds := make([]int, n+1)
	capacities := make([]float64, len(p.targets))
	total := 0.0
	for i := range p.targets {
		capacities[i] = 1
		if p.targets[i].ServiceTime > 0 {
			capacities[i] = p.meanServiceTime / p.serviceTimes[i]
		}
		total += capacities[i]
	}
	total *= float64(n / len(p.targets))
	sum := 0.0
	for i := range n {
		bounds[i] = int(sum / total * Keys)
		sum += capacities[i%len(capacities)]
	}
	bounds[n] = Keys
	return bounds
}

// minKeyRate is added to the rate of each key, so that a range without requests still has a cost.
const minKeyRate = 1e-5

// computeLoad computes the prefix sums of the rates and the load and service time of each target.
func (p *planner) computeLoad(rates Rates) {
	p.prefixSums = make([]float64, len(rates)+1)
	for i, r := range rates {
		p.prefixSums[i+1] = p.prefixSums[i] + r
	}
	known, n := 0.0, 0.0
	for _, t := range p.targets {
		if t.ServiceTime > 0 {
			known, n = known+t.ServiceTime.Seconds(), n+1
		}
	}
	p.meanServiceTime = DefaultServiceTime.Seconds()
	if n > 0 {
		p.meanServiceTime = known / n
	}
	p.load, p.serviceTimes = make([]float64, len(p.targets)), make([]float64, len(p.targets))
	for i, t := range p.targets {
		p.serviceTimes[i] = p.meanServiceTime
		if t.ServiceTime > 0 {
			p.serviceTimes[i] = t.ServiceTime.Seconds()
		}
		if t.Cold {
			p.serviceTimes[i] *= coldFactor
		}
	}
	for _, x := range p.assignments {
		if i := p.index(x.Owner); i >= 0 {
			p.load[i] += p.rate(x.Range)
		}
	}
}

// index returns the index of the target with the server of an incarnation, or -1.
func (p *planner) index(l Incarnation) int {
	if i, ok := p.indexes[l.Server]; ok {
		return i
	}
	return -1
}

// rate estimates the requests per second for a range, as if requests were spread evenly within a bucket.
func (p *planner) rate(r Range) float64 {
	return p.rateBelow(int(r.Last)+1) - p.rateBelow(int(r.First)) + minKeyRate*float64(r.Len())
}

// rateBelow returns the requests per second for all keys below k.
func (p *planner) rateBelow(k int) float64 {
	b := k / p.width
	if b+1 >= len(p.prefixSums) {
		return p.prefixSums[len(p.prefixSums)-1]
	}
	return p.prefixSums[b] + (p.prefixSums[b+1]-p.prefixSums[b])*float64(k%p.width)/float64(p.width)
}

// latency returns the delay of requests at target i under a load, in seconds weighted by their effect on callers.
//
// Requests queue for the free slots, and at utilisations above saturation the queue only grows. Callers notice the
// requests that reach a server during interference on its host. On a slow server these are delayed by more than its
// service time, so the service time counts squared.
func (p *planner) latency(i int, load float64) float64 {
	used := p.utilisation(i, load)
	q := used / (1 - min(saturation, used))
	return p.serviceTimes[i] * p.serviceTimes[i] / p.meanServiceTime * (1 + q*q/2)
}

// utilisation returns the fraction of the target's slots that the load occupies, or of its limit if that is more.
func (p *planner) utilisation(i int, load float64) float64 {
	used := load * p.serviceTimes[i] * choice.MeanInterference / float64(max(1, p.targets[i].Slots))
	if l := p.targets[i].Limit; l > 0 {
		used = max(used, load/l)
	}
	return used
}

// saturation is the utilisation of a server's slots above which its queue only grows.
const saturation = 0.9

// cost returns the latency at the target summed over all requests of one second.
func (p *planner) cost(i int, load float64) float64 {
	return load * p.latency(i, load)
}

// evacuate moves the ranges whose owner is not a target, in descending order of rate.
func (p *planner) evacuate() bool {
	var l []int
	for i, x := range p.assignments {
		// A range that is still moving stays until the move is complete, because the row can record only one previous
		// owner.
		if p.index(x.Owner) < 0 && x.Previous == (Incarnation{}) {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b int) int {
		return cmp.Compare(p.rate(p.assignments[b].Range), p.rate(p.assignments[a].Range))
	})
	for _, i := range l {
		p.assign(i, p.fastest(p.rate(p.assignments[i].Range)))
	}
	return len(l) > 0
}

// assign moves a range to a target.
func (p *planner) assign(i, to int) {
	x := &p.assignments[i]
	r := p.rate(x.Range)
	if from := p.index(x.Owner); from >= 0 {
		p.load[from] -= r
	}
	x.Previous, x.Owner = x.Owner, p.targets[to].Incarnation
	p.load[to] += r
}

// fastest returns the target with the lowest latency after adding a load in requests per second.
func (p *planner) fastest(more float64) int {
	best := 0
	for i := range p.load {
		if p.latency(i, p.load[i]+more) < p.latency(best, p.load[best]+more) {
			best = i
		}
	}
	return best
}

// maxMergeKeys bounds the ranges that are moved only to reduce the number of ranges.
const maxMergeKeys = Keys / 400

// softRangeLimit is the number of ranges from which none is split for balance alone and small ones are merged. The
// rest, up to hardRangeLimit, is kept for overloaded servers: new hot keys need dozens of servers within a second or
// two.
func (p *planner) softRangeLimit() int {
	n := max(maxInitialRanges, len(p.targets))
	return n + n/4
}

// hardRangeLimit is the maximum number of ranges. Each costs an order per renewal. With too many, the coordinator sends
// renewals too late and their keys expire.
func (p *planner) hardRangeLimit() int {
	n := max(maxInitialRanges, min(rangesPerServer*len(p.targets), largeServiceRanges), len(p.targets))
	return n + n/4
}

// overloaded reports whether the target gets more load than its slots can serve or its limit allows.
func (p *planner) overloaded(i int) bool {
	if l := p.targets[i].Limit; l > 0 && p.load[i] > l {
		return true
	}
	return p.load[i]*p.serviceTimes[i] > saturation*float64(max(1, p.targets[i].Slots))
}

// mergeSmall moves small ranges with few requests to the owner of a neighbour while there are too many ranges.
func (p *planner) mergeSmall() bool {
	changed := false
	for i := 1; i < len(p.assignments) && len(p.assignments) > p.softRangeLimit(); i++ {
		x, y := &p.assignments[i-1], &p.assignments[i]
		if x.Previous != (Incarnation{}) || y.Previous != (Incarnation{}) || x.Owner == y.Owner {
			continue
		}
		small, other := i-1, i
		if p.rate(y.Range) < p.rate(x.Range) {
			small, other = i, i-1
		}
		to := p.index(p.assignments[other].Owner)
		if r := p.assignments[small].Range; to >= 0 && r.Len() <= maxMergeKeys && p.rate(r) < minRate {
			p.assign(small, to)
			changed = true
			i++ // move at most one of each pair of neighbours at a time
		}
	}
	return changed
}

// mergeAdjacent merges neighbouring ranges of one owner that are not moving, so that moves do not fragment the keys
// ever further.
func (p *planner) mergeAdjacent() {
	l := p.assignments[:0]
	for _, x := range p.assignments {
		if n := len(l); n > 0 && l[n-1].Owner == x.Owner && l[n-1].Previous == (Incarnation{}) && x.Previous == (Incarnation{}) {
			l[n-1].Last = x.Last
			continue
		}
		l = append(l, x)
	}
	p.assignments = l
}
