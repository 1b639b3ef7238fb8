package choice

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

// Guards against servers that get twice the requests of others because they are in more subsets.
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

// simulateSite runs 86 daemons that send to a large service, and returns the fraction of requests that take longer
// than three times the service time. At any moment a fifth of the servers is three times slower for 0.4 s.
func simulateSite(subsets bool) float64 {
	const (
		servers, daemons = 96, 86
		serviceTime      = 280 * time.Millisecond
		rate             = 590 // requests per second
	)
	r := rand.New(rand.NewPCG(1, 2))
	type server struct {
		busyUntil [3]mono.Time
		slowdown  float64
	}
	all := make([]server, servers)
	loads := make([][]Load, daemons)
	for d := range loads {
		loads[d] = make([]Load, servers)
		for s := range loads[d] {
			loads[d][s].Slots = 3
		}
	}
	late, total := 0, 0
	var slowdownsSet mono.Time
	for t := mono.Time(time.Hour); t < mono.Time(time.Hour+40*time.Second); t = t.Add(time.Second / rate) {
		if t.Sub(slowdownsSet) > 400*time.Millisecond {
			slowdownsSet = t
			for s := range all {
				all[s].slowdown = 1
				if r.IntN(5) == 0 {
					all[s].slowdown = 3
				}
			}
		}
		d := r.IntN(daemons)
		l := make([]Candidate, servers)
		for s := range l {
			l[s].Load = &loads[d][s]
		}
		if subsets {
			for _, s := range Subset(servers, daemons, d) { // four local servers and four of all
				l[s].InSubset, l[(s+servers/2)%servers].InSubset = true, true
			}
		}
		s, _ := Pick(t, l, serviceTime, 0, r.IntN)
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
		end := max(t, x.busyUntil[slot]).Add(time.Duration(float64(serviceTime) * x.slowdown * (0.5 + r.ExpFloat64()/2)))
		x.busyUntil[slot] = end
		loads[d][s].ApplyReport(t, running, 0, x.slowdown)
		total++
		if end.Sub(t) > 3*serviceTime {
			late++
		}
	}
	return float64(late) / float64(total)
}

// Guards against late requests on servers with interference while most have none. A daemon that draws from all servers
// knows their load from seconds ago; with a subset its view is current.
func TestSubsetCutsLateRequests(t *testing.T) {
	all, few := simulateSite(false), simulateSite(true)
	t.Logf("late: drawn from all servers %.3f, from a subset %.3f", all, few)
	require.Less(t, few, 0.6*all)
}
