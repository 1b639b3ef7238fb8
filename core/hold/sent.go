package hold

import (
	"slices"

	"heatherrouter/core/mono"
)

// sentGrant is a grant that may be in force at a server, or may still reach it. The ranges into which the range of the grant was
// split share it.
type sentGrant struct {
	to      Incarnation
	expires mono.Time // mono.Never while the grant is in progress
}

// end records the end of the exchange, after which nothing of the grant reaches the server.
func (g *sentGrant) end(now mono.Time, t Timing, x Grant, o Outcome) {
	if o == NotSent {
		g.expires = 0
		return
	}
	g.expires = max(now, x.Ends).Add(t.sentExpiryBound(x.TTL))
}

// sentGrants are the grants of a range that may not have expired.
type sentGrants []*sentGrant

// expiry returns when all grants have expired; mono.Never while one is in progress.
func (l sentGrants) expiry() mono.Time {
	var t mono.Time
	for _, g := range l {
		t = max(t, g.expires)
	}
	return t
}

// inProgress reports whether a grant may still be sent.
func (l sentGrants) inProgress() bool { return l.expiry() == mono.Never }

// with returns the grants of both lists that have not expired.
func (l sentGrants) with(now mono.Time, m ...*sentGrant) sentGrants {
	var next sentGrants
	for _, g := range slices.Concat(l, m) {
		if now.Before(g.expires) && !slices.Contains(next, g) {
			next = append(next, g)
		}
	}
	return next
}

// onlyTo reports whether all grants that have not expired were sent to incarnations for which f is true.
func (l sentGrants) onlyTo(now mono.Time, f func(Incarnation) bool) bool {
	return !slices.ContainsFunc(l, func(g *sentGrant) bool { return now.Before(g.expires) && !f(g.to) })
}
