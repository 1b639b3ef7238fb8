package choice

import (
	"time"

	"heatherrouter/core/mono"
)

// longestWindow is the time for which Longest remembers a value, and at most twice that.
const longestWindow = time.Minute

// Longest is the longest of the recent times of requests.
type Longest struct {
	began           mono.Time // of the current window
	current, former window
}

type window struct {
	n       int
	longest time.Duration
}

// Add records the time of a request that ended now.
func (l *Longest) Add(now mono.Time, d time.Duration) {
	l.roll(now)
	l.current.n++
	l.current.longest = max(l.current.longest, d)
}

// Recent returns the longest recent time, and of how many requests.
func (l *Longest) Recent(now mono.Time) (d time.Duration, n int) {
	l.roll(now)
	return max(l.current.longest, l.former.longest), l.current.n + l.former.n
}

func (l *Longest) roll(now mono.Time) {
	switch age := now.Sub(l.began); {
	case age < longestWindow:
		return
	case age < 2*longestWindow:
		l.former = l.current
	default:
		l.former = window{}
	}
	l.began, l.current = now, window{}
}
