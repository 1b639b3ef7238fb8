package elect

import (
	"cmp"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/site"
)

// Reach is how many of a set of backend servers a daemon can connect to.
type Reach struct {
	Daemon  ident.Daemon
	Reached int
}

// Successor returns the daemon that the coordinator should hand its role to because its own orders don't reach servers that the
// other daemon reaches, or "" if it should stay. The coordinator itself reaches own of the servers that the others were asked for.
func Successor(s *site.Snapshot, own int, l []Reach) ident.Daemon {
	x := State{Snapshot: s}
	best := Reach{Reached: own}
	for _, r := range l {
		if s.Daemons[r.Daemon] == nil || r.Reached <= own {
			continue
		}
		if best.Daemon == "" || cmp.Or(cmp.Compare(r.Reached, best.Reached), x.candidate(r.Daemon).compare(x.candidate(best.Daemon))) > 0 {
			best = r
		}
	}
	return best.Daemon
}

// maxAsked bounds the daemons that are asked what they reach.
const maxAsked = MaxVoters + 3

// AskForReach returns the daemons that the coordinator asks what they reach: the other voters and, if there are more daemons, a few
// of them by their score for the term. All voters may have lost the same servers.
func AskForReach(s *site.Snapshot, self ident.Daemon) []ident.Daemon {
	x := State{Snapshot: s}
	var l []ident.Daemon
	rest := map[uint64]ident.Daemon{}
	for d := range s.Daemons {
		switch {
		case d == self:
		case x.isVoter(d) && len(s.Voters) > 0:
			l = append(l, d)
		default:
			rest[live.Score(scoreName, d)+uint64(s.Coordinator.Term)*scoreStep] = d
		}
	}
	for len(l) < maxAsked && len(rest) > 0 {
		var highest uint64
		for k := range rest {
			highest = max(highest, k)
		}
		l = append(l, rest[highest])
		delete(rest, highest)
	}
	return l
}

// scoreStep spreads the scores of successive terms.
const scoreStep = 0x9e3779b97f4a7c15
