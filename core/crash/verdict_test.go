package crash

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lost links that are taken for a crash, and against a crash that goes unnoticed.
func TestHasCrashed(t *testing.T) {
	cut, sound, alive := Observation{}, Observation{ReachedOthers: true}, Observation{Reached: true, ReachedOthers: true}
	for _, x := range []struct {
		name   string
		l      []Observation
		others int
		want   bool
	}{
		{"this daemon has lost its links", []Observation{cut, alive, alive, alive}, 2, false},
		{"this daemon and its peers have lost their links", []Observation{cut, cut, cut, cut}, 2, false},
		{"this daemon has lost its link to the server", []Observation{sound, alive, cut}, 2, false},
		{"the server has crashed", []Observation{sound, sound, sound, sound}, 2, true},
		{"the server has crashed and some links are lost", []Observation{cut, sound, cut, cut}, 2, true},
		{"no peer answers", []Observation{sound}, 2, true},
		{"the only server of its service", []Observation{cut, cut}, 0, true},
		{"the only server, which a peer reaches", []Observation{cut, {Reached: true}}, 0, false},
	} {
		require.Equal(t, x.want, HasCrashed(x.l, x.others), x.name)
	}
}
