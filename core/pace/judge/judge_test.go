package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

func TestWorst(t *testing.T) {
	l := Limit{Ratio: 0.5, Slack: 1, Window: 10 * time.Second}
	const s = mono.Time(time.Second)
	for _, x := range []struct {
		name              string
		requests, repeats []mono.Time
		want              int
		allowed           float64
	}{
		{"none", []mono.Time{s}, nil, 0, 0},
		{"slack alone", nil, []mono.Time{5 * s}, 1, 1},
		{"requests of the same window", []mono.Time{5 * s, 6 * s}, []mono.Time{5 * s}, 1, 1.5},
		{"requests of the window before", []mono.Time{10 * s, 11 * s}, []mono.Time{20 * s, 21 * s}, 2, 2},
		{"beyond the window", nil, []mono.Time{5 * s, 15 * s, 16 * s}, 2, 1},
	} {
		r := Record{Requests: x.requests, Repeats: x.repeats}
		u := r.Worst(l)
		require.Equal(t, x.want, u.Repeats, x.name)
		require.InDelta(t, x.allowed, u.Allowed, 1e-9, x.name)
	}
}
