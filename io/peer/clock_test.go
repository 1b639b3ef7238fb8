package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a message that a peer takes for newer than it is: the bound must hold for readings with any delay and for clocks that drift.
func TestPeerClockIsNeverAhead(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		start := time.Duration(rng.Int64N(int64(time.Hour)))
		rate := 1 + (rng.Float64()*2-1)/50 // of the peer's clock by this host's
		began := time.Hour
		peerAt := func(now time.Duration) time.Duration { return start + time.Duration(float64(now-began)*rate) }
		var c peerClock
		for now := began; now < began+time.Minute; now += time.Duration(rng.Int64N(int64(2 * time.Second))) {
			require.LessOrEqual(t, c.earliest(now), max(0, peerAt(now))+time.Microsecond, "seed %d", seed)
			delay := time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond))
			c.observe(now, peerAt(now-delay))
		}
	}
}

// Guards against a peer that is taken to be seconds behind for good because the first reading of its clock came late.
func TestLateReadingIsCorrected(t *testing.T) {
	var c peerClock
	require.Zero(t, c.earliest(time.Hour))
	require.False(t, c.fresh(time.Hour))
	c.observe(time.Hour, 7*time.Minute-3*time.Second)
	require.True(t, c.fresh(time.Hour))
	require.Equal(t, 7*time.Minute-3*time.Second, c.earliest(time.Hour))
	now := time.Hour + time.Second
	c.observe(now, 7*time.Minute+time.Second)
	require.Equal(t, 7*time.Minute+time.Second, c.earliest(now))
	c.observe(now, 7*time.Minute)
	require.Equal(t, 7*time.Minute+time.Second, c.earliest(now), "a later reading that was delayed")
	require.False(t, c.fresh(now+maxReadingAge))
}

// Guards against a period for sending that outlasts its sender's: leases, grants and terms allow for clocks that run 1 part in 50 slow.
func TestPeerClockIsNeverAheadOfASlowClock(t *testing.T) {
	const rate = 1 - 1.0/50
	peerAt := func(now time.Duration) time.Duration { return time.Duration(float64(now) * rate) }
	var c peerClock
	for now := time.Hour; now < time.Hour+time.Minute; now += 100 * time.Millisecond {
		c.observe(now, peerAt(now))
	}
	now := time.Hour + time.Minute
	require.LessOrEqual(t, c.earliest(now), peerAt(now)+10*time.Millisecond)
}
