package choice

import "time"

const (
	// crossDomainTime is the minimum bonus of a local server: a round trip to another failure domain.
	crossDomainTime = 10 * time.Millisecond

	// bytesPerRequestValue is the number of bytes between failure domains that cost operators about as much as one
	// request is worth to them. A request of this size may take a whole target longer at a local server.
	bytesPerRequestValue = 30_000
)

// LocalityBonus returns how much longer a request may take at a server in the daemon's own failure domain than at
// another one. The size is that of the request with its answer in bytes, the target the time in which the caller wants
// the answer. A large download stays in its domain while a server there has room; a small read goes to the server that
// answers first.
func LocalityBonus(size float64, target time.Duration) time.Duration {
	return crossDomainTime + time.Duration(size/bytesPerRequestValue*float64(target))
}

// connectShare is the fraction of the target latency that a request may take longer over an open connection than over a new
// one. A new connection takes one of the few that a server accepts from all daemons, and a slot for a moment.
const connectShare = 0.1

// ConnectCost returns how much longer a request may take over an open connection than over a new one.
func ConnectCost(target time.Duration) time.Duration {
	return time.Duration(connectShare * float64(target))
}
