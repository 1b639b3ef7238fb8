package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"heatherrouter/core/admit"
	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
	"heatherrouter/core/route"
	"heatherrouter/io/view"
	"heatherrouter/io/wire"
)

// loads is what the homes last reported of their backend servers, with what this entry has in flight there itself.
type loads struct {
	m sync.Map // ident.Server -> *load
}

type load struct {
	mine atomic.Int32 // sends of this entry in flight

	mu     sync.Mutex
	at     mono.Time
	report *wire.ServerReport
}

func newLoads() *loads {
	return &loads{}
}

func (l *loads) of(s ident.Server) *load {
	if x, ok := l.m.Load(s); ok {
		return x.(*load) //nolint:errcheck,forcetypeassert // the map holds nothing else
	}
	x, _ := l.m.LoadOrStore(s, &load{})
	return x.(*load) //nolint:errcheck,forcetypeassert // the map holds nothing else
}

// freshLoad is how old a report may be to compare latencies with.
const freshLoad = 2 * time.Second

// Latencies returns how long the servers of a service take, without one of them, as far as this entry heard lately.
func (e *Entry) Latencies(s ident.Service, without ident.Server) []time.Duration {
	c := e.o.View.Get().Config.Services[s]
	if c == nil {
		return nil
	}
	now := e.o.Clock.Now()
	var out []time.Duration
	for i := range c.Servers {
		if c.Servers[i].ID == without {
			continue
		}
		if d, ok := e.loads.of(c.Servers[i].ID).latency(now); ok {
			out = append(out, d)
		}
	}
	return out
}

// Proven returns how many slots a server had open in which life, as its home last reported.
func (e *Entry) Proven(s ident.Server) admit.ProvenSlots {
	l := e.loads.of(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	return admit.ProvenSlots{
		Incarnation: ident.Incarnation(l.report.GetIncarnation()), Slots: int(l.report.GetOpenSlots()),
	}
}

func (l *load) latency(now mono.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := time.Duration(l.report.GetLatencyUs()) * time.Microsecond
	return d, d > 0 && now.Sub(l.at) < freshLoad
}

func (l *load) take(now mono.Time, r *wire.ServerReport) {
	if r == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at, l.report = now, r
}

func (l *load) candidate(s ident.Server) route.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	mine := int(l.mine.Load())
	return route.Candidate{
		Server: s, Slow: l.report.GetSlow(), Down: l.report.GetDown(), ReportedAt: l.at,
		InFlight:  max(int(l.report.GetInFlight()), mine),
		Queued:    int(l.report.GetQueued()),
		OpenSlots: max(1, int(l.report.GetOpenSlots())),
	}
}

// target is where one send goes.
type target struct {
	server ident.Server
	daemon ident.Daemon
	epoch  ident.Epoch // of the shard, for a keyed service
}

// tried remembers where the sends of one request went.
type tried struct {
	servers []ident.Server
	daemons []ident.Daemon
	last    target
}

func (t *tried) add(x target) {
	t.servers = append(t.servers, x.server)
	t.daemons = append(t.daemons, x.daemon)
	t.last = x
}

func (t *tried) server(s ident.Server) bool {
	for _, x := range t.servers {
		if x == s {
			return true
		}
	}
	return false
}

// times returns how often a server was tried at a daemon.
func (t *tried) times(s ident.Server, d ident.Daemon) int {
	n := 0
	for i := range t.servers {
		if t.servers[i] == s && t.daemons[i] == d {
			n++
		}
	}
	return n
}

// pick chooses where the next send goes; others tells whether the service has a server that wasn't tried.
func (e *Entry) pick(r *request) (x target, others, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, t := &r.match, &r.tried
	s := e.o.View.Get()
	p := s.Part(m.Service.Name)
	if p == nil {
		return target{}, false, false
	}
	if m.Service.Keyed() {
		o := p.Owner(m.Shard)
		row, ok := p.Server(o.Server)
		if !ok {
			return target{}, false, false
		}
		return target{server: o.Server, daemon: e.daemon(row, t), epoch: o.Epoch}, false, true
	}
	return e.pickUnkeyed(s, r, p)
}

// daemon chooses between the home and its standby, which takes over by itself when the home is lost: so a
// failed send at one is followed by a send at the other, and a home that can't be reached is not waited for.
func (e *Entry) daemon(r part.Server, t *tried) ident.Daemon {
	if r.Standby == "" {
		return r.Home
	}
	home, standby := t.times(r.ID, r.Home), t.times(r.ID, r.Standby)
	if home > standby {
		return r.Standby
	}
	if home == standby && r.Home != e.o.Self && e.o.Peers.Unreachable(r.Home) && !e.o.Peers.Unreachable(r.Standby) {
		return r.Standby
	}
	return r.Home
}

func (e *Entry) pickUnkeyed(s *view.Snapshot, r *request, p *part.Part) (x target, others, ok bool) {
	c, t := r.match.Service, &r.tried
	now := e.o.Clock.Now()
	l := make([]route.Candidate, 0, 32)
	for i := range c.Servers {
		l = append(l, e.candidate(s, &c.Servers[i], p, t))
		others = others || l[i].Usable(now) && !l[i].Tried
	}
	i, ok := route.Pick(now, l, rand.Uint64())
	if r.named && !r.match.Kind.Idempotent {
		i, ok = pickNamed(now, l, r.id)
	}
	if !ok {
		return target{}, false, false
	}
	row, _ := p.Server(l[i].Server)
	return target{server: row.ID, daemon: e.daemon(row, t)}, others, true
}

// pickNamed chooses by the caller's own name for the request. A caller that sends a swap again, perhaps by another
// entry, so reaches the same home, which recognizes the name; spread over all servers it would run twice.
func pickNamed(now mono.Time, l []route.Candidate, id string) (int, bool) {
	best, score := -1, uint64(0)
	for i := range l {
		s := live.Score(id, ident.Daemon(l[i].Server))
		if l[i].Usable(now) && !l[i].Tried && (best < 0 || s > score) {
			best, score = i, s
		}
	}
	return best, best >= 0
}

func (e *Entry) candidate(s *view.Snapshot, v *config.Server, p *part.Part, t *tried) route.Candidate {
	c := e.loads.of(v.ID).candidate(v.ID)
	row, ok := p.Server(v.ID)
	c.Tried = t.server(v.ID)
	if !ok || row.State != part.Active || s.Config.ServerDrained(v) {
		c.Excluded = true
	}
	return c
}
