// Package report keeps a daemon's record of what backend servers say of themselves in their responses: the limit on their
// requests, for how long they want none, that they are leaving, and for how long they stay cold.
//
// Each daemon sees only the responses to its own requests, so daemons exchange what they have learned. What is recorded has the
// time of the response that said it, and the newest response counts.
package report

import (
	"strconv"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/quota"
	"heatherrouter/core/site"
)

// Report is what one response says of the server that sent it.
type Report struct {
	Load    Load
	HasLoad bool

	// Limit is the number of requests per second that the server takes from all daemons together; 0 if it names none.
	Limit float64

	// LimitUnknown is set if the response names a limit that can't be read. It says neither that there is a limit nor that there
	// is none.
	LimitUnknown bool

	// Backoff is how long the server wants no requests from the daemon that it refused; 0 if it doesn't say so.
	Backoff time.Duration

	Leaving bool // the server is about to stop
}

// Load is a server's report of its load.
type Load struct {
	Running, Waiting int
	Slowdown         float64 // current service time divided by the usual one; 1 is normal
}

// Health is what a server answers to a health check.
type Health struct {
	Load    Load
	HasLoad bool
	ColdFor time.Duration // how long the server stays cold; 0 if it isn't
}

// Target is one incarnation of a backend server.
type Target struct {
	Server ident.Server
	Born   int64
}

// TargetOf returns the target of an announced server.
func TargetOf(x *site.Server) Target { return Target{Server: x.ID, Born: x.Born} }

// Subject returns the name of the target in the ledger of tokens.
func (k Target) Subject() quota.Subject {
	return quota.Subject(string(k.Server) + "/" + strconv.FormatInt(k.Born, 10))
}

// isAnnounced reports whether the snapshot has this incarnation of the server.
func (k Target) isAnnounced(s *site.Snapshot) bool {
	x := s.Servers[k.Server]
	return x != nil && x.Born == k.Born
}

// Record holds what servers have said of themselves. It is not safe for concurrent use.
type Record struct {
	limits   map[Target]Limit
	backoffs map[Target]*backoff
	leaving  map[Target]mono.Time // when it was first known
	cold     map[Target]mono.Time // until when

	confirmations int            // see the constant of this name
	confirmTime   time.Duration  // likewise
	random        func() float64 // spreads the first requests of daemons after a backoff
}

// NewRecord returns an empty record. The function random returns numbers from 0 to 1.
func NewRecord(random func() float64) *Record {
	return &Record{
		limits: map[Target]Limit{}, backoffs: map[Target]*backoff{}, leaving: map[Target]mono.Time{}, cold: map[Target]mono.Time{}, confirmations: confirmations, confirmTime: confirmTime, random: random,
	}
}

// SetLeaving records that the server said that it is leaving, and reports whether that is news. It stays recorded as long as the server
// is announced: the server gets no further requests whose responses could say otherwise.
func (r *Record) SetLeaving(now mono.Time, k Target) bool {
	if _, known := r.leaving[k]; known {
		return false
	}
	r.leaving[k] = now
	return true
}

// Leaving returns the servers that said that they are leaving.
func (r *Record) Leaving() []Target {
	l := make([]Target, 0, len(r.leaving))
	for k := range r.leaving {
		l = append(l, k)
	}
	return l
}

// IsLeaving reports whether the server said that it is leaving.
func (r *Record) IsLeaving(k Target) bool {
	_, ok := r.leaving[k]
	return ok
}

// Len returns the number of servers of which anything is recorded, counted once for each kind of it.
func (r *Record) Len() int { return len(r.limits) + len(r.backoffs) + len(r.leaving) + len(r.cold) }

// Has reports whether anything is recorded of the server.
func (r *Record) Has(k Target) bool {
	_, limit := r.limits[k]
	return limit || r.backoffs[k] != nil || r.IsLeaving(k) || r.cold[k] != 0
}

// Prune discards what is no longer of use: what servers said that are no longer announced, and limits and backoffs that ended long ago. It
// reports whether it discarded any.
func (r *Record) Prune(now mono.Time, s *site.Snapshot) bool {
	n := r.Len()
	for k, o := range r.limits {
		if !k.isAnnounced(s) || !o.Limited() && now.Sub(o.At) > endedTTL {
			delete(r.limits, k)
		}
	}
	for k, x := range r.backoffs {
		if now.Sub(max(x.own, x.Until)) > endedTTL {
			delete(r.backoffs, k)
		}
	}
	for k, at := range r.leaving {
		if !k.isAnnounced(s) && now.Sub(at) > leavingTTL {
			delete(r.leaving, k)
		}
	}
	r.pruneCold(now)
	return r.Len() != n
}

// leavingTTL is the least time for which a server that leaves is remembered. While the store is down, rows of running servers are
// removed and come back.
const leavingTTL = 2 * time.Minute

// endedTTL is how long a limit or a backoff that has ended is remembered. What daemons observe reaches the others within seconds.
const endedTTL = 10 * time.Second
