package report

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	// MaxBackoff bounds the backoff that a server can request at once. Only the response to a request shows that it takes requests again.
	MaxBackoff = time.Minute

	// confirmations is the number of daemons that a server must have requested backoff from before the others send it nothing either, and
	// confirmTime the time that must have passed by then, in which requests that it has taken meanwhile are usually answered.
	confirmations = 10
	confirmTime   = 300 * time.Millisecond

	// endSpread is the time over which daemons spread their first requests after a backoff. The response to the first one tells all daemons
	// whether to send.
	endSpread = 400 * time.Millisecond

	// probeInterval is the least time between two such requests of one daemon. A response to one ends the wait.
	probeInterval = 250 * time.Millisecond

	// settleTime is how long keys stay on a server that begins a backoff: if all servers of a service do, this shows within that time, and
	// keys that had moved would have to move again at once. unconfirmedTime is the same for a backoff that was requested from few daemons, while
	// the server takes no requests of others.
	settleTime      = 100 * time.Millisecond
	unconfirmedTime = 150 * time.Millisecond

	// minMoveTime is the shortest backoff for which keys leave a server. They are back about as long after its end.
	minMoveTime = 500 * time.Millisecond

	// clockTolerance is the difference below which times from other daemons count as equal. They arrive with the delay of messages.
	clockTolerance = 100 * time.Millisecond
)

// Backoff is what a daemon tells others of a backoff that a server requested.
//
// A server in backoff refuses all daemons. One that is full refuses a few requests with the same header and goes on running others: it
// must not be left by daemons that it hasn't asked, as they would overload the other servers. So a backoff is confirmed, and concerns all
// daemons, once many were asked and the server has taken no request that was sent since the first of them was.
type Backoff struct {
	Until     mono.Time // the latest end of what daemons were asked
	BeganAt   mono.Time // when the first daemon was asked since the server last took a request
	ServedAt  mono.Time // when the newest request was sent that the server has taken; not after BeganAt while it takes none
	Confirmed bool      // whether it concerns all daemons
}

// Served reports whether the server has taken a request since it asked the first daemon.
func (x Backoff) Served() bool { return x.ServedAt > x.BeganAt }

// backoff is what is known of the backoff that one server requested.
type backoff struct {
	Backoff

	own       mono.Time             // until when this daemon may send nothing, because the server has asked it; 0 if it hasn't
	asked     map[ident.Daemon]bool // daemons known to have been asked since BeganAt
	learnedAt mono.Time             // when this daemon learned of the backoff
	probedAt  mono.Time             // when this daemon last sent a request to find out whether the server takes requests
	draw      float64               // from 0 to 1, places this daemon's first request within endSpread
}

// end returns when the backoff ends for this daemon and, if confirmed, for all.
func (x *backoff) end() mono.Time {
	if x.Confirmed {
		return max(x.own, x.Until)
	}
	return x.own
}

// Access is whether a daemon may send requests to a server, as far as its backoff is concerned.
type Access uint8

// Values of Access.
const (
	Open    Access = iota
	Probe          // one request may be sent, to find out whether the server takes requests
	Waiting        // soon, or as soon as another request was taken
	Closed         // not before the end of the backoff
)

func (x *backoff) access(now mono.Time) Access {
	switch {
	case now < x.end():
		return Closed
	case !x.Confirmed && x.ServedAt >= x.own:
		return Open
	case now < x.end().Add(time.Duration(x.draw*float64(endSpread))), x.probedAt > 0 && now < x.probedAt.Add(probeInterval):
		return Waiting
	}
	return Probe
}

// backoff returns the state of a server's backoff, which it creates.
func (r *Record) backoff(k Target) *backoff {
	x := r.backoffs[k]
	if x == nil {
		x = &backoff{asked: map[ident.Daemon]bool{}}
		r.backoffs[k] = x
	}
	return x
}

// begin starts another backoff of the server.
func (r *Record) begin(now mono.Time, x *backoff, beganAt mono.Time) {
	x.Backoff = Backoff{BeganAt: beganAt, ServedAt: min(x.ServedAt, beganAt)}
	x.learnedAt, x.probedAt, x.draw = now, 0, r.random()
	clear(x.asked)
}

// BackoffRequested records a response that requests backoff from this daemon. An earlier backoff isn't shortened: the server counts on each
// of its responses.
func (r *Record) BackoffRequested(now mono.Time, self ident.Daemon, k Target, d time.Duration) {
	x := r.backoff(k)
	if x.BeganAt == 0 || x.Served() {
		r.begin(now, x, now)
	}
	x.own = max(x.own, now.Add(min(d, MaxBackoff)))
	x.Until = max(x.Until, x.own)
	x.probedAt = 0
	r.addAsked(now, x, self)
}

// addAsked records that the server has requested backoff from a daemon.
func (r *Record) addAsked(now mono.Time, x *backoff, d ident.Daemon) {
	x.asked[d] = true
	x.Confirmed = x.Confirmed || len(x.asked) >= r.confirmations && now.Sub(x.learnedAt) >= r.confirmTime
}

// RequestServed records a response that requests no backoff, to a request that was sent at the given time. It reports whether other
// daemons should be told.
func (r *Record) RequestServed(sentAt mono.Time, k Target) bool {
	x := r.backoffs[k]
	if x == nil || sentAt <= x.ServedAt {
		return false
	}
	if news := !x.Served(); sentAt > x.BeganAt {
		r.markServed(x, sentAt)
		return news
	}
	return false
}

// markServed records that the server took a request that was sent at the given time.
func (r *Record) markServed(x *backoff, sentAt mono.Time) {
	x.ServedAt, x.probedAt, x.Confirmed = sentAt, 0, false
	clear(x.asked)
}

// MergeBackoff records what another daemon has told: what it was asked itself or, told by the coordinator, all were.
func (r *Record) MergeBackoff(now mono.Time, from ident.Daemon, k Target, y Backoff, coordinator bool) {
	x := r.backoff(k)
	if x.BeganAt == 0 || x.Served() && y.BeganAt > max(x.BeganAt.Add(clockTolerance), x.ServedAt) {
		r.begin(now, x, y.BeganAt)
	}
	switch {
	case x.Served():
		return
	case y.Served():
		if y.ServedAt > x.BeganAt {
			r.markServed(x, y.ServedAt)
		}
		return
	}
	x.Until = max(x.Until, y.Until)
	x.Confirmed = x.Confirmed || y.Confirmed
	if !coordinator {
		r.addAsked(now, x, from)
	}
}

// Backoffs returns what to tell others of the backoffs of all servers.
func (r *Record) Backoffs() map[Target]Backoff {
	l := make(map[Target]Backoff, len(r.backoffs))
	for k, x := range r.backoffs {
		l[k] = x.Backoff
	}
	return l
}

// Access says whether this daemon may send requests to the server, as far as its backoff is concerned.
func (r *Record) Access(now mono.Time, k Target) Access {
	if x := r.backoffs[k]; x != nil {
		return x.access(now)
	}
	return Open
}

// TakeAccess reports whether a request may be sent to the server now, right before it is sent.
func (r *Record) TakeAccess(now mono.Time, k Target) bool {
	switch r.Access(now, k) {
	case Open:
		return true
	case Probe:
		r.backoffs[k].probedAt = now
		return true
	case Waiting, Closed:
	}
	return false
}

// BackoffTime returns until when this daemon sends nothing to the server, and since when; 0 if it may send.
func (r *Record) BackoffTime(now mono.Time, k Target) (until, since mono.Time) {
	if x := r.backoffs[k]; x != nil && now < x.end() {
		return x.end(), x.learnedAt
	}
	return 0, 0
}

// Placement is whether keys may be placed on a server, as far as its backoff is concerned.
type Placement uint8

// Values of Placement.
const (
	Usable   Placement = iota
	Unproven           // its backoff is over, and it hasn't taken a request yet
	Settling           // it has requested backoff, and soon counts as Excluded
	Excluded           // it may hold no keys
)

// Placement says whether the site's keys may be placed on the server.
func (r *Record) Placement(now mono.Time, k Target) Placement {
	x := r.backoffs[k]
	switch {
	case x == nil || x.Served() || x.Until.Sub(x.BeganAt) < minMoveTime:
		return Usable
	case now >= x.Until:
		return Unproven
	case now.Sub(x.learnedAt) >= unconfirmedTime, x.Confirmed && now.Sub(x.learnedAt) >= settleTime:
		return Excluded
	}
	return Settling
}

// BackoffsKnown returns the number of recorded backoffs, including those that have ended.
func (r *Record) BackoffsKnown() int { return len(r.backoffs) }

// BackoffCount returns the number of servers to which this daemon sends nothing because of a backoff.
func (r *Record) BackoffCount(now mono.Time) int {
	n := 0
	for _, x := range r.backoffs {
		if x.access(now) == Closed {
			n++
		}
	}
	return n
}
