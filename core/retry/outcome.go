// Package retry decides at the entry what becomes of one caller's request: send it, send it again, hedge, wait or give it up.
package retry

// Outcome is what is certain about one send of a request. The values are those of the wire.
type Outcome uint8

// Outcomes; only Answered and Unknown may have run.
const (
	Unknown  Outcome = iota // sent, no whole answer
	Answered                // answered whole
	NotRun                  // certain: nothing was sent, or the server said so
	Moved                   // not run: the receiver is not, or no longer, the home or the owner
)

// String returns the outcome in kebab case.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Moved:
		return "moved"
	}
	return "unknown"
}

// Ran reports whether the request may have run.
func (o Outcome) Ran() bool {
	return o == Unknown || o == Answered
}
