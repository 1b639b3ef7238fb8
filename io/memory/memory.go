package memory

import (
	"sync"

	"github.com/gravitational/trace"

	"heatherrouter/core/buffer"
	"heatherrouter/io/clock"
)

// ErrNoMemory is the error of a body that does not fit into the daemon's buffers.
var ErrNoMemory = trace.Errorf("no buffer space for the body")

// Options configure a Budget.
type Options struct {
	Limit buffer.Bytes
	Clock *clock.Clock

	// Refused is called for each request that is refused for lack of memory, with the class of its priority.
	Refused func(class int)
}

// Budget accounts for the bytes of the requests and responses in this process. It is safe for concurrent use. A nil Budget has no limit
// and counts nothing.
type Budget struct {
	o Options

	mu sync.Mutex
	b  *buffer.Budget
}

// New returns a Budget.
func New(o Options) *Budget { return &Budget{o: o, b: buffer.New(o.Limit)} }

// State returns the current state.
func (b *Budget) State() buffer.State {
	if b == nil {
		return buffer.State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.State()
}

// Begin records that the reader is sent a response from now on.
func (b *Budget) Begin(r *buffer.Reader) { r.Begin(b.o.Clock.Now()) }

// Reclaims records that the reader has read n bytes and reports whether it must be disconnected.
func (b *Budget) Reclaims(r *buffer.Reader, n int) bool {
	now := b.o.Clock.Now()
	r.Read(now, buffer.Bytes(n))
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Reclaims(now, r)
}

func (b *Budget) reserveRequest(priority, held, n int) bool {
	now := b.o.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.ReserveRequest(now, priority, buffer.Bytes(held), buffer.Bytes(n))
}

func (b *Budget) reserveResponse(priority, held, n int) bool {
	now := b.o.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.ReserveResponse(now, priority, buffer.Bytes(held), buffer.Bytes(n))
}

func (b *Budget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.b.Release(buffer.Bytes(n))
}

// Reservation is the bytes that one request and its responses hold. It is not safe for concurrent use. A nil Reservation and one without
// a Budget have no limit.
type Reservation struct {
	Budget   *Budget
	Priority int // of the request; 0 is the highest

	held int // bytes
}

// ReserveRequest reserves n bytes for the request's body; the error is ErrNoMemory.
func (r *Reservation) ReserveRequest(n int) error {
	if r == nil || r.Budget == nil || n == 0 {
		return nil
	}
	if !r.Budget.reserveRequest(r.Priority, r.held, n) {
		r.Budget.o.Refused(buffer.Class(r.Priority))
		return ErrNoMemory
	}
	r.held += n
	return nil
}

// MaxUnreserved is the size in bytes of a response's body that is read even if there is no buffer space for it: the buffer of the
// connection may hold all of it already.
const MaxUnreserved = 16 << 10

// ReserveResponse reserves n bytes for a response's body; the error is ErrNoMemory. Up to MaxUnreserved bytes may be read without a
// reservation if there is none.
func (r *Reservation) ReserveResponse(n int) error {
	if r == nil || r.Budget == nil || n == 0 {
		return nil
	}
	switch {
	case r.Budget.reserveResponse(r.Priority, r.held, n):
		r.held += n
	case n > MaxUnreserved:
		return ErrNoMemory
	}
	return nil
}

// SetPriority sets the priority of what is reserved from now on.
func (r *Reservation) SetPriority(priority int) {
	if r != nil {
		r.Priority = priority
	}
}

// Held returns how many bytes are held.
func (r *Reservation) Held() int {
	if r == nil {
		return 0
	}
	return r.held
}

// Release gives back n of the bytes.
func (r *Reservation) Release(n int) {
	if r != nil && n > 0 {
		r.Budget.release(n)
		r.held -= n
	}
}

// ReleaseAll gives back all bytes.
func (r *Reservation) ReleaseAll() { r.Release(r.Held()) }
