package admit

import (
	"slices"
	"time"

	"heatherrouter/core/mono"
)

// step is one step of the cold start: how many slots are open, and which part of the time they may be busy.
type step struct {
	slots int
	duty  float64
}

const (
	// answersPerStep and stepTime have both to pass before the next step: answers alone would race through
	// the steps with cheap requests, time alone would open slots that nothing has tried.
	answersPerStep = 4
	stepTime       = 150 * time.Millisecond

	// A burst of this many refusals or resets within burstTime is taken for a cold restart.
	burst     = 3
	burstTime = time.Second

	// firstGap paces starts before the first answer tells how long the server takes.
	firstGap = 50 * time.Millisecond
	maxGap   = 500 * time.Millisecond
)

// ramp opens a server's slots one by one on proven answers.
//
// A server that has just started carries only a little load and falls over under full load; it then starts
// again, and without a ramp would be fed to its next fall. With a few slots only, even one busy slot can be
// too much, so the first steps pace that slot too.
type ramp struct {
	steps    []step
	at       int // step
	proven   int // answers at this step
	since    mono.Time
	notFrom  mono.Time // no start before this, by the pace
	failures []mono.Time
}

func newRamp(now mono.Time, slots int) ramp {
	r := ramp{steps: []step{{1, 0.15}, {1, 0.35}, {1, 0.7}}, since: now}
	for i := 1; i <= slots; i++ {
		r.steps = append(r.steps, step{i, 1})
	}
	return r
}

func (r *ramp) open() int { return r.steps[r.at].slots }

func (r *ramp) full() bool { return r.at == len(r.steps)-1 }

func (r *ramp) restart(now mono.Time) {
	r.at, r.proven, r.since = 0, 0, now
	r.failures = r.failures[:0]
}

// started paces the next start.
func (r *ramp) started(now mono.Time, service time.Duration) {
	d := r.steps[r.at].duty
	if d >= 1 {
		r.notFrom = now
		return
	}
	gap := firstGap
	if service > 0 {
		gap = min(time.Duration(float64(service)/d), maxGap)
	}
	r.notFrom = now.Add(gap)
}

// answered counts a proven answer. An answer to work that was started at an earlier step proves nothing
// about this one.
func (r *ramp) answered(now, started mono.Time) {
	if r.full() || started.Before(r.since) {
		return
	}
	r.proven++
	if r.proven >= answersPerStep && now.Sub(r.since) >= stepTime {
		r.at++
		r.proven, r.since = 0, now
	}
}

// failed goes one step back, and to the first after a burst. A single failure has many causes; a burst
// while we keep to the slots means that the server carries less than it did.
func (r *ramp) failed(now mono.Time) {
	r.failures = slices.DeleteFunc(r.failures, func(t mono.Time) bool { return now.Sub(t) >= burstTime })
	r.failures = append(r.failures, now)
	if len(r.failures) >= burst {
		r.restart(now)
		return
	}
	r.at = max(r.at-1, 0)
	r.proven, r.since = 0, now
}
