// Package pace keeps the total of what all daemons send within a limit, by giving each daemon a share. It covers
// requests to a cold backend server and retries.
//
// The daemons exchange no messages for this. Each knows the daemons that may use a share, see Fleet, and the shares are counted so
// that their sum stays within the limit in any span of time. The cost is that a share which one daemon does not use is not
// available to the others.
package pace

import (
	"time"

	"heatherrouter/core/mono"
)

// SlidingWindow limits the number of events in any span of a given length.
type SlidingWindow struct {
	at []mono.Time // ring of the latest events; 0 is none
	i  int         // index of the oldest event
}

// Take records an event if fewer than n have happened in the span before now; it reports whether it did.
func (w *SlidingWindow) Take(now mono.Time, n int, span time.Duration) bool {
	if !w.Allows(now, n, span) {
		return false
	}
	w.Record(now, n)
	return true
}

// Record records an event, whatever is allowed, in a window that keeps the newest n.
func (w *SlidingWindow) Record(now mono.Time, n int) {
	if len(w.at) != n {
		w.resize(n)
	}
	w.at[w.i] = now
	w.i = (w.i + 1) % n
}

// Forget removes the events before t.
func (w *SlidingWindow) Forget(t mono.Time) {
	for k, at := range w.at {
		if at < t {
			w.at[k] = 0
		}
	}
}

// Allows reports whether Take would record an event now.
func (w *SlidingWindow) Allows(now mono.Time, n int, span time.Duration) bool {
	if n <= 0 {
		return false
	}
	if len(w.at) != n {
		w.resize(n)
	}
	oldest := w.at[w.i]
	return oldest == 0 || now.Sub(oldest) >= span
}

// resize sets the capacity to n and keeps the newest events.
func (w *SlidingWindow) resize(n int) {
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
