package quota

import (
	"math"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// account is the coordinator's state for one subject.
type account struct {
	policy        Policy
	limit         site.Limit
	level         float64 // tokens in the bucket; negative when overdrawn
	updatedAt     mono.Time
	sent          sentWindow
	outstanding   float64   // tokens held by daemons
	wanted        float64   // sum of the daemons' latest Want
	rate          float64   // sum of the daemons' latest Rate
	demand        float64   // sum of the daemons' latest Demand
	fallbackRate  float64   // sum of the daemons' fallback rates
	fallbackBurst float64   // sum of the daemons' fallback bursts
	awaited       mono.Time // when the last of the tokens is refilled that daemons were told to wait for
	holdings      map[ident.Daemon]*holding
}

// holding is the coordinator's record of one daemon's tokens for one subject.
type holding struct {
	seq           uint64  // Seq of the latest applied Entry
	tokens        float64 // unused tokens held by the daemon
	precounted    float64 // granted to waiting requests and already counted as sent
	precountedAt  int64   // cell of sent in which the first of them are counted; 0 if unknown
	spent         int64
	want          float64
	rate          float64
	demand        float64
	fallbackRate  float64 // requests per second allowed without the coordinator
	fallbackBurst float64 // requests allowed at once without the coordinator
	credit        float64 // fraction of a token carried over to the next grant
}

func newAccount(p Policy, l site.Limit, now mono.Time) *account {
	return &account{
		policy: p, limit: l, updatedAt: now,
		sent: sentWindow{length: p.Window + windowMargin}, holdings: map[ident.Daemon]*holding{},
	}
}

// setLimit replaces the limit.
func (x *account) setLimit(l site.Limit) {
	if l.Rate < x.limit.Rate && x.policy.ScaleSent {
		x.sent.scale(l.Rate / x.limit.Rate)
		for _, h := range x.holdings {
			h.precountedAt = 0 // scaled counts can't be taken back exactly
		}
	}
	x.limit = l
}

// windowMargin extends the counting window, because a request may be sent slightly after its token is spent.
const windowMargin = 250 * time.Millisecond

// advance refills the token bucket for the time since the last call and counts the requests that daemons are assumed to have
// sent without the coordinator in that time.
func (x *account) advance(now mono.Time, fallbackRate float64) {
	s := now.Sub(x.updatedAt).Seconds()
	x.updatedAt = now
	x.sent.advance(now)
	x.sent.add(fallbackRate * s)
	x.level = min(x.level+(x.limit.Rate-fallbackRate)*s, x.limit.Burst+x.policy.Slack*slackShare)
	x.level = max(x.level, -x.limit.Rate) // caps the debt at one second's tokens; headroom still enforces the window
}

// headroom returns how many tokens can be granted without exceeding the window's limit.
func (x *account) headroom() float64 {
	return x.policy.maxRequests(x.limit) - x.sent.sum - x.outstanding - x.fallbackBurst
}

// recordSent counts requests that were, or may have been, sent.
func (x *account) recordSent(n float64) {
	x.sent.add(n)
	x.level -= n
}

// applyEntry updates the account from a daemon's Entry. Granted tokens that the daemon neither holds nor has spent were lost in
// transit or returned; requests beyond its tokens were sent without the coordinator.
func (x *account) applyEntry(d ident.Daemon, e Entry) {
	h := x.holdings[d]
	switch {
	case h != nil && e.Seq <= h.seq:
		return
	case h != nil:
		x.reconcile(h, float64(e.Spent-h.spent), float64(e.Held))
	default:
		h = &holding{tokens: float64(e.Held)}
		x.holdings[d] = h
		x.outstanding += h.tokens
		x.sent.addRecent(e.Recent)
		x.level += e.UnusedBurst
	}
	h.spent = e.Spent
	x.wanted += float64(e.Want) - h.want
	x.rate += e.Rate - h.rate
	x.demand += e.Demand - h.demand
	x.fallbackRate += e.FallbackRate - h.fallbackRate
	h.seq, h.want, h.rate, h.demand, h.fallbackRate = e.Seq, float64(e.Want), e.Rate, e.Demand, e.FallbackRate
}

func (x *account) reconcile(h *holding, spent, held float64) {
	x.outstanding += held - h.tokens
	h.tokens = held
	if more := spent - h.precounted; more > 0 {
		x.recordSent(more) // tokens granted to waiting requests are already counted
	} else {
		x.level -= more // credit tokens that were returned or never arrived
		x.sent.remove(h.precountedAt, min(-more, h.precounted))
	}
	h.precounted = 0
}

func (x *account) removeDaemon(d ident.Daemon) {
	h := x.holdings[d]
	if h == nil {
		return
	}
	x.recordSent(h.tokens) // the daemon may have used them
	x.outstanding -= h.tokens
	x.wanted -= h.want
	x.rate -= h.rate
	x.demand -= h.demand
	x.fallbackRate -= h.fallbackRate
	x.fallbackBurst -= h.fallbackBurst
	delete(x.holdings, d)
}

const (
	// waitingReserve is the share of the window's limit that is reserved for waiting requests.
	waitingReserve = 0.15

	// minCachedPerDaemon is how many tokens per daemon may be outstanding while the bucket is at least half full, even if
	// the bucket has fewer.
	minCachedPerDaemon = 2

	// fallbackHorizon is the period for which a subject's unused rate is added to the fallback bursts.
	fallbackHorizon = 3 * time.Second

	// maxFallbackBurstShare is the largest share of the window's headroom that is reserved for fallback bursts.
	maxFallbackBurstShare = 0.3
)

// grant allocates tokens for a daemon's waiting and expected requests, and updates its fallback limits.
func (x *account) grant(d ident.Daemon, e Entry, daemons int, unreportedRate float64) Grant {
	h := x.holdings[d]
	waiting := math.Floor(max(0, min(float64(e.Waiting), x.level, x.headroom())))
	x.recordSent(waiting)
	if h.precounted == 0 {
		h.precountedAt = x.sent.cell
	}
	h.precounted += waiting
	cached := x.allocateCached(h, daemons)
	x.outstanding += cached
	h.tokens += cached
	x.setFallback(h, daemons, unreportedRate)
	g := Grant{
		Subject: e.Subject, Seq: e.Seq, Tokens: uint64(waiting + cached),
		FallbackRate: h.fallbackRate, FallbackBurst: h.fallbackBurst,
	}
	if waiting < float64(e.Waiting) {
		g.Wait, g.RetryAfter = x.askDelay(), x.retryAfter()
	}
	return g
}

// askDelay returns how long a daemon that got no token should wait before asking again: until the next token that no other daemon
// waits for. Daemons that asked at the same moment then don't ask again at the same moment, with the bucket full in between.
func (x *account) askDelay() time.Duration {
	now := x.updatedAt
	x.awaited = max(x.awaited, now).Add(time.Duration(float64(time.Second) / x.limit.Rate))
	x.awaited = min(x.awaited, now.Add(maxAskDelay))
	excess := max(0, min(1, x.demand/x.limit.Rate-1))
	return max(minAskDelay, time.Duration(excess*float64(x.awaited.Sub(now))))
}

// retryAfter returns the time needed to serve one second's excess demand at the limit. Callers that retry sooner only compete
// with others for the same tokens.
func (x *account) retryAfter() time.Duration {
	s := max(0, x.demand/x.limit.Rate-1)
	return min(maxRetryAfter, time.Duration(s*float64(time.Second)))
}

// allocateCached returns the daemon's new tokens for expected requests, in proportion to the demand of all daemons.
func (x *account) allocateCached(h *holding, daemons int) float64 {
	if h.want <= 0 {
		h.credit = 0
		return 0
	}
	most := max(0, x.level)
	if x.level >= x.limit.Burst/2 {
		most = max(most, float64(minCachedPerDaemon*daemons))
	}
	spare := min(most-x.outstanding, x.headroom()-waitingReserve*x.policy.maxRequests(x.limit))
	if spare < 1 {
		return 0
	}
	h.credit += min(1, spare/max(x.wanted, h.want)) * h.want
	n := math.Floor(min(h.credit, h.want, spare))
	h.credit = min(h.credit-n, 1)
	return n
}

// setFallback sets what the daemon may send while no coordinator answers it: its current rate plus a share of the
// subject's unused rate.
func (x *account) setFallback(h *holding, daemons int, unreportedRate float64) {
	if x.policy.NoStock {
		x.shareFallback(h, daemons)
		return
	}
	left := max(0, x.limit.Rate-unreportedRate)
	unused := max(0, left-x.rate)
	share := 1 / float64(daemons)
	if x.rate > 0 {
		share = (share + h.rate/x.rate) / 2
	}
	x.fallbackRate -= h.fallbackRate
	h.fallbackRate = max(0, min(h.rate+unused*share, left-x.fallbackRate))
	x.fallbackRate += h.fallbackRate
	x.fallbackBurst -= h.fallbackBurst
	reservable := maxFallbackBurstShare*(x.headroom()+x.fallbackBurst) - x.fallbackBurst
	h.fallbackBurst = max(0, min((max(0, x.level)+unused*fallbackHorizon.Seconds())*share, reservable))
	x.fallbackBurst += h.fallbackBurst
}

// shareFallback divides the limit among the daemons: a part of it equally, which daemons without a holding use as well, and the
// rest by demand. A daemon with few requests has used no token lately, so that its rate says little.
func (x *account) shareFallback(h *holding, daemons int) {
	n := max(daemons, len(x.holdings))
	equal := x.limit.Rate * x.policy.UnassignedShare / float64(n)
	left := x.limit.Rate - equal*float64(n-len(x.holdings)) - (x.fallbackRate - h.fallbackRate)
	byDemand := x.limit.Rate * (1 - x.policy.UnassignedShare) * h.demand / max(x.demand, x.limit.Rate)
	rate := max(0, min(equal+byDemand, left))
	x.fallbackRate += rate - h.fallbackRate
	h.fallbackRate = rate
}
