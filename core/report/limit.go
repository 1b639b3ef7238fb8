package report

import (
	"maps"

	"heatherrouter/core/mono"
)

// Limit is the limit that a server named in a response.
type Limit struct {
	Rate float64   // requests per second; 0 if the response named no limit
	At   mono.Time // when the response arrived
}

// Limited reports whether the server named a limit.
func (o Limit) Limited() bool { return o.Rate > 0 }

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

// ObserveLimit records the limit that a response named, unless a newer one is known, and returns what that changes.
func (r *Record) ObserveLimit(k Target, o Limit) Change {
	if o.Limited() {
		o.Rate = max(o.Rate, MinRate)
	}
	prev, known := r.limits[k]
	if !known && !o.Limited() || known && o.At < prev.At {
		return Unchanged
	}
	r.limits[k] = o
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
	x := r.limits[k].Rate
	return x, x > 0
}

// Limits returns the newest limit of each server that has named one. They include limits that have ended, so that an older
// observation of another daemon doesn't restore them.
func (r *Record) Limits() map[Target]Limit { return maps.Clone(r.limits) }

// Limited returns the number of servers that name a limit.
func (r *Record) Limited() int {
	n := 0
	for _, o := range r.limits {
		if o.Limited() {
			n++
		}
	}
	return n
}
