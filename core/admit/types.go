package admit

import (
	"time"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Ticket numbers one piece of work at one Server; hedges of one request have different tickets.
type Ticket uint64

// Work is one send of a request that asks for a slot.
type Work struct {
	ID           ident.Request
	Shard        ident.Shard
	Priority     config.Priority
	Deadline     mono.Time
	Idempotent   bool
	NeverDropped bool // in the queue, it is not evicted for work of higher priority
	Streamed     bool // its time says nothing about the server's speed
}

// Decision is what becomes of one piece of work: Start, Queued, Refuse or Duplicate.
type Decision interface {
	decision()
}

type (
	// Start says to send the work now; Done must follow.
	Start struct {
		Ticket Ticket
	}

	// Queued says to wait: a later call returns a Start or a Refuse for the ticket.
	Queued struct {
		Ticket Ticket
	}

	// Refuse says that the work was not and will not be sent.
	Refuse struct {
		Ticket     Ticket
		Reason     Reason
		RetryAfter mono.Time // when room is expected
	}

	// Duplicate says that non-idempotent work of the same request id was started before. It is no refusal:
	// the request may have run, so the caller must not be told that it didn't.
	Duplicate struct {
		Ticket  Ticket
		Pending bool // the first one has not ended
	}
)

func (Start) decision()     {}
func (Queued) decision()    {}
func (Refuse) decision()    {}
func (Duplicate) decision() {}

// Reason is why work was refused; kebab case.
type Reason string

// Reasons of refusals. Work refused for the last three may go elsewhere at once.
const (
	ReasonQueueFull  Reason = "queue-full"
	ReasonTooLate    Reason = "too-late"    // it would wait in the queue beyond its deadline
	ReasonExpired    Reason = "expired"     // its deadline passed in the queue
	ReasonEvicted    Reason = "evicted"     // work of higher priority took its place
	ReasonMemoryFull Reason = "memory-full" // no room to remember another request id
	ReasonCancelled  Reason = "cancelled"
	ReasonDown       Reason = "server-down"
	ReasonDraining   Reason = "server-draining"
	ReasonMoved      Reason = "shard-moved"
)

// End is how one exchange with the backend server ended.
type End uint8

// Ways in which an exchange ends.
const (
	EndAnswered   End = iota // whole answer with a status below 500
	EndFailed                // whole answer with a status from 500 on that doesn't tell of load
	EndOverloaded            // whole answer that says the server can't carry the load: 502, 503 or 504 by its status
	EndRefused               // the server said that it did not run the request
	EndNoDial                // no connection could be made; nothing was sent
	EndNoConn                // no connection was free or the pool is closed; says nothing about the server
	EndReset                 // connection reset or closed before a whole answer
	EndTimeout               // no whole answer by the deadline
	EndSilent                // connection given up because others answered and this one didn't
	EndCancelled             // given up by our side
)

var endNames = [...]string{
	"answered", "failed", "overloaded", "refused", "no-dial", "no-conn", "reset", "timeout", "silent", "cancelled",
}

// String returns the end in kebab case.
func (e End) String() string {
	if int(e) < len(endNames) {
		return endNames[e]
	}
	return "unknown"
}

// Result is what is known after one exchange.
type Result struct {
	End         End
	Incarnation ident.Incarnation // of the backend server, 0 where it doesn't tell one
}

// Health is the result of one probe.
type Health struct {
	Alive       bool // some whole answer came, whatever it says: health pages lag and mislead
	Incarnation ident.Incarnation
}

// Report is what the home itself sees of its backend server.
type Report struct {
	Down            bool
	Slow            bool
	Draining        bool
	InFlight        int
	Queued          int
	OpenSlots       int
	ServedPerSecond int
	Latency         time.Duration // moving median of the service time
	Incarnation     ident.Incarnation
}

// Options sets up a Server; the zero value of each tuning constant takes its default.
type Options struct {
	Slots    int
	QueueLen int // bound of the queue
	Memory   int // bound of the request ids that are remembered
	Proven   Proven
}

// Proven is how many slots a server had open at its previous home, and in which incarnation; zero if not
// known. As soon as the server tells the same incarnation, the ramp goes on from there.
type Proven struct {
	Incarnation ident.Incarnation
	Slots       int
}

const (
	defaultQueueLen = 64
	defaultMemory   = 1 << 18
)
