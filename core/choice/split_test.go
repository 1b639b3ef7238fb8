package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

// Guards against a part that gets more or less than its weight, over all requests or over a few hundred. The weights
// must hold whatever is local, for any number of daemons, and across a change of the weights.
func TestSplitKeepsWeights(t *testing.T) {
	for _, daemons := range []int{1, 9, 80} {
		for _, w := range []float64{0.05, 0.26, 0.5, 0.9} {
			t.Run(fmt.Sprint(daemons, w), func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, 2))
				splits := make([]Splitter, daemons)
				const window = 300
				for round := range 40 {
					if round == 20 {
						w = 1 - w
					}
					n := map[ident.Service]int{}
					for range window {
						s := &splits[r.IntN(daemons)]
						n[s.Pick([]Part{
							{Service: "keyed", Weight: 100 * w, Local: r.IntN(4) == 0}, {Service: "plain", Weight: 100 * (1 - w), Local: true},
						}, daemons)]++
					}
					most := 0.1
					if round == 20 {
						most = 0.15 // 80 daemons get four requests each during the change of weights
					}
					require.InDelta(t, w, float64(n["keyed"])/window, most, "round %d", round)
				}
			})
		}
	}
}

// Guards against large answers of a keyed part that cross failure domains. The owners of keys are in any domain, so a
// quarter of the requests have a local owner. A part with a quarter of the weight should get mostly those.
func TestSplitPrefersLocalServers(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	s, crossDomain, keyed := Splitter{}, 0, 0
	for range 4000 {
		local := r.IntN(4) == 0
		if s.Pick([]Part{{Service: "keyed", Weight: 1, Local: local}, {Service: "plain", Weight: 3, Local: true}}, 9) != "keyed" {
			continue
		}
		keyed++
		if !local {
			crossDomain++
		}
	}
	t.Logf("%d requests to the keyed part, %d of them cross-domain", keyed, crossDomain)
	require.InDelta(t, 1000, keyed, 20)
	require.Less(t, float64(crossDomain), 0.3*float64(keyed))
}

// Covers splits that operators may configure by mistake.
func TestUnusualSplits(t *testing.T) {
	tests := []struct {
		name string
		l    []Part
		want ident.Service
	}{
		{"one part", []Part{{Service: "a", Weight: 1}}, "a"},
		{"one part without weight", []Part{{Service: "a"}}, "a"},
		{"no weights at all", []Part{{Service: "a"}, {Service: "b", Local: true}}, "a"},
		{"a part without weight is not sent to", []Part{{Service: "a", Local: true}, {Service: "b", Weight: 1}}, "b"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			s := Splitter{}
			for range 50 {
				require.Equal(t, x.want, s.Pick(x.l, 1))
			}
		})
	}
}
