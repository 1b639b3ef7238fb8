package limit

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/phuslu/log"

	"heatherrouter/core/ident"
	"heatherrouter/core/limits"
	"heatherrouter/core/mono"
	"heatherrouter/core/quota"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
)

// ServersOptions configures a Servers.
type ServersOptions struct {
	Self        ident.Daemon
	Incarnation ident.Incarnation
	View        View
	Clock       *clock.Clock
	Log         *log.Logger
}

// Servers knows what backend servers say of themselves in their responses, and enforces the request limits that they name. It is safe
// for concurrent use.
//
// Whichever daemon gets a response that says something new tells the coordinator, which tells all daemons. From then on each request
// to a server that names a limit needs a token of the coordinator.
type Servers struct {
	o        ServersOptions
	pool     *pool
	peers    Caller
	notify   chan struct{} // signals that daemons must be told of a change
	known    atomic.Int32  // number of recorded statements of servers, including those that have ended
	limited  atomic.Int32  // number of servers that name a limit
	backoffs atomic.Int32  // number of recorded backoffs, including those that have ended
	cold     atomic.Int32  // number of servers that were cold by a health check, including those that are warm again

	// The fields below are guarded by pool.mu.
	record        *report.Record
	version       uint64 // changes with the record's limits
	unreported    map[report.Target]bool
	counts        map[report.Target]requestCounts  // of the servers that name a limit
	backoffCounts map[report.Target]*backoffCounts // of the servers that requested backoff
	changed       chan struct{}                    // closed and replaced when daemons must be told of a change
}

// requestCounts counts this daemon's requests since the server named its limit.
type requestCounts struct {
	namedAt       mono.Time
	sent, refused int
}

// NewServers returns a Servers without limits.
func NewServers(o ServersOptions) *Servers {
	s := &Servers{
		o: o, notify: make(chan struct{}, 1), record: report.NewRecord(rand.Float64), unreported: map[report.Target]bool{},
		counts: map[report.Target]requestCounts{}, backoffCounts: map[report.Target]*backoffCounts{}, changed: make(chan struct{}),
	}
	s.pool = newPool(poolOptions{
		Self: o.Self, Incarnation: o.Incarnation, View: o.View, Policy: limits.Policy(), Clock: o.Clock, Log: o.Log,
		Source: s, Call: s.call,
	})
	return s
}

// Run starts requesting tokens from the coordinator and telling the daemons of changes.
func (s *Servers) Run(g *group.Group, peers Caller) {
	s.peers = peers
	g.Go(s.pool.run)
	g.Go(s.notifyDaemons)
}

// enabled implements source.
func (s *Servers) enabled(x *site.Snapshot) bool { return x.Config != nil }

// limits implements source.
func (s *Servers) limits(*site.Snapshot) (func() map[quota.Subject]site.Limit, uint64) {
	return func() map[quota.Subject]site.Limit {
		l := map[quota.Subject]site.Limit{}
		for k, o := range s.record.Limits() {
			l[k.Subject()] = limits.Bucket(o.Rate)
		}
		return l
	}, s.version
}

// Limit returns the limit of a server, in requests per second, or 0 if it names none.
func (s *Servers) Limit(x *site.Server) float64 {
	if s.limited.Load() == 0 {
		return 0
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	rate, _ := s.record.Limit(report.TargetOf(x))
	return rate
}

// Acquire implements send.Reports.
func (s *Servers) Acquire(c context.Context, x *site.Server, until mono.Time) (token, ok bool) {
	if s.limited.Load() == 0 {
		return false, true
	}
	k := report.TargetOf(x)
	d := s.pool.acquire(c, k.Subject(), func() site.Limit {
		rate, limited := s.record.Limit(k)
		token = limited
		return limits.Bucket(rate)
	}, until)
	if _, ok = d.(quota.Granted); ok {
		return token, true
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if n, ok := s.counts[k]; ok {
		n.refused++
		s.counts[k] = n
	}
	return false, false
}

// Return implements send.Reports.
func (s *Servers) Return(x *site.Server) { s.pool.giveBack(report.TargetOf(x).Subject()) }

// Exhausted implements send.Reports.
func (s *Servers) Exhausted(x *site.Server) bool {
	if s.limited.Load() == 0 {
		return false
	}
	k := report.TargetOf(x)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	_, limited := s.record.Limit(k)
	return limited && s.pool.tokens.Exhausted(s.o.Clock.Now(), k.Subject())
}

// Sent implements send.Reports.
func (s *Servers) Sent(x *site.Server) {
	if s.limited.Load() == 0 && s.backoffs.Load() == 0 {
		return
	}
	k := report.TargetOf(x)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if n, ok := s.counts[k]; ok {
		n.sent++
		s.counts[k] = n
	}
	if n := s.backoffCounts[k]; n != nil {
		n.sent++
	}
}

// Limited returns the number of servers that name a limit.
func (s *Servers) Limited() int { return int(s.limited.Load()) }

// ServerState is a server that names a limit, for the state page.
type ServerState struct {
	Server    ident.Server `json:"server"`
	Rate      float64      `json:"rate"`       // requests per second
	LimitedMS int64        `json:"limited-ms"` // since this daemon learned of it
	Sent      int          `json:"sent"`       // by this daemon in that time
	Refused   int          `json:"refused"`    // by this daemon in that time, because of the limit
	Site      *SiteState   `json:"site"`       // set on the coordinator, otherwise null
}

// States returns the servers that name a limit, ordered by id.
func (s *Servers) States() []ServerState {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	now := s.o.Clock.Now()
	l := make([]ServerState, 0, len(s.counts))
	for k, n := range s.counts {
		rate, _ := s.record.Limit(k)
		l = append(l, ServerState{
			Server: k.Server, Rate: math.Round(100*rate) / 100, LimitedMS: now.Sub(n.namedAt).Milliseconds(), Sent: n.sent,
			Refused: n.refused, Site: s.pool.siteState(k.Subject()),
		})
	}
	slices.SortFunc(l, func(a, b ServerState) int { return cmp.Compare(a.Server, b.Server) })
	return l
}

// Prune discards what servers said that are no longer announced, and what ended long ago.
func (s *Servers) Prune(x *site.Snapshot) {
	if s.known.Load() == 0 {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if !s.record.Prune(s.o.Clock.Now(), x) {
		return
	}
	s.version++
	s.recordChanged()
	for k := range s.backoffCounts {
		if s.record.Access(s.o.Clock.Now(), k) == report.Open {
			s.logBackoffEnded(k)
		}
	}
	known := map[quota.Subject]bool{}
	l := s.record.Limits()
	for k := range l {
		known[k.Subject()] = true
	}
	for k := range s.counts {
		if _, ok := l[k]; !ok {
			delete(s.counts, k)
		}
	}
	for k := range s.unreported {
		if !s.record.Has(k) {
			delete(s.unreported, k)
		}
	}
	s.pool.tokens.Retain(func(n quota.Subject) bool { return known[n] })
}
