package place

import (
	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
)

// mayServe reports whether a daemon may become a home, standby or witness.
func (p *planner) mayServe(d *live.Daemon) bool {
	return d != nil && d.Alive(p.now) && d.Region == p.in.Service.Region && !p.leaving(d.Daemon)
}

// leaving reports whether a daemon, alive or not, is shutting down or drained.
func (p *planner) leaving(id ident.Daemon) bool {
	d := p.daemons[id]
	return d != nil && (d.IsLeaving() || p.in.Drains.Daemons[id] || p.in.Drains.Domains[d.Domain])
}

// unresponsiveAt returns when a daemon counts as unresponsive if there is no further contact.
func (p *planner) unresponsiveAt(id ident.Daemon) mono.Time {
	d := p.daemons[id]
	switch {
	case d == nil:
		return p.memory.startedAt.Add(unknownWait)
	case p.isolated:
		return d.LastContact.Add(isolatedWait)
	}
	return d.SuspectAt()
}

// unresponsive reports whether a daemon has been without contact for long enough to be replaced.
func (p *planner) unresponsive(id ident.Daemon) bool {
	return !p.now.Before(p.unresponsiveAt(id))
}

// lastContact returns the time of the last contact with a daemon. For an unknown one it is the first plan.
func (p *planner) lastContact(id ident.Daemon) mono.Time {
	if d := p.daemons[id]; d != nil {
		return d.LastContact
	}
	return p.memory.startedAt
}

// mostUnresponsive reports whether most of the recently active daemons are unresponsive. Daemons that
// have been gone for longer don't count; otherwise replacing hosts one by one would look like a partition.
//
// In that case this daemon is more likely isolated or was paused than all others failed. Replacing them
// at once would move every home away from working daemons. The table would accept these moves, as they are
// safe, but the keys of each server would be unserved for a lease time. After isolatedWait the planner
// replaces them all the same.
func (p *planner) mostUnresponsive() bool {
	alive, unresponsive := 0, 0
	for id, d := range p.daemons {
		switch {
		case d.Alive(p.now):
			alive++
		case p.now.Before(d.LastContact.Add(recentWait)) && d.Listed != live.ListedGone && !p.leaving(id):
			unresponsive++
		}
	}
	return unresponsive > alive
}

// lostServers returns the servers of domains with more than one known daemon, all of them unresponsive. It
// leaves out servers on which a home in another domain has reported since.
//
// Otherwise the home's lease would have to expire and the next home would have to fail to reach the
// server before its shards moved. Moving them at once saves that second wait. If only the daemons of the
// domain failed, it costs the churn of one domain.
func (p *planner) lostServers() map[ident.Server]bool {
	count := map[ident.Domain]int{}
	last := map[ident.Domain]mono.Time{}
	responsive := map[ident.Domain]bool{}
	for id, d := range p.daemons {
		if d.Listed == live.ListedGone || p.leaving(id) {
			continue
		}
		count[d.Domain]++
		last[d.Domain] = max(last[d.Domain], d.SuspectAt())
		responsive[d.Domain] = responsive[d.Domain] || !p.unresponsive(id)
	}
	lost := map[ident.Server]bool{}
	for id, c := range p.servers {
		if count[c.Domain] > 1 && !responsive[c.Domain] && p.in.Reports[id].Received.Before(last[c.Domain]) {
			lost[id] = true
		}
	}
	return lost
}
