package limit

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/wire"
)

// backoffCounts counts this daemon's requests since the server first requested backoff from it.
type backoffCounts struct {
	askedAt mono.Time
	asked   int // responses that requested backoff
	sent    int
}

// observeBackoff records what a response to this daemon says of the server's backoff, and reports whether that is news. The caller must hold
// pool.mu.
func (s *Servers) observeBackoff(now, sentAt mono.Time, k report.Target, d time.Duration) bool {
	if d == 0 {
		if !s.record.RequestServed(sentAt, k) {
			return false
		}
		s.logBackoffEnded(k)
		s.o.View.NotifyChanged()
		return true
	}
	s.record.BackoffRequested(now, s.o.Self, k, d)
	s.recordChanged()
	n := s.backoffCounts[k]
	if n == nil {
		n = &backoffCounts{askedAt: now}
		s.backoffCounts[k] = n
		s.o.Log.Info().Str("server", string(k.Server)).Dur("backoff", d).Msg("server requests backoff")
	}
	n.asked++
	s.o.View.NotifyChanged()
	return true
}

// mergeBackoff records what another daemon has told of a server's backoff. The caller must hold pool.mu.
func (s *Servers) mergeBackoff(now mono.Time, from ident.Daemon, k report.Target, x report.Backoff, coordinator bool) {
	was := s.record.Placement(now, k)
	s.record.MergeBackoff(now, from, k, x, coordinator)
	s.recordChanged()
	if s.record.Placement(now, k) != was {
		s.o.View.NotifyChanged()
	}
	if !coordinator {
		s.tellDaemons()
	}
}

func (s *Servers) logBackoffEnded(k report.Target) {
	n := s.backoffCounts[k]
	if n == nil {
		return
	}
	delete(s.backoffCounts, k)
	s.o.Log.Info().Str("server", string(k.Server)).Dur("since-asked", s.o.Clock.Now().Sub(n.askedAt)).Int("asked", n.asked).Int("sent", n.sent).
		Msg("backoff for a server ended")
}

// Access implements send.Reports.
func (s *Servers) Access(x *site.Server) report.Access {
	if s.backoffs.Load() == 0 {
		return report.Open
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.record.Access(s.o.Clock.Now(), report.TargetOf(x))
}

// TakeAccess implements send.Reports.
func (s *Servers) TakeAccess(x *site.Server) bool {
	if s.backoffs.Load() == 0 {
		return true
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.record.TakeAccess(s.o.Clock.Now(), report.TargetOf(x))
}

// BackoffTime implements send.Reports.
func (s *Servers) BackoffTime(x *site.Server) (until, since mono.Time) {
	if s.backoffs.Load() == 0 {
		return 0, 0
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.record.BackoffTime(s.o.Clock.Now(), report.TargetOf(x))
}

// Placement says whether keys may be placed on the server, as far as its backoff is concerned.
func (s *Servers) Placement(x *site.Server) report.Placement {
	if s.backoffs.Load() == 0 {
		return report.Usable
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.record.Placement(s.o.Clock.Now(), report.TargetOf(x))
}

// BackoffCount returns the number of servers to which this daemon sends nothing because they requested backoff.
func (s *Servers) BackoffCount() int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.record.BackoffCount(s.o.Clock.Now())
}

// BackoffState is a server that requested backoff, for the state page.
type BackoffState struct {
	Server      ident.Server `json:"server"`
	RemainingMS int64        `json:"remaining-ms"` // until the end of the backoff; negative if it has ended
	Confirmed   bool         `json:"confirmed"`    // whether several daemons were asked, so that none sends requests
	Served      bool         `json:"served"`       // whether the server has taken a request since
	Sent        int          `json:"sent"`         // by this daemon since the server asked it
}

// BackoffStates returns the servers that requested backoff, ordered by id.
func (s *Servers) BackoffStates() []BackoffState {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	now := s.o.Clock.Now()
	l := []BackoffState{}
	for k, x := range s.record.Backoffs() {
		y := BackoffState{Server: k.Server, RemainingMS: x.Until.Sub(now).Milliseconds(), Confirmed: x.Confirmed, Served: x.Served()}
		if n := s.backoffCounts[k]; n != nil {
			y.Sent = n.sent
		}
		l = append(l, y)
	}
	slices.SortFunc(l, func(a, b BackoffState) int { return cmp.Compare(a.Server, b.Server) })
	return l
}

func encodeBackoff(now mono.Time, x report.Backoff) *wire.ServerBackoff {
	y := &wire.ServerBackoff{RemainingUs: x.Until.Sub(now).Microseconds(), BeganAgeUs: micros(now.Sub(x.BeganAt)), Confirmed: x.Confirmed}
	if x.Served() {
		y.ServedAgeUs = max(1, micros(now.Sub(x.ServedAt)))
	}
	return y
}

func decodeBackoff(sentAt mono.Time, x *wire.ServerBackoff) report.Backoff {
	y := report.Backoff{
		Until: sentAt.Add(time.Duration(x.GetRemainingUs()) * time.Microsecond), BeganAt: sentAt.Add(-duration(x.GetBeganAgeUs())), Confirmed: x.GetConfirmed(),
	}
	if n := x.GetServedAgeUs(); n > 0 {
		y.ServedAt = sentAt.Add(-duration(n))
	}
	return y
}
