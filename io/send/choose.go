package send

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// reason is why there is no server to send to now; kebab case.
type reason string

const (
	reasonStopping reason = "daemon-stopping"
	reasonNoServer reason = "no-server"
	reasonNoKey    reason = "no-key"
	reasonBusy     reason = "key-busy"    // its holder gets more than it carries
	reasonMoving   reason = "keys-moving" // nobody holds the request's key at this moment
	reasonLost     reason = "keys-lost"   // nor will anybody for a while
	reasonCold     reason = "servers-cold"
	reasonFull     reason = "no-room"
	reasonTried    reason = "all-tried"
	reasonAttempts reason = "no-attempts-left"
	reasonBudget   reason = "no-retry-budget"
	reasonDeadly   reason = "crashes-servers" // too many servers crashed under it
)

// near returns how much longer a request on the route may take in the own failure domain.
func (s *Sender) near(r *site.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return choice.NearGain(s.sizes[r.Name], r.TargetLatency)
}

// observeSize follows the mean size of the requests on a route with their answers, in bytes. Routes of one service may be
// for downloads and for small answers.
func (s *Sender) observeSize(n string, size int) {
	const share = 0.05 // of one answer, so that a single large one counts little
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sizes[n] == 0 {
		s.sizes[n] = float64(size)
	}
	s.sizes[n] += (float64(size) - s.sizes[n]) * share
}

// choose finds the server for the next send, or says why there is none.
func (s *Sender) choose(r *request, snap *site.Snapshot, now mono.Time) (*back, reason) {
	if r.service.Keyed {
		return s.owner(r, snap, now)
	}
	if len(r.tried) >= r.route.MaxAttempts {
		return nil, reasonAttempts
	}
	var l []choice.Candidate
	var backs []*back
	usual := s.usual(snap, r.service.Name)
	why := reasonNoServer
	for _, x := range snap.ServersOf(r.service.Name) {
		if !snap.Accepts(x) {
			continue
		}
		if slices.Contains(r.tried, x.ID) || slices.Contains(r.failed, x.ID) {
			why = reasonTried
			continue
		}
		b := s.back(x)
		if !s.mayTake(b, x, snap, r.service, now) {
			why = reasonCold
			continue
		}
		b.mu.Lock()
		load := b.load
		b.mu.Unlock()
		l = append(l, choice.Candidate{Load: &load, Near: x.Domain == s.o.Domain, Usual: usual[x.ID]})
		backs = append(backs, b)
	}
	i, ok := choice.Pick(now, l, s.unit(r.service.Name), s.near(r.route), rand.IntN)
	if !ok {
		return nil, why
	}
	return backs[i], ""
}

// usual returns the servers of a service that this daemon sends to as a rule: some of its own failure domain, which only
// the daemons there choose among, and some of all.
func (s *Sender) usual(snap *site.Snapshot, n ident.Service) map[ident.Server]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usualOf != snap {
		s.usualOf, s.usuals = snap, map[ident.Service]map[ident.Server]bool{}
	}
	if m, ok := s.usuals[n]; ok {
		return m
	}
	m := map[ident.Server]bool{}
	s.usuals[n] = m
	if self := snap.Daemons[s.o.Self]; self == nil {
		return m // nobody counts on this daemon yet
	}
	servers := slices.DeleteFunc(slices.Clone(snap.ServersOf(n)), func(x *site.Server) bool { return !snap.Accepts(x) })
	daemons := slices.Sorted(maps.Keys(snap.Daemons))
	s.addSubset(m, servers, daemons)
	servers = slices.DeleteFunc(servers, func(x *site.Server) bool { return x.Domain != s.o.Domain })
	daemons = slices.DeleteFunc(daemons, func(d ident.Daemon) bool { return snap.Daemons[d].Domain != s.o.Domain })
	s.addSubset(m, servers, daemons)
	return m
}

func (s *Sender) addSubset(m map[ident.Server]bool, servers []*site.Server, daemons []ident.Daemon) {
	for _, i := range choice.Subset(len(servers), len(daemons), slices.Index(daemons, s.o.Self)) {
		m[servers[i].ID] = true
	}
}

// mayTake reports whether the pace of a cold server allows a request now.
func (s *Sender) mayTake(b *back, x *site.Server, snap *site.Snapshot, v *site.Service, now mono.Time) bool {
	names := s.daemonNames(snap)
	b.mu.Lock()
	defer b.mu.Unlock()
	w, n, span := s.limit(b, x, v, names, now)
	return w == nil || w.Allows(now, n, span)
}

// owner returns the server that holds the request's key.
func (s *Sender) owner(r *request, snap *site.Snapshot, now mono.Time) (*back, reason) {
	if !r.hasKey {
		return nil, reasonNoKey
	}
	if now.Before(r.again) {
		return nil, reasonMoving
	}
	h := s.o.View.Holds().Find(r.service.Name, r.key)
	if h.Lost {
		return nil, reasonLost
	}
	if h.Admit > 0 && r.lot >= int(h.Admit) {
		return nil, reasonBusy
	}
	id := h.Server
	x := snap.Servers[id]
	if x == nil || !snap.Accepts(x) {
		return nil, reasonMoving
	}
	if !slices.Contains(r.tried, id) && distinct(r.tried) >= r.route.MaxAttempts {
		return nil, reasonAttempts
	}
	b := s.back(x)
	if !s.mayTake(b, x, snap, r.service, now) {
		return nil, reasonCold
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keyed = true
	if now.Before(b.load.AvoidUntil) {
		return nil, reasonMoving
	}
	return b, ""
}

// crowded reports whether to refuse the request instead of sending it to the chosen server.
//
// One that is expected to miss its deadline would take the place of one that can still make it. And where a server is
// full, a queue that is longer than needed to keep it busy serves nobody more, but everybody late: a key that gets more
// requests than its server carries would have all of them late, instead of the excess refused at once.
func (s *Sender) crowded(r *request, b *back, now mono.Time) bool {
	unit := s.unit(r.service.Name)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.load.Full(now) {
		return false
	}
	expected := b.load.Expect(now, unit)
	target := max(r.route.TargetLatency, r.route.Timeout/4)
	return now.Add(expected) > min(r.arrived.Add(target), r.deadline)
}

func distinct(l []ident.Server) int {
	n := 0
	for i, x := range l {
		if !slices.Contains(l[:i], x) {
			n++
		}
	}
	return n
}

// waitStep is how often a request looks whether the reason for its wait has passed, when no change tells it.
const waitStep = 40 * time.Millisecond

// wait waits for what keeps the request from being sent, if that is likely to pass in time; it reports whether to look
// again.
func (s *Sender) wait(r *request, why reason, now mono.Time) bool {
	if why != reasonMoving && why != reasonCold {
		return false
	}
	// Half of its time is left for the work. A planned move of keys takes as long as the longest request under way.
	until := r.arrived.Add(r.deadline.Sub(r.arrived) / 2)
	if !now.Before(until) {
		return false
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	changed := s.o.View.Changed()
	t := time.NewTimer(min(waitStep, until.Sub(now)))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-r.caller.Done():
	case <-s.base.Done():
	}
	return true
}
