package hold_test

import (
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// The functions in this file repeat what io/grant and io/feed decide, one function for each place.

// coordRow is the coordinator's row.
type coordRow struct {
	site.Coordinator
	Voters []ident.Daemon
}

// Times of io/grant.
const (
	authorityTTL         = 30 * time.Second
	planInterval         = 500 * time.Millisecond
	pollInterval         = 250 * time.Millisecond
	settleDelay          = 700 * time.Millisecond
	settledWriteDelay    = 3 * time.Second
	storeTimeout         = 300 * time.Millisecond
	takeOverRetryDelay   = 250 * time.Millisecond
	withdrawInterval     = 200 * time.Millisecond
	withdrawTimeout      = 250 * time.Millisecond
	releaseTimeout       = 10 * time.Second
	replaceVotersDelay   = 3 * time.Second
	daemonGoneTimeout    = 6 * time.Second
	storeUnresponsiveAge = 1200 * time.Millisecond
)

// takeOverRow is the row that takeOver in elect.go writes.
func takeOverRow(d ident.Daemon, inc ident.Incarnation, prev site.Coordinator, t elect.TakeOver, voters []ident.Daemon) coordRow {
	return coordRow{
		Coordinator: site.Coordinator{Daemon: d, Incarnation: inc, Term: prev.Term + 1, Clean: t.Clean, WithoutQuorum: t.WithoutQuorum},
		Voters:      voters,
	}
}

// takeOverAfterWithdrawals is applyDecision in elect.go after a quorum of withdrawals.
func takeOverAfterWithdrawals(d elect.RequestWithdrawals) elect.TakeOver {
	return elect.TakeOver{Clean: d.Clean}
}

// ownNewTerm is the new term of a daemon that has surrendered its own, in step in grant.go.
func ownNewTerm(earlierOrdersEnded bool) elect.TakeOver {
	return elect.TakeOver{Clean: earlierOrdersEnded}
}

// ownTermWithoutQuorum is the term that updateMembers in member.go begins.
func ownTermWithoutQuorum() elect.TakeOver {
	return elect.TakeOver{Clean: true, WithoutQuorum: true}
}

// handOverRow is the row that handOver in elect.go writes.
func handOverRow(self ident.Daemon, t site.Term, voters []ident.Daemon, earlierOrdersEnded bool) coordRow {
	return coordRow{
		Coordinator: site.Coordinator{Term: t, Clean: earlierOrdersEnded},
		Voters:      slices.DeleteFunc(slices.Clone(voters), func(d ident.Daemon) bool { return d == self }),
	}
}

// handOverToRow is the row that handOverTo in reach.go writes.
func handOverToRow(prev coordRow, d ident.Daemon, daemons map[ident.Daemon]*site.Daemon, earlierOrdersEnded bool) coordRow {
	voters := prev.Voters
	if !slices.Contains(voters, d) {
		voters = elect.Voters(d, daemons)
	}
	return coordRow{
		Coordinator: site.Coordinator{
			Daemon: d, Incarnation: daemons[d].Incarnation, Term: prev.Term + 1, Clean: earlierOrdersEnded, WithoutQuorum: prev.WithoutQuorum,
		},
		Voters: voters,
	}
}

// replaceVotersRow is the row that replaceVoters in voters.go writes.
func replaceVotersRow(prev coordRow, next []ident.Daemon, supported bool) coordRow {
	x := prev
	x.WithoutQuorum, x.Voters = prev.WithoutQuorum && !supported, next
	return x
}

// earlierOrdersEnd is the end of the orders of earlier coordinators, as beginTerm in elect.go sets it.
func earlierOrdersEnd(now mono.Time, clean bool) mono.Time {
	if clean {
		return now
	}
	return now.Add(authorityTTL + authorityTTL/50)
}

// adoptedOrdersEnd is the same after adoptRow in write.go: orders of this coordinator may have been sent until now.
func adoptedOrdersEnd(now, end mono.Time) mono.Time { return max(end, now) }

// inheritedExpire is the expiry of earlier grants that loadService in service.go sets.
func inheritedExpire(t hold.Timing, end mono.Time, r hold.Reservation) mono.Time {
	return end.Add(t.ExpiryBound(r.MaxTTL))
}

// mayHoldTerm is HoldsTerm in io/feed.
func mayHoldTerm(c site.Coordinator, t site.Term, leads, proposed, supported bool) bool {
	return c.Term == t && leads && (c.WithoutQuorum && !proposed || supported)
}

// maySendOrder is maySendOrder in elect.go.
func maySendOrder(t, ended site.Term, holdsTerm bool, controlAge time.Duration) bool {
	return t > ended && holdsTerm && controlAge < authorityTTL
}

// releaseDeadline is releaseDeadline in link.go.
func releaseDeadline(now mono.Time, t hold.Timing, until mono.Time) mono.Time {
	return max(now.Add(t.Timeout), min(until, now.Add(releaseTimeout)))
}

// previousOwnersCleared is previousOwnersCleared in service.go.
func previousOwnersCleared(row, now []hold.Assignment) bool {
	moving := func(p hold.Assignment) bool { return p.Previous != hold.Incarnation{} }
	return !slices.ContainsFunc(now, moving) && slices.ContainsFunc(row, moving)
}
