package place

import (
	"cmp"
	"maps"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/part"
)

// planHomes gives every server a home and a standby that are alive.
//
// The home is in the server's own domain if it can, to save the way between domains. The standby is in
// another domain than the home: a whole domain of daemons may go at once, and a server that outlives its
// home must then be served by a daemon that needs neither table nor coordinator for it. The price is a
// home out of the domain until rebalanceHomes moves it back.
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
	case p.silent(row.Home):
		p.replaceSilent(row)
	case p.leaving(row.Home):
		if d := p.chooseHome(row.ID, row.Home); d != "" {
			p.rehome(row, d, "home leaves")
		}
	case held && holder.Epoch < row.Epoch && holder.Daemon != row.Home && !row.Supersede && p.silent(holder.Daemon):
		// The last home was to hand over but has fallen silent. If it is only cut off from us, it goes on
		// renewing and the new home waits for ever; told to supersede, the witnesses stop renewing it.
		row.Supersede = true
		p.draft.setServer(row, "last home is silent")
	case !held && p.unheld(row.ID):
		p.rehome(row, p.homeForUnheld(row), "nobody holds the lease")
	default:
		p.planStandby(row, held && holder != Holder{Daemon: row.Home, Epoch: row.Epoch})
	}
}

// unheld reports whether nobody has held a server's lease for long, though its home is alive.
//
// A standby that took its home for silent may have asked for the next epoch at some witnesses and stopped when it
// heard the home again. Those witnesses refuse the home's epoch for good, and neither goes on asking: the server's
// keys would stay without service. A higher epoch for the home ends that. That no lease at all is seen says
// more about the witness that tells of them than about the homes.
func (p *planner) unheld(id ident.Server) bool {
	m := p.memory.servers[id]
	return m != nil && !p.now.Before(m.unheldAt) && (len(p.in.Holders) > 0 || len(p.in.Part.Servers) == 1)
}

// homeForUnheld keeps the home for a first new epoch. When that didn't help, the home is likely cut off from the
// witnesses, though we hear it, and the standby may reach them.
func (p *planner) homeForUnheld(row part.Server) ident.Daemon {
	if p.memory.servers[row.ID].unheldCount > 1 && p.mayServe(p.daemons[row.Standby]) {
		return row.Standby
	}
	return row.Home
}

// replaceSilent makes the standby the home, under the epoch that it may already have taken by itself, so
// that the row and the standby's own takeover can't work against each other.
func (p *planner) replaceSilent(row part.Server) {
	home := row.Standby
	if !p.mayServe(p.daemons[home]) {
		home = p.chooseHome(row.ID, row.Home)
	}
	if home != "" {
		p.rehome(row, home, "home is silent")
	}
}

// planStandby replaces a standby that could not take over. As the standby of an epoch never changes, the
// home goes to a higher epoch, which it must be given while it still holds the present one.
func (p *planner) planStandby(row part.Server, unsettled bool) {
	switch {
	case row.Standby == "":
		if row.Standby = p.chooseStandby(row.ID, row.Home); row.Standby != "" {
			p.draft.setServer(row, "standby added")
			p.count(part.Server{}, part.Server{Standby: row.Standby})
		}
	case unsettled:
	case p.leaving(row.Standby), p.silent(row.Standby) && !p.now.Before(p.lastWord(row.Standby).Add(standbyWait)):
		if p.chooseStandby(row.ID, row.Home) != "" {
			p.rehome(row, row.Home, "standby replaced")
		}
	}
}

// rehome writes a home under the next epoch that is free for it, and a standby for that epoch.
func (p *planner) rehome(row part.Server, home ident.Daemon, reason string) {
	n := row
	n.Home = home
	n.Epoch = row.Epoch + part.EpochStep
	if home == row.Standby {
		n.Epoch = row.Epoch + 1
	}
	n.Standby = p.chooseStandby(row.ID, home)
	n.Supersede = home != row.Home && p.silent(row.Home)
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

// chooseHome returns the best daemon other than one for a server, or nothing when there is none.
func (p *planner) chooseHome(id ident.Server, not ident.Daemon) ident.Daemon {
	return p.best(id, p.homes, not, func(d *live.Daemon) bool {
		return d.Domain == p.domainOf(id) && p.homes[d.Daemon] < p.mostHome
	})
}

func (p *planner) chooseStandby(id ident.Server, home ident.Daemon) ident.Daemon {
	h := p.daemons[home]
	return p.best(id, p.standbys, home, func(d *live.Daemon) bool {
		return h == nil || d.Domain != h.Domain
	})
}

// best returns the usable daemon that is preferred, has the least to do, and has the highest score.
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

// rebalanceHomes moves one home back to its server's domain, or from a daemon with many to one with few.
// Each is a planned move; there is no hurry, so they come one at a time and only in quiet times.
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
			p.rehome(row, to, "homes spread better")
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
		return isLocal && p.homes[to] < p.mostHome
	}
	return p.homes[from] >= p.homes[to]+2
}
