package admit

import (
	"time"

	"heatherrouter/core/mono"
)

// step is one step of the cold start: how many slots are open, and which share of the time they may be busy.
// The next step requires both the responses and the time: responses alone would complete the steps within
// moments on cheap requests, time alone would open slots without evidence.
type step struct {
	slots     int
	duty      float64
	responses int
	time      time.Duration
}

const (
	rateLimitedResponses = 4
	rateLimitedTime      = 150 * time.Millisecond
	slotResponses        = 32
	slotTime             = time.Second

	// Refusals and resets add 1 to a score that each response lowers by responseCredit. Up to one in nine is noise;
	// more goes back a step, and a burst is treated as a cold restart.
	responseCredit = 0.125
	stepBackScore  = 2
	burst          = 3

	// The warm-up time of a server is unknown. Each collapse during the ramp, or soon after it, doubles what a step
	// requires, up to maxBackoff times, so that the same collapse doesn't recur.
	maxBackoff = 16

	// stableAfter is how long a server must carry its full load before the backoff is halved.
	stableAfter = time.Minute

	maxGap = 500 * time.Millisecond // between the starts of a rate-limited step
)

// ramp opens a server's slots one by one, each after enough successful responses.
//
// A server that has just started carries little load and collapses under full load. It then restarts, and without
// a ramp would be overloaded again. With few slots, even one busy slot can be too much, so the first steps
// limit the rate of that slot too.
type ramp struct {
	steps     []step
	at        int // index of the step
	proven    int // successful responses at this step
	since     mono.Time
	backoff   int
	nextStart mono.Time // earliest time of the next start
	score     float64
}

func newRamp(now mono.Time, slots int) ramp {
	r := ramp{since: now, backoff: 1}
	for _, d := range []float64{0.15, 0.35, 0.7} {
		r.steps = append(r.steps, step{1, d, rateLimitedResponses, rateLimitedTime})
	}
	for i := 1; i <= slots; i++ {
		r.steps = append(r.steps, step{i, 1, slotResponses, slotTime})
	}
	return r
}

func (r *ramp) open() int { return r.steps[r.at].slots }

func (r *ramp) rateLimited() bool { return r.steps[r.at].duty < 1 }

func (r *ramp) full() bool { return r.at == len(r.steps)-1 }

func (r *ramp) restart(now mono.Time) {
	if r.at > 0 && (!r.full() || now.Sub(r.since) < stableAfter) {
		r.backoff = min(2*r.backoff, maxBackoff)
	}
	r.at, r.proven, r.since = 0, 0, now
	r.score = 0
}

// resume restarts the ramp of a server that was drained, without more backoff: it didn't collapse. A server known to be
// in the same incarnation starts with a whole slot, since the rate of a cold start would refuse nearly all of the keys
// that return by a planned change. A restart meanwhile shows by a new incarnation and restarts the ramp.
func (r *ramp) resume(now mono.Time, sameIncarnation bool) {
	r.at, r.proven, r.since, r.score = 0, 0, now, 0
	if sameIncarnation {
		r.jump(now, 1)
	}
}

// jump goes to the step of a number of slots that is already proven.
func (r *ramp) jump(now mono.Time, slots int) {
	for r.open() < slots && !r.full() {
		r.at++
	}
	for r.rateLimited() {
		r.at++
	}
	r.proven, r.since, r.nextStart = 0, now, now
}

// started sets the earliest time of the next start at a rate-limited step.
func (r *ramp) started(now mono.Time, service time.Duration) {
	if !r.rateLimited() {
		r.nextStart = now
		return
	}
	r.nextStart = now.Add(min(time.Duration(float64(service)/r.steps[r.at].duty), maxGap))
}

// answered counts a successful response. A response to work that was started at an earlier step is no evidence
// for this one.
func (r *ramp) answered(now, started mono.Time) {
	r.score = max(r.score-responseCredit, 0)
	if started.Before(r.since) {
		return
	}
	if r.full() {
		if r.backoff > 1 && now.Sub(r.since) >= stableAfter {
			r.backoff, r.since = r.backoff/2, now
		}
		return
	}
	r.proven++
	s := r.steps[r.at]
	if r.proven >= s.responses*r.backoff && now.Sub(r.since) >= s.time*time.Duration(r.backoff) {
		r.at++
		r.proven, r.since = 0, now
	}
}

// failed records a refusal or a reset, and reports a burst, after which the ramp must restart. A single
// failure has many causes; a burst while this home keeps to the slots means that the server's capacity has
// dropped.
func (r *ramp) failed(now mono.Time) bool {
	r.score++
	switch {
	case r.score >= burst:
		return true
	case r.score >= stepBackScore:
		r.at = max(r.at-1, 0)
		r.proven, r.since = 0, now
	}
	return false
}
