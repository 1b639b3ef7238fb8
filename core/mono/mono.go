// Package mono is monotonic time as the decisions in core see it: a value handed in, never read from a clock.
package mono

import (
	"math"
	"time"
)

// Time is a reading of one process's monotonic clock, in nanoseconds since an arbitrary start.
// Readings of two processes must never be compared.
type Time int64

// Never is later than every other Time.
const Never Time = math.MaxInt64

// Add returns the time d after t; Never stays Never.
func (t Time) Add(d time.Duration) Time {
	if t == Never {
		return Never
	}
	return t + Time(d)
}

// Sub returns how long after u the time t is.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool {
	return t < u
}
