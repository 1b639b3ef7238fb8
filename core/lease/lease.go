// Package lease decides who may send to a backend server: the home that holds a lease from a majority of witnesses.
//
// A server's home asks the witnesses of its partition for a lease under the epoch that the table gave it. A witness
// gives one epoch at a time, so two majorities can't be given to two homes at once. Nothing here reads a clock:
// every time is an argument, a reading of the monotonic clock of the process that the state machine lives in.
package lease

import (
	"time"

	"heatherrouter/core/ident"
)

// Terms are the durations that homes and witnesses of one partition agree on.
type Terms struct {
	Lease  time.Duration // how long the holder counts a lease, from when it sent the ask
	Renew  time.Duration // how often a holder asks again
	Drift  float64       // how far each clock may run fast or slow, as a share of 1
	Margin time.Duration // added to what the witness counts, for the granularity of clocks
	Skew   time.Duration // how far the wall clocks of daemons and backend servers may be apart
}

// DefaultTerms returns the terms in use.
func DefaultTerms() Terms {
	return Terms{
		Lease: 1500 * time.Millisecond, Renew: 400 * time.Millisecond,
		Drift: 0.01, Margin: 10 * time.Millisecond, Skew: 50 * time.Millisecond,
	}
}

// Lapse returns how long a witness counts a lease, from when it answered.
//
// The holder's clock may be slow and the witness's fast. If the witness counted the bare lease, it would give the next
// epoch while the holder still sends; the ratio of the slowest to the fastest clock covers the worst pair.
func (t Terms) Lapse() time.Duration {
	return time.Duration(float64(t.Lease)*(1+t.Drift)/(1-t.Drift)) + t.Margin
}

// Mode says what a witness does with an ask.
type Mode int

const (
	// Renew renews a lease, or takes a higher epoch once the last lease of an older one has lapsed.
	// It leaves the renewals of the older epoch alone.
	Renew Mode = iota
	// Supersede stops the renewals of older epochs at once and takes the lease when they have lapsed.
	Supersede
	// Stopped gives the lease back: the sender sends no more under this epoch and nothing that it sent is in flight.
	// Had it work in flight, the next home could release a shard that the server is still at work on.
	// A daemon that goes on under a higher epoch needs no Stopped: a witness lets the same process pass at once.
	Stopped
)

// Ask is what a home asks of a witness for one server.
type Ask struct {
	Server      ident.Server
	Epoch       ident.Epoch
	Mode        Mode
	Incarnation ident.Incarnation // of the asking daemon
	Rev         ident.Rev         // of the asker's copy of the partition's document
}

// Give is a witness's answer to an Ask.
type Give struct {
	Server  ident.Server
	Epoch   ident.Epoch   // of the ask
	Given   bool          // the lease is given
	Clear   bool          // retired: nobody else holds a lease of this witness, and nobody will
	Retired bool          // the asker must learn the witnesses in Set before it asks again
	Highest ident.Epoch   // highest epoch given or superseding
	Wait    time.Duration // how long to wait before asking again
	Rev     ident.Rev     // lowest revision at which the holder may act on its copy of the document
	Set     Set           // with Clear or Retired: the witnesses as this one knows them
}

// Set names the witnesses of a partition.
type Set struct {
	Rev     ident.Rev // of the row that names them
	Current []ident.Daemon
	Next    []ident.Daemon // not empty while a change is under way
}
