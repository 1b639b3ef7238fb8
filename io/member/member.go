// Package member keeps the daemon's view of the other daemons: their addresses, and which of them are alive.
package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/hosts"
	"heatherrouter/io/wire"
)

const (
	tick        = 100 * time.Millisecond // between two looks at who is due for a probe
	probeAfter  = 450 * time.Millisecond // of silence; longer than between two renewals, so that a home needs none
	probeLimit  = 400 * time.Millisecond // for one probe
	randomEvery = 500 * time.Millisecond // between two probes of a random daemon, which compare documents
	listEvery   = 2 * time.Second        // between two readings of the host list
	meetFor     = 10 * time.Second       // after the start, daemons that were never heard of are sought out
	meetAtOnce  = 2                      // in one tick
)

// Caller sends calls to peers.
type Caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

// Docs compares the copies of documents with a peer's.
type Docs interface {
	Digest() uint64
	Revs() []*wire.DocRev
	Reconcile(c context.Context, from ident.Daemon, revs []*wire.DocRev)
}

// Lister reads the platform's host list.
type Lister interface {
	List(c context.Context) ([]hosts.Host, error)
}

// Host is a daemon's entry.
type Host struct {
	Word live.Heartbeat
	Peer netip.AddrPort
}

// Options are what Members need.
type Options struct {
	Self   Host
	Seeds  []Host // known from the settings; used until the host list or a peer names more
	Clock  *clock.Clock
	Caller Caller
	Docs   Docs
	List   Lister
	Log    *log.Logger
}

// Members is the daemon's view of all daemons.
type Members struct {
	o Options

	mu      sync.Mutex
	view    *live.View
	self    Host
	addrs   map[ident.Daemon]netip.AddrPort
	watched map[ident.Daemon]bool
	probing map[ident.Daemon]bool
}

// New returns a view that knows the daemon itself and the seeds; Run starts its duties.
func New(o Options) *Members {
	m := &Members{
		o: o, self: o.Self, view: live.New(o.Clock.Now(), o.Self.Word),
		addrs: map[ident.Daemon]netip.AddrPort{}, watched: map[ident.Daemon]bool{}, probing: map[ident.Daemon]bool{},
	}
	for _, s := range o.Seeds {
		m.addrs[s.Word.Daemon] = s.Peer
	}
	m.addrs[o.Self.Word.Daemon] = o.Self.Peer
	return m
}

// Run starts the probes and the reading of the host list in the group.
func (m *Members) Run(g *group.Group) {
	g.Go(m.probeLoop)
	g.Go(m.listLoop)
}

// Addr implements peer.Resolver.
func (m *Members) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.addrs[d]
	return a, ok
}

// Heard notes that a daemon has just shown itself alive by a message.
func (m *Members) Heard(d ident.Daemon) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Refresh(m.o.Clock.Now(), d)
}

// Alive reports whether a daemon seems alive.
func (m *Members) Alive(d ident.Daemon) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Alive(m.o.Clock.Now(), d)
}

// Daemons returns all known daemons.
func (m *Members) Daemons() []live.Daemon {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Daemons(m.o.Clock.Now())
}

// Watch sets the daemons whose silence must be noticed within live.SuspectAfter.
func (m *Members) Watch(l map[ident.Daemon]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watched = l
}

// Leave tells the others that this daemon is leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Word.Leaving = true
	m.view.Observe(m.o.Clock.Now(), m.self.Word)
}

// Random returns up to n other daemons that seem alive.
func (m *Members) Random(n int) []ident.Daemon {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock.Now()
	var l []ident.Daemon
	for _, d := range m.view.Daemons(now) {
		if d.Daemon != m.self.Word.Daemon && now.Sub(d.LastContact) < live.ForgetAfter/10 {
			l = append(l, d.Daemon)
		}
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(n, len(l))]
}

func (m *Members) probeLoop(c context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	random := m.o.Clock.Now()
	met := m.o.Clock.Now().Add(meetFor)
	for {
		for _, d := range m.due() {
			go m.probe(c, d)
		}
		if m.o.Clock.Now().Before(met) {
			for _, d := range m.unmet() {
				go m.probe(c, d)
			}
		}
		if now := m.o.Clock.Now(); !now.Before(random) {
			random = now.Add(time.Duration(float64(randomEvery) * (0.75 + rand.Float64()/2)))
			if d, ok := m.anyone(); ok {
				go m.probe(c, d)
			}
		}
		select {
		case <-c.Done():
			return nil
		case <-t.C:
		}
	}
}

// due returns the watched daemons that have been silent for probeAfter.
func (m *Members) due() []ident.Daemon {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock.Now()
	heard := map[ident.Daemon]mono.Time{}
	for _, d := range m.view.Daemons(now) {
		heard[d.Daemon] = d.LastContact
	}
	var l []ident.Daemon
	for d := range m.watched {
		if d != m.self.Word.Daemon && !m.probing[d] && now.Sub(heard[d]) >= probeAfter {
			l = append(l, d)
		}
	}
	return l
}

// unmet returns a few daemons whose address is known and that were never heard of. The first assignment is made
// 2 s after a start, from the daemons that are known by then: met by chance, some of them would be missing, and the
// service would have three witnesses instead of five.
func (m *Members) unmet() []ident.Daemon {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := map[ident.Daemon]bool{}
	for _, d := range m.view.Daemons(m.o.Clock.Now()) {
		heard[d.Daemon] = true
	}
	var l []ident.Daemon
	for d := range m.addrs {
		if !heard[d] && !m.probing[d] && len(l) < meetAtOnce {
			l = append(l, d)
		}
	}
	return l
}

// anyone returns a random daemon whose address is known, alive or not, so that cut parts find each other again.
func (m *Members) anyone() (ident.Daemon, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []ident.Daemon
	for d := range m.addrs {
		if d != m.self.Word.Daemon && !m.probing[d] {
			l = append(l, d)
		}
	}
	if len(l) == 0 {
		return "", false
	}
	return l[rand.IntN(len(l))], true
}

func (m *Members) probe(c context.Context, d ident.Daemon) {
	m.mu.Lock()
	m.probing[d] = true
	few := len(m.view.Daemons(m.o.Clock.Now())) < len(m.addrs) || len(m.addrs) < 2+len(m.o.Seeds)
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.probing, d)
	}()
	x, cancel := context.WithTimeout(c, probeLimit)
	defer cancel()
	r, err := m.o.Caller.Call(x, d, &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{
		Self: m.wireSelf(), Digest: m.o.Docs.Digest(), WantHosts: few,
	}}})
	if err != nil || r.GetProbe() == nil {
		return
	}
	a := r.GetProbe()
	m.hear(a.GetSelf())
	for _, h := range a.GetHosts() {
		m.meet(h)
	}
	if len(a.GetRevs()) > 0 {
		m.o.Docs.Reconcile(c, d, a.GetRevs())
	}
}

// Probed answers a peer's probe.
func (m *Members) Probed(p *wire.Probe) *wire.ProbeAnswer {
	m.hear(p.GetSelf())
	a := &wire.ProbeAnswer{Self: m.wireSelf(), Digest: m.o.Docs.Digest()}
	if a.GetDigest() != p.GetDigest() {
		a.Revs = m.o.Docs.Revs()
	}
	if p.GetWantHosts() {
		a.Hosts = m.wireHosts()
	}
	return a
}

func (m *Members) listLoop(c context.Context) error {
	if m.o.List == nil {
		return nil
	}
	bad := false
	for {
		l, err := m.o.List.List(c)
		if err != nil && !bad {
			m.o.Log.Warn().Err(err).Msg("host list not read, the last one stays in use")
		}
		bad = err != nil
		if err == nil {
			m.listed(l)
		}
		select {
		case <-c.Done():
			return nil
		case <-time.After(listEvery):
		}
	}
}

func (m *Members) listed(l []hosts.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	leaving := map[ident.Daemon]bool{}
	for _, h := range l {
		leaving[h.Name] = h.State == hosts.Leaving
		if h.Name != m.self.Word.Daemon {
			m.addrs[h.Name] = h.Peer
		}
	}
	m.view.SetHostList(leaving)
}
