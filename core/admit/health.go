package admit

import (
	"math"
	"time"

	"heatherrouter/core/mono"
)

const (
	// probeInterval is the time without a response after which a probe is due.
	probeInterval = 400 * time.Millisecond

	// A server is down after this many consecutive losses without a response between them.
	downDialFailures = 2
	downLosses       = 4
	downProbes       = 2

	// minTimeout is the shortest duration of an exchange whose timeout counts as a loss.
	minTimeout = 100 * time.Millisecond

	minProbeWait = 250 * time.Millisecond
	maxProbeWait = time.Second
)

// health detects from this home's exchanges and probes whether the server is down.
type health struct {
	down         bool
	dialFailures int // consecutive
	losses       int // consecutive, without a response
	probes       int // consecutive failed probes
	lastResponse mono.Time
	probeAt      mono.Time
	probing      bool
	probeWait    time.Duration
}

func newHealth(now mono.Time) health {
	return health{lastResponse: now, probeAt: now, probeWait: minProbeWait}
}

// answered records a whole response to work. It proves that the server is up, whatever an earlier probe
// found.
func (h *health) answered(now mono.Time) {
	h.down = false
	h.dialFailures, h.losses, h.probes = 0, 0, 0
	h.lastResponse = now
	h.probeWait = minProbeWait
	if !h.probing {
		h.probeAt = now.Add(probeInterval)
	}
}

// lost records an exchange without a response, and reports whether it marked the server down.
func (h *health) lost(now mono.Time, e End) bool {
	h.losses++
	if e == EndDialFailed {
		h.dialFailures++
	}
	if h.dialFailures >= downDialFailures || h.losses >= downLosses {
		return h.markDown(now)
	}
	if !h.probing {
		h.probeAt = now // probe at once to confirm
	}
	return false
}

func (h *health) markDown(now mono.Time) bool {
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

// probed records the result of a probe, and reports whether it changed the verdict. A successful probe
// only starts the ramp: health pages mislead, so responses to work have to follow. Until one does, the losses
// stay counted, one more marks the server down again, and the wait for the next probe is not reset. Otherwise a
// server that only looks alive would get its callers back each time.
func (h *health) probed(now mono.Time, alive bool) bool {
	h.probing = false
	if alive {
		h.probes, h.dialFailures = 0, 0
		h.probeAt = now.Add(probeInterval)
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

// rate is an exponentially decaying count of responses per second.
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
