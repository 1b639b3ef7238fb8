package server

import (
	"time"
)

// Faults are the misbehaviours of a server that last or are counted. The zero value of Straggle is read as 1.
type Faults struct {
	Drain     bool    `json:"drain"`      // refuses new work, ends what it has
	Freeze    bool    `json:"freeze"`     // accepts, and answers nothing until thawed
	Straggle  float64 `json:"straggle"`   // times the service time
	LieIdle   bool    `json:"lie-idle"`   // the pages say warm and idle
	Refuse    int     `json:"refuse"`     // refuses as many of the next requests, as not run
	CutBodies int     `json:"cut-bodies"` // cuts as many of the next large bodies
	CutAt     int     `json:"cut-at"`     // after this many bytes
}

// Update changes the faults in force.
func (s *Server) Update(f func(*Faults)) {
	s.mu.Lock()
	f(&s.faults)
	if s.faults.Straggle <= 0 {
		s.faults.Straggle = 1
	}
	frozen := s.faults.Freeze
	s.mu.Unlock()
	s.gate.set(frozen)
}

// Faults returns the faults in force, with what is left of those that are counted.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Silence makes every connection of now deliver nothing any more, either way, without closing it. New ones work.
func (s *Server) Silence() { s.conns.silence() }

// Restart resets every connection and refuses new ones for a while; the server then is a new incarnation, and cold.
// The highest epoch taken is kept, as a server that is to be relied on keeps it, unless it is to be forgotten.
func (s *Server) Restart(down time.Duration, forgetGrants bool) {
	s.conns.setDown(true)
	s.mu.Lock()
	if s.life != nil {
		s.renew() // ends the work of the incarnation before, as a lost process does
	}
	s.downUntil = time.Time{}
	if forgetGrants {
		s.highest, s.grantEnds = 0, time.Time{}
	}
	s.mu.Unlock()
	select {
	case <-s.stop:
	case <-time.After(down):
	}
	s.conns.setDown(false)
}
