package hold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

// held returns a table in which one server has accepted the grant of all keys.
func held(t *testing.T, now mono.Time, owner Life) *Table {
	t.Helper()
	x := New(now, DefaultTerms(10*time.Second), nil, Reserved{}, now)
	x.Committed(now, []Piece{{Range: Range{First: 0, Last: Keys - 1}, Owner: owner}}, x.Reserve(now, 1))
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Done(now, l[0], Result{Outcome: Accepted})
	require.Equal(t, owner.Server, x.Holds()[0].Server)
	return x
}

// Keys of a server that crashed are refused for 3.7 s, until its grants have lapsed, although its host says that nobody
// listens there any more. The renewal that meets that ends the life: the keys are nobody's from then on, and the next
// holder is granted them at once, without an order to the last one.
func TestKeysOfEndedServer(t *testing.T) {
	now := mono.Time(time.Hour)
	a, b := Life{Server: "a", Born: 1}, Life{Server: "b", Born: 1}
	x := held(t, now, a)

	now = now.Add(RenewAfter(x.hold))
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Done(now, l[0], Result{Outcome: Ended})
	require.True(t, x.HasEnded(a))
	require.False(t, x.HasEnded(Life{Server: "a", Born: 2}), "its next life")
	require.Empty(t, x.Holds(), "callers are told to wait, not that the keys are lost")
	l, _ = x.Orders(now.Add(time.Second))
	require.Empty(t, l, "a life that has ended gets no orders")

	x.Committed(now, []Piece{{Range: Range{First: 0, Last: Keys - 1}, Owner: b, Previous: a}}, x.Reserve(now, 1))
	l, _ = x.Orders(now)
	require.Len(t, l, 1)
	g, ok := l[0].(Grant)
	require.True(t, ok, "%T", l[0])
	require.Equal(t, b, g.To)
}

// The same where the server is only silent: its keys go to nobody before its grants have lapsed.
func TestKeysOfSilentServer(t *testing.T) {
	now := mono.Time(time.Hour)
	a, b := Life{Server: "a", Born: 1}, Life{Server: "b", Born: 1}
	x := held(t, now, a)
	lapsed := now.Add(x.terms.Lapse(x.hold))

	x.Committed(now, []Piece{{Range: Range{First: 0, Last: Keys - 1}, Owner: b, Previous: a}}, x.Reserve(now, 1))
	for at := now; at.Before(lapsed); at = at.Add(100 * time.Millisecond) {
		l, _ := x.Orders(at)
		for _, o := range l {
			require.IsType(t, Release{}, o)
			x.Done(at, o, Result{Outcome: Silent})
		}
	}
	l, _ := x.Orders(lapsed)
	require.Len(t, l, 1)
	require.IsType(t, Grant{}, l[0])
}

// Guards against busy keys that are nobody's for seconds: a server that is overrun resets most of a dozen new connections.
func TestRangesSideBySideAreReleasedTogether(t *testing.T) {
	now := mono.Time(time.Hour)
	a, b, c := Life{Server: "a", Born: 1}, Life{Server: "b", Born: 1}, Life{Server: "c", Born: 1}
	x := held(t, now, a)
	x.Committed(now, []Piece{
		{Range: Range{First: 0, Last: 99}, Owner: b, Previous: a},
		{Range: Range{First: 100, Last: 199}, Owner: c, Previous: a},
		{Range: Range{First: 200, Last: 299}, Owner: a},
		{Range: Range{First: 300, Last: Keys - 1}, Owner: b, Previous: a},
	}, x.Reserve(now, 1))
	l, _ := x.Orders(now)
	require.Len(t, l, 2)
	var together Release
	for _, o := range l {
		if r, ok := o.(Release); ok && r.First == 0 {
			together = r
		}
	}
	require.Equal(t, Range{First: 0, Last: 199}, together.Range)
	require.Len(t, together.Parts, 2)
	for _, y := range together.Parts {
		require.LessOrEqual(t, y.Fence, together.Fence)
	}
	x.Done(now, together, Result{Outcome: Accepted, Handover: "h"})
	l, _ = x.Orders(now)
	require.Len(t, l, 2)
	for i, to := range []Life{b, c} {
		g, ok := l[i].(Grant)
		require.True(t, ok, "%T", l[i])
		require.Equal(t, to, g.To)
		require.Equal(t, "h", g.Handover)
	}
}
