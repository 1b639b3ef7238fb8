package limit

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
)

// ObserveCold implements send.Reports.
func (s *Servers) ObserveCold(x *site.Server, d time.Duration) {
	k := report.TargetOf(x)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if now := s.o.Clock.Now(); s.setCold(now, now.Add(d), k, "") {
		s.unreported[k] = true
		s.tellDaemons()
		s.pool.askSoon()
	}
}

// setCold records until when a server stays cold, as it said to this daemon or to the peer it came from, and reports whether that is news.
// The caller must hold pool.mu.
func (s *Servers) setCold(now, until mono.Time, k report.Target, from ident.Daemon) bool {
	news := s.record.SetCold(now, until, k)
	s.recordChanged()
	if news {
		e := s.o.Log.Info().Str("server", string(k.Server)).Dur("cold-for", until.Sub(now))
		if from != "" {
			e.Str("from", string(from))
		}
		e.Msg("server reports that it is cold")
	}
	return news
}

// ColdUntil implements send.Reports.
func (s *Servers) ColdUntil(x *site.Server) mono.Time {
	if s.cold.Load() == 0 {
		return 0
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.record.ColdUntil(report.TargetOf(x))
}
