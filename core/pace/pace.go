// Package pace keeps what all daemons do together under a bound, by giving each its share: requests to a cold backend
// server, and sends beyond the first of each request.
//
// The daemons don't ask each other. Each knows how many there are, and a share that is counted so that the sum holds in
// any span of time needs no message; the price is that a share unused by one is lost to the others.
package pace

import (
	"math"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
)

// Window allows a number of events in any span of its length.
type Window struct {
	at []mono.Time // the latest events, a ring
	i  int
}

// Take counts an event now if fewer than n have happened in the span before it.
func (w *Window) Take(now mono.Time, n int, span time.Duration) bool {
	if !w.Allows(now, n, span) {
		return false
	}
	w.at[w.i] = now
	w.i = (w.i + 1) % len(w.at)
	return true
}

// Allows reports whether Take would count an event now.
func (w *Window) Allows(now mono.Time, n int, span time.Duration) bool {
	if n <= 0 {
		return false
	}
	if len(w.at) != n {
		w.resize(n)
	}
	oldest := w.at[w.i]
	return oldest == 0 || now.Sub(oldest) >= span
}

// resize keeps the newest events.
func (w *Window) resize(n int) {
	var l []mono.Time
	for k := range w.at {
		if t := w.at[(w.i+k)%len(w.at)]; t != 0 {
			l = append(l, t)
		}
	}
	l = l[max(0, len(l)-n):]
	w.at = make([]mono.Time, n)
	w.i = copy(w.at, l) % n
}

const (
	// ColdSpan is the span for which a ColdShare holds: a little more than the second in which the bound is counted, for
	// clocks that run apart.
	ColdSpan = 1050 * time.Millisecond

	// coldShare is the part of the bound that is used: above the rate that a cold server carries it may crash, and a
	// daemon that starts again knows nothing of the requests that it has just sent.
	coldShare = 0.7
)

// ColdLimit is the bound of all daemons together for one server.
type ColdLimit struct {
	Rate   float64 // requests a second that the server carries
	Factor float64 // of the rate, that may be sent
	Slack  float64 // requests beyond that
}

func (l ColdLimit) perSecond() int {
	return int(math.Floor((l.Rate*l.Factor + l.Slack) * coldShare))
}

// ColdShare returns how many requests this daemon may send a cold server in any ColdSpan. Where the bound is smaller than
// the number of daemons, the first few by rendezvous score send, each one request a second.
func ColdShare(s ident.Server, self ident.Daemon, daemons []ident.Daemon, l ColdLimit) int {
	total, count := l.perSecond(), max(1, len(daemons))
	n, rest := total/count, total%count
	if rest == 0 {
		return n
	}
	before := 0
	mine := live.Score(string(s), self)
	for _, d := range daemons {
		if d != self && live.Score(string(s), d) > mine {
			before++
		}
	}
	if before < rest {
		n++
	}
	return n
}
