package descr

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// take acquires sockets until one is refused, and returns how many it got.
func take(b *Counts, u Use) int {
	n := 0
	for b.Acquire(u) {
		n++
	}
	return n
}

// Guards against callers that take the sockets that their requests need, and against requests that take those of orders.
func TestLaterUsesAlwaysHaveSome(t *testing.T) {
	for _, sockets := range []int{64, 824, 2875, 3900, 65536} {
		b := New(sockets)
		callers := take(b, Callers)
		requests := take(b, Requests)
		orders := take(b, Orders)
		require.Greater(t, requests, sockets/10, sockets)
		require.Greater(t, orders, sockets/20, sockets)
		require.Greater(t, callers, sockets/2, sockets)
		require.LessOrEqual(t, callers+requests+orders, sockets-min(reserved, sockets/4), sockets)
	}
}

// Guards against a fixed division that leaves sockets unused: a daemon of a large site needs many to its servers and has few callers.
func TestSocketsThatCallersLeaveAreForRequests(t *testing.T) {
	b := New(3900)
	for range 200 {
		require.True(t, b.Acquire(Callers))
	}
	require.Greater(t, take(b, Requests), 3000)
}

func TestScarce(t *testing.T) {
	b := New(3900)
	require.False(t, b.Scarce(Callers))
	n := take(b, Callers)
	require.True(t, b.Scarce(Callers))
	require.False(t, b.Scarce(Requests))
	for range n / 5 {
		b.Release(Callers)
	}
	require.False(t, b.Scarce(Callers))
	take(b, Requests)
	require.True(t, b.Scarce(Requests))
	require.True(t, b.Scarce(Callers), "no room for either")
}

// Guards against sockets that are counted wrongly after a while.
func TestCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, open := New(rapid.IntRange(1, 400).Draw(t, "sockets")), [uses]int{}
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			u := Use(rapid.IntRange(0, int(uses)-1).Draw(t, "use"))
			if rapid.Bool().Draw(t, "release") && open[u] > 0 {
				b.Release(u)
				open[u]--
			} else if b.Acquire(u) {
				open[u]++
			}
			total := 0
			for u, n := range open {
				require.Equal(t, n, b.Open(Use(u)))
				total += n
			}
			require.LessOrEqual(t, total, b.limit)
			require.LessOrEqual(t, open[Callers], b.share(callersRatio))
		}
	})
}
