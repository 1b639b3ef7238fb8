// Package limits is the policy by which the request limits that backend servers name are enforced. A server in need names the
// requests a second that it takes from all daemons together, and stops naming it when the need is over.
package limits

import (
	"time"

	"heatherrouter/core/quota"
	"heatherrouter/core/site"
)

const (
	// window is the span in which requests to a server are counted. A request may arrive a little before or after the
	// daemon that sent it counts it.
	window = 4 * time.Second

	// overshoot is the share by which requests in a window may exceed the limit. Without it the rounding of the counts
	// would leave a part of the limit unused.
	overshoot = 0.15

	// unassignedShare is the share of a limit that is divided equally among all daemons while the coordinator doesn't answer.
	unassignedShare = 0.5

	// burstTime is the time in which unused tokens accumulate.
	burstTime = 500 * time.Millisecond
)

// Policy returns the policy by which limits of servers are enforced. Daemons keep no tokens in stock: a server in need takes few
// requests a second, and tokens that lie at daemons without callers would be lost to the others.
func Policy() quota.Policy {
	return quota.Policy{Window: window, Overshoot: overshoot, NoStock: true, ScaleSent: true, UnassignedShare: unassignedShare}
}

// Bucket returns the token bucket of a server that names a limit in requests per second.
func Bucket(rate float64) site.Limit {
	if rate == 0 {
		return site.Limit{}
	}
	return site.Limit{Rate: rate, Burst: max(1, rate*burstTime.Seconds())}
}
