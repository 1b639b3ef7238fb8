package quota

import (
	"maps"
	"math"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

const (
	// TokenTTL is how long a daemon may use its tokens after sending the last Ask that was answered.
	TokenTTL = 4 * time.Second

	// coordinatorTimeout is the age of the last answered Ask at which the coordinator is considered unresponsive.
	coordinatorTimeout = 2500 * time.Millisecond

	// isolatedSendLimit is how long a daemon that is isolated from its site continues to send requests.
	isolatedSendLimit = 5 * time.Second

	// arrivalTimeConstant and useTimeConstant are the decay times of the request rate averages.
	arrivalTimeConstant = 6 * time.Second
	useTimeConstant     = 2 * time.Second
)

// Decision is whether a request may be sent: Granted, Refused, or Pending.
type Decision interface{ decision() }

type (
	// Granted means that a token was spent and the request may be sent.
	Granted struct{}

	// Pending means that the coordinator must be asked for a token first.
	Pending struct{}

	// Refused means that no token is available.
	Refused struct {
		RetryAfter time.Duration
		Limited    bool // whether the subject's limit is the cause; false if no coordinator could be asked
	}
)

func (Granted) decision() {}
func (Pending) decision() {}
func (Refused) decision() {}

// TokenCache holds a daemon's tokens.
type TokenCache struct {
	policy            Policy
	incarnation       ident.Incarnation
	answeredAskAt     mono.Time // when the last answered Ask was sent
	balances          map[Subject]*balance
	unresponsiveSince mono.Time      // when the coordinator became unresponsive; 0 while it answers
	isolated          bool           // the daemon is isolated from the rest of its site
	random            func() float64 // returns a number in [0, 1)
}

// balance is the daemon's state for one subject.
type balance struct {
	limit          site.Limit
	tokens         uint64
	spent          int64
	sent           sentWindow
	waiting        uint64        // requests waiting for a token
	exhaustedUntil mono.Time     // no more tokens are expected before this time
	arrivals       rate          // requests, averaged over arrivalTimeConstant
	uses           rate          // spent tokens, averaged over useTimeConstant
	demand         rate          // requests, averaged over useTimeConstant
	retryAfter     time.Duration // minimum retry delay for callers while exhausted
	fallback       fallback
	unusedBurst    float64 // unused fallback bursts of earlier terms, kept until the next coordinator answers

	seq            uint64 // Seq of lastEntry
	lastEntry      Entry
	changed        bool // whether the state has changed since lastEntry
	unacknowledged bool // lastEntry hasn't been answered
}

// NewTokenCache returns an empty cache for a daemon that has just started.
func NewTokenCache(p Policy, incarnation ident.Incarnation, now mono.Time, random func() float64) *TokenCache {
	return &TokenCache{policy: p, incarnation: incarnation, unresponsiveSince: now, random: random, balances: map[Subject]*balance{}}
}

// Take takes a token for a request of the subject, whose limit is given. Set waited if the request has already waited for one.
func (c *TokenCache) Take(now mono.Time, n Subject, l site.Limit, daemons int, waited bool) Decision {
	b := c.balance(n, l)
	if !waited {
		b.arrivals.add(now, arrivalTimeConstant)
		b.demand.add(now, useTimeConstant)
	}
	switch {
	case b.tokens > 0 && now.Sub(c.answeredAskAt) < TokenTTL:
		b.tokens--
		b.recordSent(now)
		return Granted{}
	case c.unresponsiveSince > 0:
		return c.takeFallback(now, b, daemons)
	case now.Before(b.exhaustedUntil):
		return Refused{RetryAfter: max(b.retryAfter, b.exhaustedUntil.Sub(now)), Limited: true}
	default:
		return Pending{}
	}
}

func (c *TokenCache) balance(n Subject, l site.Limit) *balance {
	b := c.balances[n]
	if b == nil {
		b = &balance{sent: sentWindow{length: c.policy.Window + windowMargin}}
		c.balances[n] = b
	}
	if l.Rate < b.limit.Rate {
		// Tokens and fallback limits granted under the higher limit would exceed the new one.
		f := l.Rate / b.limit.Rate
		b.tokens = uint64(float64(b.tokens) * f)
		b.fallback.scale(f)
		if c.policy.ScaleSent {
			b.sent.scale(f)
		}
	}
	b.limit = l
	return b
}

func (b *balance) recordSent(now mono.Time) {
	b.spent++
	b.uses.add(now, useTimeConstant)
	b.sent.advance(now)
	b.sent.add(1)
	b.changed = true
}

// Exhausted reports whether no token is expected at the moment.
func (c *TokenCache) Exhausted(now mono.Time, n Subject) bool {
	b := c.balances[n]
	return b != nil && b.tokens == 0 && c.unresponsiveSince == 0 && now.Before(b.exhaustedUntil)
}

// Retain discards the tokens and counts of subjects for which keep returns false.
func (c *TokenCache) Retain(keep func(Subject) bool) {
	maps.DeleteFunc(c.balances, func(n Subject, _ *balance) bool { return !keep(n) })
}

// Return returns the token of a request that is known not to have run.
func (c *TokenCache) Return(n Subject) {
	if b := c.balances[n]; b != nil {
		b.spent--
		b.tokens++
		b.changed = true
	}
}

// AddWaiting adds d to the number of requests waiting for a token.
func (c *TokenCache) AddWaiting(n Subject, d int) {
	if b := c.balances[n]; b != nil {
		b.waiting = uint64(max(0, int(b.waiting)+d)) //nolint:gosec // not negative
	}
}

// UrgentAsk returns an Ask for the subjects with waiting requests. The granted tokens have to last for the horizon. The
// term is that of the coordinator that is asked.
func (c *TokenCache) UrgentAsk(now mono.Time, horizon time.Duration, term site.Term) Ask {
	return c.ask(now, horizon, term, func(b *balance, _ Entry) bool { return b.waiting > 0 })
}

// Ask returns an Ask for all subjects whose state has changed or hasn't been acknowledged.
func (c *TokenCache) Ask(now mono.Time, horizon time.Duration, term site.Term) Ask {
	a := c.ask(now, horizon, term, func(b *balance, e Entry) bool {
		return b.changed || b.unacknowledged || b.fallback.term != term || e.Want != b.lastEntry.Want ||
			e.Rate < b.lastEntry.Rate/2 && b.lastEntry.Rate > idleRate
	})
	a.Full = true
	return a
}

func (c *TokenCache) ask(now mono.Time, horizon time.Duration, term site.Term, include func(*balance, Entry) bool) Ask {
	a := Ask{Incarnation: c.incarnation, Term: term}
	for n, b := range c.balances {
		if now.Sub(c.answeredAskAt) >= TokenTTL {
			b.tokens = 0
		}
		e := b.entry(now, n, horizon, c.policy.NoStock)
		if !include(b, e) {
			continue
		}
		b.seq++
		e.Seq = b.seq
		if b.fallback.term != term {
			b.unusedBurst += b.fallback.releaseBurst()
			e.Recent, e.UnusedBurst = b.sent.recent(now), b.unusedBurst
		}
		b.lastEntry, b.changed, b.unacknowledged = e, false, true
		a.Entries = append(a.Entries, e)
	}
	return a
}

const (
	idleRate = 0.05 // requests per second below which a subject is considered idle

	// minExpectedRequests is the number of requests expected within the horizon below which no tokens are cached for a
	// subject.
	minExpectedRequests = 0.2
)

// maxCached returns how many tokens a daemon may keep when it wants the given number.
func maxCached(want uint64) uint64 {
	if want == 0 {
		return 0
	}
	return 2*want + 1
}

// entry returns the Entry for the balance after releasing the tokens it doesn't need.
func (b *balance) entry(now mono.Time, n Subject, horizon time.Duration, noStock bool) Entry {
	want := uint64(0)
	if mean := b.arrivals.at(now, arrivalTimeConstant) * horizon.Seconds(); mean >= minExpectedRequests && !noStock {
		want = uint64(math.Ceil(mean + math.Sqrt(mean)))
	}
	if most := maxCached(want); b.tokens > most {
		b.tokens, b.changed = most, true
	}
	return Entry{
		Subject: n, Spent: b.spent, Held: b.tokens, Waiting: b.waiting, Want: want - min(want, b.tokens),
		Rate: b.uses.at(now, useTimeConstant), Demand: b.demand.at(now, useTimeConstant), FallbackRate: b.fallback.rate,
	}
}

// Usage returns the subject's unused tokens and the requests sent in the current window.
func (c *TokenCache) Usage(now mono.Time, n Subject) (tokens, sent int) {
	b := c.balances[n]
	if b == nil {
		return 0, 0
	}
	b.sent.advance(now)
	return int(b.tokens), int(b.sent.sum) //nolint:gosec // request counts
}

// ApplyAnswer applies the coordinator's answer, which was sent at answeredAt, to the Ask sent at sentAt.
func (c *TokenCache) ApplyAnswer(answeredAt, sentAt mono.Time, a Answer) {
	c.answeredAskAt = max(c.answeredAskAt, min(sentAt, answeredAt)) // answeredAt is the earlier one if the host was suspended in between
	if c.unresponsiveSince > 0 {
		c.unresponsiveSince = 0
		for _, b := range c.balances {
			b.fallback.started = false
		}
	}
	for _, g := range a.Grants {
		b := c.balances[g.Subject]
		if b == nil || b.seq != g.Seq {
			continue
		}
		b.tokens += g.Tokens
		b.unusedBurst = 0
		b.fallback = fallback{rate: g.FallbackRate, burst: g.FallbackBurst, term: a.Term}
		b.unacknowledged, b.exhaustedUntil = false, 0
		if g.Wait > 0 {
			b.exhaustedUntil, b.retryAfter = answeredAt.Add(g.Wait), g.RetryAfter
		}
	}
}

// DelayUnanswered delays further asks for subjects that the coordinator's answer omitted because it doesn't know them yet.
func (c *TokenCache) DelayUnanswered(now mono.Time, a Ask) {
	for _, e := range a.Entries {
		if b := c.balances[e.Subject]; b != nil && b.seq == e.Seq && b.unacknowledged && b.waiting > 0 {
			b.exhaustedUntil = now.Add(minAskDelay)
		}
	}
}

// SetCoordinatorUnresponsive records that the coordinator doesn't answer, and whether the daemon is isolated from the rest of
// its site.
func (c *TokenCache) SetCoordinatorUnresponsive(now mono.Time, isolated bool) {
	c.isolated = isolated
	if c.unresponsiveSince == 0 {
		c.unresponsiveSince = now
	}
}

// CoordinatorUnresponsive reports whether the coordinator hasn't answered for longer than coordinatorTimeout, or was set
// unresponsive.
func (c *TokenCache) CoordinatorUnresponsive(now mono.Time) bool {
	return c.unresponsiveSince > 0 || now.Sub(c.answeredAskAt) > coordinatorTimeout
}
