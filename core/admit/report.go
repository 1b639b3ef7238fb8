package admit

import (
	"time"

	"heatherrouter/core/mono"
)

// ProbeDue reports whether to probe the server now; Probed must follow.
func (s *Server) ProbeDue(now mono.Time) bool {
	if s.health.probing || now.Before(s.health.probeAt) {
		return false
	}
	s.health.probing = true
	return true
}

// NextProbe returns when a probe is due, or Never while one is under way.
func (s *Server) NextProbe() mono.Time {
	if s.health.probing {
		return mono.Never
	}
	return s.health.probeAt
}

// Probed takes in the result of a probe that was asked at the given time.
func (s *Server) Probed(now, asked mono.Time, h Health) []Decision {
	// Work that was answered since the probe was asked says more than the probe that wasn't.
	if !h.Alive && !s.health.heardAt.Before(asked) {
		s.health.probing = false
		s.health.probeAt = now.Add(probeEvery)
		return nil
	}
	if s.health.probed(now, h.Alive) {
		s.restart(now)
	}
	s.observeIncarnation(now, asked, h.Incarnation)
	if h.Alive && h.Incarnation != 0 {
		s.trust(asked)
	}
	return s.Tick(now)
}

// Peers hands in the latencies of the other servers of the service, as their homes report them.
func (s *Server) Peers(now mono.Time, l []time.Duration) {
	s.peers = append(s.peers[:0], l...)
	s.peersAt = now
	s.judge(now)
}

func (s *Server) judge(now mono.Time) {
	if now.Sub(s.peersAt) > peersFor {
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

// slow reports whether callers are to be led away. A cold server is slow, and work is what warms it: led away from it,
// callers would keep it cold and slow for good. While it ramps up, the ramp alone bounds what it gets.
func (s *Server) slow() bool {
	return s.speed.slow && s.ramp.full()
}

// Report returns what the home sees of the server.
func (s *Server) Report(now mono.Time) Report {
	s.dropFreed(now)
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

// MedianServiceTime returns the moving median of our own exchanges, or 0 before the first answer.
func (s *Server) MedianServiceTime() time.Duration {
	return s.speed.median(nil)
}
