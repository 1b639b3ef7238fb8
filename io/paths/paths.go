// Package paths maintains a daemon's record of which backend servers it can reach over its own connections. It collects the results
// of requests and orders, and opens connections to check servers that are in doubt.
package paths

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/reach"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
)

const (
	// probeTimeout bounds the time to connect to a server. A connection within a site takes milliseconds.
	probeTimeout = 250 * time.Millisecond

	// probers is the number of servers that are probed concurrently, and maxQueued how many more may wait for a probe.
	probers   = 8
	maxQueued = 64

	// retryInterval is the time between passes over the unreachable servers. Each pass probes at most maxQueued of them.
	retryInterval = 100 * time.Millisecond

	// pruneInterval is the time between passes over all servers, which discard those that are gone.
	pruneInterval = time.Second
)

// View provides the daemon's view of its site.
type View interface {
	Snapshot() *site.Snapshot
}

// Options configures a Tracker.
type Options struct {
	View  View
	Clock *clock.Clock
	Log   *log.Logger
	Dial  func(c context.Context, a netip.AddrPort) error // connects to a server and closes the connection

	// InBackoff reports whether nothing may be sent to the server because it requested backoff.
	InBackoff func(x *site.Server) bool
}

// Tracker is the record of one daemon. It is safe for concurrent use.
type Tracker struct {
	o      Options
	probes chan *site.Server

	failures atomic.Bool  // whether any server is unreachable or suspected
	lostAt   atomic.Int64 // when a server was last found to be silent, as mono.Time

	mu    sync.Mutex
	paths *reach.Paths
}

// New returns a Tracker whose probes run in the group.
func New(g *group.Group, o Options) *Tracker {
	t := &Tracker{o: o, probes: make(chan *site.Server, maxQueued), paths: reach.NewPaths()}
	for range probers {
		g.Go(t.probe)
	}
	g.Go(t.retryUnreachable)
	return t
}

// TargetOf returns the target that identifies the server's incarnation.
func TargetOf(x *site.Server) reach.Target {
	return reach.Target{Service: x.Service, Server: x.ID, Born: x.Born, Addr: x.Addr}
}

// Answered records that the server sent something on a connection of this daemon, and whether the connection was new.
func (t *Tracker) Answered(x *site.Server, fresh bool) {
	t.mu.Lock()
	d := t.paths.Answered(t.o.Clock.Now(), TargetOf(x), fresh)
	if t.failures.Load() {
		t.failures.Store(!t.paths.AllReachable())
	}
	t.mu.Unlock()
	if d > 0 {
		t.o.Log.Info().Str("server", string(x.ID)).Str("service", string(x.Service)).Dur("unreachable-for", d).Msg("server reachable again")
	}
}

// Failed records a failed attempt to reach the server, which began at the given time.
func (t *Tracker) Failed(began mono.Time, x *site.Server, f reach.Failure) {
	t.mu.Lock()
	lost, suspected := t.paths.Failed(began, t.o.Clock.Now(), TargetOf(x), f)
	t.failures.Store(!t.paths.AllReachable())
	t.mu.Unlock()
	if lost && f == reach.Silent {
		t.lostAt.Store(int64(t.o.Clock.Now()))
	}
	if lost {
		t.o.Log.Info().Str("server", string(x.ID)).Str("service", string(x.Service)).Str("failure", f.String()).Msg("server unreachable")
	}
	if suspected {
		t.o.Log.Warn().Str("service", string(x.Service)).Str("failure", f.String()).Msg("no server of the service answers this daemon")
	}
}

// FailureOf classifies the error of an attempt to connect to a server, which took the given time of at most limit. It returns 0 if
// the error says nothing about the path.
func FailureOf(err error, took, limit time.Duration) reach.Failure {
	var n net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return reach.Refused
	case errors.Is(err, syscall.ETIMEDOUT):
		return reach.Silent
	case errors.As(err, &n) && n.Timeout() && took >= limit-limit/10:
		return reach.Silent
	}
	return 0
}

// State returns the state of the path to the server and how the server could last not be reached. Asking for an unverified server
// makes the tracker check it.
func (t *Tracker) State(x *site.Server) (reach.State, reach.Failure) {
	if !t.failures.Load() {
		return reach.Reachable, 0
	}
	k := TargetOf(x)
	t.mu.Lock()
	s, f := t.paths.State(k), t.paths.Failure(k)
	t.mu.Unlock()
	if s == reach.Unverified {
		t.Verify(x)
	}
	return s, f
}

// Suspected reports whether all servers of the service are suspected to be unreachable.
func (t *Tracker) Suspected(n ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paths.Suspected(n)
}

// SilentSince returns when a server was last found to be silent; 0 for never.
func (t *Tracker) SilentSince() mono.Time { return mono.Time(t.lostAt.Load()) }

// Verify probes the server in the background, unless a probe was made lately or the server requested backoff.
func (t *Tracker) Verify(x *site.Server) {
	if t.o.InBackoff(x) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.probes) == cap(t.probes) || !t.paths.TakeProbe(t.o.Clock.Now(), TargetOf(x)) {
		return
	}
	select {
	case t.probes <- x:
	default: // another probe took the last place
	}
}

// probe connects to the servers in the queue.
func (t *Tracker) probe(c context.Context) error {
	for {
		select {
		case <-c.Done():
			return nil
		case x := <-t.probes:
			t.connect(c, x)
		}
	}
}

// connect connects to the server, records the result, and reports whether it succeeded.
func (t *Tracker) connect(c context.Context, x *site.Server) bool {
	began := t.o.Clock.Now()
	y, cancel := context.WithTimeout(c, probeTimeout)
	defer cancel()
	err := t.o.Dial(y, x.Addr)
	if c.Err() != nil {
		return false
	}
	if f := FailureOf(err, t.o.Clock.Now().Sub(began), probeTimeout); f != 0 {
		t.Failed(began, x, f)
	}
	if err == nil {
		t.Answered(x, true)
	}
	return err == nil
}

// maxChecked bounds the servers of one Check.
const maxChecked = 16

// Check connects to the servers, at most maxChecked, and returns those that accept a connection.
func (t *Tracker) Check(c context.Context, ids []ident.Server) []ident.Server {
	s := t.o.View.Snapshot()
	var w sync.WaitGroup
	var mu sync.Mutex
	var reached []ident.Server
	for _, id := range ids[:min(len(ids), maxChecked)] {
		x := s.Servers[id]
		if x == nil {
			continue
		}
		w.Go(func() {
			if t.connect(c, x) {
				mu.Lock()
				defer mu.Unlock()
				reached = append(reached, id)
			}
		})
	}
	w.Wait()
	return reached
}

// retryUnreachable probes unreachable servers until they are reachable or gone.
func (t *Tracker) retryUnreachable(c context.Context) error {
	tick := time.NewTicker(retryInterval)
	defer tick.Stop()
	var pruned mono.Time
	for {
		select {
		case <-c.Done():
			return nil
		case <-tick.C:
		}
		s, now := t.o.View.Snapshot(), t.o.Clock.Now()
		if now.Sub(pruned) >= pruneInterval {
			pruned = now
			t.prune(s)
		}
		if !t.failures.Load() {
			continue
		}
		for _, x := range t.unreachable(s) {
			t.Verify(x)
		}
	}
}

// prune discards the state of servers that are gone.
func (t *Tracker) prune(s *site.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paths.Retain(func(k reach.Target) bool {
		x := s.Servers[k.Server]
		return x != nil && TargetOf(x) == k
	})
	t.failures.Store(!t.paths.AllReachable())
}

// unreachable returns the announced servers that are unreachable.
func (t *Tracker) unreachable(s *site.Snapshot) []*site.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []*site.Server
	for k := range t.paths.Unreachable(t.o.Clock.Now()) {
		if x := s.Servers[k.Server]; x != nil && TargetOf(x) == k {
			l = append(l, x)
		}
	}
	return l
}

// Count returns the number of unreachable servers.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.paths.Unreachable(t.o.Clock.Now()))
}

// Status is an unreachable server, for the state page.
type Status struct {
	Server        ident.Server  `json:"server"`
	Service       ident.Service `json:"service"`
	Failure       string        `json:"failure"` // refused or silent
	UnreachableMS int64         `json:"unreachable-ms"`
}

// Statuses returns the unreachable servers, ordered by service and id.
func (t *Tracker) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []Status
	for k, d := range t.paths.Unreachable(t.o.Clock.Now()) {
		l = append(l, Status{Server: k.Server, Service: k.Service, Failure: t.paths.Failure(k).String(), UnreachableMS: d.Milliseconds()})
	}
	slices.SortFunc(l, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return l
}
