package hold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// narrow returns as many ranges of equal width with an owner each.
func narrow(n int) []Piece {
	var l []Piece
	for i := range n {
		l = append(l, Piece{
			Range: Range{First: key(i * Keys / n), Last: key((i+1)*Keys/n - 1)},
			Owner: Life{Server: ident.Server(rune('a' + i)), Born: 1},
		})
	}
	return l
}

// Guards against a coordinator that can't renew all ranges of a large fleet, so that all keys lapse.
func TestRenewalsOfManyRanges(t *testing.T) {
	for _, n := range []int{100, manyRanges, manyRanges + 1, 2100} {
		now := mono.Time(time.Hour)
		x := New(now, DefaultTerms(10*time.Second), nil, Reserved{}, now)
		x.Committed(now, narrow(n), x.Reserve(now, n))
		sent := 0
		for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
			l, _ := x.Orders(now)
			for _, o := range l {
				x.Done(now, o, Result{Outcome: Accepted})
			}
			sent += len(l)
			require.Equal(t, Keys, covered(x.Holds()), "%d ranges", n)
		}
		require.LessOrEqual(t, sent/30, 900, "grants a second for %d ranges", n)
	}
}

// Guards against a successor that gives keys away while grants hold that were sent before the ranges became few.
func TestRowStatesLongestHold(t *testing.T) {
	now := mono.Time(time.Hour)
	x := New(now, DefaultTerms(10*time.Second), nil, Reserved{}, now)
	write := func(ranges int) time.Duration {
		r := x.Reserve(now, ranges)
		x.Committed(now, narrow(1), r)
		return r.Hold
	}
	require.Equal(t, 10*time.Second, write(manyRanges+1))
	lapsed := now.Add(x.terms.Lapse(10 * time.Second))
	for ; now.Before(lapsed); now = now.Add(time.Second) {
		require.Equal(t, 10*time.Second, write(manyRanges))
		l, _ := x.Orders(now)
		for _, o := range l {
			g, ok := o.(Grant)
			require.True(t, ok)
			require.Equal(t, 3*time.Second, g.Hold, "shorter ones are sent at once")
			x.Done(now, o, Result{Outcome: Accepted})
		}
	}
	require.Equal(t, 3*time.Second, write(manyRanges))
}

// Guards against the same where an earlier coordinator may go on for a while.
func TestRowStatesLongestHoldOfEarlierCoordinators(t *testing.T) {
	now := mono.Time(time.Hour)
	lapsed := now.Add(40 * time.Second)
	x := New(now, DefaultTerms(10*time.Second), narrow(1), Reserved{Hold: 10 * time.Second}, lapsed)
	for ; now.Before(lapsed); now = now.Add(time.Second) {
		r := x.Reserve(now, 1)
		x.Committed(now, narrow(1), r)
		require.Equal(t, 10*time.Second, r.Hold)
	}
	require.Equal(t, 3*time.Second, x.Reserve(now, 1).Hold)
}
