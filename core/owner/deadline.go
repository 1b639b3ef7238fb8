package owner

import (
	"time"

	"heatherrouter/core/mono"
)

// Stamp is a reading of a backend server's own clock, since an arbitrary start.
type Stamp time.Duration

// Anchor ties a server's clock to the home's: the server read Stamp before the home received it at At.
// Take a new one from every answer, for an old one gives away the drift since.
type Anchor struct {
	Stamp Stamp
	At    mono.Time
}

// Deadline returns a reading that the server's clock reaches no later than the home's clock reaches t.
//
// A time that remains counts from when the server reads it. A request held up between the home's check and the server,
// by a pause or a slow network, would then run long after the lease. A reading of the server's own clock has passed by
// that time, and the server refuses the request.
func (a Anchor) Deadline(t mono.Time, drift float64) Stamp {
	d := float64(t.Sub(a.At)) * (1 - drift) / (1 + drift)
	return a.Stamp + Stamp(d)
}
