package place

import (
	"math"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
)

// Memory is the state that the planner keeps between plans: rates, hysteresis and budgets.
//
// Losing it costs time and some churn, never safety, so a new coordinator starts with an empty one. It
// derives moves from the committed parts, not from its own proposals: a proposal may have failed, and
// another coordinator's may have been committed.
type Memory struct {
	started     bool
	firstAt     mono.Time // when the first assignment may be made
	startedAt   mono.Time // first plan; last contact of daemons that are unknown
	last        *part.Part
	servers     map[ident.Server]*serverMemory
	shards      []shardMemory
	owned       map[ident.Server][]ident.Shard // shards by owner in the last part
	churn       bucket
	balanceAt   mono.Time // when the next round of balancing may start
	balancing   bool      // a round has started and has not reached its goal
	lastRound   ident.Rev // the round ends once the part is past this revision; 0 while it goes on
	spreadAt    mono.Time // when the next home may move for a better distribution
	settleAt    mono.Time // when released shards are settled without the others
	hasReleased bool
}

type shardMemory struct {
	rate      float64   // requests/s
	heldUntil mono.Time // not moved for balance before this
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{servers: map[ident.Server]*serverMemory{}}
}

func (m *Memory) observe(now mono.Time, in *Input) {
	if !m.started {
		m.started = true
		m.startedAt = now
		m.firstAt = now.Add(firstWait)
		m.spreadAt = now.Add(homeWait)
		m.churn.fill(now, in.Service.Shards)
	}
	m.churn.refill(now, in.Service.Shards)
	if m.lastRound != 0 && in.Part.Rev > m.lastRound {
		m.balancing, m.lastRound = false, 0
	}
	m.observeServers(now, in)
	m.observeMoves(now, in.Part)
	m.observeRates(now, in)
	m.observeReleases(now, in)
	m.last = in.Part
}

func (m *Memory) observeServers(now mono.Time, in *Input) {
	for i := range in.Service.Servers {
		id := in.Service.Servers[i].ID
		s := m.servers[id]
		if s == nil {
			s = newServerMemory()
			// A server that joins a running service starts cold; all servers of the first part seen count as warm.
			if m.last != nil && len(m.last.Servers) > 0 {
				s.startRamp(now)
			}
			if row, ok := in.Part.Servers[id]; ok {
				s.down = row.State == part.Down
			}
			m.servers[id] = s
		}
		s.observeRow(now, in.Part.Servers[id])
		_, held := in.Holders[id]
		s.observeHolder(now, in.Part.Servers[id], held)
		if r, ok := in.Reports[id]; ok && now.Before(r.Received.Add(reportWait)) {
			s.observeReport(now, r)
		}
	}
}

// observeMoves records the moves since the last observed part.
func (m *Memory) observeMoves(now mono.Time, p *part.Part) {
	if n := len(p.Shards) - len(m.shards); n > 0 {
		m.shards = append(m.shards, make([]shardMemory, n)...)
	}
	if m.last == nil || m.last.Rev == p.Rev {
		return
	}
	m.observeHomes(now, p)
	for i := range p.Shards {
		old, o := m.last.Owner(ident.Shard(i)), p.Shards[i]
		if old.Server == "" || old.Server == o.Server {
			continue
		}
		m.shards[i].heldUntil = now.Add(holdWait)
		from, to := m.servers[old.Server], m.servers[o.Server]
		m.ignoreReports(now, from, to)
		if from != nil && to != nil && from.mayOwnShards() && !to.ramps(now) {
			m.churn.spend()
		}
		m.balanceAt = now.Add(balanceWait)
	}
}

func (m *Memory) observeHomes(now mono.Time, p *part.Part) {
	for id, s := range p.Servers {
		if old, ok := m.last.Servers[id]; !ok || old.Home != s.Home {
			m.spreadAt = now.Add(homeWait)
			m.ignoreNewHome(now, m.servers[id])
		}
	}
}

// ignoreReports excludes reports that cover moved shards or a time when the server was slow or down.
// They would attribute the moved shards' load to the old owner's remaining shards, or make a straggler's
// shards look idle, and the next round would move the wrong shards.
func (m *Memory) ignoreReports(now mono.Time, l ...*serverMemory) {
	for _, s := range l {
		if s != nil {
			s.ignoreUntil = max(s.ignoreUntil, now.Add(movedWait))
		}
	}
}

// ignoreNewHome excludes a new home's reports until it has measured for newHomeWait. Its rate starts at zero,
// so the server would look idle and shards would move to it after every change of homes.
func (m *Memory) ignoreNewHome(now mono.Time, s *serverMemory) {
	if s != nil {
		s.ignoreUntil = now.Add(newHomeWait)
	}
}

// observeRates distributes the rate that each home reports over the shards of its server: the busiest get
// their own rates, the others equal shares of the rest.
func (m *Memory) observeRates(now mono.Time, in *Input) {
	if m.last != in.Part {
		m.owned = map[ident.Server][]ident.Shard{}
		for i, o := range in.Part.Shards {
			m.owned[o.Server] = append(m.owned[o.Server], ident.Shard(i))
		}
	}
	for id, r := range in.Reports {
		s := m.servers[id]
		if s == nil || r.Received <= s.ratedAt {
			continue
		}
		if r.Down || r.Slow {
			m.ignoreReports(now, s)
		}
		if now.Before(s.ignoreUntil) || !s.mayOwnShards() {
			continue
		}
		weight := 1 - math.Exp(-float64(s.sinceRated(r.Received))/float64(rateWindow))
		s.ratedAt = r.Received
		m.spreadRate(m.owned[id], r, weight)
	}
}

func (m *Memory) spreadRate(owned []ident.Shard, r Report, weight float64) {
	hot := map[ident.Shard]float64{}
	rest, least := r.PerSecond+float64(r.Queued), math.Inf(1)
	for _, h := range r.Hot {
		hot[h.Shard] = h.PerSecond
		least = min(least, h.PerSecond)
	}
	others := 0
	for _, s := range owned {
		if _, ok := hot[s]; !ok {
			others++
		}
		rest -= hot[s]
	}
	even := min(max(rest, 0)/float64(max(others, 1)), least)
	for _, s := range owned {
		x, ok := hot[s]
		if !ok {
			x = even
		}
		m.shards[s].rate += weight * (x - m.shards[s].rate)
	}
}

// endRound ends a round of balancing that has reached its goal: once its last moves are committed, or at once
// if there are none. A round that ended before the commit would not propose its moves again if the
// transaction failed.
func (m *Memory) endRound(now mono.Time, p *part.Part, moved bool) {
	if moved {
		m.lastRound = p.Rev
		return
	}
	m.balanceAt = now.Add(balanceCheckWait)
	m.balancing, m.lastRound = false, 0
}

func (m *Memory) observeReleases(now mono.Time, in *Input) {
	has := false
	for s, e := range in.Released {
		o := in.Part.Owner(s)
		has = has || (o.Previous != "" && o.Epoch == e)
	}
	if has && !m.hasReleased {
		m.settleAt = now.Add(settleWait)
	}
	m.hasReleased = has
}

// bucket is a token bucket that limits the shards moved for balance alone.
type bucket struct {
	tokens float64
	at     mono.Time
}

func (b *bucket) limit(shards int) float64 {
	return max(churnShare*float64(shards), 1)
}

func (b *bucket) fill(now mono.Time, shards int) {
	b.tokens, b.at = b.limit(shards), now
}

func (b *bucket) refill(now mono.Time, shards int) {
	n := b.limit(shards)
	b.tokens = min(n, b.tokens+n*float64(now.Sub(b.at))/float64(time.Minute))
	b.at = now
}

func (b *bucket) spend() {
	b.tokens--
}
