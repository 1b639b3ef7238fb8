package hold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// tableWithOwner returns a table in which owner has accepted the grant of all keys.
func tableWithOwner(t *testing.T, now mono.Time, owner Incarnation) *Table {
	t.Helper()
	x := New(now, DefaultTiming(10*time.Second), nil, Reservation{}, now)
	x.Committed(now, []Assignment{{Range: Range{First: 0, Last: Keys - 1}, Owner: owner}}, x.Reserve(now, 1))
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Done(now, l[0], Result{Outcome: Accepted})
	require.Equal(t, owner.Server, x.Holds()[0].Server)
	return x
}

// Guards against the keys of a crashed server being refused for 3.7 s until its grants have expired, although its host
// refuses connections to the server's port. The next renewal meets this refusal and ends the incarnation: the keys have
// no owner from then on, and are granted to the next owner at once, without a release.
func TestKeysOfEndedServer(t *testing.T) {
	now := mono.Time(time.Hour)
	a, b := Incarnation{Server: "a", Born: 1}, Incarnation{Server: "b", Born: 1}
	x := tableWithOwner(t, now, a)

	now = now.Add(RenewAfter(x.ttl))
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Done(now, l[0], Result{Outcome: Ended})
	require.True(t, x.HasEnded(a))
	require.False(t, x.HasEnded(Incarnation{Server: "a", Born: 2}), "next incarnation")
	require.Empty(t, x.Holds(), "callers must wait; the keys are not reported as lost")
	l, _ = x.Orders(now.Add(time.Second))
	require.Empty(t, l, "an ended incarnation gets no orders")

	x.Committed(now, []Assignment{{Range: Range{First: 0, Last: Keys - 1}, Owner: b, Previous: a}}, x.Reserve(now, 1))
	l, _ = x.Orders(now)
	require.Len(t, l, 1)
	g, ok := l[0].(Grant)
	require.True(t, ok, "%T", l[0])
	require.Equal(t, b, g.To)
}

// An unresponsive server may still be running: its keys must not be granted to another server before its grants have expired.
func TestKeysOfUnresponsiveServer(t *testing.T) {
	now := mono.Time(time.Hour)
	a, b := Incarnation{Server: "a", Born: 1}, Incarnation{Server: "b", Born: 1}
	x := tableWithOwner(t, now, a)
	expired := now.Add(x.timing.ExpiryBound(x.ttl))

	x.Committed(now, []Assignment{{Range: Range{First: 0, Last: Keys - 1}, Owner: b, Previous: a}}, x.Reserve(now, 1))
	for at := now; at.Before(expired); at = at.Add(100 * time.Millisecond) {
		l, _ := x.Orders(at)
		for _, o := range l {
			require.IsType(t, Release{}, o)
			x.Done(at, o, Result{Outcome: Silent})
		}
	}
	l, _ := x.Orders(expired)
	require.Len(t, l, 1)
	require.IsType(t, Grant{}, l[0])
}

// Guards against hot keys without an owner for seconds: an overloaded server resets most of a dozen new connections, so
// adjacent ranges must share one release.
func TestAdjacentRangesAreReleasedTogether(t *testing.T) {
	now := mono.Time(time.Hour)
	a, b, c := Incarnation{Server: "a", Born: 1}, Incarnation{Server: "b", Born: 1}, Incarnation{Server: "c", Born: 1}
	x := tableWithOwner(t, now, a)
	x.Committed(now, []Assignment{
		{Range: Range{First: 0, Last: 99}, Owner: b, Previous: a},
		{Range: Range{First: 100, Last: 199}, Owner: c, Previous: a},
		{Range: Range{First: 200, Last: 299}, Owner: a},
		{Range: Range{First: 300, Last: Keys - 1}, Owner: b, Previous: a},
	}, x.Reserve(now, 1))
	l, _ := x.Orders(now)
	require.Len(t, l, 2)
	var combined Release
	for _, o := range l {
		if r, ok := o.(Release); ok && r.First == 0 {
			combined = r
		}
	}
	require.Equal(t, Range{First: 0, Last: 199}, combined.Range)
	require.Len(t, combined.Parts, 2)
	for _, y := range combined.Parts {
		require.LessOrEqual(t, y.Fence, combined.Fence)
	}
	x.Done(now, combined, Result{Outcome: Accepted, Handover: "h"})
	l, _ = x.Orders(now)
	require.Len(t, l, 2)
	for i, to := range []Incarnation{b, c} {
		g, ok := l[i].(Grant)
		require.True(t, ok, "%T", l[i])
		require.Equal(t, to, g.To)
		require.Equal(t, "h", g.Handover)
	}
}

// Guards against keys being granted to another server while their holder works on them: the holder restarted at its address,
// was granted its keys again there, and announced its new incarnation only while they were being released.
func TestKeysOfServerThatRestartedUnannounced(t *testing.T) {
	now := mono.Time(time.Hour)
	a, b := Incarnation{Server: "a", Born: 1}, Incarnation{Server: "b", Born: 1}
	x := tableWithOwner(t, now, a)
	x.ConnectionLost(now, a.Server)
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Done(now, l[0], Result{Outcome: Accepted}) // by the new incarnation

	x.Committed(now, []Assignment{{Range: Range{First: 0, Last: Keys - 1}, Owner: b, Previous: a}}, x.Reserve(now, 1))
	l, _ = x.Orders(now)
	require.Len(t, l, 1)
	unanswered := l[0]
	require.Equal(t, a, unanswered.(Release).From)
	restarted := Incarnation{Server: "a", Born: 2}
	x.UpdateIncarnations(now, func(id ident.Server) (int64, bool) {
		return restarted.Born, id == restarted.Server
	})
	l, _ = x.Orders(now)
	require.Len(t, l, 1)
	release, ok := l[0].(Release)
	require.True(t, ok, "%T", l[0])
	require.Equal(t, restarted, release.From)

	x.Done(now, unanswered, Result{Outcome: Silent})
	l, _ = x.Orders(now)
	require.Empty(t, l, "the result of the release to the former incarnation frees nothing")

	x.Done(now, release, Result{Outcome: Accepted})
	l, _ = x.Orders(now)
	require.Len(t, l, 1)
	require.Equal(t, b, l[0].(Grant).To)
}
