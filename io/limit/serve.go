package limit

import (
	"maps"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/quota"
	"heatherrouter/core/site"
	"heatherrouter/io/wire"
)

// ApplyAsk applies a daemon's ask to the ledger if this daemon is the coordinator, and returns the ask for Grant.
func (l *Limiter) ApplyAsk(from ident.Daemon, w *wire.QuotaAsk) quota.Ask {
	a := decodeAsk(w)
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.currentLedger(); x != nil {
		x.ApplyAsk(l.o.Clock.Now(), from, a)
	}
	return a
}

// Grant answers an ask returned by ApplyAsk. It returns nil if this daemon isn't the coordinator of the ask's term.
func (l *Limiter) Grant(from ident.Daemon, a quota.Ask) *wire.QuotaAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.currentLedger()
	if x == nil || l.term != a.Term {
		return nil
	}
	return encodeAnswer(x.Grant(l.o.Clock.Now(), from, a, l.daemonNames()))
}

// currentLedger returns the ledger of the current term, or nil if this daemon may not grant tokens now. HoldsTerm ensures that
// two coordinators never grant tokens at the same time. The caller must hold l.mu.
func (l *Limiter) currentLedger() *quota.Ledger {
	s := l.o.View.Snapshot()
	t := s.Coordinator.Term
	if s.Coordinator.Daemon != l.o.Self || s.Config == nil || !l.o.View.HoldsTerm(t) {
		return nil
	}
	now := l.o.Clock.Now()
	if l.ledger == nil || l.term != t {
		l.ledger, l.term, l.configured = quota.NewLedger(l.o.Policy, t), t, nil
	}
	if l.configured != s.Config {
		l.ledger.Configure(now, s.Config.Organisations())
		l.configured = s.Config
	}
	if now.Sub(l.cleanedAt) >= cleanupInterval {
		l.cleanedAt = now
		l.ledger.RemoveDeparted(now, func(d ident.Daemon) bool { return s.Daemons[d] != nil })
	}
	return l.ledger
}

// daemonNames returns the site's daemons in sorted order. The caller must hold l.mu.
func (l *Limiter) daemonNames() []ident.Daemon {
	if s := l.o.View.Snapshot(); l.daemonsOf != s {
		l.daemons, l.daemonsOf = slices.Sorted(maps.Keys(s.Daemons)), s
	}
	return l.daemons
}

func encodeAsk(a quota.Ask) *wire.QuotaAsk {
	w := &wire.QuotaAsk{Life: uint64(a.Incarnation), Term: uint64(a.Term), Full: a.Full, Entries: make([]*wire.QuotaEntry, 0, len(a.Entries))}
	for _, e := range a.Entries {
		w.Entries = append(w.Entries, &wire.QuotaEntry{
			Organisation: string(e.Organisation), Seq: e.Seq, Spent: e.Spent, Held: e.Held, Waiting: e.Waiting, Want: e.Want,
			Rate: float32(e.Rate), Own: float32(e.FallbackRate), Left: float32(e.UnusedBurst), Recent: encodeRecent(e.Recent),
			Demand: float32(e.Demand),
		})
	}
	return w
}

func decodeAsk(w *wire.QuotaAsk) quota.Ask {
	a := quota.Ask{
		Incarnation: ident.Incarnation(w.GetLife()), Term: site.Term(w.GetTerm()), Full: w.GetFull(),
		Entries: make([]quota.Entry, 0, len(w.GetEntries())),
	}
	for _, e := range w.GetEntries() {
		a.Entries = append(a.Entries, quota.Entry{
			Organisation: ident.Organisation(e.GetOrganisation()), Seq: e.GetSeq(), Spent: e.GetSpent(), Held: e.GetHeld(),
			Waiting: e.GetWaiting(), Want: e.GetWant(), Rate: float64(e.GetRate()), FallbackRate: float64(e.GetOwn()),
			UnusedBurst: float64(e.GetLeft()), Recent: decodeRecent(e.GetRecent()), Demand: float64(e.GetDemand()),
		})
	}
	return a
}

// encodeRecent returns nil if all counts are zero.
func encodeRecent(r quota.Recent) []float32 {
	if r == (quota.Recent{}) {
		return nil
	}
	l := make([]float32, len(r))
	for i, n := range r {
		l[i] = float32(n)
	}
	return l
}

func decodeRecent(l []float32) quota.Recent {
	var r quota.Recent
	for i, n := range l[:min(len(l), len(r))] {
		r[i] = float64(n)
	}
	return r
}

func encodeAnswer(a quota.Answer) *wire.QuotaAnswer {
	w := &wire.QuotaAnswer{Term: uint64(a.Term), Grants: make([]*wire.QuotaGrant, 0, len(a.Grants))}
	for _, g := range a.Grants {
		w.Grants = append(w.Grants, &wire.QuotaGrant{
			Organisation: string(g.Organisation), Seq: g.Seq, Tokens: g.Tokens,
			Own: float32(g.FallbackRate), Burst: float32(g.FallbackBurst),
			WaitUs:       uint64(g.Wait / time.Microsecond),       //nolint:gosec // not negative
			RetryAfterUs: uint64(g.RetryAfter / time.Microsecond), //nolint:gosec // not negative
		})
	}
	return w
}

func decodeAnswer(w *wire.QuotaAnswer) quota.Answer {
	a := quota.Answer{Term: site.Term(w.GetTerm()), Grants: make([]quota.Grant, 0, len(w.GetGrants()))}
	for _, g := range w.GetGrants() {
		a.Grants = append(a.Grants, quota.Grant{
			Organisation: ident.Organisation(g.GetOrganisation()), Seq: g.GetSeq(), Tokens: g.GetTokens(),
			FallbackRate: float64(g.GetOwn()), FallbackBurst: float64(g.GetBurst()),
			Wait:       time.Duration(g.GetWaitUs()) * time.Microsecond,       //nolint:gosec // a few seconds at most
			RetryAfter: time.Duration(g.GetRetryAfterUs()) * time.Microsecond, //nolint:gosec // a few seconds at most
		})
	}
	return a
}
