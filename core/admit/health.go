package admit

import (
	"math"
	"time"

	"heatherrouter/core/mono"
)

const (
	// probeEvery is the silence after which a probe is due.
	probeEvery = 400 * time.Millisecond

	// A server is down after this many losses in a row without any answer between them.
	downNoDials = 2
	downLosses  = 4
	downProbes  = 2

	// minSilence is the least time an exchange must have had for its timeout to count.
	minSilence = 100 * time.Millisecond

	minProbeWait = 250 * time.Millisecond
	maxProbeWait = time.Second
)

// health finds out whether the server is down, from exchanges and probes of our own.
type health struct {
	down      bool
	noDials   int // in a row
	losses    int // in a row, without an answer
	probes    int // in a row that failed
	heardAt   mono.Time
	probeAt   mono.Time
	probing   bool
	probeWait time.Duration
}

func newHealth(now mono.Time) health {
	return health{heardAt: now, probeAt: now, probeWait: minProbeWait}
}

// answered takes in any whole answer to work. Work is answered only while the server is up, whatever a
// probe said before.
func (h *health) answered(now mono.Time) {
	h.down = false
	h.noDials, h.losses, h.probes = 0, 0, 0
	h.heardAt = now
	h.probeWait = minProbeWait
	if !h.probing {
		h.probeAt = now.Add(probeEvery)
	}
}

// lost takes in an exchange without answer, and reports whether the server went down by it.
func (h *health) lost(now mono.Time, e End) bool {
	h.losses++
	if e == EndNoDial {
		h.noDials++
	}
	if h.noDials >= downNoDials || h.losses >= downLosses {
		return h.fall(now)
	}
	if !h.probing {
		h.probeAt = now // settle the doubt by a probe at once
	}
	return false
}

func (h *health) fall(now mono.Time) bool {
	if h.down {
		return false
	}
	h.down = true
	h.backOff(now)
	return true
}

func (h *health) backOff(now mono.Time) {
	h.probeAt = now.Add(h.probeWait)
	h.probeWait = min(2*h.probeWait, maxProbeWait)
}

// probed takes in the result of a probe, and reports whether it changed the verdict. A probe that succeeds
// only lets the ramp start: health pages mislead, so real answers have to follow. Until one does, its losses
// stand, a single one more takes it down again, and the wait for the next try is not reset; a server that
// only looks alive would else get its callers back each time.
func (h *health) probed(now mono.Time, alive bool) bool {
	h.probing = false
	if alive {
		h.probes, h.noDials = 0, 0
		h.probeAt = now.Add(probeEvery)
		wasDown := h.down
		if wasDown {
			h.down, h.losses = false, downLosses-1
		}
		return wasDown
	}
	h.probes++
	if h.down || h.probes >= downProbes {
		wasDown := h.down
		h.down = true
		h.backOff(now)
		return !wasDown
	}
	h.probeAt = now
	return false
}

// rate is a decaying count of answers a second.
type rate struct {
	n  float64
	at mono.Time
}

const rateWindow = time.Second

func (r *rate) add(now mono.Time) {
	r.decay(now)
	r.n++
}

func (r *rate) decay(now mono.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.n *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		r.at = now
	}
}

func (r *rate) perSecond(now mono.Time) int {
	r.decay(now)
	return int(math.Round(r.n / rateWindow.Seconds()))
}
