package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
)

// Gate controls the work on the shards of one keyed server. A process keeps one gate per server over all epochs in
// which it is home, since requests sent under an older one may still be in flight.
type Gate struct {
	server    ident.Server
	holder    *lease.Holder // nil until the process is home
	rev       ident.Rev
	rows      map[ident.Shard]Row
	firstSeen map[ident.Shard]ident.Rev   // for shards to be released: lowest revision at which the row was seen
	released  map[ident.Shard]ident.Epoch // epochs for which the previous owner released the shard
	inFlight  map[Token]flight
	last      Token
}

// Token identifies one request in flight.
type Token uint64

type flight struct {
	shard    ident.Shard
	epoch    ident.Epoch
	deadline mono.Time
	endsBy   mono.Time // when even a server whose clock is behind has ended it, by this process's clock if that is fast
}

// NewGate returns the gate of a server.
func NewGate(s ident.Server) *Gate {
	return &Gate{
		server: s, rows: map[ident.Shard]Row{}, firstSeen: map[ident.Shard]ident.Rev{},
		released: map[ident.Shard]ident.Epoch{}, inFlight: map[Token]flight{},
	}
}

// SetHolder sets the lease to send under, when the process becomes home under a new epoch.
func (g *Gate) SetHolder(h *lease.Holder) { g.holder = h }

// SetRows sets the shards of the service from a copy of the document at the revision; an older one has no effect.
// The caller must not change the map afterwards.
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
		if old, ok := g.firstSeen[s]; ok && g.rows[s].Epoch == r.Epoch {
			seen[s] = old
		}
	}
	g.rev, g.rows, g.firstSeen = rev, rows, seen
	maps.DeleteFunc(g.released, func(s ident.Shard, e ident.Epoch) bool {
		return rows[s].Owner != g.server || rows[s].Epoch > e
	})
}

// Start is an admitted request.
type Start struct {
	Token    Token
	Epoch    ident.Epoch // of the server's lease; sent with the request
	Deadline mono.Time   // sent to the server, in its own clock or the wall clock; before the end of the lease
}

// Refusal is why a request may not start; a refused request was not run.
type Refusal int

const (
	// NotRefused means that the request may start.
	NotRefused Refusal = iota
	// NoLease means that the home holds no lease, or that its copy of the document is too old.
	NoLease
	// Moved means that the server doesn't own the shard at the epoch.
	Moved
	// AwaitingRelease means that the previous owner has not released the shard.
	AwaitingRelease
)

// Check returns the refusal that Start would return, without starting the request.
func (g *Gate) Check(now mono.Time, s ident.Shard, e ident.Epoch) Refusal {
	if !g.mayAct(now) {
		return NoLease
	}
	r, ok := g.rows[s]
	switch {
	case !ok || r.Owner != g.server || r.Epoch != e:
		return Moved
	case g.awaitsRelease(s, r):
		return AwaitingRelease
	}
	return NotRefused
}

// Start admits a request on a shard at an epoch, to end by the deadline.
func (g *Gate) Start(now mono.Time, s ident.Shard, e ident.Epoch, deadline mono.Time) (Start, Refusal) {
	g.removeExpired(now)
	if no := g.Check(now, s, e); no != NotRefused {
		return Start{}, no
	}
	// A request that outlasts the lease would run concurrently with requests of the next home. A server that enforces
	// deadlines by a wall clock that is behind ends it late, so the deadline is earlier by the skew.
	skew := g.holder.Skew()
	d := min(deadline, g.holder.Until().Add(-skew))
	if !now.Before(g.holder.Until().Add(-skew)) {
		return Start{}, NoLease
	}
	// The time left is converted to the wall clock. If this process's clock is fast, it reaches the deadline before the wall clock does.
	left := d.Add(skew).Sub(now)
	endsBy := now.Add(left + time.Duration(float64(left)*g.holder.Drift()))
	g.last++
	g.inFlight[g.last] = flight{shard: s, epoch: e, deadline: d, endsBy: endsBy}
	return Start{Token: g.last, Epoch: g.holder.Epoch(), Deadline: d}, NotRefused
}

// Send checks the request again and must be called right before it is sent, since the process may have been paused
// after Start. False means not run: the request must not be sent and its token is no longer valid.
func (g *Gate) Send(now mono.Time, t Token) bool {
	f, ok := g.inFlight[t]
	if !ok {
		return false
	}
	r := g.rows[f.shard]
	if !g.mayAct(now) || !now.Before(f.deadline) || r.Owner != g.server || r.Epoch != f.epoch {
		delete(g.inFlight, t)
		return false
	}
	return true
}

// Answered ends a request whose whole response has arrived, or that is certain not to have run.
func (g *Gate) Answered(t Token) { delete(g.inFlight, t) }

// Idle reports whether nothing is in flight. A request without a response counts until its deadline, even if its
// caller no longer waits: the server may be working on it.
func (g *Gate) Idle(now mono.Time) bool {
	g.removeExpired(now)
	return len(g.inFlight) == 0
}

// ReleaseRequest is a request to the home of the previous owner to release a shard.
type ReleaseRequest struct {
	Shard    ident.Shard
	Epoch    ident.Epoch // of the new ownership
	Previous ident.Server
	Rev      ident.Rev // of a copy of the document that contains the move
}

// ReleaseRequests returns the releases to request, sorted by shard.
func (g *Gate) ReleaseRequests() []ReleaseRequest {
	var l []ReleaseRequest
	for s, r := range g.rows {
		if r.Owner == g.server && g.awaitsRelease(s, r) {
			l = append(l, ReleaseRequest{Shard: s, Epoch: r.Epoch, Previous: r.Previous, Rev: g.firstSeen[s]})
		}
	}
	slices.SortFunc(l, func(a, b ReleaseRequest) int { return cmp.Compare(a.Shard, b.Shard) })
	return l
}

// SetReleased records that the home of the previous owner has released the shard to its owner at the epoch.
func (g *Gate) SetReleased(s ident.Shard, e ident.Epoch) {
	g.released[s] = max(g.released[s], e)
}

// MayRelease reports whether all work of this server on the requested shard has ended for good.
//
// The lease proves that no other home sends to the server, and that everything sent by an earlier home has passed its
// deadline. The recorded revision keeps the result valid: a later home with an older copy of the document would claim
// the shard, but the witnesses report to it that its copy is too old.
// If only the recording is missing, ask the witnesses again at once rather than at the next renewal.
func (g *Gate) MayRelease(now mono.Time, w ReleaseRequest) bool {
	g.removeExpired(now)
	if w.Previous != g.server || !g.mayAct(now) || g.rev < w.Rev || g.holder.Recorded() < w.Rev {
		return false
	}
	// A later row may have returned the shard to this server; releasing an older one would free it for a stale owner.
	r := g.rows[w.Shard]
	if r.Epoch != w.Epoch || r.Previous != g.server {
		return false
	}
	for _, f := range g.inFlight {
		if f.shard == w.Shard {
			return false
		}
	}
	return true
}

// mayAct reports whether the process may act for the server on its copy of the document.
func (g *Gate) mayAct(now mono.Time) bool {
	return g.holder != nil && g.holder.Holds(now) && g.rev >= g.holder.Floor()
}

func (g *Gate) awaitsRelease(s ident.Shard, r Row) bool {
	return r.Previous != "" && g.released[s] != r.Epoch
}

// removeExpired removes the requests whose deadlines have passed: the server has ended them by then.
func (g *Gate) removeExpired(now mono.Time) {
	for t, f := range g.inFlight {
		if !now.Before(f.endsBy) {
			delete(g.inFlight, t)
		}
	}
}
