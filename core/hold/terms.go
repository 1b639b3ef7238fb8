package hold

import "time"

// Timing holds the TTLs and time-outs of grants.
type Timing struct {
	TTL        time.Duration // TTL of a grant, by the server's clock, from its arrival
	MaxTTL     time.Duration // TTL if there are many ranges
	Timeout    time.Duration // for the answer to a grant; then its connection is reset, so that nothing of it arrives later
	RetryDelay time.Duration // between two attempts of an order that was not accepted
}

// DefaultTiming returns the default timing for a platform that accepts grants with a TTL up to the limit.
//
// The TTL is 3 s with three renewals in it: the next coordinator takes over within 1.5 s, and a lost renewal is
// repeated twice. A longer TTL only adds to the time for which the keys of an unresponsive server have no owner.
func DefaultTiming(limit time.Duration) Timing {
	return Timing{TTL: min(3*time.Second, limit), MaxTTL: limit, Timeout: 500 * time.Millisecond, RetryDelay: 300 * time.Millisecond}
}

// defaultTTLRanges is the number of ranges that one coordinator can renew within the default TTL. With more, its
// renewals would be late and all keys would expire.
const defaultTTLRanges = 720

// TTLFor returns the TTL of grants if one coordinator renews the given number of ranges.
func (t Timing) TTLFor(ranges int) time.Duration {
	if ranges > defaultTTLRanges {
		return t.MaxTTL
	}
	return t.TTL
}

// RenewAfter returns the delay after which a grant is renewed.
func RenewAfter(ttl time.Duration) time.Duration { return ttl * 3 / 10 }

// clockDriftDivisor is the inverse of the fraction by which a grant may outlast its TTL because the server's clock runs
// slow.
const clockDriftDivisor = 50

// maxTransit bounds the time that a grant is on its way after it was sent.
const maxTransit = 100 * time.Millisecond

// ExpiryBound returns the time after which a grant that is due now is guaranteed to have expired, including the time in which
// it may be sent.
func (t Timing) ExpiryBound(ttl time.Duration) time.Duration {
	return t.Timeout + t.sentExpiryBound(ttl)
}

// sentExpiryBound returns the time after which a grant that was sent by now is guaranteed to have expired.
func (t Timing) sentExpiryBound(ttl time.Duration) time.Duration {
	return ttl + ttl/clockDriftDivisor + maxTransit
}
