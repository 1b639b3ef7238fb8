package owner

import (
	"time"

	"heatherrouter/core/mono"
)

// ServerTime is a reading of a backend server's own clock, as the time since an arbitrary start.
type ServerTime time.Duration

// ClockSample relates a server's clock to the home's: the server read Stamp before the home received it at At.
// Take a new one from every response, since Deadline loses the possible drift since the sample.
type ClockSample struct {
	Stamp ServerTime
	At    mono.Time
}

// Deadline returns a reading that the server's clock reaches no later than the home's clock reaches t.
//
// A remaining time would count from when the server reads it, so a request delayed on its way, by a pause or a slow
// network, would run long after the lease. A reading of the server's own clock has passed by then, and the server
// refuses the request.
func (a ClockSample) Deadline(t mono.Time, drift float64) ServerTime {
	d := float64(t.Sub(a.At)) * (1 - drift) / (1 + drift)
	return a.Stamp + ServerTime(d)
}
