// Package shares decides what share of the callers' requests is sent when servers have too little capacity for all of them, which
// requests these are, and when refused callers are told to return.
//
// The coordinator bounds the rate, as it alone knows what all daemons send. Every daemon divides the share by priority in the same
// way, so that no daemon sends less urgent requests while another refuses urgent ones.
package shares

import (
	"math"
	"time"

	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
)

const (
	// Interval is the time between two steps of a Controller.
	Interval = 500 * time.Millisecond

	// minInFlight and maxInFlight bound the requests in flight, as a multiple of the slots. With fewer, slots are idle while requests
	// are on their way. With more, servers with a queue of four times their slots are full.
	minInFlight = 1.25
	maxInFlight = 3

	// latencyUse is the part of the target latency that requests may take on average: service times vary, and servers are loaded
	// unevenly.
	latencyUse = 0.8

	// maxFull is the fraction of the requests sent that may find no capacity, and minFull the least rate of them that counts, in
	// requests per second: a lower one is of a single request.
	maxFull = 0.05
	minFull = 1.0

	// fullOccupancy is the least fraction of the slots in use at which requests without capacity count. Below it, there is capacity
	// for them elsewhere.
	fullOccupancy = 0.75

	// fall is the bound after an overload, as a fraction of what was served, and maxFall the least, while long queues drain.
	fall    = 0.9
	maxFall = 0.6

	// rise is the largest increase of the bound in one step, and lead the largest excess over the capacity while all slots are taken.
	// Samples show the effect of a higher bound after up to 3 s; without the limit, it would have risen by three quarters by then.
	rise = 1.1
	lead = 1.25

	// minServed is the least rate that counts as served, as a fraction of what the slots serve at the usual service time. It keeps the
	// bound from following a server down that is slow for a moment.
	minServed = 0.25

	// minReporting is the least fraction of the responses that is taken to report the server's load.
	minReporting = 0.5

	// capacityDecay is the decrease of the assumed capacity in one step in which less was served.
	capacityDecay = 0.95

	// severe is the excess of the requests in flight over their bound from which one sample is enough for the first bound.
	severe = 1.5

	// releaseTime is how long nothing must be held back before the bound ends.
	releaseTime = 2 * time.Second

	// confirmSteps is the number of samples before the first bound: the first ones after a change of the coordinator are incomplete.
	confirmSteps = 2

	// smoothing is the weight of one sample in the mean of what was served.
	smoothing = 0.4
)

// Need is what callers need of a service.
type Need struct {
	TargetLatency time.Duration // 0 if unknown
	ServiceTime   time.Duration // mean time that a request occupies a slot; 0 if unknown
}

// maxInFlight returns the requests in flight at which callers are still answered in time.
func (n Need) maxInFlight(slots int) float64 {
	x := float64(maxInFlight)
	if n.TargetLatency > 0 && n.ServiceTime > 0 {
		x = latencyUse * n.TargetLatency.Seconds() / n.ServiceTime.Seconds()
	}
	return float64(slots) * min(maxInFlight, max(minInFlight, x))
}

// Controller bounds the rate of requests to one server, or to all servers of one service, by the load that they report. It starts
// without a bound. The zero value is ready for use.
type Controller struct {
	rate      float64   // requests per second that should be sent; 0 for no bound
	boundedAt mono.Time // when the bound began
	heldAt    mono.Time // when requests were last held back

	overloaded bool      // whether the last sample showed an overload
	samples    int       // taken since the start
	at         mono.Time // newest observation in the last sample
	steppedAt  mono.Time
	inFlight   float64 // in the last sample
	served     float64 // mean of the requests per second that were served
	capacity   float64 // requests per second that were served when there last were enough
	excess     excess
	arrivals   trend
}

// Bounded returns since when there is a bound; false if there is none.
func (c *Controller) Bounded() (since mono.Time, ok bool) { return c.boundedAt, c.rate > 0 }

// Settled reports whether the controller has seen enough to set a bound, whatever the load.
func (c *Controller) Settled() bool { return c.samples >= confirmSteps+2 }

// Rate returns the requests per second to which daemons should apply their shares; 0 for no bound.
func (c *Controller) Rate() float64 {
	if c.rate == 0 {
		return 0
	}
	return c.rate / c.correction()
}

// correction is the ratio of the rate at which servers receive requests to the one to which daemons apply their shares.
func (c *Controller) correction() float64 { return c.excess.factor * c.arrivals.ratio() }

// Share returns the fraction of the requests that daemons should send, given their rate; 0 for all.
func (c *Controller) Share(arrivals float64) float64 {
	r := c.Rate()
	if r == 0 || arrivals <= r {
		return 0
	}
	return r / arrivals
}

// Step updates the bound with a sample. One without newer observations than the last can only end it.
func (c *Controller) Step(now mono.Time, s loads.Sample, n Need) {
	if s.At <= c.at || s.Slots == 0 {
		c.release(now, s)
		return
	}
	c.observe(now, s, n)
	if c.samples++; c.samples <= confirmSteps {
		return
	}
	bound := n.maxInFlight(s.Slots)
	over, before := overloaded(s, bound), c.overloaded
	c.overloaded = over
	switch {
	case over && c.rate == 0 && !before && s.InFlight < severe*bound:
		return // a short random peak, or a server that is slow for a moment
	case over:
		c.lower(now, s, bound)
	case c.rate > 0:
		c.raise(s, bound)
	}
	c.release(now, s)
	c.excess.applied(c.Share(s.Arrivals))
}

// overloaded reports whether more requests are in flight than callers can wait for, or too many found no capacity.
func overloaded(s loads.Sample, bound float64) bool {
	if s.Reports > 0 && s.InFlight > bound {
		return true
	}
	return s.Full > max(minFull, maxFull*s.Sent) && (s.Reports == 0 || s.InFlight > fullOccupancy*float64(s.Slots))
}

// observe updates what was served and what was sent in excess of the bound.
func (c *Controller) observe(now mono.Time, s loads.Sample, n Need) {
	served, growth := max(0, s.Sent-s.Full), 0.0
	if c.samples > 0 && s.Reports > 0 {
		growth = (s.InFlight - c.inFlight) / now.Sub(c.steppedAt).Seconds()
	}
	if s.Reports > 0 {
		served = max(served*minReporting, min(served, s.Reports)) // not all resets by full servers are known as such
	}
	if n.ServiceTime > 0 {
		served = max(served, minServed*float64(s.Slots)/n.ServiceTime.Seconds())
	}
	if c.samples == 0 {
		c.served = served
	}
	c.served += (served - c.served) * smoothing
	c.at, c.steppedAt, c.inFlight = s.At, now, s.InFlight
	c.arrivals.add(s.Arrivals)
	if c.rate > 0 {
		c.excess.observe(s.Sent+growth, s.Arrivals)
	}
}

// lower sets the bound below what was served, the more the longer the queues are.
func (c *Controller) lower(now mono.Time, s loads.Sample, bound float64) {
	if c.rate == 0 {
		c.boundedAt, c.heldAt = now, now
		c.excess = excess{factor: firstExcess}
	}
	c.capacity = c.served
	c.rate = c.served * min(fall, max(maxFall, 1-(lead-1)*(s.InFlight/bound-1)))
}

// raise increases the bound, the less the closer the requests in flight are to theirs. While all slots are taken, what was served is
// what can be served; otherwise the free slots can serve more. While many are free, the share rises with each step, whatever the bound: it
// is late by the time in which the arrivals that it was computed from were counted.
func (c *Controller) raise(s loads.Sample, bound float64) {
	c.capacity = max(c.served, capacityDecay*c.capacity)
	if s.InFlight <= float64(s.Slots) {
		free := max(lead, float64(s.Slots)/max(1, s.InFlight))
		c.rate = max(c.rate, min(c.rate*rise, c.served*free))
		if share := c.excess.shares[0]; share > 0 && s.InFlight <= fullOccupancy*float64(s.Slots) {
			c.rate = max(c.rate, min(1, share*rise)*s.Arrivals*c.correction())
		}
		return
	}
	c.rate = min(c.rate*rise, c.capacity*(1+(lead-1)*max(0, 1-s.InFlight/bound)))
}

// release ends the bound when nothing was held back for a while.
func (c *Controller) release(now mono.Time, s loads.Sample) {
	if c.rate == 0 {
		return
	}
	if s.Arrivals > c.Rate() {
		c.heldAt = now
	}
	if now.Sub(c.heldAt) >= releaseTime {
		c.rate, c.boundedAt = 0, 0
	}
}

const (
	// firstExcess is the excess that is assumed first, as the callers refused return soon, and maxExcess the highest that is
	// corrected.
	firstExcess = 1.4
	maxExcess   = 3

	// excessSmoothing is the weight of one sample in the excess.
	excessSmoothing = 0.4

	// A sample shows the effect of shares that were decided between effectFrom and effectUntil steps before.
	effectFrom  = 3
	effectUntil = 6
)

// excess tracks how much more is sent than the share in force allows: callers that return are preferred, and daemons send some
// requests again. The bound is corrected for it.
type excess struct {
	factor float64
	shares [effectUntil]float64 // the latest first; 0 for all requests
}

func (e *excess) applied(share float64) {
	copy(e.shares[1:], e.shares[:])
	e.shares[0] = share
}

// observe takes the requests per second that were sent to servers, and the callers'.
func (e *excess) observe(sent, arrivals float64) {
	sum := 0.0
	for _, x := range e.shares[effectFrom-1:] {
		if x == 0 {
			return
		}
		sum += x
	}
	share := sum / (effectUntil - effectFrom + 1)
	if arrivals > 0 {
		x := min(maxExcess, max(1, sent/(share*arrivals)))
		e.factor += (x - e.factor) * excessSmoothing
	}
}

const (
	// trendSteps is the number of steps over which the change of the arrivals is measured.
	trendSteps = 2

	// horizon is the time from the arrivals that a share was computed from until daemons apply it.
	horizon = 1200 * time.Millisecond

	// countDeviation is the standard deviation of a rate of 1 per second, which decays by half in 0.8 s.
	countDeviation = 0.66

	// maxChange bounds the expected change of the arrivals, as a fraction.
	maxChange = 0.4

	// randomDeviations is the number of standard deviations of the rate that don't count as a change.
	randomDeviations = 2
)

// trend extrapolates the rate of arrivals to the time when daemons apply a share.
type trend [trendSteps + 1]float64 // requests per second by step, the latest first

func (t *trend) add(rate float64) {
	copy(t[1:], t[:])
	t[0] = rate
}

// ratio returns the expected rate as a multiple of the latest.
func (t *trend) ratio() float64 {
	now, before := t[0], t[trendSteps]
	if now == 0 || before == 0 {
		return 1
	}
	change, random := now-before, randomDeviations*countDeviation*math.Sqrt(now)
	if math.Abs(change) <= random {
		return 1
	}
	change -= math.Copysign(random, change)
	x := change / now * horizon.Seconds() / (trendSteps * Interval.Seconds())
	return 1 + min(maxChange, max(-maxChange, x))
}
