package limit

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"heatherrouter/core/ident"
	"heatherrouter/core/limits"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
)

// Servers records the request limits that backend servers name. It is safe for concurrent use.
type Servers struct {
	o ServersOptions

	mu     sync.Mutex
	record *limits.Record
	counts map[limits.Target]sendCounts // of the servers that name a limit
}

// ServersOptions configures a Servers.
type ServersOptions struct {
	Clock *clock.Clock
	Log   *log.Logger
}

// sendCounts counts what happened to this daemon's requests since the server named its limit.
type sendCounts struct {
	namedAt mono.Time
	sent    int
}

// NewServers returns a Servers without limits.
func NewServers(o ServersOptions) *Servers {
	return &Servers{o: o, record: limits.NewRecord(), counts: map[limits.Target]sendCounts{}}
}

// Observe implements send.ServerLimits.
func (s *Servers) Observe(x *site.Server, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(limits.TargetOf(x), limits.Observation{Rate: rate, At: s.o.Clock.Now()}, "")
}

// observe records an observation of this daemon, or of the peer it came from. The caller must hold s.mu.
func (s *Servers) observe(k limits.Target, o limits.Observation, from ident.Daemon) {
	c := s.record.Observe(k, o)
	e := s.o.Log.Info().Str("server", string(k.Server)).Float64("rate", o.Rate)
	if from != "" {
		e.Str("from", string(from))
	}
	switch c {
	case limits.Named:
		s.counts[k] = sendCounts{namedAt: o.At}
		e.Msg("server names a limit")
	case limits.Ended:
		x := s.counts[k]
		delete(s.counts, k)
		e.Dur("limited-for", o.At.Sub(x.namedAt)).Int("sent", x.sent).Msg("limit of a server ended")
	case limits.Altered, limits.Unchanged:
		e.Discard()
	}
}

// Sent implements send.ServerLimits.
func (s *Servers) Sent(x *site.Server) {
	k := limits.TargetOf(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.counts[k]; ok {
		n.sent++
		s.counts[k] = n
	}
}

// Count returns the number of servers that name a limit.
func (s *Servers) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.Count()
}

// ServerState is a server that names a limit, for the state page.
type ServerState struct {
	Server    ident.Server `json:"server"`
	Rate      float64      `json:"rate"`       // requests per second
	LimitedMS int64        `json:"limited-ms"` // since this daemon learned of it
	Sent      int          `json:"sent"`       // by this daemon in that time
}

// States returns the servers that name a limit, ordered by id.
func (s *Servers) States() []ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	l := make([]ServerState, 0, len(s.counts))
	for k, n := range s.counts {
		rate, _ := s.record.Limit(k)
		l = append(l, ServerState{
			Server: k.Server, Rate: math.Round(100*rate) / 100, LimitedMS: now.Sub(n.namedAt).Milliseconds(), Sent: n.sent,
		})
	}
	slices.SortFunc(l, func(a, b ServerState) int { return cmp.Compare(a.Server, b.Server) })
	return l
}

// Prune discards servers that are no longer announced.
func (s *Servers) Prune(x *site.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Prune(s.o.Clock.Now(), x) {
		for k := range s.counts {
			if _, ok := s.record.Limit(k); !ok {
				delete(s.counts, k)
			}
		}
	}
}
