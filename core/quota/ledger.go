package quota

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

const (
	// unresponsiveAfter is the time without an Ask after which a daemon is assumed to send without the coordinator. Daemons
	// ask at least once a second.
	unresponsiveAfter = 1500 * time.Millisecond

	// minAskDelay and maxAskDelay bound how long daemons wait before asking again for a subject at its limit.
	minAskDelay = 100 * time.Millisecond
	maxAskDelay = time.Second

	// maxRetryAfter bounds the retry delay sent to callers of a subject over its limit.
	maxRetryAfter = 5 * time.Second
)

// Ledger tracks the requests and tokens of all subjects for one coordinator term.
//
// For each subject, the requests sent in the current window, the tokens held by daemons and the fallback bursts together
// stay within the window's limit. A token bucket per subject paces its requests within the window.
type Ledger struct {
	policy   Policy
	term     site.Term
	accounts map[Subject]*account
	daemons  map[ident.Daemon]*daemonState

	bucketsFilled bool // fillBuckets was called in this term

	unresponsive    []ident.Daemon // sent a full Ask in this term, but no Ask within unresponsiveAfter
	unreportedShare float64        // share of the daemons without a full Ask in this term
	daemonCount     int            // in the site
	refreshedAt     mono.Time      // when the fields above were last updated
}

// daemonState describes a daemon that has sent an Ask in this term.
type daemonState struct {
	incarnation ident.Incarnation
	lastAskAt   mono.Time
	hasFullAsk  bool // a full Ask was received
}

// NewLedger returns the ledger for a new term. The buckets start empty because the previous coordinator's grants are unknown.
func NewLedger(p Policy, term site.Term) *Ledger {
	return &Ledger{
		policy: p, term: term, daemonCount: 1,
		accounts: map[Subject]*account{}, daemons: map[ident.Daemon]*daemonState{},
	}
}

// Configure applies the limits in force. Subjects that are left out have none.
func (l *Ledger) Configure(now mono.Time, limits map[Subject]site.Limit) {
	for n := range l.accounts {
		if !limits[n].Limited() {
			delete(l.accounts, n)
		}
	}
	for n, limit := range limits {
		if !limit.Limited() {
			continue
		}
		if x := l.accounts[n]; x != nil {
			x.setLimit(limit)
			continue
		}
		l.accounts[n] = newAccount(l.policy, limit, now)
	}
}

// ApplyAsk applies a daemon's Ask. Entries that aren't newer than the last applied ones are ignored.
func (l *Ledger) ApplyAsk(now mono.Time, d ident.Daemon, a Ask) {
	if a.Term != l.term {
		return // its entries omit the requests sent before this term
	}
	x := l.daemons[d]
	switch {
	case x == nil:
		x = &daemonState{incarnation: a.Incarnation}
		l.daemons[d] = x
	case x.incarnation > a.Incarnation:
		return // from an earlier incarnation
	case x.incarnation < a.Incarnation:
		l.removeDaemon(d) // counts the previous incarnation's tokens as spent
		*x = daemonState{incarnation: a.Incarnation}
	}
	x.lastAskAt = now
	x.hasFullAsk = x.hasFullAsk || a.Full
	for _, e := range a.Entries {
		if y := l.accounts[e.Subject]; y != nil {
			y.advance(now, l.activeFallbackRate(y))
			y.applyEntry(d, e)
		}
	}
}

// Grant returns the answer to an Ask that was applied before, without entries that a newer Ask has superseded.
func (l *Ledger) Grant(now mono.Time, d ident.Daemon, a Ask, daemons []ident.Daemon) Answer {
	l.refreshDaemons(now, daemons)
	r := Answer{Term: l.term}
	if x := l.daemons[d]; x == nil || x.incarnation != a.Incarnation || a.Term != l.term {
		return r
	}
	for _, e := range a.Entries {
		y := l.accounts[e.Subject]
		if y == nil || y.holdings[d] == nil || y.holdings[d].seq != e.Seq {
			continue
		}
		y.advance(now, l.activeFallbackRate(y))
		r.Grants = append(r.Grants, y.grant(d, e, l.daemonCount, l.unreportedFallbackRate(y)))
	}
	return r
}

// refreshInterval is the minimum time between two checks for unresponsive daemons.
const refreshInterval = 50 * time.Millisecond

// refreshDaemons finds the daemons that may be sending without the coordinator.
func (l *Ledger) refreshDaemons(now mono.Time, daemons []ident.Daemon) {
	if now.Sub(l.refreshedAt) < refreshInterval {
		return
	}
	l.refreshedAt, l.unresponsive, l.unreportedShare, l.daemonCount = now, l.unresponsive[:0], 0, max(1, len(daemons))
	for _, d := range daemons {
		x := l.daemons[d]
		if x == nil || !x.hasFullAsk {
			l.unreportedShare += 1 / float64(len(daemons))
			continue
		}
		if now.Sub(x.lastAskAt) > unresponsiveAfter {
			l.unresponsive = append(l.unresponsive, d)
		}
	}
	if !l.bucketsFilled && l.unreportedShare <= maxUnreportedShare {
		l.fillBuckets()
	}
}

// maxUnreportedShare is the largest share of daemons without a full Ask at which the buckets are filled.
const maxUnreportedShare = 0.05

// fillBuckets adds the burst to each subject's bucket. It must run only once daemons have reported the requests sent before
// the term, because the window's limit then holds without the buckets.
func (l *Ledger) fillBuckets() {
	l.bucketsFilled = true
	for _, x := range l.accounts {
		x.level += x.limit.Burst
	}
}

// unreportedFactor is the share of a subject's limit that is reserved for daemons without a full Ask in this term, as a
// multiple of their share of all daemons.
const unreportedFactor = 2

// unreportedFallbackRate estimates the fallback rate, in requests per second, of the daemons without a full Ask in this term.
// It is at most the rate that isn't assigned to other daemons.
func (l *Ledger) unreportedFallbackRate(x *account) float64 {
	if !l.policy.ReserveUnreported {
		return 0
	}
	return max(0, min(x.limit.Rate-x.fallbackRate, x.limit.Rate*l.unreportedShare*unreportedFactor))
}

// activeFallbackRate estimates how many requests per second daemons are sending without the coordinator.
func (l *Ledger) activeFallbackRate(x *account) float64 {
	rate := l.unreportedFallbackRate(x)
	for _, d := range l.unresponsive {
		if h := x.holdings[d]; h != nil {
			rate += h.fallbackRate
		}
	}
	return min(rate, x.limit.Rate)
}

// Usage is the site-wide use of a subject's limit.
type Usage struct {
	Sent        float64 // requests in the current window
	MaxRequests float64 // maximum per window
	Outstanding float64 // tokens held by daemons
	Available   float64 // tokens in the bucket
	Demand      float64 // recent requests per second from callers
	Daemons     int     // number of daemons that hold or want tokens
}

// Usage returns the site-wide use of a subject's limit, or false if the subject has no limit.
func (l *Ledger) Usage(now mono.Time, n Subject) (Usage, bool) {
	x := l.accounts[n]
	if x == nil {
		return Usage{}, false
	}
	x.advance(now, l.activeFallbackRate(x))
	u := Usage{
		Sent: x.sent.sum, MaxRequests: l.policy.maxRequests(x.limit), Outstanding: x.outstanding, Available: max(0, x.level),
		Demand: x.demand,
	}
	for _, h := range x.holdings {
		if h.tokens > 0 || h.want > 0 {
			u.Daemons++
		}
	}
	return u, true
}

// RemoveDeparted removes daemons that are no longer in the site and whose tokens have expired.
func (l *Ledger) RemoveDeparted(now mono.Time, known func(ident.Daemon) bool) {
	for d, x := range l.daemons {
		if !known(d) && now.Sub(x.lastAskAt) > unresponsiveAfter+TokenTTL {
			l.removeDaemon(d)
			delete(l.daemons, d)
		}
	}
}

// removeDaemon removes a daemon from all accounts and counts its tokens as sent.
func (l *Ledger) removeDaemon(d ident.Daemon) {
	for _, x := range l.accounts {
		x.removeDaemon(d)
	}
}
