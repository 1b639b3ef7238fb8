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
	"heatherrouter/io/wire"
)

// poolOptions configures a pool.
type poolOptions struct {
	Self        ident.Daemon
	Incarnation ident.Incarnation
	View        View
	Policy      quota.Policy
	Clock       *clock.Clock
	Log         *log.Logger

	// Source provides the limits in force. It is called with the pool's lock held.
	Source source

	// Call asks the coordinator for tokens, and returns its answer and when that was sent. It is not used while this daemon is the coordinator.
	Call func(c context.Context, to ident.Daemon, a *wire.QuotaAsk) (_ *wire.QuotaAnswer, sentAt mono.Time, _ error)
}

// source provides the limits of one kind of subjects.
type source interface {
	// enabled reports whether there can be limits at all.
	enabled(s *site.Snapshot) bool

	// limits returns the limits in force, and a version that changes with them.
	limits(s *site.Snapshot) (l func() map[quota.Subject]site.Limit, version uint64)
}

const (
	// askTimeout bounds a call that asks the coordinator for tokens.
	askTimeout = 250 * time.Millisecond

	// minAskInterval is the minimum time between two calls that ask the coordinator for tokens.
	minAskInterval = 10 * time.Millisecond

	// isolatedAfter is the time without contact to the site after which the daemon is considered isolated.
	isolatedAfter = 2 * time.Second

	// retryJitter is the maximum random delay added to retry times, so that callers don't retry simultaneously.
	retryJitter = 200 * time.Millisecond

	// cleanupInterval is the minimum time between two removals of departed daemons from the ledger.
	cleanupInterval = time.Second
)

// pool manages one daemon's tokens for the subjects of one kind and, while the daemon is the coordinator, the site's ledger of
// them. It is safe for concurrent use.
type pool struct {
	o      poolOptions
	needed chan struct{} // signals that the coordinator must be asked now

	mu       sync.Mutex
	tokens   *quota.TokenCache
	answered chan struct{} // closed and replaced when an ask is answered or fails

	ledger     *quota.Ledger
	term       site.Term // term of the ledger
	configured uint64    // version of the limits last applied to the ledger
	daemons    daemonList
	cleanedAt  mono.Time // when departed daemons were last removed from the ledger
}

func newPool(o poolOptions) *pool {
	return &pool{
		o: o, needed: make(chan struct{}, 1), answered: make(chan struct{}),
		tokens: quota.NewTokenCache(o.Policy, o.Incarnation, o.Clock.Now(), rand.Float64),
	}
}

// acquire takes a token for a request of the subject, or returns why none is available. If the coordinator must be asked, it waits
// for the answer, but not beyond the time given. The limit is read before each attempt; the request needs no token once there is none.
func (p *pool) acquire(c context.Context, n quota.Subject, limit func() site.Limit, until mono.Time) quota.Decision {
	for waited := false; ; waited = true {
		p.mu.Lock()
		l := limit()
		if !l.Limited() {
			p.mu.Unlock()
			return quota.Granted{}
		}
		d, answered := p.take(n, l, waited)
		p.mu.Unlock()
		if _, ok := d.(quota.Pending); !ok {
			return d
		}
		ok := await(c, answered, until.Sub(p.o.Clock.Now()))
		p.mu.Lock()
		p.tokens.AddWaiting(n, -1)
		p.mu.Unlock()
		if !ok {
			return d
		}
	}
}

// take takes a token. The caller must hold p.mu.
func (p *pool) take(n quota.Subject, l site.Limit, waited bool) (quota.Decision, <-chan struct{}) {
	now := p.o.Clock.Now()
	if p.tokens.CoordinatorUnresponsive(now) {
		p.tokens.SetCoordinatorUnresponsive(now, p.o.View.IsolatedFor() > isolatedAfter)
	}
	d := p.tokens.Take(now, n, l, len(p.o.View.Snapshot().Daemons), waited)
	if _, ok := d.(quota.Pending); ok {
		p.tokens.AddWaiting(n, 1)
		p.askSoon()
	}
	return d, p.answered
}

// askSoon makes run ask the coordinator without waiting for the next regular exchange.
func (p *pool) askSoon() {
	select {
	case p.needed <- struct{}{}:
	default:
	}
}

// await reports whether the channel answered was closed within d and before c was done.
func await(c context.Context, answered <-chan struct{}, d time.Duration) bool {
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

// giveBack puts back the token of a request that is known not to have run.
func (p *pool) giveBack(n quota.Subject) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens.Return(n)
}

// run asks the coordinator for tokens whenever requests are waiting. The coordinator also asks itself periodically, while the
// other daemons send their regular asks with the feed's Sync.
func (p *pool) run(c context.Context) error {
	t := time.NewTicker(elect.SyncWait(p.o.View.Snapshot(), p.o.Self))
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-p.needed:
			p.askNow(c, true)
		case <-t.C:
			if p.o.View.Snapshot().Coordinator.Daemon == p.o.Self {
				p.askNow(c, false)
			}
		}
		clock.Sleep(c, minAskInterval)
	}
}

// askNow asks the coordinator for tokens and applies its answer.
func (p *pool) askNow(c context.Context, urgent bool) {
	a := p.ask(urgent)
	if a == nil {
		return
	}
	asked := p.o.Clock.Now()
	r, sentAt, err := p.call(c, a)
	if err != nil && c.Err() == nil {
		p.o.Log.Debug().Err(err).Msg("failed to get tokens from the coordinator")
	}
	p.applyAnswer(asked, sentAt, a, r)
}

func (p *pool) call(c context.Context, a *wire.QuotaAsk) (_ *wire.QuotaAnswer, sentAt mono.Time, _ error) {
	to := p.o.View.Snapshot().Coordinator.Daemon
	switch to {
	case "":
		return nil, 0, trace.NotFound("no coordinator")
	case p.o.Self:
		return p.grant(to, p.applyAsk(to, a)), p.o.Clock.Now(), nil
	}
	x, cancel := context.WithTimeout(c, askTimeout)
	defer cancel()
	return p.o.Call(x, to, a)
}

// ask returns an ask for the coordinator, or nil if there can't be any limits.
func (p *pool) ask(urgent bool) *wire.QuotaAsk {
	s := p.o.View.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.o.Source.enabled(s) {
		return nil
	}
	// The granted tokens have to last until the next ask is answered.
	now, horizon := p.o.Clock.Now(), 2*elect.SyncWait(s, p.o.Self)
	if urgent {
		return encodeAsk(p.tokens.UrgentAsk(now, horizon, s.Coordinator.Term))
	}
	return encodeAsk(p.tokens.Ask(now, horizon, s.Coordinator.Term))
}

// applyAnswer applies the coordinator's answer r, which was sent at sentAt, to the ask a of the time asked. A nil r means that there was no
// answer.
func (p *pool) applyAnswer(asked, sentAt mono.Time, a *wire.QuotaAsk, r *wire.QuotaAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock.Now()
	if r == nil {
		p.tokens.SetCoordinatorUnresponsive(now, p.o.View.IsolatedFor() > isolatedAfter)
	} else {
		p.tokens.ApplyAnswer(sentAt, asked, decodeAnswer(r))
		p.tokens.DelayUnanswered(now, decodeAsk(a))
	}
	close(p.answered)
	p.answered = make(chan struct{})
}

// applyAsk applies a daemon's ask to the ledger if this daemon is the coordinator, and returns the ask for grant.
func (p *pool) applyAsk(from ident.Daemon, w *wire.QuotaAsk) quota.Ask {
	a := decodeAsk(w)
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.currentLedger(); x != nil {
		x.ApplyAsk(p.o.Clock.Now(), from, a)
	}
	return a
}

// grant answers an ask returned by applyAsk. It returns nil if this daemon isn't the coordinator of the ask's term.
func (p *pool) grant(from ident.Daemon, a quota.Ask) *wire.QuotaAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.currentLedger()
	if x == nil || p.term != a.Term {
		return nil
	}
	return encodeAnswer(x.Grant(p.o.Clock.Now(), from, a, p.daemons.of(p.o.View.Snapshot())))
}

// currentLedger returns the ledger of the current term, or nil if this daemon may not grant tokens now. HoldsTerm ensures that
// two coordinators never grant tokens at the same time. The caller must hold p.mu.
func (p *pool) currentLedger() *quota.Ledger {
	s := p.o.View.Snapshot()
	t := s.Coordinator.Term
	if s.Coordinator.Daemon != p.o.Self || s.Config == nil || !p.o.View.HoldsTerm(t) {
		return nil
	}
	now := p.o.Clock.Now()
	limits, version := p.o.Source.limits(s)
	newTerm := p.ledger == nil || p.term != t
	if newTerm {
		p.ledger, p.term = quota.NewLedger(p.o.Policy, t), t
	}
	if newTerm || p.configured != version {
		p.ledger.Configure(now, limits())
		p.configured = version
	}
	if now.Sub(p.cleanedAt) >= cleanupInterval {
		p.cleanedAt = now
		p.ledger.RemoveDeparted(now, func(d ident.Daemon) bool { return s.Daemons[d] != nil })
	}
	return p.ledger
}
