package elect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// Guards against keys with two holders: a coordinator that runs without a quorum and is cut off sends orders for 30 s, and a
// chain of successors within that time forgets it. Its row is not clean, however the next one takes over.
func TestChainOfCoordinatorsWaitsForTheFirst(t *testing.T) {
	daemons := map[ident.Daemon]*site.Daemon{"a": {Incarnation: 1}, "b": {Incarnation: 1}, "c": {Incarnation: 1}}
	unclean := func(d ident.Daemon) *site.Snapshot {
		return &site.Snapshot{
			Daemons: daemons, Voters: []ident.Daemon{"a", "b", "c"},
			Coordinator: site.Coordinator{Daemon: d, Incarnation: 1, Term: 3},
		}
	}
	decide := func(s *site.Snapshot) Row {
		x := State{Self: "b", Incarnation: 1, Snapshot: s, SinceContact: time.Minute, SinceLoaded: time.Hour}
		switch d := x.Decide().(type) {
		case TakeOver:
			return d.Row("b", 1, s)
		case RequestWithdrawals:
			return TakeOver{Clean: d.Clean}.Row("b", 1, s)
		}
		return Row{}
	}
	const notEnded = false
	restarted, own, vacated, withdrawn := unclean("a"), unclean("b"), unclean("a"), unclean("a")
	restarted.Coordinator.Incarnation, own.Coordinator.Incarnation = 9, 9
	vacated.Coordinator = RowOf(unclean("a")).Vacate(notEnded).Coordinator
	x := State{Self: "b", Incarnation: 1, Snapshot: withdrawn, SinceContact: 3 * time.Second, SinceLoaded: time.Hour}
	require.Equal(t, RequestWithdrawals{}, x.Decide())
	for name, r := range map[string]Row{
		"restarted":                decide(restarted),
		"restarted itself":         decide(own),
		"vacated":                  decide(vacated),
		"handed over":              RowOf(unclean("a")).HandOver("b", daemons, notEnded),
		"next term":                NextTerm(notEnded, false).Row("b", 1, unclean("b")),
		"next term without quorum": NextTerm(notEnded, true).Row("b", 1, unclean("b")),
		"voters replaced":          RowOf(unclean("b")).Revise([]ident.Daemon{"b"}, true, notEnded),
	} {
		require.False(t, r.Clean, name)
		require.Contains(t, r.Voters, ident.Daemon("b"), name)
		require.EqualValues(t, "b", r.Daemon, name)
		if name != "voters replaced" {
			require.EqualValues(t, 4, r.Term, name)
		}
	}
}

// Guards against successors that wait 30 s for ever after one takeover without a quorum: once the wait is over, the row says so.
func TestRowBecomesCleanAfterTheWait(t *testing.T) {
	now := mono.Time(time.Hour)
	s := &site.Snapshot{Coordinator: site.Coordinator{Daemon: "a", Incarnation: 1, Term: 3}, Voters: []ident.Daemon{"a"}}
	var e EarlierOrders
	e.Begin(now, s.Coordinator)
	require.False(t, e.Ended(now.Add(AuthorityTTL)))
	require.False(t, RowOf(s).NeedsRevision(false, e.Ended(now)))
	now = e.End()
	require.True(t, e.Ended(now))
	require.True(t, RowOf(s).NeedsRevision(false, e.Ended(now)))
	r := RowOf(s).Revise(s.Voters, false, e.Ended(now))
	require.True(t, r.Clean)
	require.False(t, r.NeedsRevision(false, true))
}

// Guards against a wait that starts anew with each term of a coordinator that loses its voters' support again and again.
func TestWaitGoesOnInTheNextOwnTerm(t *testing.T) {
	now := mono.Time(time.Hour)
	var e EarlierOrders
	e.Begin(now, site.Coordinator{Daemon: "a", Term: 3})
	end := e.End()
	e.Begin(now.Add(5*time.Second), site.Coordinator{Daemon: "a", Term: 4})
	require.Equal(t, end, e.End())
	e.Begin(now.Add(6*time.Second), site.Coordinator{Daemon: "a", Term: 6})
	require.Greater(t, e.End(), end, "another coordinator had the term between")

	e.Begin(end.Add(time.Minute), site.Coordinator{Daemon: "a", Term: 7})
	require.GreaterOrEqual(t, e.End(), end.Add(time.Minute), "orders of the own term before count as well")
}

// Guards against keys with two holders: a coordinator without a quorum that is cut off from the store grants keys, which its successor
// has taken from a server, to that server's next incarnation, which has seen no fence.
func TestCoordinatorWithoutStoreOnlyRenewsBeforeItsSuccessorReleases(t *testing.T) {
	now := mono.Time(time.Hour)
	withoutQuorum := site.Coordinator{Daemon: "a", Term: 3, WithoutQuorum: true}
	var e EarlierOrders
	e.Begin(now, site.Coordinator{Daemon: "b", Term: 4})
	require.True(t, MayGrantAnew(withoutQuorum, 0))
	require.False(t, MayGrantAnew(withoutQuorum, e.RenewOnly().Sub(now)))
	require.True(t, MayGrantAnew(site.Coordinator{Daemon: "a", Term: 3}, AuthorityTTL-1), "with a quorum it outlasts an outage of the store")

	e.Begin(now, site.Coordinator{Daemon: "b", Term: 6, Clean: true})
	require.Equal(t, now, e.RenewOnly())
}
