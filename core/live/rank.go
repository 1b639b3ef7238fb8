package live

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Coordinator returns the first witness that is alive, or "" if none is.
//
// Two daemons may both act as coordinator when they consider different daemons alive. Their transactions then conflict,
// and the table commits only one of them.
func Coordinator(witnesses []ident.Daemon, alive func(ident.Daemon) bool) ident.Daemon {
	for _, w := range witnesses {
		if alive(w) {
			return w
		}
	}
	return ""
}

// Score returns the rendezvous hashing weight of a daemon for a name. The daemon with the highest score is selected. Adding
// or removing a daemon changes the selection only for the names for which it has the highest score.
func Score(name string, d ident.Daemon) uint64 {
	x := xxhash.New()
	_, _ = x.WriteString(name)
	_, _ = x.Write([]byte{0})
	_, _ = x.WriteString(string(d))
	return x.Sum64()
}

// Rank returns the daemons of a region that are alive and not leaving, by rendezvous score for the name. It alternates
// between failure domains, so that the first five daemons are suitable witnesses. Before a service has witnesses, the first
// daemon acts as coordinator.
func Rank(now mono.Time, name string, r ident.Region, daemons []Daemon) []ident.Daemon {
	byDomain := map[ident.Domain][]ident.Daemon{}
	for _, d := range daemons {
		if d.Alive(now) && !d.IsLeaving() && d.Region == r {
			byDomain[d.Domain] = append(byDomain[d.Domain], d.Daemon)
		}
	}
	byScore := func(a, b ident.Daemon) int {
		return cmp.Or(cmp.Compare(Score(name, b), Score(name, a)), cmp.Compare(a, b))
	}
	var lists [][]ident.Daemon
	for _, l := range byDomain {
		slices.SortFunc(l, byScore)
		lists = append(lists, l)
	}
	slices.SortFunc(lists, func(a, b []ident.Daemon) int { return byScore(a[0], b[0]) })
	return interleave(lists)
}

func interleave(lists [][]ident.Daemon) []ident.Daemon {
	var out []ident.Daemon
	for i := 0; ; i++ {
		n := len(out)
		for _, l := range lists {
			if i < len(l) {
				out = append(out, l[i])
			}
		}
		if len(out) == n {
			return out
		}
	}
}
