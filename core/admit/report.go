package admit

import (
	"time"

	"heatherrouter/core/mono"
)

// StartProbe reports whether to probe the server now; if so, ProbeDone must follow.
func (s *Server) StartProbe(now mono.Time) bool {
	if s.health.probing || now.Before(s.health.probeAt) {
		return false
	}
	s.health.probing = true
	return true
}

// NextProbe returns when a probe is due, or Never while one is in progress.
func (s *Server) NextProbe() mono.Time {
	if s.health.probing {
		return mono.Never
	}
	return s.health.probeAt
}

// ProbeDone records the result of a probe that was sent at the given time.
func (s *Server) ProbeDone(now, asked mono.Time, h ProbeResult) []Decision {
	// A response to work since the probe was sent outweighs the failed probe.
	if !h.Alive && !s.health.lastResponse.Before(asked) {
		s.health.probing = false
		s.health.probeAt = now.Add(probeInterval)
		return nil
	}
	if s.health.probed(now, h.Alive) {
		if h.Alive {
			s.startCold(now)
		} else {
			s.markUnresponsive(now)
		}
	}
	s.observeIncarnation(now, asked, h.Incarnation)
	if h.Alive && h.Incarnation != 0 {
		s.clearSuspicion(asked)
	}
	return s.Tick(now)
}

// SetPeerLatencies sets the latencies of the service's other servers, as their homes report them.
func (s *Server) SetPeerLatencies(now mono.Time, l []time.Duration) {
	s.peers = append(s.peers[:0], l...)
	s.peersAt = now
	s.judge(now)
}

func (s *Server) judge(now mono.Time) {
	if now.Sub(s.peersAt) > peersMaxAge {
		s.speed.judge(now, 0, nil)
		return
	}
	s.speed.judge(now, s.latency(now), s.peers)
}

func (s *Server) latency(now mono.Time) time.Duration {
	s.ages = s.ages[:0]
	if len(s.inFlight) >= s.ramp.open() {
		for i := range s.inFlight {
			if !s.inFlight[i].Streamed {
				s.ages = append(s.ages, now.Sub(s.inFlight[i].started))
			}
		}
	}
	return s.speed.median(s.ages)
}

// slow reports whether work should go to other servers. A cold server is slow and needs work to warm up: without it,
// it would stay cold and slow. During the ramp, only the ramp limits its work.
func (s *Server) slow() bool {
	return s.speed.slow && s.ramp.full()
}

// Report returns the state of the server as its home measures it.
func (s *Server) Report(now mono.Time) Report {
	s.expireHeld(now)
	return Report{
		Down:            s.health.down,
		Slow:            s.slow(),
		Draining:        s.draining,
		InFlight:        len(s.inFlight) + len(s.held),
		Queued:          len(s.queue.l),
		OpenSlots:       s.ramp.open(),
		ServedPerSecond: s.rate.perSecond(now),
		Latency:         s.latency(now),
		Incarnation:     s.incarnation,
	}
}

// MedianServiceTime returns the moving median over this home's exchanges, or 0 before the first response.
func (s *Server) MedianServiceTime() time.Duration {
	return s.speed.median(nil)
}
