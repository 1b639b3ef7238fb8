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

// daemonList caches the sorted names of the daemons of a snapshot.
type daemonList struct {
	names []ident.Daemon
	from  *site.Snapshot
}

// of returns the site's daemons in sorted order.
func (l *daemonList) of(s *site.Snapshot) []ident.Daemon {
	if l.from != s {
		l.names, l.from = slices.Sorted(maps.Keys(s.Daemons)), s
	}
	return l.names
}

func encodeAsk(a quota.Ask) *wire.QuotaAsk {
	w := &wire.QuotaAsk{Life: uint64(a.Incarnation), Term: uint64(a.Term), Full: a.Full, Entries: make([]*wire.QuotaEntry, 0, len(a.Entries))}
	for _, e := range a.Entries {
		w.Entries = append(w.Entries, &wire.QuotaEntry{
			Organisation: string(e.Subject), Seq: e.Seq, Spent: e.Spent, Held: e.Held, Waiting: e.Waiting, Want: e.Want,
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
			Subject: quota.Subject(e.GetOrganisation()), Seq: e.GetSeq(), Spent: e.GetSpent(), Held: e.GetHeld(),
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
			Organisation: string(g.Subject), Seq: g.Seq, Tokens: g.Tokens,
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
			Subject: quota.Subject(g.GetOrganisation()), Seq: g.GetSeq(), Tokens: g.GetTokens(),
			FallbackRate: float64(g.GetOwn()), FallbackBurst: float64(g.GetBurst()),
			Wait:       time.Duration(g.GetWaitUs()) * time.Microsecond,       //nolint:gosec // a few seconds at most
			RetryAfter: time.Duration(g.GetRetryAfterUs()) * time.Microsecond, //nolint:gosec // a few seconds at most
		})
	}
	return a
}
