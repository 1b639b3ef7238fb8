// Package socket counts the sockets of the process for the goroutines that open them.
package socket

import (
	"sync"

	"heatherrouter/core/descr"
)

// Budget bounds the open sockets by their uses. A nil Budget has no limit.
type Budget struct {
	mu     sync.Mutex
	counts *descr.Counts
}

// New returns the budget of a process that may open the given number of sockets, or nil for 0.
func New(sockets int) *Budget {
	if sockets <= 0 {
		return nil
	}
	return &Budget{counts: descr.New(sockets)}
}

// Acquire takes a socket for a use. It reports false if there is none left for it. A socket that was acquired must be released.
func (b *Budget) Acquire(u descr.Use) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts.Acquire(u)
}

// Release gives back a socket.
func (b *Budget) Release(u descr.Use) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Release(u)
}

// Scarce reports whether few sockets are left for a use, so that idle connections should be closed.
func (b *Budget) Scarce(u descr.Use) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts.Scarce(u)
}

// Open returns how many sockets are open for a use; 0 without a limit.
func (b *Budget) Open(u descr.Use) int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts.Open(u)
}

// State returns the state for the state dump.
func (b *Budget) State() descr.State {
	if b == nil {
		return descr.State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts.State()
}
