// Package buffer decides which bytes of requests and responses a daemon with little memory holds.
package buffer

import (
	"time"

	"heatherrouter/core/mono"
)

// Bytes is a number of bytes.
type Bytes int64

// Lowest is the priority of requests without a route.
const Lowest = Classes - 1

// Classes is the number of priorities that are told apart; lower ones count as the last.
const Classes = 3

const (
	// The bytes of all requests and responses may take all tenths of the limit before a request of priority 0 is refused, and one tenth
	// less for each lower class.
	tenths       = 10
	lessPerClass = 1

	// Requests that hold at most one part in smallPart of the limit may take all of it, and a twentieth more for each class above the
	// lowest: a few large bodies, or bodies that never end, would else keep all others out.
	smallPart  = 1000
	twentieths = 20

	// minRead is what a caller must read within readTime while buffers are short.
	minRead  Bytes = 1 << 10
	readTime       = 5 * time.Second

	// shortTime is how long buffers count as short after a reservation has failed: refused callers return in this time.
	shortTime = 5 * time.Second
)

// Budget is the decision about the buffers of one daemon.
type Budget struct {
	limit   Bytes
	held    Bytes
	refused [Classes]uint64
	shortAt mono.Time // when a reservation last failed; 0 for never
}

// New returns a Budget with the given limit.
func New(limit Bytes) *Budget { return &Budget{limit: limit} }

// Class returns the class of a priority.
func Class(priority int) int { return min(max(priority, 0), Lowest) }

// ReserveRequest reserves bytes for the body of a request that holds others already, and reports whether it may be read.
func (b *Budget) ReserveRequest(now mono.Time, priority int, held, n Bytes) bool {
	c := Class(priority)
	if b.reserve(now, c, held, n) {
		return true
	}
	b.refused[c]++
	return false
}

// ReserveResponse reserves bytes for the body of a response to a request that holds others already, and reports whether it may be read. Responses may take a tenth of the limit more
// than requests of the same priority, as the work for them is lost if they are not delivered.
func (b *Budget) ReserveResponse(now mono.Time, priority int, held, n Bytes) bool {
	return b.reserve(now, max(0, Class(priority)-1), held, n)
}

func (b *Budget) reserve(now mono.Time, class int, held, n Bytes) bool {
	most := b.limit * Bytes(tenths-lessPerClass*class) / tenths
	if held+n <= b.limit/smallPart {
		most = b.limit * Bytes(twentieths+Lowest-class) / twentieths
	}
	if b.held+n > most {
		b.shortAt = now
		return false
	}
	b.held += n
	return true
}

// Release gives back reserved bytes.
func (b *Budget) Release(n Bytes) { b.held -= n }

// State is what a Budget holds and has refused.
type State struct {
	Limit   Bytes           `json:"limit"`
	Held    Bytes           `json:"held"`
	Refused [Classes]uint64 `json:"refused"` // requests by priority
}

// State returns the current state.
func (b *Budget) State() State { return State{Limit: b.limit, Held: b.held, Refused: b.refused} }

// Reader is the progress of a caller that reads a response. The zero value is a Reader that has not begun.
type Reader struct {
	since mono.Time // of the last progress by minRead
	read  Bytes     // since then
}

// Begin records that the caller is sent a response from now on.
func (r *Reader) Begin(now mono.Time) { *r = Reader{since: now} }

// Read records that the caller has read bytes.
func (r *Reader) Read(now mono.Time, n Bytes) {
	if r.read += n; r.read >= minRead {
		r.Begin(now)
	}
}

// Reclaims reports whether the caller must be disconnected: it hardly reads, and requests are refused for lack of buffers.
func (b *Budget) Reclaims(now mono.Time, r *Reader) bool {
	short := b.shortAt > 0 && now.Sub(b.shortAt) < shortTime
	return short && now.Sub(r.since) >= readTime
}
