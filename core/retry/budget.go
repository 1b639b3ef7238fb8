package retry

import (
	"time"

	"heatherrouter/core/mono"
)

const (
	defaultShare = 0.1 // of arrivals
	defaultFloor = 2   // sends a second
	defaultBurst = 20  // sends
)

// Budget bounds the sends beyond the first of each request to a share of real traffic. There is one for
// each service at each entry.
//
// Without it each lost server turns its callers' requests into several, the rest of the servers are overfed
// and lost in turn. Tokens come from arrivals, not from time, so retries can't outgrow the traffic; the
// floor lets a service with next to no traffic retry at all.
type Budget struct {
	share  float64
	floor  float64 // tokens a second
	burst  float64
	tokens float64
	at     mono.Time
}

// NewBudget returns a budget with the default share, floor and burst; it starts empty but for the floor.
func NewBudget(now mono.Time) *Budget {
	return &Budget{share: defaultShare, floor: defaultFloor, burst: defaultBurst, tokens: 1, at: now}
}

// Arrive counts one request of a caller.
func (b *Budget) Arrive() {
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Take pays for one send beyond the first, or reports that there is nothing left.
func (b *Budget) Take(now mono.Time) bool {
	if d := now.Sub(b.at); d > 0 {
		// The floor fills a single token only: stored up over a quiet night it would be a burst.
		if b.tokens < 1 {
			b.tokens = min(b.tokens+b.floor*d.Seconds(), 1)
		}
		b.at = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many sends the budget pays for, for the state dump.
func (b *Budget) Left() float64 {
	return b.tokens
}

const (
	hedgeQuantile = 0.95
	quantileStep  = 0.05
	minHedge      = 2 * time.Millisecond

	// sameServer makes hedges to the server that already has the request rarer: they help only against a
	// connection gone silent, and cost one of its few slots.
	sameServer = 4
)

// Delay follows the 95th percentile of a kind's time to answer, in constant memory.
type Delay struct {
	q float64 // nanoseconds; 0 before the first answer
}

// Observe takes in the time of one answered send.
//
// A send that was cancelled because another answered first must be observed as well, with the time it
// had taken so far: leaving out the slow ones would pull the estimate, and so all hedges, too low.
func (d *Delay) Observe(t time.Duration) {
	x := max(float64(t), 1)
	switch {
	case d.q == 0:
		d.q = 2 * x
	case x > d.q:
		d.q *= 1 + quantileStep*hedgeQuantile
	default:
		d.q *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// Hedge returns how long to wait for an answer before a hedge, or false while nothing is known.
func (d *Delay) Hedge(others bool) (time.Duration, bool) {
	if d.q == 0 {
		return 0, false
	}
	t := time.Duration(d.q)
	if !others {
		t *= sameServer
	}
	return max(t, minHedge), true
}

// Held bounds the requests at one entry that may wait or are never dropped, so that in an outage they leave
// memory and the servers' first free slots to the others. A request takes its place before it is accepted:
// overflow is pushed back to the caller at once, and what is accepted is never refused to make room.
type Held struct {
	limit int
	n     int
}

// NewHeld returns a bound of that many requests.
func NewHeld(limit int) *Held {
	return &Held{limit: limit}
}

// Len returns how many requests have a place.
func (h *Held) Len() int {
	return h.n
}

func (h *Held) take() bool {
	if h.n >= h.limit {
		return false
	}
	h.n++
	return true
}
