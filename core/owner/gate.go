package owner

import (
	"cmp"
	"maps"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
)

// Gate guards the shards of one keyed server. A process keeps one gate per server over all epochs that it is home
// under, since requests sent under an older one may still be in flight.
type Gate struct {
	server  ident.Server
	holder  *lease.Holder // nil before the process is home
	rev     ident.Rev
	rows    map[ident.Shard]Row
	seen    map[ident.Shard]ident.Rev   // of shards to be released: lowest revision at which the row was seen
	freed   map[ident.Shard]ident.Epoch // released by the previous owner for this epoch
	flights map[Token]flight
	last    Token
}

// Token is one request in flight.
type Token uint64

type flight struct {
	shard    ident.Shard
	epoch    ident.Epoch
	deadline mono.Time
	ends     mono.Time // when the server has ended it, also one whose clock is behind
}

// NewGate returns the gate of a server.
func NewGate(s ident.Server) *Gate {
	return &Gate{
		server: s, rows: map[ident.Shard]Row{}, seen: map[ident.Shard]ident.Rev{},
		freed: map[ident.Shard]ident.Epoch{}, flights: map[Token]flight{},
	}
}

// SetHolder takes the lease to send under, when the process becomes home under a new epoch.
func (g *Gate) SetHolder(h *lease.Holder) { g.holder = h }

// SetRows takes the shards of the service from a copy of the document at the revision; an older one changes nothing.
// The map must not be changed afterwards.
func (g *Gate) SetRows(rev ident.Rev, rows map[ident.Shard]Row) {
	if rev < g.rev {
		return
	}
	seen := map[ident.Shard]ident.Rev{}
	for s, r := range rows {
		if r.Owner != g.server || r.Previous == "" {
			continue
		}
		seen[s] = rev
		if old, ok := g.seen[s]; ok && g.rows[s].Epoch == r.Epoch {
			seen[s] = old
		}
	}
	g.rev, g.rows, g.seen = rev, rows, seen
	maps.DeleteFunc(g.freed, func(s ident.Shard, e ident.Epoch) bool {
		return rows[s].Owner != g.server || rows[s].Epoch > e
	})
}

// Start is a request that may be sent.
type Start struct {
	Token    Token
	Epoch    ident.Epoch // of the server's lease, to send along
	Deadline mono.Time   // to tell the server, by its own clock or the wall clock; before the end of the lease
}

// Refusal says why a request may not start; it was not run.
type Refusal int

const (
	// None means that the request may start.
	None Refusal = iota
	// NoLease means that the home holds no lease, or that its copy of the document is too old.
	NoLease
	// Moved means that the server doesn't own the shard at the epoch.
	Moved
	// Waiting means that the previous owner has not released the shard.
	Waiting
)

// Check tells what Start would refuse a request for, without starting it.
func (g *Gate) Check(now mono.Time, s ident.Shard, e ident.Epoch) Refusal {
	if !g.leads(now) {
		return NoLease
	}
	r, ok := g.rows[s]
	switch {
	case !ok || r.Owner != g.server || r.Epoch != e:
		return Moved
	case g.waits(s, r):
		return Waiting
	}
	return None
}

// Start admits a request on a shard at an epoch, to end by the deadline.
func (g *Gate) Start(now mono.Time, s ident.Shard, e ident.Epoch, deadline mono.Time) (Start, Refusal) {
	g.reap(now)
	if no := g.Check(now, s, e); no != None {
		return Start{}, no
	}
	// A request that outlasts the lease would run on beside the next home's. A server that keeps deadlines by a wall
	// clock which is behind ends it later than it was told, so it is told an earlier time.
	skew := g.holder.Skew()
	d := min(deadline, g.holder.Until().Add(-skew))
	if !now.Before(g.holder.Until().Add(-skew)) {
		return Start{}, NoLease
	}
	g.last++
	g.flights[g.last] = flight{shard: s, epoch: e, deadline: d, ends: d.Add(skew)}
	return Start{Token: g.last, Epoch: g.holder.Epoch(), Deadline: d}, None
}

// Send checks again right before the bytes go out, since the process may have been paused after Start.
// False means not run: the request must not be sent and its token is gone.
func (g *Gate) Send(now mono.Time, t Token) bool {
	f, ok := g.flights[t]
	if !ok {
		return false
	}
	r := g.rows[f.shard]
	if !g.leads(now) || !now.Before(f.deadline) || r.Owner != g.server || r.Epoch != f.epoch {
		delete(g.flights, t)
		return false
	}
	return true
}

// Answered ends a request whose whole answer has come, or that was certainly not run.
func (g *Gate) Answered(t Token) { delete(g.flights, t) }

// Idle reports whether nothing is in flight. A request without an answer counts until its deadline, also when nobody
// waits for it any more: the server may be working on it.
func (g *Gate) Idle(now mono.Time) bool {
	g.reap(now)
	return len(g.flights) == 0
}

// Want is one release to ask the home of the previous owner for.
type Want struct {
	Shard    ident.Shard
	Epoch    ident.Epoch // of the new ownership
	Previous ident.Server
	Rev      ident.Rev // of a copy of the document that tells of the move
}

// Wants returns the releases to ask for, by shard.
func (g *Gate) Wants() []Want {
	var l []Want
	for s, r := range g.rows {
		if r.Owner == g.server && g.waits(s, r) {
			l = append(l, Want{Shard: s, Epoch: r.Epoch, Previous: r.Previous, Rev: g.seen[s]})
		}
	}
	slices.SortFunc(l, func(a, b Want) int { return cmp.Compare(a.Shard, b.Shard) })
	return l
}

// Released takes the answer of the home of the previous owner: the shard is free for its owner at the epoch.
func (g *Gate) Released(s ident.Shard, e ident.Epoch) {
	g.freed[s] = max(g.freed[s], e)
}

// Release answers a Want: whether all work of this server on the shard has ended for good.
//
// The lease proves that no other home sends to the server, and that whatever an earlier home sent has passed its
// deadline. The recorded revision keeps the answer true for good: a later home with an older copy of the document
// would take the shard for its own, but the witnesses tell it that its copy is too old.
// When only the recording is missing, ask the witnesses again at once rather than at the next renewal.
func (g *Gate) Release(now mono.Time, w Want) bool {
	g.reap(now)
	if w.Previous != g.server || !g.leads(now) || g.rev < w.Rev || g.holder.Recorded() < w.Rev {
		return false
	}
	// A later row may have brought the shard back here; a release for an older one would free it for a stale owner.
	r := g.rows[w.Shard]
	if r.Epoch != w.Epoch || r.Previous != g.server {
		return false
	}
	for _, f := range g.flights {
		if f.shard == w.Shard {
			return false
		}
	}
	return true
}

// leads reports whether the process may act for the server on its copy of the document.
func (g *Gate) leads(now mono.Time) bool {
	return g.holder != nil && g.holder.Holds(now) && g.rev >= g.holder.Floor()
}

func (g *Gate) waits(s ident.Shard, r Row) bool {
	return r.Previous != "" && g.freed[s] != r.Epoch
}

// reap forgets the requests whose deadlines have passed: the server has ended them by then.
func (g *Gate) reap(now mono.Time) {
	for t, f := range g.flights {
		if !now.Before(f.ends) {
			delete(g.flights, t)
		}
	}
}
