// Package misdir tracks what responses with status 421 (Misdirected Request) say of a backend server: it doesn't hold the keys that
// are believed to be its own, or another server has taken its address. Sending requests there again reaches nobody who would run them,
// and uses up retries that failures may need.
package misdir

import (
	"time"

	"heatherrouter/core/hold"
	"heatherrouter/core/mono"
)

const (
	// minPause and maxPause bound the time between two requests that are sent to find out whether the server takes them again.
	minPause = 30 * time.Millisecond
	maxPause = 250 * time.Millisecond

	// settleTime is the time after the first refusal in which the owner of a key usually changes or takes it.
	settleTime = 250 * time.Millisecond

	// identityTime is the time for which another response shows that the server is the one that was meant, whatever it refuses.
	identityTime = 250 * time.Millisecond

	// wholeAfter is the number of refusals without another response in between from which on they concern all keys of the server.
	wholeAfter = 3

	// reuseTime is the least time between the end of a server and the start of another one at its address.
	reuseTime = 2 * time.Second

	// forgetAfter is the time after which a refusal without requests since is forgotten.
	forgetAfter = 10 * time.Second
)

// Access says whether a request may be sent to the server.
type Access uint8

// What may be sent.
const (
	Open    Access = iota
	Waiting        // not now, but the refusal is new and may end soon
	Closed         // the server has refused such requests for some time
)

// Server is what one daemon knows of one incarnation of a backend server at its address.
type Server struct {
	keyed      bool
	ranges     map[hold.Range]*refusal // of a server with keys
	whole      *refusal                // of any request; nil for none
	inARow     int                     // refusals since the last other response
	answeredAt mono.Time               // last other response
}

// refusal is a state in which the server refuses requests as misdirected.
type refusal struct {
	since, last mono.Time
	probeAt     mono.Time
	pause       time.Duration
}

// New returns the record of a server.
func New(keyed bool) *Server { return &Server{keyed: keyed, ranges: map[hold.Range]*refusal{}} }

// Access says whether a request for a key of the range may be sent. While the server refuses such requests, single ones find out
// whether it takes them again. Unless the server is known to be the one that is meant, only requests that have not been sent yet do so:
// these cost no retry, whoever receives them.
func (s *Server) Access(now mono.Time, r hold.Range, first bool) Access {
	x := s.refusalOf(now, r)
	switch {
	case x == nil || !now.Before(x.probeAt) && (first || s.Identified(now)):
		return Open
	case now.Sub(x.since) < settleTime:
		return Waiting
	}
	return Closed
}

// Begin records that a request is about to be sent, after Access.
func (s *Server) Begin(now mono.Time, r hold.Range) {
	if x := s.refusalOf(now, r); x != nil {
		x.probeAt = now.Add(x.pause)
	}
}

func (s *Server) refusalOf(now mono.Time, r hold.Range) *refusal {
	x := s.whole
	if x == nil {
		x = s.ranges[r]
	}
	if x != nil && now.Sub(x.last) > forgetAfter {
		return nil
	}
	return x
}

// Misdirected records a response with status 421 to a request for a key of the range.
func (s *Server) Misdirected(now mono.Time, r hold.Range) {
	s.inARow++
	x := s.whole
	if x == nil {
		x = s.ranges[r]
	}
	if x == nil {
		x = &refusal{since: now}
		s.ranges[r] = x
	}
	if s.whole == nil && s.refusesAll(now) {
		s.whole = x
		clear(s.ranges)
	}
	x.pause = min(max(minPause, 2*x.pause), maxPause)
	x.last, x.probeAt = now, now.Add(x.pause)
}

// refusesAll reports whether the refusals concern all requests. A server that has given keys away refuses requests for these at once,
// before it answers others that it runs.
func (s *Server) refusesAll(now mono.Time) bool {
	return !s.keyed || s.inARow >= wholeAfter && len(s.ranges) > 1 && now.Sub(s.answeredAt) >= identityTime
}

// Answered records any other response, which shows that the server is the one that was meant.
func (s *Server) Answered(now mono.Time, r hold.Range) {
	s.inARow, s.whole, s.answeredAt = 0, nil, now
	delete(s.ranges, r)
	for k, x := range s.ranges { // ranges are split and merged
		if now.Sub(x.last) > forgetAfter {
			delete(s.ranges, k)
		}
	}
}

// Identified reports whether the server is the one that was meant: it has answered otherwise so lately that no other can have taken its
// address since.
func (s *Server) Identified(now mono.Time) bool {
	return s.answeredAt > 0 && now.Sub(s.answeredAt) < reuseTime
}
