// Package limit enforces each organisation's request limit across all daemons. The coordinator grants tokens to daemons. Each
// daemon caches a few of them and asks for more as needed.
package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/quota"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/wire"
)

// View provides the daemon's view of its site.
type View interface {
	Snapshot() *site.Snapshot
	HoldsTerm(t site.Term) bool // whether the daemon is the coordinator of the term and has the required quorum
	IsolatedFor() time.Duration // how long the daemon may have been isolated from its site
}

// Caller sends calls to other daemons.
type Caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

// Options configures a Limiter.
type Options struct {
	Self        ident.Daemon
	Incarnation ident.Incarnation
	View        View
	Policy      quota.Policy
	Clock       *clock.Clock
	Log         *log.Logger
}

const (
	// askTimeout bounds a call that asks the coordinator for tokens.
	askTimeout = 250 * time.Millisecond

	// minAskInterval is the minimum time between two calls that ask the coordinator for tokens.
	minAskInterval = 10 * time.Millisecond

	// maxWait is the longest time that a request waits for a token.
	maxWait = 400 * time.Millisecond

	// isolatedAfter is the time without contact to the site after which the daemon is considered isolated.
	isolatedAfter = 2 * time.Second

	// retryJitter is the maximum random delay added to retry times, so that callers don't retry simultaneously.
	retryJitter = 200 * time.Millisecond

	// cleanupInterval is the minimum time between two removals of departed daemons from the ledger.
	cleanupInterval = time.Second
)

// Limiter manages one daemon's tokens and, while the daemon is the coordinator, the site's ledger. It is safe for concurrent
// use.
type Limiter struct {
	o           Options
	peers       Caller
	tokenNeeded chan struct{} // signals that a request is waiting for a token

	mu       sync.Mutex
	tokens   *quota.TokenCache
	refused  map[ident.Organisation]refusals
	answered chan struct{} // closed and replaced when an ask is answered or fails

	ledger     *quota.Ledger
	term       site.Term      // term of the ledger
	configured *site.Config   // configuration last applied to the ledger
	daemons    []ident.Daemon // sorted names of the daemons in daemonsOf
	daemonsOf  *site.Snapshot
	cleanedAt  mono.Time // when departed daemons were last removed from the ledger
}

// New returns a Limiter. It asks the coordinator for tokens once Run is called.
func New(o Options) *Limiter {
	return &Limiter{
		o: o, tokenNeeded: make(chan struct{}, 1), refused: map[ident.Organisation]refusals{}, answered: make(chan struct{}), tokens: quota.NewTokenCache(o.Policy, o.Incarnation, o.Clock.Now(), rand.Float64),
	}
}

// Run starts requesting tokens from the coordinator.
func (l *Limiter) Run(g *group.Group, peers Caller) {
	l.peers = peers
	g.Go(l.run)
}

// Refusal describes why a request got no token.
type Refusal struct {
	Limited    bool // whether the organisation's limit is the reason; false if the coordinator did not answer
	RetryAfter time.Duration
}

// Acquire takes a token for a request of the organisation and returns nil, or returns why no token is available. If none is
// cached, it waits for the coordinator's answer, but at most maxWait.
func (l *Limiter) Acquire(c context.Context, o *site.Organisation) *Refusal {
	until := l.o.Clock.Now().Add(maxWait)
	for waited := false; ; waited = true {
		d, answered := l.take(o, waited)
		switch x := d.(type) {
		case quota.Granted:
			return nil
		case quota.Refused:
			return &Refusal{Limited: x.Limited, RetryAfter: x.RetryAfter + rand.N(retryJitter)}
		}
		ok := l.await(c, answered, until.Sub(l.o.Clock.Now()))
		l.stopWaiting(o)
		if !ok {
			return &Refusal{RetryAfter: rand.N(retryJitter)}
		}
	}
}

func (l *Limiter) take(o *site.Organisation, waited bool) (quota.Decision, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Clock.Now()
	if l.tokens.CoordinatorUnresponsive(now) {
		l.tokens.SetCoordinatorUnresponsive(now, l.o.View.IsolatedFor() > isolatedAfter)
	}
	d := l.tokens.Take(now, o, len(l.o.View.Snapshot().Daemons), waited)
	switch x := d.(type) {
	case quota.Refused:
		l.countRefusal(o.Name, x.Limited)
	case quota.Pending:
		l.tokens.AddWaiting(o.Name, 1)
		select {
		case l.tokenNeeded <- struct{}{}:
		default:
		}
	}
	return d, l.answered
}

func (l *Limiter) stopWaiting(o *site.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.AddWaiting(o.Name, -1)
}

// await reports whether the channel answered was closed within d and before c was done.
func (l *Limiter) await(c context.Context, answered <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-answered:
		return true
	case <-t.C:
	case <-c.Done():
	}
	return false
}

// Return puts back the token of a request that is known not to have run.
func (l *Limiter) Return(n ident.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.Return(n)
}

// run asks the coordinator for tokens whenever requests are waiting. The coordinator also asks itself periodically, while the
// other daemons send their regular asks with the feed's Sync.
func (l *Limiter) run(c context.Context) error {
	t := time.NewTicker(elect.SyncWait(l.o.View.Snapshot(), l.o.Self))
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-l.tokenNeeded:
			l.askNow(c, true)
		case <-t.C:
			if l.o.View.Snapshot().Coordinator.Daemon == l.o.Self {
				l.askNow(c, false)
			}
		}
		clock.Sleep(c, minAskInterval)
	}
}

// askNow asks the coordinator for tokens and applies its answer.
func (l *Limiter) askNow(c context.Context, urgent bool) {
	a := l.ask(urgent)
	if a == nil {
		return
	}
	asked := l.o.Clock.Now()
	r, err := l.call(c, a)
	if err != nil && c.Err() == nil {
		l.o.Log.Debug().Err(err).Msg("failed to get tokens from the coordinator")
	}
	l.ApplyAnswer(asked, a, r)
}

func (l *Limiter) call(c context.Context, a *wire.QuotaAsk) (*wire.QuotaAnswer, error) {
	to := l.o.View.Snapshot().Coordinator.Daemon
	switch to {
	case "":
		return nil, trace.NotFound("no coordinator")
	case l.o.Self:
		return l.Grant(to, l.ApplyAsk(to, a)), nil
	}
	x, cancel := context.WithTimeout(c, askTimeout)
	defer cancel()
	r, err := l.peers.Call(x, to, &wire.Call{Body: &wire.Call_Quota{Quota: a}})
	if err != nil {
		return nil, err
	}
	return r.GetQuota(), nil
}

// Ask returns the regular ask for the coordinator, or nil if the configuration has no organisations.
func (l *Limiter) Ask() *wire.QuotaAsk {
	return l.ask(false)
}

func (l *Limiter) ask(urgent bool) *wire.QuotaAsk {
	s := l.o.View.Snapshot()
	if s.Config == nil || !s.Config.HasOrganisations() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The granted tokens have to last until the next ask is answered.
	now, horizon := l.o.Clock.Now(), 2*elect.SyncWait(s, l.o.Self)
	if urgent {
		return encodeAsk(l.tokens.UrgentAsk(now, horizon, s.Coordinator.Term))
	}
	return encodeAsk(l.tokens.Ask(now, horizon, s.Coordinator.Term))
}

// ApplyAnswer applies the coordinator's answer r to the ask a that was sent at asked. A nil r means that there was no answer.
func (l *Limiter) ApplyAnswer(asked mono.Time, a *wire.QuotaAsk, r *wire.QuotaAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Clock.Now()
	if r == nil {
		l.tokens.SetCoordinatorUnresponsive(now, l.o.View.IsolatedFor() > isolatedAfter)
	} else {
		l.tokens.ApplyAnswer(now, asked, decodeAnswer(r))
		l.tokens.DelayUnanswered(now, decodeAsk(a))
	}
	close(l.answered)
	l.answered = make(chan struct{})
}
