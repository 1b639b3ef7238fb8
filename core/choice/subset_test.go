package choice

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

// Some servers get twice the requests of others, because more daemons send to them as a rule.
func TestSubsetsAreEven(t *testing.T) {
	for _, x := range []struct{ servers, daemons int }{{96, 86}, {20, 86}, {145, 12}, {8, 12}, {3, 7}, {1, 1}} {
		n := make([]int, x.servers)
		for p := range x.daemons {
			for _, s := range Subset(x.servers, x.daemons, p) {
				n[s]++
			}
		}
		least, most := n[0], n[0]
		for _, c := range n {
			least, most = min(least, c), max(most, c)
		}
		require.LessOrEqual(t, most-least, 2, "%+v: %v", x, n)
	}
	require.Empty(t, Subset(0, 3, 1))
	require.Empty(t, Subset(3, 0, 0))
}

// site plays 86 daemons that send to the servers of a large service, and returns the share of requests that took longer
// than three times the usual work. At any moment a fifth of the servers is three times slower for 0.4 s.
func site(subsets bool) float64 {
	const (
		servers, daemons = 96, 86
		unit             = 280 * time.Millisecond
		rate             = 590 // requests a second
	)
	r := rand.New(rand.NewPCG(1, 2))
	type server struct {
		busyUntil [3]mono.Time
		pace      float64
	}
	all := make([]server, servers)
	know := make([][]Load, daemons)
	for d := range know {
		know[d] = make([]Load, servers)
		for s := range know[d] {
			know[d][s].Slots = 3
		}
	}
	late, total := 0, 0
	var paced mono.Time
	for t := mono.Time(time.Hour); t < mono.Time(time.Hour+40*time.Second); t = t.Add(time.Second / rate) {
		if t.Sub(paced) > 400*time.Millisecond {
			paced = t
			for s := range all {
				all[s].pace = 1
				if r.IntN(5) == 0 {
					all[s].pace = 3
				}
			}
		}
		d := r.IntN(daemons)
		l := make([]Candidate, servers)
		for s := range l {
			l[s].Load = &know[d][s]
		}
		if subsets {
			for _, s := range Subset(servers, daemons, d) { // four nearby and four of all
				l[s].Usual, l[(s+servers/2)%servers].Usual = true, true
			}
		}
		s, _ := Pick(t, l, unit, 0, r.IntN)
		x := &all[s]
		slot, running := 0, 0
		for i, u := range x.busyUntil {
			if u < x.busyUntil[slot] {
				slot = i
			}
			if u > t {
				running++
			}
		}
		end := max(t, x.busyUntil[slot]).Add(time.Duration(float64(unit) * x.pace * (0.5 + r.ExpFloat64()/2)))
		x.busyUntil[slot] = end
		know[d][s].Report(t, running, 0, x.pace)
		total++
		if end.Sub(t) > 3*unit {
			late++
		}
	}
	return float64(late) / float64(total)
}

// Corrections are late on servers that their neighbours disturb, although most are left alone: what a daemon knows of a
// server is from seconds ago. A daemon that keeps to a few meets them in time.
func TestSubsetKnowsItsServers(t *testing.T) {
	all, few := site(false), site(true)
	t.Logf("late: drawn from all %.3f, kept to a few %.3f", all, few)
	require.Less(t, few, 0.6*all)
}
