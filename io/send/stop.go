package send

import (
	"sync/atomic"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/mono"
)

const (
	// retryStopping is sent to callers of a daemon that is about to stop: other daemons can serve them at once.
	retryStopping = 50 * time.Millisecond

	// minTimes is how many requests of a route must have ended lately for their times to tell how long others may take.
	minTimes = 20

	// longestFactor is by how much a request may take longer than all recent ones of its route, and answerTime the time that passes
	// in addition until its caller has the response.
	longestFactor = 1.25
	answerTime    = 100 * time.Millisecond
)

// stop is what the sender knows of the end of the daemon.
type stop struct {
	at    atomic.Int64               // mono.Time at which the daemon aborts its requests; 0 while it isn't about to stop
	times map[string]*choice.Longest // times of requests at servers, by route
}

// StopAt says when the daemon aborts its requests before it exits. From now on, requests that may not end by then are refused while it is
// certain that they have not run, so that their callers use another daemon.
func (s *Sender) StopAt(t mono.Time) { s.stop.at.Store(int64(t)) }

// AbortAll ends all requests with a final response before the process exits. Without one, their callers would only see a
// closed connection.
func (s *Sender) AbortAll() { s.abort() }

// endsInTime reports whether a request that is sent now is expected to end before the daemon aborts its requests.
func (s *Sender) endsInTime(r *request, now mono.Time) bool {
	at := mono.Time(s.stop.at.Load())
	switch {
	case s.base.Err() != nil:
		return false
	case at == 0 || r.deadline <= at:
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.stop.times[r.route.Name]
	if x == nil {
		return false
	}
	longest, n := x.Recent(now)
	return n >= minTimes && now.Add(time.Duration(longestFactor*float64(longest))+answerTime) <= at
}

// serverDeadline returns the deadline that servers and peers are told.
func (s *Sender) serverDeadline(r *request) mono.Time {
	if at := mono.Time(s.stop.at.Load()); at > 0 {
		return min(r.deadline, at)
	}
	return r.deadline
}

// observeTime records how long a server, or a peer that handed the request to one, took to answer the request or left it unanswered.
func (s *Sender) observeTime(r *request, d time.Duration) {
	now := s.o.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.stop.times[r.route.Name]
	if x == nil {
		x = &choice.Longest{}
		s.stop.times[r.route.Name] = x
	}
	x.Add(now, d)
}
