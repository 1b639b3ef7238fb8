package elect

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// AuthorityTTL is how long a coordinator may send orders after the store last confirmed its role, however many daemons
// support it. It bounds how long grants outlast an outage of the store. It also bounds how long a successor waits for a
// server that it can't reach, when too many daemons are lost for a quorum of withdrawals.
const AuthorityTTL = 30 * time.Second

// renewOnlyAge is the time since the store last confirmed its role after which a coordinator without a quorum only renews grants.
// A grant on a new connection could reach a server that has restarted, and so has forgotten the fences of a successor.
const renewOnlyAge = 1200 * time.Millisecond

// MayGrantAnew reports whether a coordinator may send grants other than renewals, if the store confirmed its role for the last time
// that long ago.
func MayGrantAnew(c site.Coordinator, confirmed time.Duration) bool {
	return !c.WithoutQuorum || confirmed < renewOnlyAge
}

// authorityDriftDivisor is the inverse of the fraction by which another daemon's clock may run slow.
const authorityDriftDivisor = 50

// EarlierOrders is until when coordinators of earlier terms may send orders, as the coordinator of a term knows it.
type EarlierOrders struct {
	end       mono.Time
	renewOnly mono.Time // from which those without a quorum only renew grants
	term      site.Term
}

// Begin records that this daemon begins the term of c. If the term follows one of its own, the wait for the coordinators before
// that one goes on.
func (e *EarlierOrders) Begin(now mono.Time, c site.Coordinator) {
	follows := e.term > 0 && e.term+1 == c.Term
	e.term = c.Term
	switch {
	case c.Clean:
		e.end, e.renewOnly = now, now
	case follows:
		e.end = max(e.end, now)
	default:
		e.end = now.Add(AuthorityTTL + AuthorityTTL/authorityDriftDivisor)
		e.renewOnly = now.Add(renewOnlyAge + renewOnlyAge/authorityDriftDivisor)
	}
}

// SentUntil records that this coordinator itself may have sent orders until now that its state no longer knows of.
func (e *EarlierOrders) SentUntil(now mono.Time) { e.end = max(e.end, now) }

// End returns the time from which no earlier coordinator sends orders.
func (e *EarlierOrders) End() mono.Time { return e.end }

// RenewOnly returns the time from which earlier coordinators without a quorum only renew grants. A release that is sent from then on
// frees keys even if its server restarts.
func (e *EarlierOrders) RenewOnly() mono.Time { return e.renewOnly }

// Ended reports whether no coordinator before the current or last term of this daemon sends orders any more.
func (e *EarlierOrders) Ended(now mono.Time) bool { return !now.Before(e.end) }

// Row is what the coordinator's row states. Whoever writes it vouches for Clean, on which successors rely.
type Row struct {
	site.Coordinator
	Voters []ident.Daemon
}

// RowOf returns the row that a daemon has read last.
func RowOf(s *site.Snapshot) Row { return Row{Coordinator: s.Coordinator, Voters: s.Voters} }

// Row returns the row of the daemon that takes over.
func (t TakeOver) Row(self ident.Daemon, i ident.Incarnation, s *site.Snapshot) Row {
	return Row{
		Coordinator: site.Coordinator{Daemon: self, Incarnation: i, Term: s.Coordinator.Term + 1, Clean: t.Clean, WithoutQuorum: t.WithoutQuorum},
		Voters:      Voters(self, s.Daemons),
	}
}

// NextTerm returns the decision of a coordinator to take a new term after its own.
func NextTerm(earlierOrdersEnded, withoutQuorum bool) TakeOver {
	return TakeOver{Clean: earlierOrdersEnded, WithoutQuorum: withoutQuorum}
}

// Vacate returns the row of a coordinator that has ended its term, for any daemon to take over.
func (r Row) Vacate(earlierOrdersEnded bool) Row {
	self := r.Daemon
	return Row{
		Coordinator: site.Coordinator{Term: r.Term, Clean: earlierOrdersEnded},
		Voters:      slices.DeleteFunc(slices.Clone(r.Voters), func(d ident.Daemon) bool { return d == self }),
	}
}

// HandOver returns the row of a coordinator that has ended its term in favour of another daemon.
func (r Row) HandOver(to ident.Daemon, daemons map[ident.Daemon]*site.Daemon, earlierOrdersEnded bool) Row {
	voters := r.Voters
	if !slices.Contains(voters, to) {
		voters = Voters(to, daemons)
	}
	return Row{
		Coordinator: site.Coordinator{
			Daemon: to, Incarnation: daemons[to].Incarnation, Term: r.Term + 1, Clean: earlierOrdersEnded, WithoutQuorum: r.WithoutQuorum,
		},
		Voters: voters,
	}
}

// Revise returns the row of the same term with other voters, and with what has become certain since the term began: that a
// quorum supports the coordinator, and that earlier coordinators send no more orders.
func (r Row) Revise(voters []ident.Daemon, supported, earlierOrdersEnded bool) Row {
	r.WithoutQuorum, r.Clean, r.Voters = r.WithoutQuorum && !supported, r.Clean || earlierOrdersEnded, voters
	return r
}

// NeedsRevision reports whether the row understates what is certain in its term.
func (r Row) NeedsRevision(supported, earlierOrdersEnded bool) bool {
	return r.WithoutQuorum && supported || !r.Clean && earlierOrdersEnded
}
