package policy

import (
	"fmt"
	"math"
	"strings"
	"time"

	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/load"
	"heatherrouter/io/stand"
)

const (
	settled = time.Minute // of skewed load before the imbalance is measured
	window  = 30 * time.Second

	slowFactor = 10
	slowPart   = 5               // one in so many servers is slowed
	onset      = 2 * time.Second // of a slowdown, shown by itself
)

// imbalance puts a skewed load on the keyed service and an even one on an unkeyed service.
func (b *bench) imbalance() error {
	start := time.Now()
	settle := settled
	if b.random {
		settle = 0 // nothing changes with time
	}
	b.settled = false
	u := b.unkeyed[0]
	var mark time.Time
	t := time.AfterFunc(settle, func() { mark = time.Now() })
	defer t.Stop()
	r := runAll([]load.Plan{b.skewed(settle + window), b.reads(u, settle+window)})
	moves, _ := movesOf(worked(b.keyed, start))
	shardsMoved := shardMoves(worked(b.keyed, start))
	top := math.Pow(1, -zipfExponent) / newZipf(zipfKeys, zipfExponent).sums[zipfKeys-1] * float64(len(b.keyed.Servers))
	b.put("Zipf 0.99, keyed", "max/mean after 1 min", "< 1.15", fmt.Sprintf("%.2f", maxByMean(b.keyed, mark, time.Now())))
	b.put("Zipf 0.99, keyed", "the same by 15 s", "", series(b.keyed, start, settle+window))
	b.put("Zipf 0.99, keyed", "least possible (top key)", "", fmt.Sprintf("%.2f", max(1, top)))
	b.put("Zipf 0.99, keyed", "shards moved a minute", "", fmt.Sprintf("%.1f of %d", float64(shardsMoved)/time.Since(start).Minutes(), shards))
	b.put("Zipf 0.99, keyed", "moves of keys seen", "", fmt.Sprint(len(moves)))
	f, n := failed(r[0])
	b.put("Zipf 0.99, keyed", "not answered", "", percent(f, n))
	b.put("Zipf 0.99, keyed", "p99", "", fmt.Sprint(r[0].Quantile(99)))
	b.put("even load, unkeyed", "max/mean", "< 1.15", fmt.Sprintf("%.2f", maxByMean(u, mark, time.Now())))
	b.put("even load, unkeyed", "p99", "", fmt.Sprint(r[1].Quantile(99)))
	return nil
}

// series is the imbalance of each quarter of a minute.
func series(s stand.Service, from time.Time, length time.Duration) string {
	const step = 15 * time.Second
	var l []string
	for t := time.Duration(0); t < length; t += step {
		l = append(l, fmt.Sprintf("%.2f", maxByMean(s, from.Add(t), from.Add(t+step))))
	}
	return strings.Join(l, " ")
}

// shardMoves counts the changes of server of each shard; without the router no shard is told.
func shardMoves(l []fakes.Work) int {
	for i := range l {
		l[i].Key = fmt.Sprint(l[i].Shard)
		if l[i].Epoch == 0 {
			l[i].Key = ""
		}
	}
	m, _ := movesOf(l)
	return len(m)
}

// slowed compares the unkeyed services as they are with a fifth of their servers slowed.
func (b *bench) slowed() error {
	plans := func(d time.Duration) []load.Plan {
		var l []load.Plan
		for _, s := range b.unkeyed {
			l = append(l, b.reads(s, d))
		}
		return l
	}
	without := runAll(plans(b.Length))
	for _, s := range b.unkeyed {
		for i := range len(s.Servers) / slowPart {
			s.Servers[i].Update(func(f *server.Faults) { f.Straggle = slowFactor })
		}
	}
	first := runAll(plans(onset))
	at := time.Now()
	with := runAll(plans(b.Length))
	for i, s := range b.unkeyed {
		name := fmt.Sprintf("%d of %d slowed 10x, %s", len(s.Servers)/slowPart, len(s.Servers), s.Name)
		for _, v := range s.Servers {
			v.Update(func(f *server.Faults) { f.Straggle = 1 })
		}
		p, q := without[i].Quantile(99), with[i].Quantile(99)
		b.put(name, "p99 with / without", "< 1.5", fmt.Sprintf("%.2f", float64(q)/float64(p)))
		b.put(name, "p99 without, onset, with", "", fmt.Sprintf("%v, %v, %v",
			ms(p), ms(first[i].Quantile(99)), ms(q)))
		f, n := failed(with[i])
		b.put(name, "goodput/s", "", fmt.Sprintf("%.0f of %.0f", float64(n-f)/with[i].Elapsed.Seconds(), float64(perServer*len(s.Servers))))
		b.put(name, "not answered", "", percent(f, n))
		sends := 0
		for _, w := range worked(s, at) {
			if w.Start < at.Add(with[i].Elapsed).UnixNano() {
				sends++
			}
		}
		b.put(name, "sends a request", "", fmt.Sprintf("%.3f", float64(sends)/float64(max(n, 1))))
	}
	time.Sleep(onset) // the slow ones end what they have
	return nil
}

// cold restarts one server of an unkeyed service under load: it is cold then.
func (b *bench) cold() error {
	s := b.unkeyed[0]
	v := s.Servers[0]
	var up time.Time
	t := time.AfterFunc(restartAfter, func() {
		v.Restart(time.Second, false)
		up = time.Now()
	})
	defer t.Stop()
	r := runAll([]load.Plan{b.reads(s, b.Length)})
	l := workedBy(v, up)
	most, overloaded := concurrency(l)
	f, n := failed(r...)
	b.put("cold restart of 1 server", "failed in its log", "0", fmt.Sprintf("%d of %d", overloaded, len(l)))
	b.put("cold restart of 1 server", "most at once (3 slots)", "<= 3", fmt.Sprint(most))
	b.put("cold restart of 1 server", "not answered", "", percent(f, n))
	b.put("cold restart of 1 server", "p99", "", fmt.Sprint(ms(r[0].Quantile(99))))
	b.put("cold restart of 1 server", "its share at the end", "", fmt.Sprintf("%.2f", b.lateShare(v, time.Now().Add(-3*time.Second))))
	return nil
}

// lateShare is a server's work since a time, as a part of the mean.
func (b *bench) lateShare(v *server.Server, since time.Time) float64 {
	all := len(worked(b.unkeyed[0], since))
	return float64(len(workedBy(v, since))*len(b.unkeyed[0].Servers)) / float64(max(all, 1))
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
