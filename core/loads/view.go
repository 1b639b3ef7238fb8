// Package loads combines what daemons observe of the load of backend servers into one view, which the coordinator distributes.
//
// A daemon of a large site returns to a server only after seconds. By then its own observation of the server's load is out of
// date, while other daemons have newer ones.
package loads

import (
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
)

// Stamp orders the versions of a view: by term, then by sequence.
type Stamp struct {
	Term     site.Term
	Sequence uint64
}

// Less reports whether s is older than x.
func (s Stamp) Less(x Stamp) bool {
	return s.Term < x.Term || s.Term == x.Term && s.Sequence < x.Sequence
}

// View is the load of services and backend servers as the coordinator knows it. It is immutable once it is built.
type View struct {
	Stamp    Stamp
	Services map[ident.Service]Service
	Servers  map[report.Target]Server
}

// Service is the load of one service.
type Service struct {
	Share  float64   // fraction of the callers' requests that daemons send; 0 for all
	Demand []float64 // fractions of the callers' requests by priority, which add up to 1
}

// Level is the occupancy of a server.
type Level uint8

// Values of Level.
const (
	Free Level = iota // it has free slots, or its occupancy is unknown
	Busy              // all slots are taken
	Full              // it has more than twice as many requests as slots
)

// Server is the load of one incarnation of a backend server.
type Server struct {
	Slowdown float64 // service time without interference divided by the usual one; 0 is unknown
	Level    Level
}

// Sample is what all daemons together have observed of a server, or of all servers of a service, as rates of the last second or so.
type Sample struct {
	At       mono.Time // time of the newest observation
	Arrivals float64   // callers' requests per second, also those that daemons refused
	Sent     float64   // requests per second that daemons sent
	Full     float64   // requests per second that found no free capacity
	InFlight float64   // requests running and waiting, by the servers' reports
	Reports  float64   // reports per second that InFlight is the mean of
	Slots    int
}

// levelLifetime is the age of a view from which its levels are ignored.
const levelLifetime = 3 * time.Second

// Level returns the level of a server in a view of the age, and whether it is known. The view may be nil.
func (v *View) Level(k report.Target, age time.Duration) (Level, bool) {
	if v == nil || age > levelLifetime {
		return Free, false
	}
	x, ok := v.Servers[k]
	return x.Level, ok
}

// Shared returns what a view of the age says of a server with a number of slots. Its slowdown is used however old the view is. The view
// may be nil.
//
// A server with free slots counts as one of which nothing is known. Otherwise all daemons would send to it at once.
func (v *View) Shared(k report.Target, slots int, age time.Duration) choice.Shared {
	if v == nil {
		return choice.Shared{}
	}
	x := choice.Shared{Slowdown: v.Servers[k].Slowdown}
	switch l, _ := v.Level(k, age); l {
	case Full:
		x.InFlight = fullLoad * float64(max(1, slots))
	case Busy:
		x.InFlight = busyLoad * float64(max(1, slots))
	case Free:
	}
	return x
}

// busyLoad and fullLoad are the requests per slot that the levels stand for.
const (
	busyLoad = 1.25
	fullLoad = 2.5
)
