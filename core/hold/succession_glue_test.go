package hold_test

import (
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// The functions in this file repeat what io/grant and io/feed decide, one function for each place.

// Times of io/grant.
const (
	planInterval         = 500 * time.Millisecond
	pollInterval         = 250 * time.Millisecond
	settleDelay          = 700 * time.Millisecond
	settledWriteDelay    = 3 * time.Second
	storeTimeout         = 300 * time.Millisecond
	takeOverRetryDelay   = 250 * time.Millisecond
	withdrawInterval     = 200 * time.Millisecond
	withdrawTimeout      = 250 * time.Millisecond
	releaseTimeout       = 10 * time.Second
	replaceVotersDelay   = 3 * time.Second
	daemonGoneTimeout    = 6 * time.Second
	storeUnresponsiveAge = 1200 * time.Millisecond
)

// inheritedExpire is the expiry of earlier grants that loadService in service.go sets.
func inheritedExpire(t hold.Timing, end mono.Time, r hold.Reservation) mono.Time {
	return end.Add(t.ExpiryBound(r.MaxTTL))
}

// mayHoldTerm is HoldsTerm in io/feed.
func mayHoldTerm(c site.Coordinator, t site.Term, leads, proposed, supported bool) bool {
	return c.Term == t && leads && (c.WithoutQuorum && !proposed || supported)
}

// maySendOrder is maySendOrder in elect.go.
func maySendOrder(t, ended site.Term, holdsTerm bool, controlAge time.Duration) bool {
	return t > ended && holdsTerm && controlAge < elect.AuthorityTTL
}

// releaseDeadline is releaseDeadline in link.go.
func releaseDeadline(now mono.Time, t hold.Timing, until mono.Time) mono.Time {
	return max(now.Add(t.Timeout), min(until, now.Add(releaseTimeout)))
}

// previousOwnersCleared is previousOwnersCleared in service.go.
func previousOwnersCleared(row, now []hold.Assignment) bool {
	moving := func(p hold.Assignment) bool { return p.Previous != hold.Incarnation{} }
	return !slices.ContainsFunc(now, moving) && slices.ContainsFunc(row, moving)
}
