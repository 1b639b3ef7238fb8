package place

import (
	"maps"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
)

// serverMemory is the planner's state of one backend server. Its times are deadlines; mono.Never means
// not set.
type serverMemory struct {
	down       bool      // reported for downWait, or assumed
	slow       bool      // reported for slowWait
	downFlipAt mono.Time // when down changes unless reports contradict
	slowFlipAt mono.Time // when slow changes unless reports contradict

	state            part.State // state of the row, as last seen
	known            bool       // the row has been seen
	removeAt         mono.Time  // when the row of a draining server may be removed
	rampFrom         mono.Time  // when shards start to move back
	ramped           bool       // the ramp has been started at least once
	failures         int
	failuresExpireAt mono.Time // when failures counts from 0 again

	epoch       ident.Epoch // epoch of the row, as last seen
	unheldAt    mono.Time   // when the lease counts as without holder
	unheldCount int         // consecutive new epochs under which the lease got no holder

	ratedAt     mono.Time // time of the last report that counted for rates
	ignoreUntil mono.Time // reports received before this are ignored for rates
}

func newServerMemory() *serverMemory {
	return &serverMemory{downFlipAt: mono.Never, slowFlipAt: mono.Never, removeAt: mono.Never}
}

// mayOwnShards reports whether the server may own shards.
func (s *serverMemory) mayOwnShards() bool {
	return !s.down && !s.slow && s.state == part.Active
}

func (s *serverMemory) observeRow(now mono.Time, row part.Server) {
	if row.ID == "" {
		return
	}
	if s.known && s.state != part.Active && row.State == part.Active {
		s.startRamp(now)
	}
	if row.State == part.Draining && (!s.known || s.state != part.Draining) {
		s.removeAt = now.Add(removeWait)
	}
	s.state, s.known = row.State, true
}

// observeHolder records whether the lease has a holder.
func (s *serverMemory) observeHolder(now mono.Time, row part.Server, held bool) {
	switch {
	case held:
		s.epoch, s.unheldAt, s.unheldCount = row.Epoch, now.Add(unheldWait), 0
	case row.Epoch != s.epoch:
		// A home that can't get its lease under the new epoch either has another fault. Further epochs would not
		// repair it and would use up the table's writes, so the wait doubles.
		s.epoch, s.unheldAt = row.Epoch, now.Add(unheldWait<<min(s.unheldCount, unheldDoubles))
		s.unheldCount++
	}
}

// observeReport changes down and slow once reports have agreed for long enough.
func (s *serverMemory) observeReport(now mono.Time, r Report) {
	flipped := flip(now, r.Received, &s.down, &s.downFlipAt, r.Down, downWait, upWait)
	slowFlipped := flip(now, r.Received, &s.slow, &s.slowFlipAt, r.Slow, slowWait, fastWait)
	switch {
	case (flipped && s.down) || (slowFlipped && s.slow):
		s.recordFailure(now)
	case flipped || slowFlipped:
		s.startRamp(now)
	}
}

// flip changes a state once reports have contradicted it for the wait, and reports whether it did.
//
// One report is never enough, however old: it may be a home's last report before it failed, and would bring
// its server back although no home has reached it since.
func flip(now, received mono.Time, is *bool, at *mono.Time, said bool, on, off time.Duration) bool {
	if said == *is {
		*at = mono.Never
		return false
	}
	wait := off
	if said {
		wait = on
	}
	if *at == mono.Never {
		*at = received.Add(wait)
	}
	if now.Before(*at) || received <= at.Add(-wait) {
		return false
	}
	*is, *at = said, mono.Never
	return true
}

// assumeDown marks the server as down without a report. Only reports change it back.
func (s *serverMemory) assumeDown() {
	s.down, s.downFlipAt = true, mono.Never
}

// recordFailure makes a server that fails repeatedly wait longer each time. Otherwise the shards of a server
// that collapses under load would move to it and away every few seconds.
func (s *serverMemory) recordFailure(now mono.Time) {
	if !now.Before(s.failuresExpireAt) {
		s.failures = 0
	}
	s.failures++
	s.failuresExpireAt = now.Add(flapWindow)
}

func (s *serverMemory) startRamp(now mono.Time) {
	s.ramped = true
	s.rampFrom = now
	if s.failures > 1 && now.Before(s.failuresExpireAt) {
		s.rampFrom = now.Add(flapWait << min(s.failures-2, flapDoubles))
		s.failuresExpireAt = s.rampFrom.Add(flapWindow)
	}
}

// ramp returns the share of its usual load that the server may get.
func (s *serverMemory) ramp(now mono.Time) float64 {
	if !s.ramped {
		return 1
	}
	if now.Before(s.rampFrom) {
		return 0
	}
	steps := int(now.Sub(s.rampFrom) / rampStep)
	if steps == 0 {
		return rampFirst
	}
	return min(float64(steps)/rampSteps, 1)
}

// ramps reports whether the server's share still grows, or stopped growing less than two steps ago.
func (s *serverMemory) ramps(now mono.Time) bool {
	return s.ramped && now.Before(s.rampFrom.Add((rampSteps+2)*rampStep))
}

func (s *serverMemory) sinceRated(t mono.Time) time.Duration {
	if s.ratedAt == 0 {
		return rateWindow
	}
	return t.Sub(s.ratedAt)
}

// planStates sets the state of every server: active, down or draining.
func (p *planner) planStates() {
	for id := range p.lostServers() {
		p.memory.servers[id].assumeDown()
	}
	for _, id := range p.in.Part.ServerIDs() {
		row := p.draft.servers[id]
		want, reason := p.wantedState(id)
		if row.State == want {
			continue
		}
		row.State = want
		p.draft.setServer(row, reason)
	}
}

func (p *planner) wantedState(id ident.Server) (state part.State, reason string) {
	c := p.servers[id]
	switch {
	case c == nil:
		return part.Draining, "server left the config"
	case p.in.Drains.Servers[id]:
		return part.Draining, "server drained"
	case p.in.Drains.Domains[c.Domain]:
		return part.Draining, "domain drained"
	case p.memory.servers[id].down:
		return part.Down, "server down"
	}
	return part.Active, "server is back"
}

// planRemovals removes the rows of servers that left the config, once no shard refers to them.
func (p *planner) planRemovals() {
	removed := func(id ident.Server) bool { return p.servers[id] == nil }
	if !slices.ContainsFunc(slices.Collect(maps.Keys(p.in.Part.Servers)), removed) {
		return
	}
	used := map[ident.Server]bool{}
	for i, o := range p.draft.shards {
		used[o.Server], used[o.Previous] = true, true
		old := p.in.Part.Owner(ident.Shard(i))
		used[old.Server], used[old.Previous] = true, true
	}
	for _, id := range p.in.Part.ServerIDs() {
		row := p.in.Part.Servers[id]
		if p.servers[id] == nil && row.State == part.Draining && !used[id] && p.mayRemove(id) {
			p.draft.removeServer(id, "server left the config and is drained")
		}
	}
}

// mayRemove reports whether every entry daemon is certain to have received that the server is draining.
func (p *planner) mayRemove(id ident.Server) bool {
	s := p.memory.servers[id]
	if s == nil {
		s = newServerMemory()
		p.memory.servers[id] = s
	}
	s.observeRow(p.now, p.in.Part.Servers[id])
	return !p.now.Before(s.removeAt)
}
