// Package retry decides how the entry daemon handles a caller's request: send, retry, hedge, wait or fail.
package retry

// Outcome says what is known about one send of a request. Its values are those of the wire protocol.
type Outcome uint8

// Outcomes of a send. With Answered and Unknown, the request may have run.
const (
	Unknown  Outcome = iota // sent, but no complete answer was received
	Answered                // a complete answer was received
	NotRun                  // nothing was sent, or the server reported that it did not run
	Moved                   // not run: the receiver is not, or is no longer, the home or the owner
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

// MayHaveRun reports whether the request may have run.
func (o Outcome) MayHaveRun() bool {
	return o == Unknown || o == Answered
}
