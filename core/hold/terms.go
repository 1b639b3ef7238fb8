package hold

import "time"

// Terms are the times of grants.
type Terms struct {
	Hold  time.Duration // for which a grant holds, by the server's clock, from its arrival
	Most  time.Duration // the same where there are many ranges
	Limit time.Duration // for the answer to a grant; then its connection is reset, so that nothing of it arrives later
	Retry time.Duration // between two tries of an order that got no answer
}

// DefaultTerms returns the times in force, for a platform that takes grants up to the limit.
//
// 3 s and three renewals in it: the next coordinator takes over within 1.5 s, and a renewal that is lost is repeated
// twice. Longer ones only add to the time for which the keys of a silent server are nobody's.
func DefaultTerms(limit time.Duration) Terms {
	return Terms{Hold: min(3*time.Second, limit), Most: limit, Limit: 500 * time.Millisecond, Retry: 300 * time.Millisecond}
}

// manyRanges is how many ranges one coordinator renews within the usual hold. With more of them its renewals would come
// too late, and all keys would lapse.
const manyRanges = 720

// HoldFor returns for how long grants hold where one coordinator renews so many ranges.
func (t Terms) HoldFor(ranges int) time.Duration {
	if ranges > manyRanges {
		return t.Most
	}
	return t.Hold
}

// RenewAfter returns after which time a grant is sent again.
func RenewAfter(hold time.Duration) time.Duration { return hold * 3 / 10 }

// clockSlack is by which part a hold may outlast its time: clocks that run slow.
const clockSlack = 50

// Lapse returns after which time a grant that is sent now has surely lapsed, with its way to the server.
func (t Terms) Lapse(hold time.Duration) time.Duration {
	return t.Limit + hold + hold/clockSlack + 100*time.Millisecond
}
