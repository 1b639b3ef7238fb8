package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

// A part of a split gets more or less than its weight, over all requests or over some hundreds of them: whatever is near,
// however many daemons there are, and when the operator changes the weights in between.
func TestSplitKeepsWeights(t *testing.T) {
	for _, daemons := range []int{1, 9, 80} {
		for _, w := range []float64{0.05, 0.26, 0.5, 0.9} {
			t.Run(fmt.Sprint(daemons, w), func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, 2))
				splits := make([]Split, daemons)
				const window = 300
				for round := range 40 {
					if round == 20 {
						w = 1 - w
					}
					n := map[ident.Service]int{}
					for range window {
						s := &splits[r.IntN(daemons)]
						n[s.Pick([]Part{
							{Service: "keyed", Weight: 100 * w, Near: r.IntN(4) == 0}, {Service: "plain", Weight: 100 * (1 - w), Near: true},
						}, daemons)]++
					}
					most := 0.1
					if round == 20 {
						most = 0.15 // 80 daemons get four requests each while they go over to other weights
					}
					require.InDelta(t, w, float64(n["keyed"])/window, most, "round %d", round)
				}
			})
		}
	}
}

// Three of four large answers of a keyed part cross failure domains, as its holders lie anywhere. A quarter of the requests
// have their holder nearby; a part that gets a quarter of them gets mostly those.
func TestSplitPrefersWhatIsNear(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	s, crossed, keyed := Split{}, 0, 0
	for range 4000 {
		near := r.IntN(4) == 0
		if s.Pick([]Part{{Service: "keyed", Weight: 1, Near: near}, {Service: "plain", Weight: 3, Near: true}}, 9) != "keyed" {
			continue
		}
		keyed++
		if !near {
			crossed++
		}
	}
	t.Logf("of %d requests to the keyed part %d crossed", keyed, crossed)
	require.InDelta(t, 1000, keyed, 20)
	require.Less(t, float64(crossed), 0.3*float64(keyed))
}

// Splits as operators may write them by mistake.
func TestOddSplits(t *testing.T) {
	tests := []struct {
		name string
		l    []Part
		want ident.Service
	}{
		{"one part", []Part{{Service: "a", Weight: 1}}, "a"},
		{"one part without weight", []Part{{Service: "a"}}, "a"},
		{"no weights at all", []Part{{Service: "a"}, {Service: "b", Near: true}}, "a"},
		{"a part without weight is not sent to", []Part{{Service: "a", Near: true}, {Service: "b", Weight: 1}}, "b"},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			s := Split{}
			for range 50 {
				require.Equal(t, x.want, s.Pick(x.l, 1))
			}
		})
	}
}
