package place

import (
	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
)

// mayServe reports whether a daemon may be given homes and witness seats.
func (p *planner) mayServe(d *live.Daemon) bool {
	return d != nil && d.Alive(p.now) && d.Region == p.in.Service.Region && !p.leaving(d.Daemon)
}

// leaving reports whether a daemon, alive or not, is about to go.
func (p *planner) leaving(id ident.Daemon) bool {
	d := p.daemons[id]
	return d != nil && (d.IsLeaving() || p.in.Drains.Daemons[id] || p.in.Drains.Domains[d.Domain])
}

// silentAt returns when a daemon's silence becomes a reason to act, if it is silent.
func (p *planner) silentAt(id ident.Daemon) mono.Time {
	d := p.daemons[id]
	switch {
	case d == nil:
		return p.memory.startedAt.Add(unknownWait)
	case p.isolated:
		return d.LastContact.Add(isolatedWait)
	}
	return d.SuspectAt()
}

// silent reports whether a daemon has been silent for long enough to act.
func (p *planner) silent(id ident.Daemon) bool {
	return !p.now.Before(p.silentAt(id))
}

// lastWord returns when a daemon spoke last, as far as this one can know.
func (p *planner) lastWord(id ident.Daemon) mono.Time {
	if d := p.daemons[id]; d != nil {
		return d.LastContact
	}
	return p.memory.startedAt
}

// mostSilent reports whether most of the daemons that spoke lately are silent. Those that are gone for
// longer don't count, or every site whose hosts were replaced one by one would look like a cut.
//
// Then it is likelier that this daemon is cut off, or was paused, than that the others are gone. Acting at
// once would move every home away from daemons that work. The table would take it: moves are safe, but the
// keys of each would be unserved for a lease time. After isolatedWait it acts all the same.
func (p *planner) mostSilent() bool {
	alive, silent := 0, 0
	for id, d := range p.daemons {
		switch {
		case d.Alive(p.now):
			alive++
		case p.now.Before(d.LastContact.Add(recentWait)) && d.Listed != live.ListedGone && !p.leaving(id):
			silent++
		}
	}
	return silent > alive
}

// lostServers returns the servers of domains of which more than one daemon is known and none is heard,
// unless their home, which is then elsewhere, has seen them work since.
//
// A lost server's home would first have to lapse, the next home to try the server in vain, and only then
// would the shards move. Moving them right away saves that second wait; when only the daemons of the domain
// were lost, it costs the churn of one domain.
func (p *planner) lostServers() map[ident.Server]bool {
	count := map[ident.Domain]int{}
	last := map[ident.Domain]mono.Time{}
	heard := map[ident.Domain]bool{}
	for id, d := range p.daemons {
		if d.Listed == live.ListedGone || p.leaving(id) {
			continue
		}
		count[d.Domain]++
		last[d.Domain] = max(last[d.Domain], d.SuspectAt())
		heard[d.Domain] = heard[d.Domain] || !p.silent(id)
	}
	lost := map[ident.Server]bool{}
	for id, c := range p.servers {
		if count[c.Domain] > 1 && !heard[c.Domain] && p.in.Reports[id].Received.Before(last[c.Domain]) {
			lost[id] = true
		}
	}
	return lost
}
