// Package clock reads the monotonic clock for the decisions in core.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"heatherrouter/core/mono"
)

// Clock measures the monotonic time of one process.
type Clock struct {
	start time.Time
}

// New returns a clock that reads one hour now, so that a zero Time is in the past.
func New() *Clock {
	return &Clock{start: time.Now().Add(-time.Hour)}
}

// Now returns the monotonic time.
func (c *Clock) Now() mono.Time {
	return mono.Time(time.Since(c.start))
}

// WallTime converts a monotonic time to wall-clock time, for deadlines sent to backend servers.
func (c *Clock) WallTime(t mono.Time) time.Time {
	return time.Now().Add(t.Sub(c.Now()))
}

// StdTime converts t for deadlines of the standard library, which also uses the monotonic clock for them.
func (c *Clock) StdTime(t mono.Time) time.Time {
	return c.start.Add(time.Duration(t))
}

// SinceBoot returns the time since the host was started. Unlike Now it includes the time for which the host was
// suspended, and it costs a system call. Use it for rights that other daemons rely on to have expired.
func (c *Clock) SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(c.start) // not reached: all supported kernels have this clock
	}
	return time.Duration(t.Nano())
}

// FromBoot converts a time since the start of the host. It counts the time for which the host was suspended since then.
func (c *Clock) FromBoot(t time.Duration) mono.Time {
	return c.Now().Add(t - c.SinceBoot())
}

// SentAt returns when a message of a peer was sent, at the earliest. The message tells it as the time since the start of this host; 0 if the
// peer doesn't know, in which case the result is fallback. Durations in messages count from their sending, as this process or its host may have
// been paused while the message lay unread.
func (c *Clock) SentAt(sent time.Duration, fallback mono.Time) mono.Time {
	if sent == 0 {
		return fallback
	}
	return min(c.Now(), c.FromBoot(sent))
}

// Sleep waits for d, at most until the context ends.
func Sleep(c context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.Done():
	}
}
