package hold

import (
	"time"

	"heatherrouter/core/mono"
)

// Connection identifies a connection to a server.
type Connection uint64

// Order is a request to a backend server: a Grant or a Release.
type Order interface {
	order()
}

type (
	// Grant gives keys to a server or renews them.
	Grant struct {
		Range
		To       Incarnation
		Fence    Fence
		TTL      time.Duration
		Handover string

		// Ends is the deadline for sending the grant and for its answer. A grant that waits behind others for an unresponsive
		// server would keep the range from moving.
		Ends mono.Time

		// Renewal is set if the server has accepted a grant with this fence. A renewal must go over the same
		// connection: a new connection could reach the next incarnation of the server, which needs a higher fence.
		Renewal    bool
		Connection Connection // over which the server has accepted the grant that is renewed

		record *sentGrant
	}

	// Release takes keys back. It is answered when the requests for them have ended. One release covers all adjacent
	// ranges that leave a server together: hot keys are often neighbours, and a server overloaded by their requests
	// resets new connections, so a dozen separate releases would not all reach it.
	Release struct {
		Range
		From  Incarnation
		Fence Fence     // highest fence of the parts
		Until mono.Time // when the keys are guaranteed to be free without an answer
		Parts []ReleasePart
	}

	// ReleasePart is one of the ranges that a Release covers.
	ReleasePart struct {
		Range
		Fence Fence
	}
)

func (Grant) order()   {}
func (Release) order() {}

// with returns the release extended by p, which must come after the ranges that it covers.
func (r *Release) with(p *rangeState, until mono.Time) *Release {
	if r == nil {
		r = &Release{Range: p.Range, From: p.Previous}
	}
	r.Last, r.Fence, r.Until = p.Last, max(r.Fence, p.fence), max(r.Until, until)
	r.Parts = append(r.Parts, ReleasePart{Range: p.Range, Fence: p.fence})
	return r
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of orders.
const (
	Accepted  Outcome = iota
	Outfenced         // the server has received a higher fence
	Ended             // that incarnation of the server has ended
	NotSent           // nothing reached the server
	Silent            // no answer: the order may have been carried out, or may still be
)

var outcomeNames = [...]string{"accepted", "outfenced", "ended", "not-sent", "silent"}

// String returns the outcome in kebab case.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Result is the outcome of an order and the data in its answer.
type Result struct {
	Outcome    Outcome
	Handover   string     // from an accepted Release
	Connection Connection // of an accepted Grant
}
