package reach

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// Delegates selects, for each backend server, one daemon of a failure domain that sends the domain's requests to it.
//
// Where a daemon would send to a server only every few seconds, each request would need a new connection, and each daemon
// would choose by a report of the server that is seconds old. One daemon for each failure domain keeps the connections open
// and sees a large part of the server's load. Daemons select by their own copies of the site: while these differ, a server
// has one more sender, which does no harm.
type Delegates struct {
	self ident.Daemon

	listedOf *site.Snapshot // snapshot that members was listed from
	members  []member       // daemons of the failure domain, in the order of their names
	selected map[ident.Server]ident.Daemon
}

// member is a daemon that may be selected, with its weight.
type member struct {
	name   ident.Daemon
	weight float64
}

// NewDelegates returns the Delegates of the daemon's failure domain.
func NewDelegates(self ident.Daemon) *Delegates {
	return &Delegates{self: self, selected: map[ident.Server]ident.Daemon{}}
}

// minDelegateServers is the number of servers from which on a service has delegates. In smaller ones a daemon returns to each server
// before its connection is closed as idle.
const minDelegateServers = 128

// Of returns the daemon that sends the requests of this daemon's failure domain to the server, or false if each daemon sends
// by itself.
func (d *Delegates) Of(s *site.Snapshot, x *site.Server) (ident.Daemon, bool) {
	if !s.IsLarge() || len(s.ServersOf(x.Service)) < minDelegateServers || s.Daemons[d.self] == nil {
		return "", false
	}
	d.list(s)
	n, ok := d.selected[x.ID]
	if !ok {
		n = d.selectFor(x.ID)
		d.selected[x.ID] = n
	}
	return n, true
}

// list lists the daemons of the failure domain. Selections stay valid while these are the same.
func (d *Delegates) list(s *site.Snapshot) {
	if d.listedOf == s {
		return
	}
	d.listedOf = s
	own := s.Daemons[d.self].Domain
	var l []member
	for _, n := range slices.Sorted(maps.Keys(s.Daemons)) {
		if x := s.Daemons[n]; x.Domain == own {
			l = append(l, member{name: n, weight: float64(max(1, x.Capacity))})
		}
	}
	if !slices.Equal(l, d.members) {
		d.members = l
		clear(d.selected)
	}
}

// selectFor selects by weighted rendezvous hashing: if a daemon comes or goes, only its own servers change their delegate.
func (d *Delegates) selectFor(id ident.Server) ident.Daemon {
	best, highest := ident.Daemon(""), math.Inf(-1)
	for _, m := range d.members {
		if x := -m.weight / math.Log(uniform(string(m.name), string(id))); best == "" || x > highest {
			best, highest = m.name, x
		}
	}
	return best
}

// uniform returns a hash of the pair, between 0 and 1 exclusively.
func uniform(a, b string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64()
	x ^= x >> 33 // FNV leaves the high bits of short inputs nearly the same
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}
