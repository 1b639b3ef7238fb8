// Package limit enforces limits on the requests that all daemons send together: those of organisations, and those that backend
// servers name. The coordinator grants tokens to daemons, which ask for more as needed.
package limit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/quota"
	"heatherrouter/core/report"
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
	SetLeaving(k report.Target) // makes the snapshot show the server as draining
	NotifyChanged()             // wakes what waits for a change of the view
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

// maxWait is the longest time that a request waits for a token of its organisation.
const maxWait = 400 * time.Millisecond

// Limiter enforces the request limits of organisations. It is safe for concurrent use.
type Limiter struct {
	pool    *pool
	peers   Caller
	refused map[ident.Organisation]refusals // guarded by pool.mu
}

// New returns a Limiter. It asks the coordinator for tokens once Run is called.
func New(o Options) *Limiter {
	l := &Limiter{refused: map[ident.Organisation]refusals{}}
	l.pool = newPool(poolOptions{
		Self: o.Self, Incarnation: o.Incarnation, View: o.View, Policy: o.Policy, Clock: o.Clock, Log: o.Log,
		Source: organisations{}, Call: l.call,
	})
	return l
}

// Run starts requesting tokens from the coordinator.
func (l *Limiter) Run(g *group.Group, peers Caller) {
	l.peers = peers
	g.Go(l.pool.run)
}

func (l *Limiter) call(c context.Context, to ident.Daemon, a *wire.QuotaAsk) (_ *wire.QuotaAnswer, sentAt mono.Time, _ error) {
	asked := l.pool.o.Clock.Now()
	r, err := l.peers.Call(c, to, &wire.Call{Body: &wire.Call_Quota{Quota: a}})
	return r.GetQuota(), l.pool.o.Clock.SentAt(duration(r.GetSentUs()), asked), err
}

// organisations is the source of the limits of organisations.
type organisations struct{}

func (organisations) enabled(s *site.Snapshot) bool {
	return s.Config != nil && s.Config.HasOrganisations()
}

func (organisations) limits(s *site.Snapshot) (func() map[quota.Subject]site.Limit, uint64) {
	return func() map[quota.Subject]site.Limit {
		l := map[quota.Subject]site.Limit{}
		for n, o := range s.Config.Organisations() {
			l[quota.Subject(n)] = o.Limit
		}
		return l
	}, uint64(s.Config.Version)
}

// Refusal describes why a request got no token.
type Refusal struct {
	Limited    bool // whether the organisation's limit is the reason; false if the coordinator did not answer
	RetryAfter time.Duration
}

// Acquire takes a token for a request of the organisation and returns nil, or returns why no token is available. If none is
// cached, it waits for the coordinator's answer, but at most maxWait.
func (l *Limiter) Acquire(c context.Context, o *site.Organisation) *Refusal {
	d := l.pool.acquire(c, quota.Subject(o.Name), func() site.Limit { return o.Limit }, l.pool.o.Clock.Now().Add(maxWait))
	switch x := d.(type) {
	case quota.Granted:
		return nil
	case quota.Refused:
		l.countRefusal(o.Name, x.Limited)
		return &Refusal{Limited: x.Limited, RetryAfter: x.RetryAfter + rand.N(retryJitter)}
	}
	return &Refusal{RetryAfter: rand.N(retryJitter)}
}

// Return puts back the token of a request that is known not to have run.
func (l *Limiter) Return(n ident.Organisation) { l.pool.giveBack(quota.Subject(n)) }

// Ask returns the regular ask for the coordinator, or nil if the configuration has no organisations.
func (l *Limiter) Ask() *wire.QuotaAsk { return l.pool.ask(false) }

// ApplyAnswer applies the coordinator's answer r, which was sent at sentAt, to the ask a of the time asked. A nil r means that there was no
// answer.
func (l *Limiter) ApplyAnswer(asked, sentAt mono.Time, a *wire.QuotaAsk, r *wire.QuotaAnswer) {
	l.pool.applyAnswer(asked, sentAt, a, r)
}

// ApplyAsk applies a daemon's ask to the ledger if this daemon is the coordinator, and returns the ask for Grant.
func (l *Limiter) ApplyAsk(from ident.Daemon, w *wire.QuotaAsk) quota.Ask {
	return l.pool.applyAsk(from, w)
}

// Grant answers an ask returned by ApplyAsk. It returns nil if this daemon isn't the coordinator of the ask's term.
func (l *Limiter) Grant(from ident.Daemon, a quota.Ask) *wire.QuotaAnswer {
	return l.pool.grant(from, a)
}
