package limit

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"heatherrouter/core/ident"
	"heatherrouter/core/limits"
	"heatherrouter/core/mono"
	"heatherrouter/core/quota"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/wire"
)

// ServersOptions configures a Servers.
type ServersOptions struct {
	Self        ident.Daemon
	Incarnation ident.Incarnation
	View        View
	Clock       *clock.Clock
	Log         *log.Logger
}

const (
	// notifyInterval is the minimum time between two changes of limits of which the coordinator notifies all daemons at once.
	// Later changes wait for it, so that a server that names a limit now and then doesn't make all daemons call.
	notifyInterval = 250 * time.Millisecond
)

// Servers enforces the request limits that backend servers name. It is safe for concurrent use.
//
// Whichever daemon gets a response with a limit tells the coordinator, which tells all daemons. From then on each request to the
// server needs a token of the coordinator.
type Servers struct {
	o       ServersOptions
	pool    *pool
	peers   Caller
	notify  chan struct{} // signals that daemons must be told of a change
	known   atomic.Int32  // number of recorded servers, including those whose limit has ended
	limited atomic.Int32  // number of servers that name a limit

	// The fields below are guarded by pool.mu.
	record     *limits.Record
	version    uint64 // changes with the record's limits
	unreported map[limits.Target]bool
	counts     map[limits.Target]requestCounts // of the servers that name a limit
	changed    chan struct{}                   // closed and replaced when daemons must be told of a change
}

// requestCounts counts this daemon's requests since the server named its limit.
type requestCounts struct {
	namedAt       mono.Time
	sent, refused int
}

// NewServers returns a Servers without limits.
func NewServers(o ServersOptions) *Servers {
	s := &Servers{
		o: o, notify: make(chan struct{}, 1), record: limits.NewRecord(), unreported: map[limits.Target]bool{},
		counts: map[limits.Target]requestCounts{}, changed: make(chan struct{}),
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
		for k, o := range s.record.Observations() {
			l[k.Subject()] = limits.Bucket(o.Rate)
		}
		return l
	}, s.version
}

// Observe implements send.ServerLimits.
func (s *Servers) Observe(x *site.Server, rate float64) {
	if rate == 0 && s.known.Load() == 0 {
		return
	}
	k := limits.TargetOf(x)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	o := limits.Observation{Rate: rate, At: s.o.Clock.Now()}
	switch s.observe(k, o, "") {
	case limits.Named, limits.Ended:
		s.unreported[k] = true
		s.pool.askSoon()
	case limits.Altered:
		s.unreported[k] = true // told with the next regular ask
	case limits.Unchanged:
	}
}

// observe records an observation of this daemon, or of the peer it came from. The caller must hold pool.mu.
func (s *Servers) observe(k limits.Target, o limits.Observation, from ident.Daemon) limits.Change {
	c := s.record.Observe(k, o)
	if c == limits.Unchanged {
		return c
	}
	s.recordChanged()
	if c == limits.Altered {
		return c
	}
	if s.o.View.Snapshot().Coordinator.Daemon == s.o.Self {
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
	e := s.o.Log.Info().Str("server", string(k.Server)).Float64("rate", o.Rate)
	if from != "" {
		e.Str("from", string(from))
	}
	if c == limits.Named {
		s.counts[k] = requestCounts{namedAt: s.o.Clock.Now()}
		e.Msg("server names a limit")
		return c
	}
	x := s.counts[k]
	delete(s.counts, k)
	e.Dur("limited-for", s.o.Clock.Now().Sub(x.namedAt)).Int("sent", x.sent).Int("refused", x.refused).Msg("limit of a server ended")
	return c
}

// recordChanged updates what depends on the record. The caller must hold pool.mu.
func (s *Servers) recordChanged() {
	s.version++
	s.known.Store(int32(s.record.Len()))     //nolint:gosec // announced servers
	s.limited.Store(int32(s.record.Count())) //nolint:gosec // announced servers
}

// notifyDaemons makes Changed's channel close after changes of limits.
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

// Changed returns a channel that is closed when the daemons must be told that a limit was named or has ended.
func (s *Servers) Changed() <-chan struct{} {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.changed
}

// Limit returns the limit of a server, in requests per second, or 0 if it names none.
func (s *Servers) Limit(x *site.Server) float64 {
	if s.limited.Load() == 0 {
		return 0
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	rate, _ := s.record.Limit(limits.TargetOf(x))
	return rate
}

// Acquire implements send.ServerLimits.
func (s *Servers) Acquire(c context.Context, x *site.Server, until mono.Time) (token, ok bool) {
	if s.limited.Load() == 0 {
		return false, true
	}
	k := limits.TargetOf(x)
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

// Return implements send.ServerLimits.
func (s *Servers) Return(x *site.Server) { s.pool.giveBack(limits.TargetOf(x).Subject()) }

// Exhausted implements send.ServerLimits.
func (s *Servers) Exhausted(x *site.Server) bool {
	if s.limited.Load() == 0 {
		return false
	}
	k := limits.TargetOf(x)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	_, limited := s.record.Limit(k)
	return limited && s.pool.tokens.Exhausted(s.o.Clock.Now(), k.Subject())
}

// Sent implements send.ServerLimits.
func (s *Servers) Sent(x *site.Server) {
	if s.limited.Load() == 0 {
		return
	}
	k := limits.TargetOf(x)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if n, ok := s.counts[k]; ok {
		n.sent++
		s.counts[k] = n
	}
}

// Ask returns the regular ask for the coordinator.
func (s *Servers) Ask() *wire.ServerLimitsAsk { return s.encodeAsk(s.pool.ask(false)) }

// ApplyAnswer applies the coordinator's answer r to the ask a that was sent at asked. A nil r means that there was no answer.
func (s *Servers) ApplyAnswer(asked mono.Time, from ident.Daemon, a *wire.ServerLimitsAsk, r *wire.ServerLimitsAnswer) {
	s.applyLimits(from, a, r)
	if a.GetTokens() != nil {
		s.pool.applyAnswer(asked, a.GetTokens(), r.GetTokens())
	}
}

// call asks the coordinator at once.
func (s *Servers) call(c context.Context, to ident.Daemon, q *wire.QuotaAsk) (*wire.QuotaAnswer, error) {
	a := s.encodeAsk(q)
	r, err := s.peers.Call(c, to, &wire.Call{Body: &wire.Call_ServerLimits{ServerLimits: a}})
	s.applyLimits(to, a, r.GetServerLimits())
	return r.GetServerLimits().GetTokens(), err
}

// Serve answers an ask at once.
func (s *Servers) Serve(from ident.Daemon, a *wire.ServerLimitsAsk) *wire.ServerLimitsAnswer {
	return s.Grant(from, s.ApplyAsk(from, a))
}

// ApplyAsk applies a daemon's ask if this daemon is the coordinator, and returns the ask for Grant.
func (s *Servers) ApplyAsk(from ident.Daemon, a *wire.ServerLimitsAsk) quota.Ask {
	s.pool.mu.Lock()
	s.observeAll(from, a.GetLimits())
	s.pool.mu.Unlock()
	return s.pool.applyAsk(from, a.GetTokens())
}

// Grant answers an ask returned by ApplyAsk.
func (s *Servers) Grant(from ident.Daemon, a quota.Ask) *wire.ServerLimitsAnswer {
	r := &wire.ServerLimitsAnswer{Tokens: s.pool.grant(from, a)}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	for k, o := range s.record.Observations() {
		r.Limits = append(r.Limits, s.encodeLimit(k, o))
	}
	return r
}

// encodeAsk returns an ask with the tokens' ask and the observations that the coordinator may not know.
func (s *Servers) encodeAsk(q *wire.QuotaAsk) *wire.ServerLimitsAsk {
	a := &wire.ServerLimitsAsk{Tokens: q}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	l := s.record.Observations()
	for k := range s.unreported {
		if o, ok := l[k]; ok {
			a.Limits = append(a.Limits, s.encodeLimit(k, o))
		}
	}
	return a
}

// applyLimits applies the limits that the coordinator knows, and marks as reported what it was told.
func (s *Servers) applyLimits(from ident.Daemon, a *wire.ServerLimitsAsk, r *wire.ServerLimitsAnswer) {
	if r == nil {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	l := s.record.Observations()
	for _, x := range a.GetLimits() {
		k := decodeTarget(x)
		if l[k].Rate == x.GetRate() { // else it was observed again since then
			delete(s.unreported, k)
		}
	}
	s.observeAll(from, r.GetLimits())
}

// observeAll records the observations of other daemons. The caller must hold pool.mu.
func (s *Servers) observeAll(from ident.Daemon, l []*wire.ServerLimit) {
	now, snap := s.o.Clock.Now(), s.o.View.Snapshot()
	for _, x := range l {
		k := decodeTarget(x)
		if y := snap.Servers[k.Server]; y == nil || y.Born != k.Born {
			continue
		}
		age := time.Duration(x.GetAgeUs()) * time.Microsecond //nolint:gosec // below the life of a server
		s.observe(k, limits.Observation{Rate: x.GetRate(), At: now.Add(-age)}, from)
	}
}

func (s *Servers) encodeLimit(k limits.Target, o limits.Observation) *wire.ServerLimit {
	age := max(0, s.o.Clock.Now().Sub(o.At))
	return &wire.ServerLimit{Server: string(k.Server), Born: k.Born, Rate: o.Rate, AgeUs: uint64(age.Microseconds())} //nolint:gosec // not negative
}

func decodeTarget(x *wire.ServerLimit) limits.Target {
	return limits.Target{Server: ident.Server(x.GetServer()), Born: x.GetBorn()}
}

// Count returns the number of servers that name a limit.
func (s *Servers) Count() int { return int(s.limited.Load()) }

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

// Prune discards servers that are no longer announced.
func (s *Servers) Prune(x *site.Snapshot) {
	if s.known.Load() == 0 {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if !s.record.Prune(s.o.Clock.Now(), x) {
		return
	}
	s.recordChanged()
	known := map[quota.Subject]bool{}
	l := s.record.Observations()
	for k := range l {
		known[k.Subject()] = true
	}
	for k := range s.counts {
		if _, ok := l[k]; !ok {
			delete(s.counts, k)
		}
	}
	for k := range s.unreported {
		if _, ok := l[k]; !ok {
			delete(s.unreported, k)
		}
	}
	s.pool.tokens.Retain(func(n quota.Subject) bool { return known[n] })
}
