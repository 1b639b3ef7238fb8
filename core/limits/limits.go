// Package limits keeps a daemon's record of the request limits that backend servers name in their responses.
//
// A server in need names the requests a second that it takes from all daemons together, and stops naming it when the need
// is over. Each daemon sees only the responses to its own requests, so daemons exchange what they have observed. The
// newest observation of a server is the one that counts.
package limits

import (
	"maps"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// Target is one incarnation of a backend server.
type Target struct {
	Server ident.Server
	Born   int64
}

// TargetOf returns the target of an announced server.
func TargetOf(x *site.Server) Target { return Target{Server: x.ID, Born: x.Born} }

// Observation is the limit that a server named in a response.
type Observation struct {
	Rate float64   // requests per second; 0 if the response named no limit
	At   mono.Time // when the response arrived
}

// Limited reports whether the server named a limit.
func (o Observation) Limited() bool { return o.Rate > 0 }

// MinRate is the lowest rate that a limit is taken for. Only the response to a request shows that a limit has ended, so a
// server that takes no requests still gets one now and then.
const MinRate = 0.5

// Change is what an observation changes about a target.
type Change uint8

// Changes of a target.
const (
	Unchanged Change = iota
	Named            // the server names a limit and named none before
	Altered          // the server names another limit
	Ended            // the server names no limit any more
)

// Record holds the newest observation of each server that has named a limit. It is not safe for concurrent use.
type Record struct {
	observations map[Target]Observation
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{observations: map[Target]Observation{}} }

// Observe records an observation, unless a newer one is known, and returns what it changes.
func (r *Record) Observe(k Target, o Observation) Change {
	if o.Limited() {
		o.Rate = max(o.Rate, MinRate)
	}
	prev, known := r.observations[k]
	if !known && !o.Limited() || known && o.At < prev.At {
		return Unchanged
	}
	r.observations[k] = o
	switch {
	case o.Rate == prev.Rate:
		return Unchanged
	case prev.Rate == 0:
		return Named
	case o.Rate == 0:
		return Ended
	}
	return Altered
}

// Limit returns the limit of a server, in requests per second, or false if it names none.
func (r *Record) Limit(k Target) (float64, bool) {
	x := r.observations[k].Rate
	return x, x > 0
}

// Observations returns the newest observation of each recorded server. They include servers whose limit has ended, so
// that an older observation of another daemon doesn't restore it.
func (r *Record) Observations() map[Target]Observation { return maps.Clone(r.observations) }

// Count returns the number of servers that name a limit.
func (r *Record) Count() int {
	n := 0
	for _, o := range r.observations {
		if o.Limited() {
			n++
		}
	}
	return n
}

// endedTTL is how long a limit that has ended is remembered. Observations reach the other daemons within seconds.
const endedTTL = 10 * time.Second

// Prune discards servers that are no longer announced and limits that ended long ago. It reports whether it discarded any.
func (r *Record) Prune(now mono.Time, s *site.Snapshot) bool {
	n := len(r.observations)
	maps.DeleteFunc(r.observations, func(k Target, o Observation) bool {
		x := s.Servers[k.Server]
		return x == nil || x.Born != k.Born || !o.Limited() && now.Sub(o.At) > endedTTL
	})
	return len(r.observations) != n
}
