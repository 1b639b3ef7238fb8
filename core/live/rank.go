package live

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Coordinator returns the first witness that is alive, or nothing when none is.
//
// Two daemons may each take themselves for it, when they see different daemons alive. That costs a
// conflict of their transactions, of which the table commits one.
func Coordinator(witnesses []ident.Daemon, alive func(ident.Daemon) bool) ident.Daemon {
	for _, w := range witnesses {
		if alive(w) {
			return w
		}
	}
	return ""
}

// Score is the rendezvous weight of a daemon for a name. The highest score wins, and a daemon that comes
// or goes changes the winner only of the names that it wins itself.
func Score(name string, d ident.Daemon) uint64 {
	x := xxhash.New()
	_, _ = x.WriteString(name)
	_, _ = x.Write([]byte{0})
	_, _ = x.WriteString(string(d))
	return x.Sum64()
}

// Rank orders the daemons of a region that are alive and stay, by rendezvous score for the name, taking one domain
// after the other, so that the first five of them are good witnesses. Before a service has witnesses,
// the first one of the rank acts as coordinator.
func Rank(now mono.Time, name string, r ident.Region, daemons []Daemon) []ident.Daemon {
	byDomain := map[ident.Domain][]ident.Daemon{}
	for _, d := range daemons {
		if d.Alive(now) && !d.Leaves() && d.Region == r {
			byDomain[d.Domain] = append(byDomain[d.Domain], d.Daemon)
		}
	}
	score := func(a, b ident.Daemon) int {
		return cmp.Or(cmp.Compare(Score(name, b), Score(name, a)), cmp.Compare(a, b))
	}
	var lists [][]ident.Daemon
	for _, l := range byDomain {
		slices.SortFunc(l, score)
		lists = append(lists, l)
	}
	slices.SortFunc(lists, func(a, b []ident.Daemon) int { return score(a[0], b[0]) })
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
