package place

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/part"
)

// planWitnesses keeps the witnesses alive and distributed over domains, one change at a time.
func (p *planner) planWitnesses() {
	w := p.in.Part.Witnesses
	switch {
	case len(w.Current) == 0:
		if l := p.pickWitnesses(nil); len(l) > 0 {
			p.draft.setWitnesses(part.Witnesses{Current: l}, "first witnesses")
		}
	case w.Changing():
		if p.in.MaySettle {
			p.draft.setWitnesses(part.Witnesses{Current: w.Next, Retired: w.Current}, "witnesses settled")
		}
	default:
		p.changeWitnesses(w)
	}
}

func (p *planner) changeWitnesses(w part.Witnesses) {
	keep, reason := p.keepWitnesses(w.Current)
	if reason == "" && p.mayGrow(len(w.Current)) {
		reason = "more witnesses"
	}
	if reason == "" {
		keep, reason = p.spreadWitnesses(w.Current)
	}
	if reason == "" {
		return
	}
	next := p.pickWitnesses(keep)
	if len(next) == 0 || sameDaemons(next, w.Current) || p.shrinks(next, w.Current) {
		return
	}
	p.draft.setWitnesses(part.Witnesses{Current: w.Current, Next: next}, reason)
}

// keepWitnesses returns the witnesses that stay, and the reason if others are removed.
func (p *planner) keepWitnesses(l []ident.Daemon) (keep []ident.Daemon, reason string) {
	alive := 0
	for _, d := range l {
		if !p.unresponsive(d) {
			alive++
		}
	}
	wait := witnessWait
	if alive <= len(l)/2+1 {
		wait = witnessLastWait
	}
	for _, d := range l {
		switch {
		case p.unresponsive(d) && !p.now.Before(p.lastContact(d).Add(wait)):
			reason = "witness is unresponsive"
		case p.leaving(d):
			reason = "witness is leaving"
		default:
			keep = append(keep, d)
		}
	}
	return keep, reason
}

func (p *planner) mayGrow(n int) bool {
	return n < witnessCount && p.countStable(growWait) >= n+2
}

// countStable returns the number of usable daemons that have been alive for at least the wait.
func (p *planner) countStable(wait time.Duration) int {
	n := 0
	for _, d := range p.usable {
		if !p.now.Before(d.AliveSince.Add(wait)) {
			n++
		}
	}
	return n
}

// spreadWitnesses drops witnesses of a domain that has more than its share, if another domain has a daemon
// that has been alive for spreadWait. Otherwise the witnesses would stay concentrated after a failed domain
// returns, and the next failure of a domain could remove a majority of them.
func (p *planner) spreadWitnesses(l []ident.Daemon) (keep []ident.Daemon, reason string) {
	if p.countStable(spreadWait) < len(l) {
		return nil, ""
	}
	most := p.perDomain(spreadWait)
	count := map[ident.Domain]int{}
	for _, id := range l {
		d := p.daemons[id]
		if d == nil {
			return nil, "" // an unresponsive witness, which is replaced anyway
		}
		if count[d.Domain] >= most {
			reason = "witnesses rebalanced"
			continue
		}
		count[d.Domain]++
		keep = append(keep, id)
	}
	return keep, reason
}

// perDomain returns the most witnesses that one domain has if they are distributed evenly.
func (p *planner) perDomain(wait time.Duration) int {
	size := map[ident.Domain]int{}
	for _, d := range p.usable {
		if !p.now.Before(d.AliveSince.Add(wait)) {
			size[d.Domain]++
		}
	}
	for most := 1; ; most++ {
		room, all := 0, 0
		for _, n := range size {
			room += min(n, most)
			all += n
		}
		if room >= min(witnessCount, all) {
			return most
		}
	}
}

// pickWitnesses adds usable daemons to the kept witnesses, each from the domain that has the fewest.
func (p *planner) pickWitnesses(keep []ident.Daemon) []ident.Daemon {
	l := append([]ident.Daemon(nil), keep...)
	count := map[ident.Domain]int{}
	taken := map[ident.Daemon]bool{}
	for _, id := range l {
		taken[id] = true
		if d := p.daemons[id]; d != nil {
			count[d.Domain]++
		}
	}
	rank := live.Rank(p.now, string(p.in.Service.Name), p.in.Service.Region, p.in.Daemons)
	for len(l) < witnessCount {
		var best ident.Daemon
		for _, id := range rank {
			if !taken[id] && p.mayServe(p.daemons[id]) && (best == "" || count[p.daemons[id].Domain] < count[p.daemons[best].Domain]) {
				best = id
			}
		}
		if best == "" {
			break
		}
		taken[best] = true
		count[p.daemons[best].Domain]++
		l = append(l, best)
	}
	if len(l)%2 == 0 && len(l) > 0 {
		l = l[:len(l)-1]
	}
	return l
}

// shrinks reports whether the next set has fewer live members than the current one. A change that only
// shrinks the set is not worth its wait.
func (p *planner) shrinks(next, current []ident.Daemon) bool {
	return p.countAlive(next) < p.countAlive(current)
}

func (p *planner) countAlive(l []ident.Daemon) int {
	n := 0
	for _, d := range l {
		if !p.unresponsive(d) {
			n++
		}
	}
	return n
}

func sameDaemons(a, b []ident.Daemon) bool {
	m := map[ident.Daemon]bool{}
	for _, d := range a {
		m[d] = true
	}
	for _, d := range b {
		if !m[d] {
			return false
		}
	}
	return len(a) == len(b)
}
