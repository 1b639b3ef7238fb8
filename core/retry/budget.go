package retry

import (
	"time"

	"heatherrouter/core/mono"
)

const (
	defaultRatio   = 0.1 // tokens per request
	defaultMinRate = 2   // tokens per second
	defaultBurst   = 20  // tokens
)

// Budget limits the sends beyond the first of each request to a share of the request rate. There is one for
// each service at each entry daemon.
//
// Without it, each failed server would multiply its callers' requests, overload the remaining servers and take
// them down in turn. Tokens come from requests, not from time, so retries can't exceed their share of the
// traffic. The minimum rate allows a service with almost no traffic to retry.
type Budget struct {
	ratio     float64 // tokens per request
	minRate   float64 // tokens per second
	burst     float64
	tokens    float64
	updatedAt mono.Time
}

// NewBudget returns a budget with the default ratio, minimum rate and burst. It starts with one token.
func NewBudget(now mono.Time) *Budget {
	return &Budget{ratio: defaultRatio, minRate: defaultMinRate, burst: defaultBurst, tokens: 1, updatedAt: now}
}

// RecordRequest adds the tokens for one request of a caller.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Take takes a token for one send beyond the first, or returns false if none is left.
func (b *Budget) Take(now mono.Time) bool {
	if d := now.Sub(b.updatedAt); d > 0 {
		// The minimum rate fills at most one token: more would accumulate while idle and allow a burst.
		if b.tokens < 1 {
			b.tokens = min(b.tokens+b.minRate*d.Seconds(), 1)
		}
		b.updatedAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of tokens left.
func (b *Budget) Available() float64 {
	return b.tokens
}

const (
	hedgeQuantile = 0.95
	quantileStep  = 0.05
	minHedgeDelay = 2 * time.Millisecond

	// sameServerFactor lengthens the delay of hedges to the server that already has the request. They help only
	// if its connection is unresponsive, and each takes one of the server's few slots.
	sameServerFactor = 4
)

// HedgeDelay estimates the 95th percentile of a kind's response time in constant memory.
type HedgeDelay struct {
	p95 float64 // nanoseconds; 0 before the first answer
}

// Observe adds the response time of one send.
//
// Sends that were cancelled because another one answered first must be observed too, with the time until they
// were cancelled. Without these slow sends the estimate, and so the delay of all hedges, would be too low.
func (d *HedgeDelay) Observe(t time.Duration) {
	x := max(float64(t), 1)
	switch {
	case d.p95 == 0:
		d.p95 = 2 * x
	case x > d.p95:
		d.p95 *= 1 + quantileStep*hedgeQuantile
	default:
		d.p95 *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// Delay returns how long to wait for an answer before a hedge, or false before the first observation.
// Set otherServer if the hedge can go to a server that doesn't have the request.
func (d *HedgeDelay) Delay(otherServer bool) (time.Duration, bool) {
	if d.p95 == 0 {
		return 0, false
	}
	t := time.Duration(d.p95)
	if !otherServer {
		t *= sameServerFactor
	}
	return max(t, minHedgeDelay), true
}

// WaitSlots limits the requests at one entry daemon that may wait or are never dropped. In an outage, their
// number would otherwise use up the memory, and then the servers' first free slots, at the expense of other
// requests. A request acquires its slot before it is accepted: without a slot it is refused at once, and
// accepted requests are never refused to make room.
type WaitSlots struct {
	limit int
	used  int
}

// NewWaitSlots returns limit free slots.
func NewWaitSlots(limit int) *WaitSlots {
	return &WaitSlots{limit: limit}
}

// InUse returns the number of acquired slots.
func (w *WaitSlots) InUse() int {
	return w.used
}

func (w *WaitSlots) acquire() bool {
	if w.used >= w.limit {
		return false
	}
	w.used++
	return true
}
