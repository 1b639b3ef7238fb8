package reach

import (
	"maps"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// Relays selects the peers to which a daemon hands requests for servers that it can't reach. What it knows of its peers it has
// learned from their answers to earlier requests.
type Relays struct {
	self    ident.Daemon
	regions map[ident.Domain]ident.Region
	intN    func(n int) int // a random number below n
	peers   map[ident.Daemon]*peer

	listedOf      *site.Snapshot // snapshot that local and remote were listed from
	local, remote []ident.Daemon // daemons of the region, in this daemon's failure domain and in others
}

// peer is what is known of one peer.
type peer struct {
	pending  int // requests handed to it that are not answered yet
	calls    avoidance
	services map[ident.Service]*avoidance
	servers  map[ident.Server]*avoidance

	reached map[ident.Service]mono.Time // when it was last known to reach a server of the service
}

// avoidance is the time for which a peer is avoided, which doubles with each failure.
type avoidance struct {
	until    mono.Time
	failures int
}

// Bounds of the time for which a peer is avoided. A peer that can't reach a server answers at once, so that asking it costs a
// round trip.
const (
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
)

func (a *avoidance) fail(now mono.Time) {
	if now.Before(a.until) {
		return // an answer to a request that was handed over before the last failure
	}
	a.until = now.Add(min(maxAvoidance, minAvoidance<<min(a.failures, 8)))
	a.failures++
}

func (a *avoidance) active(now mono.Time) bool { return a != nil && now.Before(a.until) }

const (
	// reachedTTL is how long a peer that has reached a service is preferred to others.
	reachedTTL = 2 * time.Second

	// exploreOneIn is the number of requests of which one goes to any peer, although some are known to reach the service. Otherwise
	// the few that were found first would get all requests.
	exploreOneIn = 8
)

// remoteCost is the number of additional pending requests at which a peer of another failure domain is preferred to one of the
// daemon's own.
const remoteCost = 8

// NewRelays returns a Relays for the daemon. The function intN returns a random number below n. Requests are handed only to
// peers in the daemon's own region, where their callers are.
func NewRelays(self ident.Daemon, regions map[ident.Domain]ident.Region, intN func(n int) int) *Relays {
	return &Relays{self: self, regions: regions, intN: intN, peers: map[ident.Daemon]*peer{}}
}

// Pick returns the peer to hand a request for the server to, or false if none is left. The server is empty if any server of the
// service can run the request. Peers in tried are left out.
func (r *Relays) Pick(now mono.Time, s *site.Snapshot, n ident.Service, id ident.Server, tried []ident.Daemon) (ident.Daemon, bool) {
	r.list(s)
	usable := func(l []ident.Daemon) []ident.Daemon {
		var u []ident.Daemon
		for _, d := range l {
			if !slices.Contains(tried, d) && !r.avoided(now, d, n, id) {
				u = append(u, d)
			}
		}
		return u
	}
	local, remote := usable(r.local), usable(r.remote)
	if len(tried) > 0 || r.intN(exploreOneIn) > 0 {
		l, m := r.proven(now, local, n), r.proven(now, remote, n)
		if len(l)+len(m) > 0 {
			local, remote = l, m
		}
	}
	a, b := r.leastPending(local), r.leastPending(remote)
	switch {
	case a == "" && b == "":
		return "", false
	case a == "" || b != "" && r.pending(b)+remoteCost < r.pending(a):
		return b, true
	}
	return a, true
}

// proven returns the peers that have lately reached the service.
func (r *Relays) proven(now mono.Time, l []ident.Daemon, n ident.Service) []ident.Daemon {
	var x []ident.Daemon
	for _, d := range l {
		if p := r.peers[d]; p != nil && p.reached[n] > 0 && now.Sub(p.reached[n]) < reachedTTL {
			x = append(x, d)
		}
	}
	return x
}

// list lists the daemons of the region.
func (r *Relays) list(s *site.Snapshot) {
	if r.listedOf == s {
		return
	}
	r.listedOf, r.local, r.remote = s, nil, nil
	self := s.Daemons[r.self]
	if self == nil {
		return // the others don't know this daemon yet
	}
	for _, d := range slices.Sorted(maps.Keys(s.Daemons)) {
		x := s.Daemons[d].Domain
		switch {
		case d == r.self || r.regions[x] != r.regions[self.Domain]:
		case x == self.Domain:
			r.local = append(r.local, d)
		default:
			r.remote = append(r.remote, d)
		}
	}
}

// leastPending returns the peer with fewer pending requests of two random ones, or "" if there is none.
func (r *Relays) leastPending(l []ident.Daemon) ident.Daemon {
	if len(l) == 0 {
		return ""
	}
	a, b := l[r.intN(len(l))], l[r.intN(len(l))]
	if r.pending(b) < r.pending(a) {
		return b
	}
	return a
}

func (r *Relays) pending(d ident.Daemon) int {
	if p := r.peers[d]; p != nil {
		return p.pending
	}
	return 0
}

// Avoids reports whether no request for the server is handed to the peer for a time.
func (r *Relays) Avoids(now mono.Time, d ident.Daemon, n ident.Service, id ident.Server) bool {
	return r.avoided(now, d, n, id)
}

func (r *Relays) avoided(now mono.Time, d ident.Daemon, n ident.Service, id ident.Server) bool {
	p := r.peers[d]
	return p != nil && (p.calls.active(now) || p.services[n].active(now) || p.servers[id].active(now))
}

// Report is what the end of a request says about the peer that it was handed to.
type Report uint8

// Reports of peers.
const (
	Reached            Report = iota // the peer reaches the server
	Undecided                        // the answer says nothing about the peer's paths
	ServerUnreachable                // the peer can't reach the server
	ServiceUnreachable               // the peer can't reach any server of the service
	PeerFailed                       // the peer did not take the request
)

// Started records that a request was handed to the peer.
func (r *Relays) Started(d ident.Daemon) { r.peer(d).pending++ }

// Asked records that a peer has handed a request for the service to this daemon, because it can't reach any server of it.
func (r *Relays) Asked(now mono.Time, d ident.Daemon, n ident.Service) {
	p := r.peer(d)
	fail(p.services, n, now)
	delete(p.reached, n)
}

func (r *Relays) peer(d ident.Daemon) *peer {
	p := r.peers[d]
	if p == nil {
		p = &peer{services: map[ident.Service]*avoidance{}, servers: map[ident.Server]*avoidance{}, reached: map[ident.Service]mono.Time{}}
		r.peers[d] = p
	}
	return p
}

// Ended records the end of a request that was handed to the peer.
func (r *Relays) Ended(now mono.Time, d ident.Daemon, n ident.Service, id ident.Server, x Report) {
	p := r.peers[d]
	if p == nil {
		return // it has left since
	}
	p.pending--
	if x != PeerFailed {
		p.calls = avoidance{}
	}
	switch x {
	case Reached:
		delete(p.services, n)
		delete(p.servers, id)
		p.reached[n] = now
	case ServerUnreachable:
		fail(p.servers, id, now)
	case ServiceUnreachable:
		fail(p.services, n, now)
		delete(p.reached, n)
	case PeerFailed:
		p.calls.fail(now)
		clear(p.reached)
	case Undecided:
	}
}

func fail[K comparable](m map[K]*avoidance, k K, now mono.Time) {
	a := m[k]
	if a == nil {
		a = &avoidance{}
		m[k] = a
	}
	a.fail(now)
}

// Retain discards what is known of daemons and servers that are gone.
func (r *Relays) Retain(s *site.Snapshot) {
	for d, p := range r.peers {
		if s.Daemons[d] == nil && p.pending == 0 {
			delete(r.peers, d)
			continue
		}
		for id := range p.servers {
			if s.Servers[id] == nil {
				delete(p.servers, id)
			}
		}
	}
}
