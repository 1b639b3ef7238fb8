// Package home is the duty of the one daemon that may send work to a backend server: it holds the server's lease,
// its connections, its slots and its queue.
package home

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"

	"heatherrouter/core/admit"
	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/view"
	"heatherrouter/io/wire"
)

const (
	tick      = 20 * time.Millisecond  // between two looks at queues, probes and asks that are due
	askLimit  = 350 * time.Millisecond // for one ask of a witness, less than the time between two renewals
	peerEvery = 100 * time.Millisecond // between two comparisons with the latencies of the peers
)

// Caller sends calls to peers.
type Caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

// Witness answers the asks to this daemon's own witness, without a connection.
type Witness interface {
	Ask(sentAt mono.Time, from ident.Daemon, a *wire.LeaseAsk) *wire.LeaseAnswer
}

// Options are what Homes need.
type Options struct {
	Self      ident.Daemon
	Life      ident.Incarnation
	Terms     lease.Terms
	Clock     *clock.Clock
	View      *view.View
	Caller    Caller
	Witness   Witness
	Alive     func(ident.Daemon) bool
	Heard     func(ident.Daemon)
	Latencies func(s ident.Service, without ident.Server) []time.Duration
	Proven    func(s ident.Server) admit.ProvenSlots // what the last home reported of a server
	Log       *log.Logger
}

// Homes are all servers that this daemon is home or standby of.
type Homes struct {
	o     Options
	wake  chan struct{} // a new snapshot, or a lease to ask for at once
	moved chan struct{} // shards or leases may have come here
	wants sync.Map      // recipient -> bool: the witness wants reports

	mu   sync.RWMutex
	list map[ident.Server]*Home
}

// New starts the duties in the group.
func New(g *group.Group, o Options) *Homes {
	s := &Homes{o: o, wake: make(chan struct{}, 1), moved: make(chan struct{}, 1), list: map[ident.Server]*Home{}}
	o.View.OnChange(func(*view.Snapshot) { s.poke() })
	g.Go(s.loop)
	g.Go(s.release)
	return s
}

// poke makes the loop look at the snapshot and at the leases at once.
func (s *Homes) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Homes) loop(c context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	var last *view.Snapshot
	for {
		if n := s.o.View.Get(); n != last {
			last = n
			s.take(n)
			s.lookForReleases()
		}
		s.renew(c)
		for _, h := range s.all() {
			if h.tick(s.o.Clock.Now()) {
				s.lookForReleases()
			}
		}
		select {
		case <-c.Done():
			s.close()
			return nil
		case <-t.C:
		case <-s.wake:
		}
	}
}

// lookForReleases wakes the duty that asks for shards.
func (s *Homes) lookForReleases() {
	select {
	case s.moved <- struct{}{}:
	default:
	}
}

func (s *Homes) all() []*Home {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l := make([]*Home, 0, len(s.list))
	for _, h := range s.list {
		l = append(l, h)
	}
	return l
}

func (s *Homes) get(id ident.Server) *Home {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.list[id]
}

// Held returns the servers whose lease this daemon holds now.
func (s *Homes) Held() []ident.Server {
	var l []ident.Server
	for _, h := range s.all() {
		if h.holds() {
			l = append(l, h.id)
		}
	}
	return l
}

// Open returns how many exchanges are under way.
func (s *Homes) Open() int {
	n := 0
	for _, h := range s.all() {
		h.mu.Lock()
		n += h.open
		h.mu.Unlock()
	}
	return n
}

// take brings the homes in line with the snapshot.
func (s *Homes) take(n *view.Snapshot) {
	seen := map[ident.Server]bool{}
	for _, c := range n.Config.Services {
		p := n.Part(c.Name)
		if p == nil {
			continue
		}
		for i := range c.Servers {
			v := &c.Servers[i]
			row, ok := p.Server(v.ID)
			if ok && s.takeServer(n, c, v, p, row) {
				seen[v.ID] = true
			}
		}
		s.takeRemoved(n, c, p, seen)
	}
	s.drop(seen)
}

// takeRemoved keeps the homes of servers that left the configuration for as long as they have a row. Their shards
// move on only after this daemon has released them: were the home dropped at once, the keys would be without a
// server until its lease and every deadline had passed.
func (s *Homes) takeRemoved(n *view.Snapshot, c *config.Service, p *part.Part, seen map[ident.Server]bool) {
	for id, row := range p.Servers {
		h := s.get(id)
		if h == nil || seen[id] {
			continue
		}
		a := lease.Assignment{Home: row.Home, Epoch: row.Epoch, Standby: row.Standby}
		h.update(n, c, h.settings(), p, row, a.EpochOf(s.o.Self))
		seen[id] = true
	}
}

// takeServer makes or updates the home of one server; it reports whether the home is still needed.
func (s *Homes) takeServer(n *view.Snapshot, c *config.Service, v *config.Server, p *part.Part, row part.Server) bool {
	a := lease.Assignment{Home: row.Home, Epoch: row.Epoch, Standby: row.Standby}
	e := a.EpochOf(s.o.Self)
	h := s.get(v.ID)
	if h == nil {
		if e == 0 {
			return false
		}
		h = newHome(&s.o, c, *v)
		s.mu.Lock()
		s.list[v.ID] = h
		s.mu.Unlock()
	}
	h.update(n, c, *v, p, row, e)
	return true
}

// drop ends the homes of servers that are in no configuration any more, once nothing is in flight.
func (s *Homes) drop(seen map[ident.Server]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.list {
		if !seen[id] && h.retire() {
			delete(s.list, id)
		}
	}
}

func (s *Homes) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.list {
		_ = h.pool.Close() // never fails
	}
}

// Stop hands back every lease whose server has nothing in flight from here; for a daemon that leaves.
func (s *Homes) Stop() {
	for _, h := range s.all() {
		h.stop()
	}
	s.poke()
}

// State returns a dump of all homes, for the state dump.
func (s *Homes) State() map[ident.Server]State {
	m := map[ident.Server]State{}
	s.mu.RLock()
	l := maps.Clone(s.list)
	s.mu.RUnlock()
	for id, h := range l {
		m[id] = h.state()
	}
	return m
}
