package admit

import (
	"time"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Ticket identifies one piece of work at one Server; hedges of one request have different tickets.
type Ticket uint64

// Work is one attempt to send a request, which needs a slot.
type Work struct {
	ID           ident.Request
	Shard        ident.Shard
	Priority     config.Priority
	Deadline     mono.Time
	Idempotent   bool
	NeverDropped bool // not evicted from the queue for work of higher priority
	Streamed     bool // excluded from the service times, which it would distort
}

// Decision is the outcome for one piece of work: Start, Queued, Refuse or Duplicate.
type Decision interface {
	decision()
}

type (
	// Start means that the work must be sent now; the caller reports its end by Done.
	Start struct {
		Ticket Ticket
	}

	// Queued means that the work waits: a later call returns a Start or a Refuse for the ticket.
	Queued struct {
		Ticket Ticket
	}

	// Refuse means that the work was not sent and will not be.
	Refuse struct {
		Ticket     Ticket
		Reason     Reason
		RetryAfter mono.Time // when capacity is expected
	}

	// Duplicate means that non-idempotent work with the same request id was started before. It is not a refusal:
	// the request may have run, so the caller must not be informed that it didn't.
	Duplicate struct {
		Ticket  Ticket
		Pending bool // the first one has not ended
	}
)

func (Start) decision()     {}
func (Queued) decision()    {}
func (Refuse) decision()    {}
func (Duplicate) decision() {}

// Reason is why work was refused, in kebab case.
type Reason string

// Reasons of refusals. Work refused for the last three may be sent to another server at once.
const (
	ReasonQueueFull  Reason = "queue-full"
	ReasonTooLate    Reason = "too-late"    // it would wait in the queue beyond its deadline
	ReasonExpired    Reason = "expired"     // its deadline passed in the queue
	ReasonEvicted    Reason = "evicted"     // work of higher priority took its place
	ReasonMemoryFull Reason = "memory-full" // the request id table is full
	ReasonCancelled  Reason = "cancelled"
	ReasonDown       Reason = "server-down"
	ReasonDraining   Reason = "server-draining"
	ReasonMoved      Reason = "shard-moved"
)

// End is how one exchange with the backend server ended.
type End uint8

// Ways in which an exchange ends.
const (
	EndAnswered     End = iota // whole response with a status below 500
	EndFailed                  // whole response with a status of at least 500 that doesn't indicate overload
	EndOverloaded              // whole response that indicates overload: status 502, 503 or 504
	EndRefused                 // the server reported that it did not run the request
	EndDialFailed              // no connection could be made; nothing was sent
	EndNoConnFree              // no connection was free or the pool is closed; no evidence about the server
	EndReset                   // connection reset or closed before a whole response
	EndTimeout                 // no whole response by the deadline
	EndUnresponsive            // connection abandoned because others received responses and this one didn't
	EndCancelled               // cancelled by this process
	EndEndless                 // response abandoned because it exceeded the limits of its size or time
)

var endNames = [...]string{
	"answered", "failed", "overloaded", "refused", "no-dial", "no-conn", "reset", "timeout", "silent", "cancelled", "endless",
}

// String returns the end in kebab case, or "unknown".
func (e End) String() string {
	if int(e) < len(endNames) {
		return endNames[e]
	}
	return "unknown"
}

// Result is the outcome of one exchange.
type Result struct {
	End         End
	Incarnation ident.Incarnation // of the backend server; 0 if it doesn't report one
}

// ProbeResult is the result of one probe.
type ProbeResult struct {
	Alive       bool // a whole response arrived, with any status: health pages lag and mislead
	Incarnation ident.Incarnation
}

// Report is the state of the backend server as its home measures it.
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

// Options configures a Server; zero QueueLen and MaxRequestIDs take their defaults.
type Options struct {
	Slots         int
	QueueLen      int // maximum number of queued entries
	MaxRequestIDs int // maximum number of request ids kept to detect duplicates
	Proven        ProvenSlots
}

// ProvenSlots is how many slots a server had open at its previous home, and in which incarnation; zero if
// unknown. The ramp continues from there once the server reports the same incarnation.
type ProvenSlots struct {
	Incarnation ident.Incarnation
	Slots       int
}

const (
	defaultQueueLen = 64
	defaultMemory   = 1 << 18
)
