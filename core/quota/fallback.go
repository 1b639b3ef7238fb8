package quota

import (
	"math"
	"time"

	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// fallback limits the requests that a daemon may send while no coordinator answers.
type fallback struct {
	rate  float64   // requests per second
	burst float64   // requests allowed at once
	term  site.Term // term of the coordinator that set these limits

	started   bool
	level     float64
	updatedAt mono.Time
}

// unresponsiveRetryAfter is the retry delay for callers while no coordinator answers; a new one is usually elected within
// this time.
const unresponsiveRetryAfter = 500 * time.Millisecond

// minDowntime is a lower bound on the time for which a restarting daemon sends no requests. When all daemons restart together,
// they may send at once what the limit allows in that time.
const minDowntime = 700 * time.Millisecond

// maxFallbackAge bounds the time before a loss of the coordinator for which a daemon that used no token gets its fallback rate. On
// a site with many daemons each has a request every few seconds, for which nothing would have accumulated yet.
const maxFallbackAge = 2 * time.Second

// takeFallback takes a token under the fallback limits.
func (c *TokenCache) takeFallback(now mono.Time, b *balance, daemons int) Decision {
	if c.isolated && now.Sub(c.unresponsiveSince) > isolatedSendLimit {
		return Refused{RetryAfter: unresponsiveRetryAfter}
	}
	x := &b.fallback
	if !x.started {
		share := b.limit.Rate / float64(max(1, daemons))
		switch {
		case c.answeredAskAt == 0:
			// No coordinator has answered this incarnation yet.
			x.rate, x.burst = share, share*minDowntime.Seconds()
		case x.term == 0:
			x.rate = share * c.policy.UnassignedShare
		}
		// Before this time, the coordinator doesn't count this daemon's fallback requests.
		x.started, x.level, x.updatedAt = true, x.burst, max(c.unresponsiveSince, c.answeredAskAt.Add(unresponsiveAfter))
		if c.policy.NoStock {
			x.updatedAt = max(b.uses.last, now.Add(-maxFallbackAge))
		}
	}
	rate := min(x.rate, b.limit.Rate)
	x.level = min(x.level+rate*max(0, now.Sub(x.updatedAt)).Seconds(), max(1, rate, x.burst))
	x.updatedAt = max(x.updatedAt, now)
	if x.level < 1 {
		// On a site with many daemons, each has only a fraction of a token. Admitting a request with that probability keeps the
		// expected total at the limit, whereas waiting for a whole token would refuse nearly all requests.
		admit := c.random() < x.level
		x.level = min(x.level, 0)
		if !admit {
			wait := time.Duration((1 - x.level) / math.Max(rate, idleRate) * float64(time.Second))
			return Refused{RetryAfter: min(wait, unresponsiveRetryAfter)}
		}
		b.recordSent(now)
		return Granted{}
	}
	x.level--
	b.recordSent(now)
	return Granted{}
}

// scale multiplies the limits by f.
func (x *fallback) scale(f float64) {
	x.rate *= f
	x.burst *= f
	x.level = min(x.level, x.level*f)
}

// releaseBurst clears the burst and returns its unused part.
func (x *fallback) releaseBurst() float64 {
	left := x.burst
	if x.started {
		left = min(left, max(0, x.level))
	}
	x.burst, x.level = 0, 0
	return left
}

// rate is an exponentially decaying average of events per second.
type rate struct {
	mean float64
	last mono.Time
}

func (r *rate) add(now mono.Time, d time.Duration) {
	r.mean = r.at(now, d) + 1/d.Seconds()
	r.last = now
}

func (r *rate) at(now mono.Time, d time.Duration) float64 {
	return r.mean * math.Exp(-now.Sub(r.last).Seconds()/d.Seconds())
}
