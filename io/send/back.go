package send

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/site"
	"heatherrouter/io/conns"
	"heatherrouter/io/wire"
)

// backKey names one life of a server at one address.
type backKey struct {
	id   ident.Server
	born int64
	addr netip.AddrPort
}

func keyOf(x *site.Server) backKey {
	return backKey{id: x.ID, born: x.Born, addr: x.Addr}
}

// back is one life of a backend server as this daemon sees it.
type back struct {
	server *site.Server
	pool   *conns.Pool

	mu        sync.Mutex
	load      choice.Load
	cold      pace.Window // of requests while it is cold
	keyed     bool
	samples   []uint32 // of the time of undisturbed requests, since the coordinator was last told
	leastPace float64  // that it reported since then; 0 for no report

	suspect mono.Time   // until when the server may have started again, and be cold, without having said so
	again   pace.Window // of requests in that time
}

const (
	dialTimeout = 250 * time.Millisecond

	// maxAnswer bounds an answer held in memory, in bytes.
	maxAnswer = 32 << 20

	// maxConns bounds the connections to one server, which accepts a limited number from all daemons together.
	maxConns = 64
)

// back returns the state of a server's life, made when it is first asked for.
func (s *Sender) back(x *site.Server) *back {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := keyOf(x)
	b := s.backs[k]
	if b == nil {
		b = &back{server: x, load: choice.Load{Slots: x.Slots}}
		b.pool = conns.New(conns.Options{
			Addr: x.Addr, MaxConns: maxConns, DialTimeout: dialTimeout, ProbeInterval: conns.NoProbes, MaxBody: maxAnswer,
			Names: s.names, CloseDelimited: true,
		})
		s.backs[k] = b
	}
	return b
}

// Prune closes the connections to servers that are gone.
func (s *Sender) Prune() {
	snap := s.o.View.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.backs, func(k backKey, b *back) bool {
		x := snap.Servers[k.id]
		if x != nil && keyOf(x) == k {
			return false
		}
		_ = b.pool.Close() // ends idle connections; those in use end with their requests
		return true
	})
}

// daemonNames lists the daemons that share what is bounded for all together.
func (s *Sender) daemonNames(snap *site.Snapshot) []ident.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed != snap {
		s.daemons, s.listed = slices.Sorted(maps.Keys(snap.Daemons)), snap
	}
	return s.daemons
}

// limit returns the window in which requests to the server are counted, how many it allows and for which span; nil when
// the server is neither cold nor may be.
func (s *Sender) limit(b *back, x *site.Server, v *site.Service, names []ident.Daemon, now mono.Time) (*pace.Window, int, time.Duration) {
	switch {
	case now.Before(x.ColdUntil):
		l := s.o.Cold
		l.Rate = v.WarmRate
		return &b.cold, pace.ColdShare(x.ID, s.o.Self, names, l), pace.ColdSpan
	case now.Before(b.suspect):
		return &b.again, 1, suspectPace
	}
	return nil, 0, 0
}

// bucket is keys that are counted together.
type bucket struct {
	service ident.Service
	n       uint32
}

// arrive counts the request.
func (s *Sender) arrive(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(r.service.Name).Arrive(r.arrived, s.o.Budget)
	if r.service.Keyed && r.hasKey {
		s.counts[bucket{service: r.service.Name, n: uint32(r.key) / hold.BucketKeys}]++
	}
}

// budget returns the service's budget; the caller holds the lock.
func (s *Sender) budget(n ident.Service) *pace.Budget {
	b := s.budgets[n]
	if b == nil {
		b = &pace.Budget{Since: s.started}
		s.budgets[n] = b
	}
	return b
}

// takeMore pays for a send beyond the first.
func (s *Sender) takeMore(r *request, now mono.Time) bool {
	n := len(s.daemonNames(s.o.View.Snapshot()))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(r.service.Name).Take(now, n, s.o.Budget, r.back)
}

// cameBack reports whether a request on the route, with so much of its caller's time left, was refused before.
func (s *Sender) cameBack(r *site.Route, left time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.waits[r.Name]
	if p == nil {
		p = &pace.Patience{}
		s.waits[r.Name] = p
	}
	return p.CameBack(left)
}

// Measures returns what the coordinator plans by, since it was last asked: requests by key, and the speed of servers that
// hold keys.
func (s *Sender) Measures() ([]*wire.KeyCount, []*wire.ServerWork) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]*wire.KeyCount, 0, len(s.counts))
	for b, n := range s.counts {
		l = append(l, &wire.KeyCount{Service: string(b.service), Bucket: b.n, Requests: n})
	}
	clear(s.counts)
	var works []*wire.ServerWork
	for _, b := range s.backs {
		if w := b.measured(); w != nil {
			works = append(works, w)
		}
	}
	return l, works
}

// measured returns what was seen of the server's speed since it was last asked, or nil for nothing.
func (b *back) measured() *wire.ServerWork {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.keyed || b.leastPace == 0 {
		return nil
	}
	w := &wire.ServerWork{
		Service: string(b.server.Service), Server: string(b.server.ID), PacePercent: uint32(math.Round(100 * b.leastPace)),
		Took_100Us: b.samples,
	}
	b.samples, b.leastPace = nil, 0
	return w
}

// report takes in a server's report of its load.
func (b *back) report(now mono.Time, r Report) {
	b.load.Report(now, r.Running, r.Waiting, r.Pace)
	if b.leastPace == 0 || r.Pace < b.leastPace {
		b.leastPace = r.Pace
	}
}

// unpaid returns why a request isn't sent again that the budget has nothing left for. Where the server is full its callers
// must not come back at once, as those of one may that turns requests away whatever its load.
func (b *back) unpaid(now mono.Time) reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.load.Full(now) {
		return reasonFull
	}
	return reasonBudget
}

// maxSamples bounds the samples kept for a coordinator that doesn't ask.
const maxSamples = 64

// sample keeps how long an undisturbed request took, as it would at a usual server.
func (b *back) sample(d time.Duration) {
	if b.keyed && len(b.samples) < maxSamples {
		b.samples = append(b.samples, uint32(min(d/choice.SampleUnit, math.MaxUint32))) //nolint:gosec // bounded
	}
}

// unit returns how long the service's requests take at a usual server; 0 while unknown.
func (s *Sender) unit(n ident.Service) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.units[n]; q != nil {
		return time.Duration(q.Q)
	}
	return 0
}

func (s *Sender) observeUnit(n ident.Service, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.units[n]
	if q == nil {
		q = &choice.Quantile{P: choice.UnitQuantile}
		s.units[n] = q
	}
	q.Add(float64(d))
}
