// Package choice selects the backend server of a service that a request is sent to.
package choice

import (
	"math"
	"time"

	"heatherrouter/core/mono"
)

// Load is one daemon's view of the load of one backend server. Daemons choose servers independently. Each uses the
// server's report for the requests of other daemons and its own count for the requests that it has sent since.
type Load struct {
	Slots         int
	OwnInFlight   int       // requests of this daemon that are not answered yet
	OtherInFlight int       // requests of other daemons at the server, by its last report
	Slowdown      float64   // current service time divided by the usual one, by the last report
	BaseSlowdown  float64   // lowest Slowdown reported, which is the one without interference; 0 is unknown
	ReportedAt    mono.Time // time of the last report; 0 before the first

	// Shared is what other daemons have observed of the server. It is used instead of a report that this daemon doesn't have, or
	// that is too old to count.
	Shared Shared

	// AvoidUntil is the time until which a server that failed is used only if all others fail too.
	AvoidUntil mono.Time
	failures   int // consecutive failures
}

// Shared is what all daemons together know of a server.
type Shared struct {
	Slowdown float64 // without interference; 0 is unknown
	InFlight float64 // requests at the server; 0 if it has free slots or that is unknown
}

// maxAvoid bounds the time for which a server is avoided after consecutive failures.
const maxAvoid = 3 * time.Second

// RecordFailure avoids the server for d, doubled with each consecutive failure. A server that refuses all requests
// looks idle. It would otherwise attract most requests and use up the retry budget.
func (l *Load) RecordFailure(now mono.Time, d time.Duration) {
	d <<= min(l.failures, 10)
	l.failures++
	l.AvoidUntil = max(l.AvoidUntil, now.Add(min(d, maxAvoid)))
}

// RecordSuccess ends the avoidance after a request that the server has answered.
func (l *Load) RecordSuccess() {
	l.failures, l.AvoidUntil = 0, 0
}

const (
	// slowdownLifetime is the age at which a reported slowdown loses all weight. Interference by other processes on
	// the server's host changes within this time.
	slowdownLifetime = 400 * time.Millisecond

	// inFlightLifetime is the age at which a reported count of requests loses all weight. A queue that persists is one
	// to which requests are still being added.
	inFlightLifetime = time.Second

	// MeanInterference is the mean factor by which other processes on its host slow a server down.
	MeanInterference = 1.4

	// MeanToMedian is the ratio of the mean service time to the median, which is what daemons measure. The mean is higher
	// because a few requests are much longer.
	MeanToMedian = 1.3

	// defaultServiceTime is used until the first answer.
	defaultServiceTime = 200 * time.Millisecond

	// baselineTolerance is the ratio within which a reported slowdown still equals the baseline.
	baselineTolerance = 1.05
)

// ApplyReport records the load that a server has reported.
func (l *Load) ApplyReport(now mono.Time, running, waiting int, slowdown float64) {
	l.OtherInFlight, l.Slowdown, l.ReportedAt = max(0, running+waiting-l.OwnInFlight), slowdown, now
	if l.BaseSlowdown == 0 || slowdown < l.BaseSlowdown {
		l.BaseSlowdown = slowdown
	}
}

// HasReport reports whether the server has reported its load so recently that the report still counts.
func (l *Load) HasReport(now mono.Time) bool {
	return l.ReportedAt > 0 && now.Sub(l.ReportedAt) < inFlightLifetime
}

// usesShared reports whether the expected latency rests on what other daemons have observed.
func (l *Load) usesShared(now mono.Time) bool { return l.Shared.Slowdown > 0 && !l.HasReport(now) }

// AtBaseline reports whether the server had no interference at its last report.
func (l *Load) AtBaseline() bool {
	return l.BaseSlowdown > 0 && l.Slowdown <= l.BaseSlowdown*baselineTolerance
}

// ExpectedLatency returns the expected time of a request that is sent to the server now. The serviceTime is that of
// such requests at a server with slowdown 1.
func (l *Load) ExpectedLatency(now mono.Time, serviceTime time.Duration) time.Duration {
	base := l.BaseSlowdown
	if l.usesShared(now) {
		base = l.Shared.Slowdown
	}
	if base == 0 {
		base = 1
	}
	slowdown := base * MeanInterference
	if l.ReportedAt > 0 {
		slowdown += (l.Slowdown - slowdown) * reportWeight(now.Sub(l.ReportedAt), slowdownLifetime)
	}
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	inFlight := l.inFlight(now) + 1
	slots := float64(max(1, l.Slots))
	wait := 0.0
	if inFlight > slots {
		wait = (inFlight - slots) / slots
	}
	// With free slots, sharing a server still costs a little, which spreads requests over idle servers.
	return time.Duration(float64(serviceTime) * slowdown * (1 + wait + sharingWeight*min(inFlight, slots)/slots))
}

// reportWeight returns the weight of a report of the given age, between 0 and 1.
func reportWeight(age, lifetime time.Duration) float64 {
	return max(0, 1-float64(age)/float64(lifetime))
}

// Full reports whether a request sent now would find all slots taken and one request waiting for each. Another request
// would then only lengthen the wait of all.
func (l *Load) Full(now mono.Time) bool {
	return l.inFlight(now) >= 2*float64(max(1, l.Slots))
}

// inFlight returns the estimated number of requests at the server. Those of other daemons are weighted by the age of
// the last report.
func (l *Load) inFlight(now mono.Time) float64 {
	if !l.HasReport(now) {
		return float64(l.OwnInFlight) + l.Shared.InFlight
	}
	return float64(l.OwnInFlight) + float64(l.OtherInFlight)*reportWeight(now.Sub(l.ReportedAt), inFlightLifetime)
}

// sharingWeight is the cost of a server whose slots are all taken, as a fraction of the service time.
const sharingWeight = 0.25

// Quantile estimates a quantile of a stream of values in constant memory. Some requests wait in a queue that the
// daemon does not see, and a few take much longer than others. These distort a mean; the lower half of the values
// shows the usual time.
type Quantile struct {
	P        float64 // the quantile to estimate, between 0 and 1
	Estimate float64 // 0 before the first value
	n        float64
}

const (
	// ServiceTimeQuantile is the quantile of request times, each divided by its server's slowdown, that is used as the
	// service time of a service.
	ServiceTimeQuantile = 0.5

	// SampleUnit is the unit in which daemons exchange samples of service times.
	SampleUnit = 100 * time.Microsecond

	// minStep is the relative change of the estimate by one value in the long run. The step starts at firstStep, since
	// the first value may be far off.
	minStep   = 0.03
	firstStep = 0.3
)

// Add updates the estimate with one value.
func (q *Quantile) Add(x float64) {
	q.n++
	step := max(minStep, firstStep/q.n)
	switch {
	case q.Estimate == 0:
		q.Estimate = x
	case x > q.Estimate:
		q.Estimate *= 1 + step*q.P
	default:
		q.Estimate *= 1 - step*(1-q.P)
	}
}

// Candidate is a server that the request may be sent to.
type Candidate struct {
	Load     *Load
	Tried    bool // the request has already been sent to it
	Local    bool // it is in the daemon's own failure domain
	InSubset bool // it is in this daemon's subset of the servers
	Cold     bool // the server is still warming up

	ConnectCost time.Duration // as ConnectCost if the request would need a new connection; 0 if one is open
}

// Pick returns the index of the candidate with the shortest expected time, or false if all have been tried. Of a large
// service it compares the daemon's subset and a few random servers, so that daemons do not all send to the server that
// looks idle. A random server, of which little is known, wins when the subset is busy, slow or failing.
func Pick(now mono.Time, l []Candidate, serviceTime, localityBonus time.Duration, draw func(n int) int) (int, bool) {
	best, shortest := -1, time.Duration(0)
	consider := func(i int) {
		c := &l[i]
		if c.Tried {
			return
		}
		d := c.Load.ExpectedLatency(now, serviceTime)
		if c.Load.usesShared(now) {
			d = time.Duration(float64(d) * sharedFactor(draw))
		}
		d += c.ConnectCost
		if !c.Local {
			d += localityBonus
		}
		if now.Before(c.Load.AvoidUntil) {
			d += avoidPenalty
		}
		if best < 0 || d < shortest {
			best, shortest = i, d
		}
	}
	if len(l) <= maxCompareAll {
		first := 0
		if len(l) > 0 {
			first = draw(len(l))
		}
		for i := range l {
			consider((first + i) % len(l))
		}
		return best, best >= 0
	}
	local := make([]int, 0, len(l))
	for i := range l {
		if l[i].Local {
			local = append(local, i)
		}
		if l[i].InSubset {
			consider(i)
		}
	}
	for range min(randomCandidates, len(local)) {
		consider(local[draw(len(local))])
	}
	for range randomCandidates {
		consider(draw(len(l)))
	}
	for i := 0; best < 0 && i < len(l); i++ {
		consider(i)
	}
	return best, best >= 0
}

// sharedFactor returns a random factor for the expected latency at a server that this daemon knows only from others.
//
// All daemons have the same knowledge, seconds old. If each chose the shortest latency, all would send to the same servers at once.
// With a factor of this distribution, servers are chosen in proportion to the power sharedPower of their speed.
func sharedFactor(draw func(n int) int) float64 {
	const steps = 1 << 20
	u := (float64(draw(steps)) + 0.5) / steps
	return sharedCaution * math.Pow(-math.Log(u), 1/sharedPower)
}

const (
	// sharedPower decides how much faster servers are preferred. At 300 daemons, higher powers overload the fast servers; lower ones
	// send more requests to slow servers.
	sharedPower = 3.0

	// sharedCaution is the factor by which a server that this daemon has a recent report of is preferred.
	sharedCaution = 2.0
)

const (
	// randomCandidates is the number of servers drawn from all, and again from the local ones, in addition to the
	// subset. Little is known of them, and with more of them the choice would rest on missing information.
	randomCandidates = 1

	// maxCompareAll is the number of candidates up to which all are compared.
	maxCompareAll = 4

	// avoidPenalty is added to the expected time of a server that is being avoided, so that it is chosen last.
	avoidPenalty = time.Minute
)
