package server

import (
	"time"
)

const (
	// coldFactor is how much longer a request takes on a server that has done nothing yet.
	coldFactor = 3

	// fallenFor is how long a server that fell over fails everything.
	fallenFor = 300 * time.Millisecond

	sampleEvery = 50 * time.Millisecond
)

// warmth is 0 right after a cold start and 1 for a warm server; it needs s.mu.
func (s *Server) warmth() float64 {
	if s.opts.ColdWork <= 0 || s.done >= s.opts.ColdWork {
		return 1
	}
	return float64(s.done) / float64(s.opts.ColdWork)
}

// capacity returns how many requests at once the server takes before it fails; it needs s.mu.
// A cold one takes a single request at first and no more than its slots while it warms.
func (s *Server) capacity() int {
	w := s.warmth()
	if w >= 1 {
		return overloadFactor * s.opts.Slots
	}
	return 1 + int(w*float64(s.opts.Slots))
}

// carry returns how long the n-th request inside takes, or that the server falls over; it needs s.mu.
func (s *Server) carry(now time.Time, n int) (takes time.Duration, fails bool) {
	if now.Before(s.downUntil) {
		return 0, true
	}
	if n > s.capacity() {
		// Overloaded: it fails for a while and is as cold as after a start.
		s.done = 0
		if s.opts.ColdWork > 0 {
			s.downUntil = now.Add(fallenFor)
		}
		return 0, true
	}
	if f, ok := s.opts.ServiceTime.(Fixed); ok && f == 0 {
		return 0, false
	}
	f := s.faults.Straggle * (1 + (coldFactor-1)*(1-s.warmth()))
	if n > s.opts.Slots {
		over := float64(n) / float64(s.opts.Slots)
		f *= over * over
	}
	return time.Duration(f * float64(draw(s.opts.ServiceTime, s.random))), false
}

// State is what the health page says.
type State string

// States of a server.
const (
	WarmState   State = "warm"
	ColdState   State = "cold"
	DrainState  State = "draining"
	FallenState State = "fallen"
)

// Load is what the load page says, as it was the report lag ago.
type Load struct {
	State       State   `json:"state"`
	InFlight    int     `json:"in-flight"`
	Slots       int     `json:"slots"`
	Utilisation float64 `json:"utilisation"` // in flight by slots
	Conns       int     `json:"conns"`
	AtUnixMS    int64   `json:"at-unix-ms"`
}

type report struct {
	at   time.Time
	load Load
}

// sample keeps reports for as long as the lag needs them.
func (s *Server) sample() {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		s.mu.Lock()
		now := time.Now()
		s.reports = append(s.reports, report{now, s.load(now)})
		for len(s.reports) > 1 && !s.reports[1].at.After(now.Add(-s.opts.ReportLag)) {
			s.reports = s.reports[1:]
		}
		s.mu.Unlock()
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
	}
}

// load is the state of now; it needs s.mu.
func (s *Server) load(now time.Time) Load {
	n := s.InFlight()
	l := Load{
		State: WarmState, InFlight: n, Slots: s.opts.Slots, Conns: s.conns.count(),
		Utilisation: float64(n) / float64(s.opts.Slots), AtUnixMS: now.UnixMilli(),
	}
	switch {
	case now.Before(s.downUntil):
		l.State = FallenState
	case s.faults.Drain:
		l.State = DrainState
	case s.warmth() < 1:
		l.State = ColdState
	}
	return l
}

// reported returns what the pages say now.
func (s *Server) reported() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.faults.LieIdle {
		return Load{State: WarmState, Slots: s.opts.Slots, AtUnixMS: now.UnixMilli()}
	}
	if s.opts.ReportLag <= 0 || len(s.reports) == 0 {
		return s.load(now)
	}
	return s.reports[0].load
}
