package hold

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

var (
	allKeys = Range{First: 0, Last: Keys - 1}
	lifeA1  = Incarnation{Server: "a", Born: 1}
	lifeA2  = Incarnation{Server: "a", Born: 2}
	lifeB   = Incarnation{Server: "b", Born: 1}
)

// announce returns the incarnations that servers announce, for Table.UpdateIncarnations.
func announce(l ...Incarnation) func(ident.Server) (int64, bool) {
	return func(id ident.Server) (int64, bool) {
		for _, x := range l {
			if x.Server == id {
				return x.Born, true
			}
		}
		return 0, false
	}
}

// moveTo commits that all keys move from the table's owner to another one.
func moveTo(now mono.Time, x *Table, from, to Incarnation) {
	x.Committed(now, []Assignment{{Range: allKeys, Owner: to, Previous: from}}, x.Reserve(now, 1))
}

// grantTime returns when the keys are granted to b, if no order to another server is answered from now on.
func grantTime(t *testing.T, now mono.Time, x *Table) mono.Time {
	t.Helper()
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		l, _ := x.Orders(now)
		for _, o := range l {
			if g, ok := o.(Grant); ok && g.To == lifeB {
				return now
			}
			x.Done(now, o, Result{Outcome: Silent})
		}
	}
	require.Fail(t, "the keys are never granted to b")
	return 0
}

// Guards against keys being granted to another server while their holder works on them: the process was paused before it sent
// a renewal, so that the grant arrived later than its deadline.
func TestGrantSentAfterItsDeadlineExpiresLater(t *testing.T) {
	now := mono.Time(time.Hour)
	x := tableWithOwner(t, now, lifeA1)
	now = now.Add(RenewAfter(x.ttl))
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	moveTo(now, x, lifeA1, lifeB)
	sent := now.Add(x.timing.Timeout + 400*time.Millisecond)
	x.Done(sent, l[0], Result{Outcome: Accepted})
	require.GreaterOrEqual(t, grantTime(t, sent, x), sent.Add(x.ttl+x.ttl/50))
}

// Guards against keys with two holders: a grant that waits for others to its server is sent after the keys were released, to
// the server's next incarnation, which knows no fences.
func TestReleaseWaitsForGrantInProgress(t *testing.T) {
	now := mono.Time(time.Hour)
	x := tableWithOwner(t, now, lifeA1)
	now = now.Add(RenewAfter(x.ttl))
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	moveTo(now, x, lifeA1, lifeB)
	now = now.Add(100 * time.Millisecond)
	early, next := x.Orders(now)
	require.Empty(t, early, "a grant to the previous owner may still be sent")
	require.LessOrEqual(t, next, now.Add(20*time.Millisecond))

	x.Done(now, l[0], Result{Outcome: NotSent})
	l, _ = x.Orders(now)
	require.Len(t, l, 1)
	require.Equal(t, lifeA1, l[0].(Release).From)
}

// The parts of a range that was split wait for its grant as well.
func TestReleaseOfPartWaitsForGrantInProgress(t *testing.T) {
	now := mono.Time(time.Hour)
	x := tableWithOwner(t, now, lifeA1)
	now = now.Add(RenewAfter(x.ttl))
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Committed(now, []Assignment{
		{Range: Range{First: 0, Last: 99}, Owner: lifeA1},
		{Range: Range{First: 100, Last: Keys - 1}, Owner: lifeB, Previous: lifeA1},
	}, x.Reserve(now, 2))
	orders, _ := x.Orders(now)
	for _, o := range orders {
		require.IsType(t, Grant{}, o)
	}
	x.Done(now, l[0], Result{Outcome: Accepted})
	orders, _ = x.Orders(now)
	require.Len(t, orders, 1)
	require.IsType(t, Release{}, orders[0])
}

// Guards against keys being granted to another server while a later incarnation of their holder works on them: the evidence
// that an incarnation has ended, as another server has its address, says nothing of one at another address.
func TestEndOfOneLifeFreesNothingOfAnother(t *testing.T) {
	now := mono.Time(time.Hour)
	x := tableWithOwner(t, now, lifeA2)
	granted := now
	x.UpdateIncarnations(now, announce(lifeA1)) // an entry that is out of date
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Done(now, l[0], Result{Outcome: Ended})
	moveTo(now, x, lifeA1, lifeB)
	require.GreaterOrEqual(t, grantTime(t, now, x), granted.Add(x.ttl+x.ttl/50))
}

// Guards against keys being granted to another server while their holder works on them: an earlier coordinator granted them to
// an incarnation that this one has not heard of.
func TestEndOfLifeFreesNoGrantsOfEarlierCoordinators(t *testing.T) {
	now := mono.Time(time.Hour)
	expired := now.Add(5 * time.Second)
	x := New(now, DefaultTiming(10*time.Second), []Assignment{{Range: allKeys, Owner: lifeB, Previous: lifeA1}}, Reservation{MaxTTL: 3 * time.Second}, expired)
	x.Committed(now, x.Assignments(), x.Reserve(now, 1))
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Done(now, l[0], Result{Outcome: Ended})
	require.GreaterOrEqual(t, grantTime(t, now, x), expired)
}

// Guards against keys that are freed by the end of a former incarnation: the previous owner restarted while the row that names
// its former incarnation was written.
func TestRestartWhileRowIsWrittenIsKept(t *testing.T) {
	now := mono.Time(time.Hour)
	x := tableWithOwner(t, now, lifeA1)
	moveTo(now, x, lifeA1, lifeB)
	row := x.Assignments()
	x.UpdateIncarnations(now, announce(lifeA2))
	x.Committed(now, row, x.Reserve(now, 1))
	require.Equal(t, lifeA2, x.Assignments()[0].Previous)
}

// Guards against a handover that is lost because the row is written again after the keys were released.
func TestReleasedRangeStaysReleasedWhenRowIsWritten(t *testing.T) {
	now := mono.Time(time.Hour)
	x := tableWithOwner(t, now, lifeA1)
	moveTo(now, x, lifeA1, lifeB)
	row := x.Assignments()
	l, _ := x.Orders(now)
	require.Len(t, l, 1)
	x.Done(now, l[0], Result{Outcome: Accepted, Handover: "h"})
	x.Committed(now, row, x.Reserve(now, 1))
	l, _ = x.Orders(now)
	require.Len(t, l, 1)
	require.Equal(t, "h", l[0].(Grant).Handover)
}

// Guards against keys with two holders: an earlier coordinator may still grant them to the next incarnation of a server that has
// released them.
func TestReleaseWaitsForEarlierCoordinator(t *testing.T) {
	now := mono.Time(time.Hour)
	x := New(now, DefaultTiming(10*time.Second), []Assignment{{Range: allKeys, Owner: lifeB, Previous: lifeA1}}, Reservation{MaxTTL: 3 * time.Second}, now.Add(time.Minute))
	from := now.Add(time.Second)
	x.DelayReleases(from)
	x.Committed(now, x.Assignments(), x.Reserve(now, 1))
	l, next := x.Orders(now)
	require.Empty(t, l)
	require.Equal(t, from, next)
	l, _ = x.Orders(from)
	require.Len(t, l, 1)
	require.IsType(t, Release{}, l[0])
}
