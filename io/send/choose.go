package send

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/misdir"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
)

// reason says why there is no server to send a request to, in kebab case for responses, metrics and logs.
type reason string

const (
	reasonStopping reason = "daemon-stopping"
	reasonNoServer reason = "no-server"
	reasonNoKey    reason = "no-key"
	reasonBusy     reason = "key-busy"    // the key's owner gets more requests than it can handle
	reasonMoving   reason = "keys-moving" // the request's key has no owner at the moment
	reasonLost     reason = "keys-lost"   // the request's key has no owner until the grants of a lost server expire
	reasonCold     reason = "servers-cold"
	reasonFull     reason = "no-room"
	reasonAllTried reason = "all-tried"
	reasonAttempts reason = "no-attempts-left"
	reasonBudget   reason = "no-retry-budget"
	reasonLimited  reason = "server-limited"  // the limits that the servers name allow no request now
	reasonBackoff  reason = "server-backoff"  // the servers asked to be sent nothing for a time
	reasonCrashing reason = "crashes-servers" // too many servers crashed while running the request

	reasonUnsupportedService reason = "unsupported-service" // this build doesn't support the service's protocol, or it is not defined
	reasonUnsupportedRoute   reason = "unsupported-route"   // the route's configuration can't be used

	// reasonUnreachable means that neither this daemon nor the peers that it has asked can reach the servers.
	reasonUnreachable reason = "servers-unreachable"
)

// localityBonus returns how much longer a request on the route may take at a server in the daemon's own failure domain.
func (s *Sender) localityBonus(r *site.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return choice.LocalityBonus(s.meanSizes[r.Name], r.TargetLatency)
}

// observeSize updates the moving average of the size of requests plus responses on a route, in bytes. It is kept by route, as
// one service may have a route for downloads and one for small responses.
func (s *Sender) observeSize(n string, size int) {
	const weight = 0.05 // of one exchange, so that a single large response has little effect
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meanSizes[n] == 0 {
		s.meanSizes[n] = float64(size)
	}
	s.meanSizes[n] += (float64(size) - s.meanSizes[n]) * weight
}

// choose returns the server for the next attempt, or the reason why there is none.
func (s *Sender) choose(r *request, snap *site.Snapshot, now mono.Time) (*backend, reason) {
	if r.service.Keyed {
		return s.owner(r, snap, now)
	}
	if len(r.sentTo) >= r.route.MaxAttempts {
		return nil, reasonAttempts
	}
	if !s.inServiceShare(r) {
		return nil, reasonFull
	}
	var l []choice.Candidate
	var backends []*backend
	subset := s.subset(snap, r.service.Name)
	view, age := s.sharedLoads(snap)
	why, unreachable := reasonNoServer, false
	r.backoffUntil, r.keys = 0, hold.Range{}
	for _, x := range snap.ServersOf(r.service.Name) {
		if !snap.Accepts(x) {
			continue
		}
		b, y := s.usable(r, x, snap, now)
		if y == reasonUnreachable {
			unreachable = true
			continue
		}
		if y != "" {
			why = y
			continue
		}
		b.mu.Lock()
		load, access := b.load, b.misdirected.Access(now, r.keys, len(r.sentTo) == 0)
		b.mu.Unlock()
		if access != misdir.Open {
			continue
		}
		load.Shared = view.Shared(report.TargetOf(x), x.Slots, age)
		l = append(l, choice.Candidate{
			Load: &load, Local: x.Domain == s.o.Domain, InSubset: subset[x.ID], ConnectCost: connectCost(b, r.route, snap),
		})
		backends = append(backends, b)
	}
	i, ok := choice.Pick(now, l, s.serviceTime(r.service.Name), s.localityBonus(r.route), rand.IntN)
	switch {
	case ok:
		return backends[i], ""
	case unreachable && why != reasonCold:
		return nil, reasonUnreachable
	}
	return nil, why
}

// usable returns the state of a server that accepts requests, or the reason why it can't get the next attempt.
func (s *Sender) usable(r *request, x *site.Server, snap *site.Snapshot, now mono.Time) (*backend, reason) {
	if slices.Contains(r.sentTo, x.ID) {
		return nil, reasonAllTried
	}
	if slices.Contains(r.unreachable, x.ID) {
		return nil, reasonUnreachable
	}
	b := s.backend(x, false)
	if !s.canReach(b) {
		return nil, reasonUnreachable
	}
	if slices.Contains(r.limited, x.ID) || s.o.Reports.Exhausted(x) {
		return nil, reasonLimited
	}
	if why := s.backoffReason(r, x); why != "" {
		return nil, why
	}
	if !s.allowsSend(b, x, snap, r.service, now) {
		return nil, reasonCold
	}
	return b, ""
}

// sharedLoads returns the coordinator's view of the servers' load, and its age; nil in a small site, where each daemon sees enough of
// the servers by itself.
func (s *Sender) sharedLoads(snap *site.Snapshot) (*loads.View, time.Duration) {
	if !snap.IsLarge() {
		return nil, 0
	}
	return s.o.View.Loads()
}

// connectCost returns the cost of a new connection if the request would need one. In a small site a daemon uses all servers often
// enough to keep connections to them.
func connectCost(b *backend, r *site.Route, snap *site.Snapshot) time.Duration {
	if !snap.IsLarge() || b.pool.Stats().Idle > 0 {
		return 0
	}
	return choice.ConnectCost(r.TargetLatency)
}

// backoffReason returns why the request may not be sent to the server now because that requested backoff, or an empty string if it may.
func (s *Sender) backoffReason(r *request, x *site.Server) reason {
	switch s.o.Reports.Access(x) {
	case report.Open, report.Probe:
		return ""
	case report.Waiting:
		return reasonCold
	case report.Closed:
	}
	if t, _ := s.o.Reports.BackoffTime(x); r.backoffUntil == 0 || t < r.backoffUntil {
		r.backoffUntil = t
	}
	return reasonBackoff
}

// ownerBackoffReason is backoffReason for the owner of the request's key. While the key is about to move to another server, the request waits
// as for any other move.
func (s *Sender) ownerBackoffReason(r *request, x *site.Server, snap *site.Snapshot, now mono.Time) reason {
	r.backoffUntil = 0
	why := s.backoffReason(r, x)
	if why != reasonBackoff {
		return why
	}
	_, since := s.o.Reports.BackoffTime(x)
	if now.Sub(since) < maxBackoffMove && slices.ContainsFunc(snap.ServersOf(x.Service), func(y *site.Server) bool {
		return snap.Accepts(y) && s.o.Reports.Access(y) == report.Open
	}) {
		return reasonMoving
	}
	return reasonBackoff
}

// maxBackoffMove is the time after a server has requested backoff in which its keys move to others.
const maxBackoffMove = 700 * time.Millisecond

// subset returns the servers of a service that this daemon normally sends to: a subset of the servers in its own failure
// domain, which are divided only among the daemons there, and a subset of all servers.
func (s *Sender) subset(snap *site.Snapshot, n ident.Service) map[ident.Server]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subsetsOf != snap {
		s.subsetsOf, s.subsets = snap, map[ident.Service]map[ident.Server]bool{}
	}
	if m, ok := s.subsets[n]; ok {
		return m
	}
	m := map[ident.Server]bool{}
	s.subsets[n] = m
	if self := snap.Daemons[s.o.Self]; self == nil {
		return m // other daemons don't count this one yet
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

// owner returns the server that owns the request's key, or the reason why it can't be used.
func (s *Sender) owner(r *request, snap *site.Snapshot, now mono.Time) (*backend, reason) {
	if !r.hasKey {
		return nil, reasonNoKey
	}
	if now.Before(r.notBefore) {
		return nil, reasonMoving
	}
	l := s.o.View.Holds()
	h := l.Find(r.service.Name, r.key)
	if h.Lost {
		return nil, reasonLost
	}
	if !s.inKeyShare(r, l, h) {
		return nil, reasonBusy
	}
	id := h.Server
	r.keys = h.Range
	x := snap.Servers[id]
	if x == nil || !snap.Accepts(x) {
		return nil, reasonMoving
	}
	if !slices.Contains(r.sentTo, id) && distinct(r.sentTo) >= r.route.MaxAttempts {
		return nil, reasonAttempts
	}
	b := s.backend(x, true)
	if !s.canReach(b) || slices.Contains(r.unreachable, id) {
		r.target = id
		return nil, reasonUnreachable
	}
	if why := s.ownerBackoffReason(r, x, snap, now); why != "" {
		return nil, why
	}
	if !s.allowsSend(b, x, snap, r.service, now) {
		return nil, reasonCold
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keyed = true
	switch b.misdirected.Access(now, h.Range, len(r.sentTo) == 0) {
	case misdir.Waiting:
		return nil, reasonMoving
	case misdir.Closed:
		return nil, reasonLost
	case misdir.Open:
	}
	if now.Before(b.load.AvoidUntil) {
		return nil, reasonMoving
	}
	return b, ""
}

// shouldShed reports whether to refuse the request instead of sending it to the chosen server.
//
// A request that is expected to miss its deadline would displace one that can still meet it. At a full server, a queue longer
// than needed to keep it busy adds latency without throughput: for a key with more requests than its server can handle, all
// would be late, instead of the excess being refused at once.
func (s *Sender) shouldShed(r *request, b *backend, now mono.Time) bool {
	serviceTime := s.serviceTime(r.service.Name)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.load.Full(now) {
		return false
	}
	expected := b.load.ExpectedLatency(now, serviceTime)
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

// waitPollInterval is how often a waiting request is checked again when no change of the view wakes it.
const waitPollInterval = 40 * time.Millisecond

// waitEnd returns until when the request may wait before it is sent. Half of its time is left for running it. A planned move of keys takes as
// long as the longest running request.
func (r *request) waitEnd() mono.Time {
	return r.arrived.Add(r.deadline.Sub(r.arrived) / 2)
}

// waitForChange waits for a change of the view, at most waitPollInterval, if the reason is likely to pass in time. It reports
// whether to choose again.
func (s *Sender) waitForChange(r *request, why reason, now mono.Time) bool {
	if why != reasonMoving && why != reasonCold {
		return false
	}
	until := r.waitEnd()
	if !now.Before(until) {
		return false
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	changed := s.o.View.Changed()
	t := time.NewTimer(min(waitPollInterval, until.Sub(now)))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-r.caller.Done():
	case <-s.base.Done():
	}
	return true
}
