package lease

import (
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Witness gives leases. It keeps everything in memory and may lose it at any time.
type Witness struct {
	self  ident.Daemon
	terms Terms
	quiet mono.Time // gives nothing before
	parts map[ident.Service]*part
}

type part struct {
	set     Set
	floor   ident.Rev // of the document when it was read after the start
	min     ident.Rev // asks from older copies are refused
	servers map[ident.Server]*grant
}

type grant struct {
	epoch       ident.Epoch
	holder      ident.Daemon
	incarnation ident.Incarnation
	until       mono.Time
	ended       bool
	superseding ident.Epoch
	rev         ident.Rev
}

// NewWitness returns a witness of a process that started at the time.
//
// Its process may have given leases before a restart, and has forgotten them. Without a quiet time of a whole lease it
// would give the next epoch while the home of the last one still sends.
func NewWitness(self ident.Daemon, t Terms, started mono.Time) *Witness {
	return &Witness{self: self, terms: t, quiet: started.Add(t.Lapse()), parts: map[ident.Service]*part{}}
}

// Serve makes the witness serve a partition, whose row of witnesses it learnt from a copy of the document at the
// revision. The first call for a partition must come from a read of the table made after the process started; later
// ones may come from any copy.
func (w *Witness) Serve(s ident.Service, x Set, rev ident.Rev) {
	if w.parts[s] == nil {
		w.parts[s] = &part{min: x.Rev, floor: rev, servers: map[ident.Server]*grant{}}
	}
	if p := w.parts[s]; x.Rev >= p.set.Rev {
		p.set = x
	}
}

// Assigned tells the witness that the table has given a server's home the epoch. Call it for every row of the
// partition, after the first Serve and after one with a newer row of witnesses.
//
// A witness that started or joined a moment ago has given nothing, so it would give a home that was deposed long ago
// its old epoch again.
func (w *Witness) Assigned(s ident.Server, e ident.Epoch) {
	if p := w.parts[s.Service()]; p != nil {
		r := p.grant(s)
		r.superseding = max(r.superseding, e)
	}
}

// Retire makes the witness refuse asks from copies of the document older than the change of witnesses in x, and
// give no more leases unless it is in the next set. Returns whether it has retired, which the coordinator counts.
func (w *Witness) Retire(s ident.Service, x Set) bool {
	p := w.parts[s]
	if p == nil {
		return false
	}
	w.Serve(s, x, x.Rev)
	p.min = max(p.min, x.Rev)
	return true
}

// Gave returns the highest epoch that the witness has given for each server of the partition. A witness that retires
// sends it along; read it after Retire.
func (w *Witness) Gave(s ident.Service) map[ident.Server]ident.Epoch {
	l := map[ident.Server]ident.Epoch{}
	if p := w.parts[s]; p != nil {
		for n, r := range p.servers {
			if r.epoch > 0 {
				l[n] = r.epoch
			}
		}
	}
	return l
}

// Ask answers one ask of a daemon.
func (w *Witness) Ask(now mono.Time, from ident.Daemon, a Ask) Give {
	g := Give{Server: a.Server, Epoch: a.Epoch, Wait: w.terms.Renew}
	p := w.parts[a.Server.Service()]
	if p == nil {
		return g
	}
	if now.Before(w.quiet) {
		g.Wait = w.quiet.Sub(now)
		return g
	}
	r := p.grant(a.Server)
	if a.Mode == Stopped {
		r.end(now, from, a)
		g.Highest = r.highest()
		return g
	}
	if a.Rev < p.min {
		g.Retired, g.Set = true, p.set
		return g
	}
	r.decide(now, from, a, &g)
	if !g.Given {
		return g
	}
	r.rev = max(r.rev, a.Rev)
	g.Rev = max(r.rev, p.floor)
	if !p.gives(w.self) {
		g.Given, g.Clear, g.Set = false, true, p.set
		return g
	}
	r.give(from, a, now.Add(w.terms.Lapse()))
	return g
}

func (p *part) grant(s ident.Server) *grant {
	r := p.servers[s]
	if r == nil {
		r = &grant{}
		p.servers[s] = r
	}
	return r
}

// gives reports whether the witness may give leases in the partition.
func (p *part) gives(self ident.Daemon) bool {
	if slices.Contains(p.set.Next, self) {
		return true
	}
	retired := len(p.set.Next) > 0 && p.min >= p.set.Rev
	return slices.Contains(p.set.Current, self) && !retired
}

func (r *grant) highest() ident.Epoch { return max(r.epoch, r.superseding) }

func (r *grant) heldBy(from ident.Daemon, life ident.Incarnation) bool {
	return r.holder == from && r.incarnation == life
}

// decide sets in g whether the asker may have the lease, and if not, why and when to ask again.
func (r *grant) decide(now mono.Time, from ident.Daemon, a Ask, g *Give) {
	g.Highest = r.highest()
	if a.Epoch < g.Highest {
		return
	}
	if a.Epoch == r.epoch && (r.holder != from || r.ended && r.incarnation == a.Incarnation) {
		return
	}
	if a.Mode == Supersede {
		r.superseding = max(r.superseding, a.Epoch)
		g.Highest = a.Epoch
	}
	// Without this wait the next home would send while the last one still counts on its lease. The holder counts
	// from an earlier moment and a shorter time, so it has stopped by then. A process that raises its own epoch
	// need not wait for itself; another life of the same daemon must, since it doesn't know what the last one sent.
	if now.Before(r.until) && !r.heldBy(from, a.Incarnation) {
		g.Wait = r.until.Sub(now)
		return
	}
	g.Given = true
}

func (r *grant) give(from ident.Daemon, a Ask, until mono.Time) {
	r.epoch, r.holder, r.incarnation, r.until, r.ended = a.Epoch, from, a.Incarnation, until, false
}

// end takes the holder's word that it stopped. Anybody else's word, or one about another epoch, counts for nothing:
// a late message of an earlier life would end a lease that is in use.
func (r *grant) end(now mono.Time, from ident.Daemon, a Ask) {
	if r.epoch == a.Epoch && r.heldBy(from, a.Incarnation) {
		r.until, r.ended = min(r.until, now), true
	}
}
