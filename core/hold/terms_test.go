package hold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// equalRanges returns n ranges of equal width with an owner each.
func equalRanges(n int) []Assignment {
	var l []Assignment
	for i := range n {
		l = append(l, Assignment{
			Range: Range{First: key(i * Keys / n), Last: key((i+1)*Keys/n - 1)},
			Owner: Incarnation{Server: ident.Server(rune('a' + i)), Born: 1},
		})
	}
	return l
}

// Guards against a coordinator that cannot renew all ranges of a large fleet in time, so that all keys expire.
func TestRenewalsOfManyRanges(t *testing.T) {
	for _, n := range []int{100, defaultTTLRanges, defaultTTLRanges + 1, 2100} {
		now := mono.Time(time.Hour)
		x := New(now, DefaultTiming(10*time.Second), nil, Reservation{}, now)
		x.Committed(now, equalRanges(n), x.Reserve(now, n))
		sent := 0
		for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
			l, _ := x.Orders(now)
			for _, o := range l {
				x.Done(now, o, Result{Outcome: Accepted})
			}
			sent += len(l)
			require.Equal(t, Keys, servedKeys(x.Holds()), "%d ranges", n)
		}
		require.LessOrEqual(t, sent/30, 900, "grants a second for %d ranges", n)
	}
}

// Guards against a successor that reassigns keys while longer grants are valid that were sent before the number of
// ranges fell.
func TestReservationKeepsLongestTTL(t *testing.T) {
	now := mono.Time(time.Hour)
	x := New(now, DefaultTiming(10*time.Second), nil, Reservation{}, now)
	write := func(ranges int) time.Duration {
		r := x.Reserve(now, ranges)
		x.Committed(now, equalRanges(1), r)
		return r.MaxTTL
	}
	require.Equal(t, 10*time.Second, write(defaultTTLRanges+1))
	expired := now.Add(x.timing.ExpiryBound(10 * time.Second))
	for ; now.Before(expired); now = now.Add(time.Second) {
		require.Equal(t, 10*time.Second, write(defaultTTLRanges))
		l, _ := x.Orders(now)
		for _, o := range l {
			g, ok := o.(Grant)
			require.True(t, ok)
			require.Equal(t, 3*time.Second, g.TTL, "a shorter TTL is used at once")
			x.Done(now, o, Result{Outcome: Accepted})
		}
	}
	require.Equal(t, 3*time.Second, write(defaultTTLRanges))
}

// Guards against the same failure if an earlier coordinator may still be sending grants.
func TestReservationKeepsLongestTTLOfEarlierCoordinators(t *testing.T) {
	now := mono.Time(time.Hour)
	expired := now.Add(40 * time.Second)
	x := New(now, DefaultTiming(10*time.Second), equalRanges(1), Reservation{MaxTTL: 10 * time.Second}, expired)
	for ; now.Before(expired); now = now.Add(time.Second) {
		r := x.Reserve(now, 1)
		x.Committed(now, equalRanges(1), r)
		require.Equal(t, 10*time.Second, r.MaxTTL)
	}
	require.Equal(t, 3*time.Second, x.Reserve(now, 1).MaxTTL)
}
