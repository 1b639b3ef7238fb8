// Package mono represents monotonic time. Packages in core get the time as an argument and never read a clock.
package mono

import (
	"math"
	"time"
)

// Time is a reading of one process's monotonic clock, in nanoseconds since an arbitrary start.
// Readings from different processes are not comparable.
type Time int64

// Never is later than every other Time.
const Never Time = math.MaxInt64

// Add returns t+d, or Never if t is Never.
func (t Time) Add(d time.Duration) Time {
	if t == Never {
		return Never
	}
	return t + Time(d)
}

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Before reports whether t is before u.
func (t Time) Before(u Time) bool {
	return t < u
}
