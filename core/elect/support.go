package elect

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// A coordinator sends orders only while a quorum of the voters supports it. Each of its answers renews a voter's promise not
// to help a successor for PromiseTime. The coordinator counts the promise from when it sent the answer, once the voter has
// confirmed it, and so stops before the promise ends. A successor needs a quorum of voters that have withdrawn their
// support for good. Then it knows that the last coordinator sends nothing any more, and needn't wait 30 s for its leave to
// lapse. A daemon that is merely cut off from the coordinator gets no quorum, and leaves it in place.
//
// Promises are kept in memory only. A daemon that has just started withdraws nothing until the longest promise of an earlier
// life has ended. One that withdrew and started again has forgotten it: so a successor's transaction expects the rows of
// those that withdrew to be of the same lives, and a daemon promises nothing before it has written its row and read what came
// before that. Any two quorums of the same voters overlap. The voters stand in the coordinator's row, which a successor's
// transaction expects unchanged; a coordinator that replaces them needs a quorum of both sets until it knows which of them
// the row names.

const (
	// minSyncWait and maxSync bound how often a daemon asks the coordinator.
	minSyncWait       = 400 * time.Millisecond
	maxSyncWait       = 1000 * time.Millisecond
	syncWaitPerDaemon = 10 * time.Millisecond // for each daemon of the site

	// answerLatency is how long an answer may take beyond its wait.
	answerLatency = 300 * time.Millisecond

	// longestPromise is that of the largest site.
	longestPromise = 3 * maxSyncWait
)

// SyncWait returns how long the coordinator holds an answer to the daemon back without news. Voters ask more often than
// the rest of a large site: how soon a lost coordinator can be followed depends on them alone.
func SyncWait(s *site.Snapshot, d ident.Daemon) time.Duration {
	if slices.Contains(s.Voters, d) {
		return syncWait(len(s.Voters))
	}
	return syncWait(len(s.Daemons))
}

func syncWait(daemons int) time.Duration {
	return min(maxSyncWait, max(minSyncWait, time.Duration(daemons)*syncWaitPerDaemon))
}

// PromiseDuration returns for how long the promise of a voter holds: two answers may be lost.
func PromiseDuration(s *site.Snapshot) time.Duration {
	return 3 * syncWait(voterCount(s))
}

// contactTimeout is how long the coordinator may not be heard of by a voter: one answer may be lost. Another has the support of a
// quorum 1.5 s after a loss; grants last 3 s and were renewed 0.9 s ago at worst.
func contactTimeout(s *site.Snapshot) time.Duration {
	return syncWait(voterCount(s)) + 2*answerLatency
}

// voterCount returns how many daemons have a vote: all where none are named.
func voterCount(s *site.Snapshot) int {
	if len(s.Voters) > 0 {
		return len(s.Voters)
	}
	return len(s.Daemons)
}

// Promise is what one daemon has promised. Times are of its own clock, which counts the suspensions of its host.
type Promise struct {
	StartedAt time.Duration

	term      site.Term
	until     time.Duration
	withdrawn site.Term // coordinators up to this term are not supported any more
}

// Renew promises support for a time to the coordinator of the term, unless that was withdrawn.
func (p *Promise) Renew(now time.Duration, t site.Term, d time.Duration) bool {
	if t <= p.withdrawn || t < p.term || d > longestPromise {
		return false
	}
	p.term, p.until = t, max(p.until, now+d)
	return true
}

// Withdraw ends the support of coordinators up to the term, for good; it reports whether it could.
func (p *Promise) Withdraw(now time.Duration, t site.Term) bool {
	if now < p.StartedAt+longestPromise {
		return false // an earlier life may have promised
	}
	if p.term <= t && now < p.until {
		return false
	}
	p.withdrawn = max(p.withdrawn, t)
	return true
}

// Support is what a coordinator knows of the promises to it, by its own clock.
type Support struct {
	until map[ident.Daemon]time.Duration
	seen  map[ident.Daemon]firstSeen
}

// firstSeen is when a life of a daemon was first known to the coordinator.
type firstSeen struct {
	incarnation ident.Incarnation
	at          time.Duration
}

// Confirm takes in that a daemon has received an answer that was sent at the time, and promised support from then on.
func (s *Support) Confirm(d ident.Daemon, sent, promised time.Duration) {
	if s.until == nil {
		s.until = map[ident.Daemon]time.Duration{}
	}
	s.until[d] = max(s.until[d], sent+promised)
}

// Reset forgets the promises to an earlier term.
func (s *Support) Reset() {
	clear(s.until)
	clear(s.seen)
}

// HasQuorum reports whether a majority of the voters supports the coordinator, which supports itself. While voters are
// being replaced, proposed are those that the coordinator's row may name by now, else nil: then it takes a majority of both.
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

// WithoutContact returns the daemons that have confirmed nothing for so long, the coordinator itself left out. The time counts from
// when the coordinator began or first knew of the daemon's life: one that has just started has had no chance yet.
func (s *Support) WithoutContact(now, began, d time.Duration, self ident.Daemon, daemons map[ident.Daemon]*site.Daemon) []ident.Daemon {
	if s.seen == nil {
		s.seen = map[ident.Daemon]firstSeen{}
	}
	var l []ident.Daemon
	for n, x := range daemons {
		first, known := s.seen[n]
		if !known || first.incarnation != x.Incarnation {
			first = firstSeen{incarnation: x.Incarnation, at: now}
			if !known && s.until[n] > 0 {
				first.at = began // it confirmed something before it was first looked at
			}
			s.seen[n] = first
		}
		if n != self && now-max(began, first.at, s.until[n]) >= d {
			l = append(l, n)
		}
	}
	return l
}

// IsQuorum reports whether so many of the voters are a majority.
func IsQuorum(n, voters int) bool {
	return 2*n > voters
}
