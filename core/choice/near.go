package choice

import "time"

const (
	// crossing is the time that is always granted to a server nearby, for the way to another failure domain and back.
	crossing = 10 * time.Millisecond

	// crossingWorth is how many bytes between failure domains cost operators about as much as one request is worth to
	// them. So many may take a whole target longer at a server nearby.
	crossingWorth = 30_000
)

// NearGain returns how much longer a request may take at a server of the daemon's own failure domain than at another one,
// by its size with its answer in bytes and by the time within which its caller wants it. A large download stays in its
// domain as long as a server there has any room; a small read goes where it is served soonest.
func NearGain(size float64, target time.Duration) time.Duration {
	return crossing + time.Duration(size/crossingWorth*float64(target))
}
