package quota

import (
	"fmt"
	"testing"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// BenchmarkLedger measures the cost of one Ask to a coordinator of 820 daemons, each with changes to 40 of 10,000 organisations.
func BenchmarkLedger(b *testing.B) {
	const daemons, organisations, changed = 820, 10_000, 40
	now := mono.Time(time.Hour)
	l := NewLedger(policy, 1)
	m := map[Subject]site.Limit{}
	names := make([]Subject, organisations)
	for i := range names {
		names[i] = Subject(fmt.Sprintf("organisation-%d", i))
		m[names[i]] = site.Limit{Rate: 50, Burst: 50}
	}
	l.Configure(now, m)
	known := make([]ident.Daemon, daemons)
	for i := range known {
		known[i] = ident.Daemon(fmt.Sprintf("d%d", i))
	}
	seq := uint64(0)
	for b.Loop() {
		seq++
		d := known[seq%daemons]
		a := Ask{Incarnation: 1, Term: 1, Full: true}
		for i := range uint64(changed) {
			a.Entries = append(a.Entries, Entry{
				Subject: names[(seq*changed+i)%organisations], Seq: seq, Spent: int64(seq), Want: 1, Rate: 0.3, Demand: 0.3,
			})
		}
		now = now.Add(time.Second / daemons)
		l.ApplyAsk(now, d, a)
		l.Grant(now, d, a, known)
	}
}

func BenchmarkTake(b *testing.B) {
	now := mono.Time(time.Hour)
	c := NewTokenCache(policy, 1, now, func() float64 { return 0 })
	n, limit := Subject("creche"), site.Limit{Rate: 50, Burst: 50}
	c.Take(now, n, limit, 1, false)
	c.ApplyAnswer(now, now, Answer{Term: 1})
	for b.Loop() {
		c.balances[n].tokens = 1
		c.Take(now, n, limit, 1, false)
	}
}
