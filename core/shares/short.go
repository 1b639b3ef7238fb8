package shares

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	// shortageEnd is the time without a refusal after which a shortage is over.
	shortageEnd = 10 * time.Second

	// maxClasses bounds the classes of refused requests that are told apart; others count for their priority only.
	maxClasses = 256
)

// Class is a class of refused requests.
type Class struct {
	Route        string
	Priority     int
	Organisation ident.Organisation // empty for anonymous callers
	Reason       string
}

// Shortage is what a daemon has counted since a service became short of capacity.
type Shortage struct {
	Since   mono.Time
	Last    mono.Time     // of the last refusal
	Sent    []int         // requests sent, by priority
	Refused []int         // requests refused, by priority
	Classes map[Class]int // requests refused
}

// Shortages records which services are short of capacity. It is not safe for concurrent use. The zero value is ready for use.
type Shortages struct {
	services map[ident.Service]*Shortage
}

// Refused records a request that was refused for lack of capacity.
func (s *Shortages) Refused(now mono.Time, n ident.Service, c Class) {
	x := s.Current(now, n)
	if x == nil {
		x = &Shortage{Since: now, Classes: map[Class]int{}}
		if s.services == nil {
			s.services = map[ident.Service]*Shortage{}
		}
		s.services[n] = x
	}
	x.Last = now
	x.Refused = count(x.Refused, c.Priority)
	if _, ok := x.Classes[c]; ok || len(x.Classes) < maxClasses {
		x.Classes[c]++
	}
}

// Sent records a request that was sent to a server.
func (s *Shortages) Sent(now mono.Time, n ident.Service, priority int) {
	if x := s.Current(now, n); x != nil {
		x.Sent = count(x.Sent, priority)
	}
}

// Current returns the shortage of a service; nil if there is none.
func (s *Shortages) Current(now mono.Time, n ident.Service) *Shortage {
	if x := s.services[n]; x != nil && now.Sub(x.Last) < shortageEnd {
		return x
	}
	return nil
}

// maxPriorities bounds the priorities that are counted; all lower ones count together.
const maxPriorities = 16

func count(l []int, priority int) []int {
	p := min(max(0, priority), maxPriorities-1)
	if n := p + 1 - len(l); n > 0 {
		l = slices.Concat(l, make([]int, n))
	}
	l[p]++
	return l
}
