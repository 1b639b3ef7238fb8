// Package ring provides the bounded queue that connects goroutines.
package ring

import "context"

// Queue is a bounded queue with many writers and one reader. Writers wait or fail while it is full.
type Queue[T any] struct {
	slots chan T
}

// New returns a queue with capacity n.
func New[T any](n int) *Queue[T] {
	return &Queue[T]{slots: make(chan T, n)}
}

// TryPut appends v and reports whether it did; it fails if the queue is full.
func (r *Queue[T]) TryPut(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
		return false
	}
}

// Put appends v. It waits while the queue is full, at most until the context ends.
func (r *Queue[T]) Put(c context.Context, v T) error {
	select {
	case r.slots <- v:
		return nil
	default:
	}
	select {
	case r.slots <- v:
		return nil
	case <-c.Done():
		return context.Cause(c)
	}
}

// Take removes the first value. It waits while the queue is empty, at most until the context ends.
func (r *Queue[T]) Take(c context.Context) (T, error) {
	select {
	case v := <-r.slots:
		return v, nil
	case <-c.Done():
		var zero T
		return zero, context.Cause(c)
	}
}

// TryTake removes the first value, and returns false if the queue is empty.
func (r *Queue[T]) TryTake() (T, bool) {
	select {
	case v := <-r.slots:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Len returns the number of queued values.
func (r *Queue[T]) Len() int {
	return len(r.slots)
}

// Chan returns the channel of queued values, for a reader that also waits for other events.
func (r *Queue[T]) Chan() <-chan T {
	return r.slots
}
