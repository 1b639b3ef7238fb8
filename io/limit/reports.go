package limit

import (
	"context"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/quota"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/wire"
)

// notifyInterval is the minimum time between two changes of which the coordinator notifies all daemons at once. Later changes wait for
// it, so that a server that names a limit now and then doesn't make all daemons call.
const notifyInterval = 100 * time.Millisecond

// Observe implements send.Reports.
func (s *Servers) Observe(x *site.Server, sentAt mono.Time, r report.Report) {
	says := r.Limit > 0 || r.Backoff > 0 || r.Leaving
	if !says && s.known.Load() == 0 {
		return
	}
	k := report.TargetOf(x)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	now := s.o.Clock.Now()
	if !r.LimitUnknown {
		s.observeLimit(k, report.Limit{Rate: r.Limit, At: now})
	}
	backoffs := s.observeBackoff(now, sentAt, k, r.Backoff)
	leaves := r.Leaving && s.setLeaving(now, k, "")
	if backoffs || leaves {
		s.unreported[k] = true
		s.tellDaemons()
		s.pool.askSoon()
	}
}

// observeLimit records the limit that a response to this daemon named. The caller must hold pool.mu.
func (s *Servers) observeLimit(k report.Target, o report.Limit) {
	switch s.recordLimit(k, o, "") {
	case report.Named, report.Ended:
		s.unreported[k] = true
		s.pool.askSoon()
	case report.Altered:
		s.unreported[k] = true // told with the next regular ask
	case report.Unchanged:
	}
}

// recordLimit records a limit that this daemon observed, or the peer it came from. The caller must hold pool.mu.
func (s *Servers) recordLimit(k report.Target, o report.Limit, from ident.Daemon) report.Change {
	c := s.record.ObserveLimit(k, o)
	if c == report.Unchanged {
		return c
	}
	s.version++
	s.recordChanged()
	if c == report.Altered {
		return c
	}
	s.tellDaemons()
	e := s.o.Log.Info().Str("server", string(k.Server)).Float64("rate", o.Rate)
	if from != "" {
		e.Str("from", string(from))
	}
	if c == report.Named {
		s.counts[k] = requestCounts{namedAt: s.o.Clock.Now()}
		e.Msg("server names a limit")
		return c
	}
	x := s.counts[k]
	delete(s.counts, k)
	e.Dur("limited-for", s.o.Clock.Now().Sub(x.namedAt)).Int("sent", x.sent).Int("refused", x.refused).Msg("limit of a server ended")
	return c
}

// setLeaving records that a server said that it is leaving, to this daemon or to the peer it came from, and reports whether that is
// news. The caller must hold pool.mu.
func (s *Servers) setLeaving(now mono.Time, k report.Target, from ident.Daemon) bool {
	if !s.record.SetLeaving(now, k) {
		return false
	}
	s.recordChanged()
	e := s.o.Log.Info().Str("server", string(k.Server))
	if from != "" {
		e.Str("from", string(from))
	}
	e.Msg("server says that it is leaving")
	s.o.View.SetLeaving(k)
	return true
}

// recordChanged updates what depends on the record. The caller must hold pool.mu.
func (s *Servers) recordChanged() {
	s.known.Store(int32(s.record.Len()))              //nolint:gosec // announced servers
	s.limited.Store(int32(s.record.Limited()))        //nolint:gosec // announced servers
	s.backoffs.Store(int32(s.record.BackoffsKnown())) //nolint:gosec // announced servers
	s.cold.Store(int32(len(s.record.Cold())))         //nolint:gosec // announced servers
}

// tellDaemons makes the other daemons call for what is new if this daemon is the coordinator.
func (s *Servers) tellDaemons() {
	if s.o.View.Snapshot().Coordinator.Daemon != s.o.Self {
		return
	}
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// notifyDaemons makes Changed's channel close after changes.
func (s *Servers) notifyDaemons(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return nil
		case <-s.notify:
		}
		s.pool.mu.Lock()
		close(s.changed)
		s.changed = make(chan struct{})
		s.pool.mu.Unlock()
		clock.Sleep(c, notifyInterval)
	}
}

// Changed returns a channel that is closed when the daemons must be told of a change.
func (s *Servers) Changed() <-chan struct{} {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.changed
}

// Ask returns the regular ask for the coordinator.
func (s *Servers) Ask() *wire.SelfReportsAsk { return s.encodeAsk(s.pool.ask(false)) }

// ApplyAnswer applies the coordinator's answer r, which was sent at sentAt, to the ask a of the time asked. A nil r means that there was no
// answer.
func (s *Servers) ApplyAnswer(asked, sentAt mono.Time, from ident.Daemon, a *wire.SelfReportsAsk, r *wire.SelfReportsAnswer) {
	s.applyReports(sentAt, from, a, r)
	if a.GetTokens() != nil {
		s.pool.applyAnswer(asked, sentAt, a.GetTokens(), r.GetTokens())
	}
}

// call asks the coordinator at once.
func (s *Servers) call(c context.Context, to ident.Daemon, q *wire.QuotaAsk) (_ *wire.QuotaAnswer, sentAt mono.Time, _ error) {
	a := s.encodeAsk(q)
	asked := s.o.Clock.Now()
	r, err := s.peers.Call(c, to, &wire.Call{Body: &wire.Call_SelfReports{SelfReports: a}})
	sentAt = s.o.Clock.SentAt(duration(r.GetSentUs()), asked)
	s.applyReports(sentAt, to, a, r.GetSelfReports())
	return r.GetSelfReports().GetTokens(), sentAt, err
}

// Serve answers an ask, which was sent at the given time, at once.
func (s *Servers) Serve(sentAt mono.Time, from ident.Daemon, a *wire.SelfReportsAsk) *wire.SelfReportsAnswer {
	return s.Grant(from, s.ApplyAsk(sentAt, from, a))
}

// ApplyAsk applies a daemon's ask, which was sent at the given time, if this daemon is the coordinator, and returns the ask for Grant.
func (s *Servers) ApplyAsk(sentAt mono.Time, from ident.Daemon, a *wire.SelfReportsAsk) quota.Ask {
	s.pool.mu.Lock()
	s.mergeAll(sentAt, from, a.GetReports(), false)
	s.pool.mu.Unlock()
	return s.pool.applyAsk(from, a.GetTokens())
}

// Grant answers an ask returned by ApplyAsk.
func (s *Servers) Grant(from ident.Daemon, a quota.Ask) *wire.SelfReportsAnswer {
	r := &wire.SelfReportsAnswer{Tokens: s.pool.grant(from, a)}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	r.Reports = s.encodeReports(func(report.Target) bool { return true })
	return r
}

// encodeAsk returns an ask with the tokens' ask and what the coordinator may not know.
func (s *Servers) encodeAsk(q *wire.QuotaAsk) *wire.SelfReportsAsk {
	a := &wire.SelfReportsAsk{Tokens: q}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if len(s.unreported) > 0 {
		a.Reports = s.encodeReports(func(k report.Target) bool { return s.unreported[k] })
	}
	return a
}

// applyReports applies what the coordinator knows, and marks as reported what it was told.
func (s *Servers) applyReports(sentAt mono.Time, from ident.Daemon, a *wire.SelfReportsAsk, r *wire.SelfReportsAnswer) {
	if r == nil {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	current := map[report.Target]*wire.SelfReport{}
	for _, x := range s.encodeReports(func(k report.Target) bool { return s.unreported[k] }) {
		current[decodeTarget(x)] = x
	}
	for _, x := range a.GetReports() {
		if k := decodeTarget(x); saysSame(current[k], x) { // else the server has said something new since then
			delete(s.unreported, k)
		}
	}
	s.mergeAll(sentAt, from, r.GetReports(), true)
}

// saysSame reports whether two reports of a server differ at most by their ages.
func saysSame(x, y *wire.SelfReport) bool {
	return x.GetLimit().GetRate() == y.GetLimit().GetRate() && x.GetLeaving() == y.GetLeaving() &&
		(x.GetBackoff().GetServedAgeUs() > 0) == (y.GetBackoff().GetServedAgeUs() > 0) && x.GetBackoff().GetBeganAgeUs() >= y.GetBackoff().GetBeganAgeUs() &&
		x.GetBackoff().GetRemainingUs() <= y.GetBackoff().GetRemainingUs() && x.GetColdUs() <= y.GetColdUs()
}

// mergeAll records what another daemon has told in a message that was sent at the given time. The caller must hold pool.mu.
func (s *Servers) mergeAll(sentAt mono.Time, from ident.Daemon, l []*wire.SelfReport, coordinator bool) {
	now, snap := s.o.Clock.Now(), s.o.View.Snapshot()
	for _, x := range l {
		k := decodeTarget(x)
		if y := snap.Servers[k.Server]; y == nil || y.Born != k.Born {
			continue
		}
		if l := x.GetLimit(); l != nil {
			s.recordLimit(k, report.Limit{Rate: l.GetRate(), At: sentAt.Add(-duration(l.GetAgeUs()))}, from)
		}
		if l := x.GetBackoff(); l != nil {
			s.mergeBackoff(now, from, k, decodeBackoff(sentAt, l), coordinator)
		}
		if d := duration(x.GetColdUs()); d > 0 && s.setCold(now, sentAt.Add(d), k, from) {
			s.tellDaemons()
		}
		if x.GetLeaving() && s.setLeaving(now, k, from) {
			s.tellDaemons()
		}
	}
}

// encodeReports returns what the selected servers said. The caller must hold pool.mu.
func (s *Servers) encodeReports(selected func(report.Target) bool) []*wire.SelfReport {
	if s.record.Len() == 0 {
		return nil
	}
	now := s.o.Clock.Now()
	byTarget := map[report.Target]*wire.SelfReport{}
	var l []*wire.SelfReport
	of := func(k report.Target) *wire.SelfReport {
		x := byTarget[k]
		if x == nil {
			x = &wire.SelfReport{Server: string(k.Server), Born: k.Born}
			byTarget[k] = x
			if selected(k) {
				l = append(l, x)
			}
		}
		return x
	}
	for k, o := range s.record.Limits() {
		of(k).Limit = &wire.ServerLimit{Rate: o.Rate, AgeUs: micros(now.Sub(o.At))}
	}
	for k, o := range s.record.Backoffs() {
		of(k).Backoff = encodeBackoff(now, o)
	}
	for k, until := range s.record.Cold() {
		of(k).ColdUs = micros(until.Sub(now))
	}
	for _, k := range s.record.Leaving() {
		of(k).Leaving = true
	}
	return l
}

func decodeTarget(x *wire.SelfReport) report.Target {
	return report.Target{Server: ident.Server(x.GetServer()), Born: x.GetBorn()}
}

func micros(d time.Duration) uint64 { return uint64(max(0, d).Microseconds()) } //nolint:gosec // not negative

func duration(us uint64) time.Duration { return time.Duration(us) * time.Microsecond } //nolint:gosec // below the life of a server
