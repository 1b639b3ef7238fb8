// Package reach tracks which backend servers a daemon can reach over its own connections, and which of its peers reach those
// that it can't.
//
// A lost path says nothing about the server: other daemons may still reach it. So nothing here is used as the state of a
// server for the whole fleet.
package reach

import (
	"net/netip"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Target identifies one incarnation of a backend server at its address.
type Target struct {
	Service ident.Service
	Server  ident.Server
	Born    int64
	Addr    netip.AddrPort
}

// Failure is how a server could not be reached.
type Failure uint8

// Failures of a path.
const (
	Refused Failure = iota + 1 // new connections are refused; open ones may still work
	Silent                     // nothing is acknowledged, also on open connections
)

var failureNames = [...]string{"none", "refused", "silent"}

// String returns the failure in kebab case.
func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return "unknown"
}

// State is what is known of the path to a server.
type State uint8

// States of a path.
const (
	Reachable   State = iota
	Unverified        // no failure of its own, but the other servers of its service have become unreachable
	Unreachable       // the last attempt to reach it failed
)

// suspectServers is the number of servers of a service that must fail without an answer from any other before all its
// servers are suspected. A single one has more likely crashed.
const suspectServers = 2

// Bounds of the time between two probes of an unreachable server, which doubles with each failure.
const (
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = time.Second
)

const (
	// probeRate is the number of probes per second to unreachable servers, and as many again to servers in doubt. A daemon knows of
	// more dead and slow servers the larger its site is, but must not probe more: all daemons probe the same servers.
	probeRate = 1

	// suspectedProbeRate replaces probeRate while all servers of a service are suspected: the daemon's own links may be lost.
	suspectedProbeRate = 16

	// probeBurst is the number of probes that may be made at once.
	probeBurst = 4
)

// probeBudget limits probes to a rate with bursts of up to probeBurst.
type probeBudget struct {
	tokens    float64
	updatedAt mono.Time // 0 before the first probe
}

// take reports whether a probe may be made now, and counts it.
func (b *probeBudget) take(now mono.Time, rate float64) bool {
	if b.updatedAt == 0 {
		b.tokens = probeBurst
	} else {
		b.tokens = min(probeBurst, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Paths tracks the paths from one daemon to backend servers.
type Paths struct {
	paths       map[Target]*path
	unreachable int // number of paths with a failure
	services    map[ident.Service]*service
	suspectedAt mono.Time // when all servers of some service were last suspected
	suspicion   Failure   // of the servers that led to it

	retries probeBudget // probes of unreachable servers
	checks  probeBudget // probes of other servers
}

// path is the state of the path to one server. Servers that never failed have none.
type path struct {
	failure    Failure   // 0 after a success
	failures   int       // consecutive failures
	lostAt     mono.Time // first of the consecutive failures
	answeredAt mono.Time // last success
	probeAt    mono.Time // earliest time of the next probe
}

// service is what the failures of a service's servers have in common.
type service struct {
	answeredAt mono.Time // last success with any server
	failed     []Target  // servers that failed since then
	suspectAt  mono.Time // when all servers were suspected; 0 for never since then
	failure    Failure   // of the failed servers
}

// NewPaths returns a Paths without failures.
func NewPaths() *Paths {
	return &Paths{paths: map[Target]*path{}, services: map[ident.Service]*service{}}
}

// Answered records that the server sent something, and whether a new connection was opened for it. On an earlier connection that says
// nothing about new ones: the server stays unreachable, but open connections work. Answered returns how long the server was
// unreachable, or 0 if it was not or still is.
func (p *Paths) Answered(now mono.Time, t Target, fresh bool) time.Duration {
	s := p.service(t.Service)
	s.answeredAt = now
	x := p.path(t)
	if !fresh && (x.failure != 0 || s.suspectAt != 0) {
		x.answeredAt, x.failure, s.failure = now, min(x.failure, Refused), min(s.failure, Refused)
		return 0
	}
	s.suspectAt, s.failure, s.failed = 0, 0, s.failed[:0]
	lost := time.Duration(0)
	if x.failure != 0 {
		lost = max(1, now.Sub(x.lostAt))
		p.unreachable--
		p.retries.updatedAt = 0 // the links may be back, which the other servers show
	}
	*x = path{answeredAt: now, probeAt: x.probeAt}
	return lost
}

// Failed records an attempt to reach the server that began at the given time. It reports whether the server has become
// unreachable, and whether all servers of its service are suspected from now on. If the server has answered since the attempt
// began, only new connections fail.
func (p *Paths) Failed(began, now mono.Time, t Target, f Failure) (lost, suspected bool) {
	x := p.path(t)
	if x.answeredAt > began {
		f = Refused
	}
	lost = x.failure == 0
	if lost {
		x.lostAt = now
		p.unreachable++
	}
	x.failure, x.failures = max(x.failure, f), x.failures+1
	x.probeAt = now.Add(min(maxProbeInterval, minProbeInterval<<min(x.failures-1, 8)))
	s := p.service(t.Service)
	if s.answeredAt > began || slices.Contains(s.failed, t) {
		return lost, false
	}
	s.failed, s.failure = append(s.failed, t), max(s.failure, f)
	if len(s.failed) < suspectServers || s.suspectAt != 0 {
		return lost, false
	}
	s.suspectAt, p.suspectedAt, p.suspicion = now, now, s.failure
	return lost, true
}

// State returns the state of the path to the server.
func (p *Paths) State(t Target) State {
	if x := p.paths[t]; x != nil && x.failure != 0 {
		return Unreachable
	}
	if p.Suspected(t.Service) || p.unheard(t.Service) {
		return Unverified
	}
	return Reachable
}

// unheard reports whether another service is suspected and no server of this one has answered since. A daemon that has lost its links
// to one service has often lost all.
func (p *Paths) unheard(n ident.Service) bool {
	s := p.services[n]
	return p.suspectedAt > 0 && (s == nil || s.answeredAt <= p.suspectedAt) && p.anySuspected()
}

func (p *Paths) anySuspected() bool {
	for _, s := range p.services {
		if s.suspectAt != 0 {
			return true
		}
	}
	return false
}

// Failure returns how the server could not be reached or, if it is unverified, how the servers could not that cast doubt on it. It is
// 0 for a reachable server.
func (p *Paths) Failure(t Target) Failure {
	if x := p.paths[t]; x != nil && x.failure != 0 {
		return x.failure
	}
	switch {
	case p.Suspected(t.Service):
		return p.services[t.Service].failure
	case p.unheard(t.Service):
		return p.suspicion
	}
	return 0
}

// Suspected reports whether all servers of the service are suspected to be unreachable.
func (p *Paths) Suspected(n ident.Service) bool {
	s := p.services[n]
	return s != nil && s.suspectAt != 0
}

// TakeProbe reports whether a probe of the server is due, and counts it as started.
func (p *Paths) TakeProbe(now mono.Time, t Target) bool {
	x := p.path(t)
	if now.Before(x.probeAt) {
		return false
	}
	budget, rate := &p.checks, float64(probeRate)
	if x.failure != 0 {
		budget = &p.retries
	}
	if p.anySuspected() {
		rate = suspectedProbeRate
	}
	if !budget.take(now, rate) {
		return false
	}
	x.probeAt = now.Add(maxProbeInterval)
	return true
}

// AllReachable reports whether no server is unreachable and no service suspected.
func (p *Paths) AllReachable() bool {
	return p.unreachable == 0 && !p.anySuspected()
}

// Unreachable returns the servers that are unreachable, by how long.
func (p *Paths) Unreachable(now mono.Time) map[Target]time.Duration {
	l := map[Target]time.Duration{}
	for t, x := range p.paths {
		if x.failure != 0 {
			l[t] = now.Sub(x.lostAt)
		}
	}
	return l
}

// Retain discards the state of servers for which keep returns false.
func (p *Paths) Retain(keep func(Target) bool) {
	for t, x := range p.paths {
		if keep(t) {
			continue
		}
		if x.failure != 0 {
			p.unreachable--
		}
		delete(p.paths, t)
	}
	for _, s := range p.services {
		s.failed = slices.DeleteFunc(s.failed, func(t Target) bool { return !keep(t) })
		if len(s.failed) == 0 {
			s.suspectAt, s.failure = 0, 0
		}
	}
}

func (p *Paths) path(t Target) *path {
	x := p.paths[t]
	if x == nil {
		x = &path{}
		p.paths[t] = x
	}
	return x
}

func (p *Paths) service(n ident.Service) *service {
	s := p.services[n]
	if s == nil {
		s = &service{}
		p.services[n] = s
	}
	return s
}
