package place

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
)

const (
	simTick    = 100 * time.Millisecond
	simReport  = 500 * time.Millisecond // interval between the reports of a home
	simWindow  = 20                     // ticks covered by a report
	simHot     = 16                     // hot shards in a report
	simSeed    = 4
	simRelease = 200 * time.Millisecond // from the commit of a move to its release
)

// sim runs a site under a load of keys with Zipf 0.99 popularity, hashed over the shards.
type sim struct {
	*site
	rnd          *rand.Rand
	share        []float64   // of the load, by shard
	total        float64     // requests/s
	counts       [][]float64 // requests by tick of the window, by shard, counted by the current owner
	tick         int
	down         map[ident.Server]bool
	slow         map[ident.Server]bool
	unresponsive []ident.Daemon
	moves        []simMove
	served       map[ident.Server]float64 // requests served since the start
}

type simMove struct {
	at       mono.Time
	shard    ident.Shard
	from, to ident.Server
}

func newSim(s *site, keys int, total float64, seed uint64) *sim {
	m := &sim{
		site: s, rnd: rand.New(rand.NewPCG(seed, seed)), total: total,
		down: map[ident.Server]bool{}, slow: map[ident.Server]bool{}, served: map[ident.Server]float64{},
	}
	m.drawShares(keys)
	for range simWindow {
		m.counts = append(m.counts, make([]float64, s.in.Service.Shards))
	}
	return m
}

// drawShares assigns all keys to new random shards, so that other shards are the hottest.
func (m *sim) drawShares(keys int) {
	m.share = make([]float64, m.in.Service.Shards)
	sum := 0.0
	for k := range keys {
		w := math.Pow(float64(k+1), -0.99)
		m.share[m.rnd.IntN(len(m.share))] += w
		sum += w
	}
	for i := range m.share {
		m.share[i] /= sum
	}
}

func (m *sim) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(simTick) {
		m.heartbeat(m.unresponsive...)
		m.release()
		m.load()
		old := m.in.Part
		m.step()
		m.recordMoves(old)
		m.tick++
	}
}

// release withholds the releases of shards that moved less than simRelease ago.
func (m *sim) release() {
	for _, x := range m.moves {
		if m.now.Before(x.at.Add(simRelease)) {
			delete(m.in.Released, x.shard)
		}
	}
	m.moves = slices.Clip(m.moves)
}

// load draws this tick's requests and makes the homes' reports when they are due.
func (m *sim) load() {
	if m.in.Part == nil {
		return
	}
	c := m.counts[m.tick%simWindow]
	for i := range c {
		mean := m.total * m.share[i] * simTick.Seconds()
		c[i] = m.poisson(mean)
		o := m.in.Part.Owner(ident.Shard(i)).Server
		if m.down[o] {
			c[i] = 0
		} else if m.slow[o] {
			c[i] = math.Round(c[i] / 10)
		}
		m.served[o] += c[i]
	}
	if m.tick%int(simReport/simTick) == 0 {
		m.report()
	}
}

// poisson draws a count. It uses the normal distribution only for large means, where this adds no bias.
func (m *sim) poisson(mean float64) float64 {
	if mean > 30 {
		return math.Round(mean + math.Sqrt(mean)*m.rnd.NormFloat64())
	}
	n, p := 0.0, m.rnd.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= m.rnd.Float64()
	}
	return n
}

func (m *sim) report() {
	window := float64(min(m.tick+1, simWindow)) * simTick.Seconds()
	rates := make([]float64, len(m.share))
	for _, c := range m.counts {
		for i, n := range c {
			rates[i] += n / window
		}
	}
	for _, s := range m.in.Service.Servers {
		r := Report{Received: m.now, Down: m.down[s.ID], Slow: m.slow[s.ID], OpenSlots: s.Slots}
		for i, o := range m.in.Part.Shards {
			if o.Server == s.ID {
				r.PerSecond += rates[i]
				r.Hot = append(r.Hot, HotShard{Shard: ident.Shard(i), PerSecond: rates[i]})
			}
		}
		slices.SortFunc(r.Hot, func(a, b HotShard) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
		r.Hot = r.Hot[:min(len(r.Hot), simHot)]
		m.in.Reports[s.ID] = r
	}
}

func (m *sim) recordMoves(old *part.Part) {
	if old == nil || old == m.in.Part {
		return
	}
	for i, o := range m.in.Part.Shards {
		if was := old.Owner(ident.Shard(i)).Server; was != "" && was != o.Server {
			m.moves = append(m.moves, simMove{m.now, ident.Shard(i), was, o.Server})
			for _, c := range m.counts {
				c[i] = 0 // the new owner has counted no requests of the shard yet
			}
		}
	}
}

// result is one row of the printed table.
type result struct {
	expect
	keys      int
	what      string
	imbalance float64 // true load: max/mean over servers that may own shards
	bound     float64 // true load: max over the larger of the mean and the hottest shard
	moved     int     // moves of shards
	least     int     // shards that had to move at least
	again     int     // moves of a shard that had moved less than a minute before
	commits   int
}

// expect selects the targets that a case must meet.
type expect struct {
	settled          bool // there was time to balance
	membershipChange bool // a server failed or returned: few moves beyond the least
	noMoves          bool // nothing may move
}

// measure returns the result of the time since a mark.
func (m *sim) measure(what string, k mark, least int) result {
	load, hottest, mean, most := map[ident.Server]float64{}, 0.0, 0.0, 0.0
	for i, o := range m.in.Part.Shards {
		load[o.Server] += m.share[i]
		hottest = max(hottest, m.share[i])
	}
	n := 0
	for id, s := range m.in.Part.Servers {
		if s.State == part.Active && !m.slow[id] {
			n++
			most = max(most, load[id])
			mean += load[id]
		}
	}
	mean /= float64(n)
	r := result{what: what, imbalance: most / mean, bound: most / max(mean, hottest), least: least}
	r.moved, r.commits = len(m.moves)-k.moves, m.commits-k.commits
	for i, x := range m.moves[k.moves:] {
		for _, y := range m.moves[:k.moves+i] {
			if y.shard == x.shard && x.at.Before(y.at.Add(time.Minute)) {
				r.again++
				break
			}
		}
	}
	return r
}

type mark struct {
	moves, commits int
}

func (m *sim) mark() mark {
	return mark{len(m.moves), m.commits}
}

func printTable(l []result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "keys\tcase\tmax/mean\tmax/bound\tmoved\tleast\tagain\ttransactions\t")
	for _, r := range l {
		fmt.Fprintf(w, "%d\t%s\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t\n", r.keys, r.what, r.imbalance, r.bound, r.moved, r.least, r.again, r.commits)
	}
	_ = w.Flush()
}
