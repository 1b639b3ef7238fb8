package reach

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

func TestWitnessesAreOfDifferentDomains(t *testing.T) {
	s, _ := newFleet()
	r := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		l := Witnesses(s, "a0", 3, r.IntN)
		require.Len(t, l, 3)
		domains := map[ident.Domain]bool{}
		for _, d := range l {
			require.NotEqual(t, ident.Daemon("a0"), d)
			domains[s.Daemons[d].Domain] = true
		}
		require.Len(t, domains, 3)
	}
	require.Len(t, Witnesses(s, "a0", 10, r.IntN), 6)
}

func TestOthersAreNearAndFar(t *testing.T) {
	s := &site.Snapshot{Servers: map[ident.Server]*site.Server{
		"x": {ID: "x", Service: "s", Domain: "a"}, "near": {ID: "near", Service: "s", Domain: "a"}, "far": {ID: "far", Service: "s", Domain: "b"},
		"gone": {ID: "gone", Service: "s", Domain: "b", Draining: true}, "other": {ID: "other", Service: "t", Domain: "a"},
	}}
	s.BuildIndex()
	r := rand.New(rand.NewPCG(5, 6))
	require.Equal(t, []ident.Server{"near", "far"}, Others(s, s.Servers["x"], 2, r.IntN))
	require.Equal(t, []ident.Server{"near"}, Others(s, s.Servers["x"], 1, r.IntN))
	require.Empty(t, Others(s, s.Servers["other"], 2, r.IntN))
}
