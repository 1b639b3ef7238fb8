package place

import (
	"cmp"
	"maps"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/part"
)

// planHomes assigns a live home and a live standby to every server.
//
// The home is in the server's own domain if possible, which avoids cross-domain traffic. The standby is in
// another domain than the home, as all daemons of a domain may fail at once. A server that survives must
// then be served by a daemon that needs neither table nor coordinator to take over. The cost is a home
// in another domain until rebalanceHomes moves it back.
func (p *planner) planHomes() {
	ids := slices.Sorted(maps.Keys(p.servers))
	for _, id := range p.in.Part.ServerIDs() {
		if p.servers[id] == nil {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		if row, ok := p.in.Part.Servers[id]; ok {
			p.planHome(row)
		} else {
			p.firstHome(id)
		}
	}
}

func (p *planner) firstHome(id ident.Server) {
	home := p.chooseHome(id, "")
	if home == "" {
		return
	}
	row := part.Server{ID: id, Home: home, Epoch: p.in.Part.FirstEpoch(), Standby: p.chooseStandby(id, home)}
	row.State, _ = p.wantedState(id)
	if p.draft.setServer(row, "server added") {
		p.count(part.Server{}, row)
	}
}

func (p *planner) planHome(row part.Server) {
	holder, held := p.in.Holders[row.ID]
	switch {
	case held && holder.Epoch == row.Epoch+1 && holder.Daemon == row.Standby:
		p.rehome(row, row.Standby, "standby took over")
	case p.unresponsive(row.Home):
		p.replaceHome(row)
	case p.leaving(row.Home):
		if d := p.chooseHome(row.ID, row.Home); d != "" {
			p.rehome(row, d, "home is leaving")
		}
	case held && holder.Epoch < row.Epoch && holder.Daemon != row.Home && !row.Supersede && p.unresponsive(holder.Daemon):
		// The last home stopped responding before its handover. If it is only isolated from the coordinator, it
		// goes on renewing its lease and the new home never gets one. With Supersede set, the witnesses refuse
		// the last home's renewals.
		row.Supersede = true
		p.draft.setServer(row, "last home is unresponsive")
	case !held && p.unheld(row.ID):
		p.rehome(row, p.homeForUnheld(row), "lease has no holder")
	default:
		p.planStandby(row, held && holder != Holder{Daemon: row.Home, Epoch: row.Epoch})
	}
}

// unheld reports whether a server's lease has had no holder for long although its home is alive.
//
// A standby that suspected its home may have requested the next epoch from some witnesses and stopped when
// the home responded again. Those witnesses refuse the home's epoch permanently and the standby no longer
// asks, so the server's keys would stay unserved. A higher epoch for the home resolves this. If no leases
// are reported at all, the fault is more likely with the reporting witness than with the homes.
func (p *planner) unheld(id ident.Server) bool {
	m := p.memory.servers[id]
	return m != nil && !p.now.Before(m.unheldAt) && (len(p.in.Holders) > 0 || len(p.in.Part.Servers) == 1)
}

// homeForUnheld keeps the home for the first new epoch. If that didn't help, the home is probably isolated
// from the witnesses, though not from the coordinator, and the standby may reach them.
func (p *planner) homeForUnheld(row part.Server) ident.Daemon {
	if p.memory.servers[row.ID].unheldCount > 1 && p.mayServe(p.daemons[row.Standby]) {
		return row.Standby
	}
	return row.Home
}

// replaceHome makes the standby the home, under the epoch that it may already have acquired by itself, so
// that the row and the standby's own takeover can't conflict.
func (p *planner) replaceHome(row part.Server) {
	home := row.Standby
	if !p.mayServe(p.daemons[home]) {
		home = p.chooseHome(row.ID, row.Home)
	}
	if home != "" {
		p.rehome(row, home, "home is unresponsive")
	}
}

// planStandby replaces a standby that could not take over. The standby of an epoch never changes, so the
// home gets a higher epoch, and must get it while it still holds the present one.
func (p *planner) planStandby(row part.Server, unsettled bool) {
	switch {
	case row.Standby == "":
		if row.Standby = p.chooseStandby(row.ID, row.Home); row.Standby != "" {
			p.draft.setServer(row, "standby added")
			p.count(part.Server{}, part.Server{Standby: row.Standby})
		}
	case unsettled:
	case p.leaving(row.Standby), p.unresponsive(row.Standby) && !p.now.Before(p.lastContact(row.Standby).Add(standbyWait)):
		if p.chooseStandby(row.ID, row.Home) != "" {
			p.rehome(row, row.Home, "standby replaced")
		}
	}
}

// rehome sets a home under the next epoch that is free for it, and a standby for that epoch.
func (p *planner) rehome(row part.Server, home ident.Daemon, reason string) {
	n := row
	n.Home = home
	n.Epoch = row.Epoch + part.EpochStep
	if home == row.Standby {
		n.Epoch = row.Epoch + 1
	}
	n.Standby = p.chooseStandby(row.ID, home)
	n.Supersede = home != row.Home && p.unresponsive(row.Home)
	if p.draft.setServer(n, reason) {
		p.count(row, n)
	}
}

func (p *planner) count(old, row part.Server) {
	p.homes[old.Home]--
	p.standbys[old.Standby]--
	p.homes[row.Home]++
	p.standbys[row.Standby]++
}

// chooseHome returns the best home for a server other than the given daemon, or "" if there is none.
func (p *planner) chooseHome(id ident.Server, not ident.Daemon) ident.Daemon {
	return p.best(id, p.homes, not, func(d *live.Daemon) bool {
		return d.Domain == p.domainOf(id) && p.homes[d.Daemon] < p.maxHomes
	})
}

func (p *planner) chooseStandby(id ident.Server, home ident.Daemon) ident.Daemon {
	h := p.daemons[home]
	return p.best(id, p.standbys, home, func(d *live.Daemon) bool {
		return h == nil || d.Domain != h.Domain
	})
}

// best returns the best usable daemon, compared by preference, then lowest load, then highest score.
func (p *planner) best(id ident.Server, load map[ident.Daemon]int, not ident.Daemon, prefer func(*live.Daemon) bool) ident.Daemon {
	rank := func(d *live.Daemon) int {
		if prefer(d) {
			return 0
		}
		return 1
	}
	var b *live.Daemon
	for _, d := range p.usable {
		if d.Daemon == not {
			continue
		}
		if b == nil || cmp.Or(
			cmp.Compare(rank(d), rank(b)),
			cmp.Compare(load[d.Daemon], load[b.Daemon]),
			cmp.Compare(live.Score(string(id), b.Daemon), live.Score(string(id), d.Daemon)),
		) < 0 {
			b = d
		}
	}
	if b == nil {
		return ""
	}
	return b.Daemon
}

func (p *planner) domainOf(id ident.Server) ident.Domain {
	if c := p.servers[id]; c != nil {
		return c.Domain
	}
	return ""
}

// rebalanceHomes moves one home back to its server's domain, or from a daemon with many homes to one with few.
// These moves are not urgent, so they are made one at a time and only if nothing else changes.
func (p *planner) rebalanceHomes() {
	if p.now.Before(p.memory.spreadAt) {
		return
	}
	for _, id := range p.in.Part.ServerIDs() {
		row := p.in.Part.Servers[id]
		holder, held := p.in.Holders[id]
		if p.servers[id] == nil || !p.mayServe(p.daemons[row.Home]) || (held && holder != Holder{Daemon: row.Home, Epoch: row.Epoch}) {
			continue
		}
		if to := p.chooseHome(id, row.Home); to != "" && p.betterHome(id, row.Home, to) {
			p.rehome(row, to, "homes rebalanced")
			return
		}
	}
}

func (p *planner) betterHome(id ident.Server, from, to ident.Daemon) bool {
	f, t := p.daemons[from], p.daemons[to]
	if p.now.Before(t.AliveSince.Add(homeWait)) {
		return false
	}
	domain := p.domainOf(id)
	wasLocal, isLocal := f.Domain == domain, t.Domain == domain
	if wasLocal != isLocal {
		return isLocal && p.homes[to] < p.maxHomes
	}
	return p.homes[from] >= p.homes[to]+2
}
