package choice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

// A server turns five times slower for some seconds, and its neighbours slow it down for moments before and after. Only
// the first may count, within two seconds, and it must be forgotten as soon as the server is quick again.
func TestLeast(t *testing.T) {
	var l Least
	require.Zero(t, l.At(now))
	at := now
	report := func(d time.Duration, pace float64) {
		for end := at.Add(d); at < end; at = at.Add(50 * time.Millisecond) {
			l.Add(at, pace)
		}
	}
	report(2*time.Second, 0.7)
	report(800*time.Millisecond, 2.1)
	require.InDelta(t, 0.7, l.At(at), 0)
	report(time.Second, 0.7)
	report(1700*time.Millisecond, 3.5)
	require.InDelta(t, 3.5, l.At(at), 0)
	report(50*time.Millisecond, 0.7)
	require.InDelta(t, 0.7, l.At(at), 0)
	report(3*time.Second, 3.5)
	require.InDelta(t, 3.5, l.At(at), 0)
	require.InDelta(t, 0.7, l.At(at.Add(5*time.Second)), 0, "one that nobody sends to is tried again")
	require.InDelta(t, 0.7, l.At(mono.Never), 0)
}
