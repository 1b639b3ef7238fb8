package elect

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// A coordinator sends orders only while it has the support of a quorum of the voters. Each of its answers renews a
// voter's promise not to support a successor for PromiseDuration. The coordinator counts the promise from when it sent
// the answer, once the voter has confirmed it, and so stops before the promise ends. A successor needs a quorum of
// voters that have withdrawn their support for good. It then knows that the previous coordinator sends no more orders,
// and need not wait until the 30 s in which a coordinator may send orders have passed. A daemon that is only cut off from
// the coordinator gets no quorum and does not replace it.
//
// Promises are kept in memory only. A daemon that has just started withdraws nothing until the longest promise of an
// earlier incarnation has ended. A daemon that withdrew and restarted has lost its withdrawal. A successor's
// transaction therefore expects the rows of the daemons that withdrew to be of the same incarnations. A daemon
// promises nothing before it has written its row and read all earlier changes.
//
// Any two quorums of the same voters overlap. The voters are stored in the coordinator's row, which a successor's
// transaction expects unchanged. A coordinator that replaces voters needs a quorum of both sets until it knows which
// of them the row contains.

const (
	// minSyncWait and maxSyncWait bound the time for which the coordinator holds a daemon's request open.
	minSyncWait       = 400 * time.Millisecond
	maxSyncWait       = 1000 * time.Millisecond
	syncWaitPerDaemon = 10 * time.Millisecond // for each daemon that syncs

	// answerLatency is how long an answer may take in addition to its wait.
	answerLatency = 300 * time.Millisecond

	// longestPromise is the promise duration of the largest site.
	longestPromise = 3 * maxSyncWait
)

// SyncWait returns how long the coordinator delays an answer to the daemon while it has no changes. Voters sync more
// often than other daemons of a large site, since they alone determine how soon a lost coordinator is replaced.
func SyncWait(s *site.Snapshot, d ident.Daemon) time.Duration {
	if slices.Contains(s.Voters, d) {
		return syncWait(len(s.Voters))
	}
	return syncWait(len(s.Daemons))
}

func syncWait(daemons int) time.Duration {
	return min(maxSyncWait, max(minSyncWait, time.Duration(daemons)*syncWaitPerDaemon))
}

// PromiseDuration returns how long a voter's promise holds. Two answers may be lost within it.
func PromiseDuration(s *site.Snapshot) time.Duration {
	return 3 * syncWait(voterCount(s))
}

// ContactTimeout returns how long a voter may be without contact with the coordinator, or the coordinator without contact with a
// voter.
func ContactTimeout(s *site.Snapshot) time.Duration { return contactTimeout(s) }

// newTermTimeout is the time without the support of a quorum after which a coordinator takes a new term. It exceeds the time in
// which voters that have contact support a coordinator.
const newTermTimeout = 1500 * time.Millisecond

// NeedsNewTerm reports whether a coordinator without the support of a quorum should take a new term. A withdrawal holds for the rest
// of a term. If voters withdraw for a candidate that doesn't take over, neither gets a quorum, although all daemons have contact.
func NeedsNewTerm(unsupported time.Duration, quorumInContact bool) bool {
	return unsupported >= newTermTimeout && quorumInContact
}

// contactTimeout returns how long a voter may be without contact with the coordinator. One answer may be lost within it.
// A successor has the support of a quorum 1.5 s after a loss; grants last 3 s and were renewed at most 0.9 s before.
func contactTimeout(s *site.Snapshot) time.Duration {
	return syncWait(voterCount(s)) + 2*answerLatency
}

// voterCount returns the number of voters; if none are known, all daemons are.
func voterCount(s *site.Snapshot) int {
	if len(s.Voters) > 0 {
		return len(s.Voters)
	}
	return len(s.Daemons)
}

// Promise is the promise of one daemon. Times are of its own clock, which also advances while its host is suspended.
type Promise struct {
	StartedAt time.Duration // start of this incarnation

	term      site.Term
	until     time.Duration
	withdrawn site.Term // support is withdrawn for all terms up to this one
}

// Renew promises support to the coordinator of the term until now+d. It reports false if that support was withdrawn, a
// later term was promised, or d exceeds the longest promise.
func (p *Promise) Renew(now time.Duration, t site.Term, d time.Duration) bool {
	if t <= p.withdrawn || t < p.term || d > longestPromise {
		return false
	}
	p.term, p.until = t, max(p.until, now+d)
	return true
}

// Withdraw ends the support of all coordinators up to the term for good. It reports false while a promise still holds
// or may hold.
func (p *Promise) Withdraw(now time.Duration, t site.Term) bool {
	if now < p.StartedAt+longestPromise {
		return false // an earlier incarnation may have promised
	}
	if p.term <= t && now < p.until {
		return false
	}
	p.withdrawn = max(p.withdrawn, t)
	return true
}

// HasWithdrawn reports whether support for the coordinator of the term was withdrawn for good.
func (p *Promise) HasWithdrawn(t site.Term) bool { return t > 0 && t <= p.withdrawn }

// Support is the coordinator's record of the promises made to it, by its own clock.
type Support struct {
	until map[ident.Daemon]time.Duration
	seen  map[ident.Daemon]firstSeen
}

// firstSeen is when the coordinator first saw an incarnation of a daemon.
type firstSeen struct {
	incarnation ident.Incarnation
	at          time.Duration
}

// Confirm records that a daemon has received the answer sent at the given time, and has promised support for the given
// duration from then on.
func (s *Support) Confirm(d ident.Daemon, sent, promised time.Duration) {
	if s.until == nil {
		s.until = map[ident.Daemon]time.Duration{}
	}
	s.until[d] = max(s.until[d], sent+promised)
}

// Reset drops the promises of an earlier term.
func (s *Support) Reset() {
	clear(s.until)
	clear(s.seen)
}

// HasQuorum reports whether a majority of the voters, including the coordinator self, supports the coordinator. With self empty the
// coordinator doesn't support itself.
// While voters are being replaced, proposed is the set that the coordinator's row may already contain, and a majority
// of both sets is needed. Otherwise proposed is nil.
func (s *Support) HasQuorum(now time.Duration, self ident.Daemon, voters, proposed []ident.Daemon) bool {
	return s.hasMajority(now, self, voters) && (proposed == nil || s.hasMajority(now, self, proposed))
}

func (s *Support) hasMajority(now time.Duration, self ident.Daemon, voters []ident.Daemon) bool {
	n := 0
	for _, d := range voters {
		if d == self || now < s.until[d] {
			n++
		}
	}
	return IsQuorum(n, len(voters))
}

// Unresponsive returns the daemons other than the coordinator that have confirmed nothing for d. The time counts
// from the start of the term or from when the coordinator first saw the daemon's incarnation, since a daemon that has
// just started could not confirm anything yet.
func (s *Support) Unresponsive(now, began, d time.Duration, self ident.Daemon, daemons map[ident.Daemon]*site.Daemon) []ident.Daemon {
	if s.seen == nil {
		s.seen = map[ident.Daemon]firstSeen{}
	}
	var l []ident.Daemon
	for n, x := range daemons {
		first, known := s.seen[n]
		if !known || first.incarnation != x.Incarnation {
			first = firstSeen{incarnation: x.Incarnation, at: now}
			if !known && s.until[n] > 0 {
				first.at = began // it confirmed an answer before the first call
			}
			s.seen[n] = first
		}
		if n != self && now-max(began, first.at, s.until[n]) >= d {
			l = append(l, n)
		}
	}
	return l
}

// IsQuorum reports whether n of the voters are a majority.
func IsQuorum(n, voters int) bool {
	return 2*n > voters
}
