package choice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/choice"
	"heatherrouter/core/mono"
)

func TestLongest(t *testing.T) {
	t.Parallel()
	var l choice.Longest
	at := func(d time.Duration) mono.Time { return mono.Time(time.Hour + d) }
	requireRecent := func(now time.Duration, want time.Duration, count int) {
		t.Helper()
		d, n := l.Recent(at(now))
		require.Equal(t, want, d)
		require.Equal(t, count, n)
	}
	requireRecent(0, 0, 0)
	l.Add(at(0), 3*time.Second)
	l.Add(at(time.Second), time.Second)
	requireRecent(30*time.Second, 3*time.Second, 2)
	l.Add(at(90*time.Second), 2*time.Second)
	requireRecent(100*time.Second, 3*time.Second, 3)
	l.Add(at(155*time.Second), time.Second)
	requireRecent(160*time.Second, 2*time.Second, 2)
	requireRecent(400*time.Second, 0, 0)
}
