package choice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

// Guards against interference that is taken for a slow server, and against a slow server that is noticed too late or
// avoided for too long. A server that is five times slower for some seconds must show within two seconds, and be
// forgotten once it is fast again.
func TestWindowedMin(t *testing.T) {
	var l WindowedMin
	require.Zero(t, l.Min(now))
	at := now
	report := func(d time.Duration, slowdown float64) {
		for end := at.Add(d); at < end; at = at.Add(50 * time.Millisecond) {
			l.Add(at, slowdown)
		}
	}
	report(2*time.Second, 0.7)
	report(800*time.Millisecond, 2.1)
	require.InDelta(t, 0.7, l.Min(at), 0)
	report(time.Second, 0.7)
	report(1700*time.Millisecond, 3.5)
	require.InDelta(t, 3.5, l.Min(at), 0)
	report(50*time.Millisecond, 0.7)
	require.InDelta(t, 0.7, l.Min(at), 0)
	report(3*time.Second, 3.5)
	require.InDelta(t, 3.5, l.Min(at), 0)
	require.InDelta(t, 0.7, l.Min(at.Add(5*time.Second)), 0, "a server without reports falls back to its overall minimum")
	require.InDelta(t, 0.7, l.Min(mono.Never), 0)
}
