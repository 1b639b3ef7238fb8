// Package judge checks in tests what the servers of a service received from all daemons together against the limit on retries.
package judge

import (
	"cmp"
	"slices"
	"time"

	"heatherrouter/core/mono"
)

// Limit allows in any window, beyond the first arrival of each request, Ratio arrivals per request and Slack in addition. The
// requests are those of the window itself, of the one before it, or of the one that begins half a window earlier, whichever has most.
type Limit struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Record is what callers sent to one service, and what its servers received.
type Record struct {
	Requests []mono.Time // when callers sent requests
	Repeats  []mono.Time // arrivals at servers beyond the first of their request
}

// Use is the use of the limit in one window.
type Use struct {
	From     mono.Time
	Repeats  int
	Requests int
	Allowed  float64
}

// Share returns the repeats as a share of those that are allowed.
func (u Use) Share() float64 { return float64(u.Repeats) / u.Allowed }

// Worst returns the window with the largest share. It sorts the record.
func (r *Record) Worst(l Limit) Use {
	slices.Sort(r.Requests)
	slices.Sort(r.Repeats)
	var worst Use
	for _, t := range r.Repeats {
		for _, from := range []mono.Time{t, t.Add(1 - l.Window)} {
			if u := r.use(from, l); u.Repeats > 0 && (worst.Repeats == 0 || u.Share() > worst.Share()) {
				worst = u
			}
		}
	}
	return worst
}

func (r *Record) use(from mono.Time, l Limit) Use {
	u := Use{From: from, Repeats: within(r.Repeats, from, l.Window)}
	for _, earlier := range []time.Duration{0, l.Window / 2, l.Window} {
		u.Requests = max(u.Requests, within(r.Requests, from.Add(-earlier), l.Window))
	}
	u.Allowed = l.Ratio*float64(u.Requests) + l.Slack
	return u
}

// within returns how many of the times, which are in order, lie in the window.
func within(l []mono.Time, from mono.Time, w time.Duration) int {
	first, _ := slices.BinarySearchFunc(l, from, cmp.Compare[mono.Time])
	end, _ := slices.BinarySearchFunc(l, from.Add(w), cmp.Compare[mono.Time])
	return end - first
}
