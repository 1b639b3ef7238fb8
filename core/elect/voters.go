package elect

import (
	"cmp"
	"maps"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/site"
)

// MaxVoters bounds the number of voters. A takeover expects the rows of a majority of them in one transaction, and
// each candidate asks all of them. Neither may grow with the site.
const MaxVoters = 21

// Voters returns the daemons that vote on the coordinator, sorted, with self among them. In a small site these are all
// daemons. In a large one they are those with the highest capacity in each failure domain, spread evenly so that any
// one domain may be lost.
func Voters(self ident.Daemon, daemons map[ident.Daemon]*site.Daemon) []ident.Daemon {
	return fill([]ident.Daemon{self}, daemons)
}

// ReplaceVoters returns the voters, sorted, with those that have left the site replaced. It reports whether the set
// differs from the present one.
func ReplaceVoters(self ident.Daemon, voters []ident.Daemon, daemons map[ident.Daemon]*site.Daemon) ([]ident.Daemon, bool) {
	l := []ident.Daemon{self}
	for _, v := range voters {
		if v != self && daemons[v] != nil {
			l = append(l, v)
		}
	}
	l = fill(l, daemons)
	return l, !slices.Equal(l, slices.Sorted(slices.Values(voters)))
}

// fill adds daemons from the failure domains with the fewest voters up to MaxVoters, and sorts the result.
func fill(l []ident.Daemon, daemons map[ident.Daemon]*site.Daemon) []ident.Daemon {
	rest := map[ident.Domain][]ident.Daemon{}
	votes := map[ident.Domain]int{}
	for d, x := range daemons {
		if slices.Contains(l, d) {
			votes[x.Domain]++
			continue
		}
		rest[x.Domain] = append(rest[x.Domain], d)
	}
	for _, x := range rest {
		slices.SortFunc(x, func(a, b ident.Daemon) int {
			return cmp.Or(cmp.Compare(daemons[b].Capacity, daemons[a].Capacity), cmp.Compare(live.Score(scoreName, b), live.Score(scoreName, a)))
		})
	}
	for len(l) < MaxVoters && len(rest) > 0 {
		n := slices.MinFunc(slices.Sorted(maps.Keys(rest)), func(a, b ident.Domain) int { return cmp.Compare(votes[a], votes[b]) })
		l = append(l, rest[n][0])
		votes[n]++
		if rest[n] = rest[n][1:]; len(rest[n]) == 0 {
			delete(rest, n)
		}
	}
	slices.Sort(l)
	return l
}
