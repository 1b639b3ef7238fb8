package admit

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// observe records what the end of an exchange says of the server.
func (s *Server) observe(now mono.Time, e *entry, r Result) {
	d := now.Sub(e.started)
	switch r.End {
	case EndAnswered, EndFailed, EndOverloaded, EndRefused, EndEndless:
		s.clearSuspicion(e.started)
	case EndDialFailed, EndReset:
		s.SuspectRestart(now)
	}
	switch r.End {
	case EndAnswered:
		s.consecutiveFailures = 0
		s.rate.add(now)
		s.sample(e, d)
		s.health.answered(now)
		s.ramp.answered(now, e.started)
	case EndFailed:
		s.failed(now)
	case EndEndless:
		s.holdSlot(now)
		s.failed(now)
	case EndOverloaded, EndRefused:
		s.health.answered(now)
		s.refused(now)
	case EndDialFailed:
		s.refused(now)
		s.lost(now, e, r.End)
	case EndReset:
		s.sampleUnfinished(e, d)
		s.refused(now)
		s.lost(now, e, r.End)
	case EndTimeout, EndUnresponsive:
		s.holdSlot(now)
		s.sampleUnfinished(e, d)
		s.lost(now, e, r.End)
	case EndCancelled:
		s.holdSlot(now)
		s.sampleUnfinished(e, d)
	}
	s.observeIncarnation(now, e.started, r.Incarnation)
	if r.End == EndAnswered {
		s.resumeUnresponsive(now, e.started, r.Incarnation)
	}
}

// failed records a failed response of a server that is alive. A single one may be caused by the request, and
// neither its time nor its arrival is evidence of speed or success. Several in a row indicate a collapsed server,
// which fails fast and would attract all the work if it counted as fast and free.
func (s *Server) failed(now mono.Time) {
	s.health.answered(now)
	s.consecutiveFailures++
	if s.consecutiveFailures >= burst {
		s.consecutiveFailures = 0
		s.restart(now)
	}
}

func (s *Server) refused(now mono.Time) {
	if s.ramp.failed(now) {
		s.restart(now)
	}
}

// restart treats the server as cold, and discards its earlier service times.
func (s *Server) restart(now mono.Time) {
	s.unresponsive = ProvenSlots{}
	s.startCold(now)
}

// startCold restarts the ramp, and keeps what an unresponsive server may open if it responds again.
func (s *Server) startCold(now mono.Time) {
	s.ramp.restart(now)
	s.speed.forget()
}

// markUnresponsive restarts the ramp of a server that has stopped responding. It has crashed, or has only stood still
// and is as warm as before; its incarnation tells, see resumeUnresponsive.
func (s *Server) markUnresponsive(now mono.Time) {
	p := s.unresponsive
	if s.incarnation != 0 && !s.ramp.rateLimited() {
		// Fewer slots than before: too many requests at once may be why it stopped.
		n := s.ramp.open()
		p = ProvenSlots{Incarnation: s.incarnation, Slots: max(1, n-max(1, n/4))}
	}
	s.restart(now)
	s.unresponsive, s.unresponsiveAt = p, now
}

// resumeUnresponsive opens slots again when the server has responded to work in the incarnation in which it stopped.
func (s *Server) resumeUnresponsive(now, asked mono.Time, i ident.Incarnation) {
	if s.unresponsive.Slots == 0 || asked.Before(s.unresponsiveAt) {
		return
	}
	if i == s.unresponsive.Incarnation {
		s.ramp.jump(now, s.unresponsive.Slots)
	}
	s.unresponsive = ProvenSlots{}
}

func (s *Server) sample(e *entry, d time.Duration) {
	if !e.Streamed {
		s.speed.add(d)
	}
}

// sampleUnfinished records the time of an exchange without a response, which is a lower bound. Hedges cancel the
// slow exchanges of a straggler first, so without it only the fast ones would count.
func (s *Server) sampleUnfinished(e *entry, d time.Duration) {
	if d > s.speed.median(nil) && s.speed.n > 0 {
		s.sample(e, d)
	}
}

func (s *Server) lost(now mono.Time, e *entry, end End) {
	if end == EndTimeout && now.Sub(e.started) < minTimeout {
		return // the caller left too little time; no evidence about the server
	}
	if s.health.lost(now, end) {
		s.markUnresponsive(now)
	}
}

func (s *Server) holdSlot(now mono.Time) {
	s.held = append(s.held, now.Add(min(max(s.service(), minGrace), maxGrace)))
}

// observeIncarnation records the incarnation from a response or a probe. It ignores one requested before the
// current incarnation was first observed, since a late response may report an older one.
func (s *Server) observeIncarnation(now, asked mono.Time, i ident.Incarnation) {
	if i == 0 || i == s.incarnation || asked.Before(s.incarnationAt) {
		return
	}
	switch {
	case s.incarnation != 0:
		s.restart(now)
	case i == s.options.Proven.Incarnation:
		s.ramp.jump(now, s.options.Proven.Slots)
	}
	s.incarnation, s.incarnationAt = i, now
}
