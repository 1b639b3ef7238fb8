package admit

import (
	"time"

	"heatherrouter/core/mono"
)

// step is one step of the cold start: how many slots are open, and which part of the time they may be busy.
// Both the answers and the time have to pass before the next step: answers alone would race through the
// steps with cheap requests, time alone would open slots that nothing has tried.
type step struct {
	slots   int
	duty    float64
	answers int
	time    time.Duration
}

const (
	paceAnswers = 4
	paceTime    = 150 * time.Millisecond
	slotAnswers = 32
	slotTime    = time.Second

	// Refusals and resets add 1 to a score that each answer lowers by answerCredit. Up to one in nine is noise;
	// more goes back a step, and a burst is taken for a cold restart.
	answerCredit = 0.125
	backScore    = 2
	burst        = 3

	// How long a server stays cold is not known; each fall during the ramp, or soon after it, doubles what a step asks for, up
	// to maxCaution times, so that the same fall doesn't come again and again.
	maxCaution = 16

	// calmAfter is how long a server must carry its full load to halve the caution.
	calmAfter = time.Minute

	maxGap = 500 * time.Millisecond // between the starts of a paced step
)

// ramp opens a server's slots one by one on proven answers.
//
// A server that has just started carries only a little load and falls over under full load; it then starts
// again, and without a ramp would be fed to its next fall. With a few slots only, even one busy slot can be
// too much, so the first steps pace that slot too.
type ramp struct {
	steps   []step
	at      int // step
	proven  int // answers at this step
	since   mono.Time
	caution int
	notFrom mono.Time // no start before this, by the pace
	score   float64
}

func newRamp(now mono.Time, slots int) ramp {
	r := ramp{since: now, caution: 1}
	for _, d := range []float64{0.15, 0.35, 0.7} {
		r.steps = append(r.steps, step{1, d, paceAnswers, paceTime})
	}
	for i := 1; i <= slots; i++ {
		r.steps = append(r.steps, step{i, 1, slotAnswers, slotTime})
	}
	return r
}

func (r *ramp) open() int { return r.steps[r.at].slots }

func (r *ramp) full() bool { return r.at == len(r.steps)-1 }

func (r *ramp) restart(now mono.Time) {
	if r.at > 0 && (!r.full() || now.Sub(r.since) < calmAfter) {
		r.caution = min(2*r.caution, maxCaution)
	}
	r.at, r.proven, r.since = 0, 0, now
	r.score = 0
}

// resume ramps up a server that was drained, with no caution added: it didn't fall. One that is known to be in the same
// incarnation as before starts with a whole slot. The pace of a cold start would refuse nearly all of the keys that come
// back to it by a planned change; a restart meanwhile shows by its new incarnation, and is paced.
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
	for r.steps[r.at].duty < 1 {
		r.at++
	}
	r.proven, r.since, r.notFrom = 0, now, now
}

// started paces the next start.
func (r *ramp) started(now mono.Time, service time.Duration) {
	d := r.steps[r.at].duty
	if d >= 1 {
		r.notFrom = now
		return
	}
	r.notFrom = now.Add(min(time.Duration(float64(service)/d), maxGap))
}

// answered counts a proven answer. An answer to work that was started at an earlier step proves nothing
// about this one.
func (r *ramp) answered(now, started mono.Time) {
	r.score = max(r.score-answerCredit, 0)
	if started.Before(r.since) {
		return
	}
	if r.full() {
		if r.caution > 1 && now.Sub(r.since) >= calmAfter {
			r.caution, r.since = r.caution/2, now
		}
		return
	}
	r.proven++
	s := r.steps[r.at]
	if r.proven >= s.answers*r.caution && now.Sub(r.since) >= s.time*time.Duration(r.caution) {
		r.at++
		r.proven, r.since = 0, now
	}
}

// failed takes in a refusal or a reset, and reports a burst, after which the ramp has to start again. A
// single failure has many causes; a burst while we keep to the slots means that the server carries less
// than it did.
func (r *ramp) failed(now mono.Time) bool {
	r.score++
	switch {
	case r.score >= burst:
		return true
	case r.score >= backScore:
		r.at = max(r.at-1, 0)
		r.proven, r.since = 0, now
	}
	return false
}
