package choice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

const now = mono.Time(time.Hour)

func first(int) int { return 0 }

// Guards against late requests on servers that are slow or that suffer interference. Both the last report and the
// baseline slowdown decide.
func TestPick(t *testing.T) {
	fast := Load{Slots: 3, BaseSlowdown: 0.6, Slowdown: 0.6, ReportedAt: now}
	slow := Load{Slots: 3, BaseSlowdown: 1.4, Slowdown: 1.4, ReportedAt: now}
	interference := Load{Slots: 3, BaseSlowdown: 0.6, Slowdown: 1.8, ReportedAt: now}
	interferenceEarlier := Load{Slots: 3, BaseSlowdown: 0.6, Slowdown: 1.8, ReportedAt: now.Add(-time.Second)}
	full := Load{Slots: 3, BaseSlowdown: 0.6, Slowdown: 0.6, ReportedAt: now, OtherInFlight: 9}
	failed := Load{Slots: 3, BaseSlowdown: 0.6, Slowdown: 0.6, ReportedAt: now, AvoidUntil: now.Add(time.Second)}
	tests := []struct {
		name string
		l    []Candidate
		want int
	}{
		{"fast server", []Candidate{{Load: &slow}, {Load: &fast}}, 1},
		{"server with interference loses", []Candidate{{Load: &interference}, {Load: &slow}}, 1},
		{"interference a while ago", []Candidate{{Load: &interferenceEarlier}, {Load: &slow}}, 0},
		{"full server loses", []Candidate{{Load: &full}, {Load: &slow}}, 1},
		{"failed server loses", []Candidate{{Load: &failed}, {Load: &slow}}, 1},
		{"failed server, only candidate", []Candidate{{Load: &failed}}, 0},
		{"tried server is excluded", []Candidate{{Load: &fast, Tried: true}, {Load: &slow}}, 1},
		{"local one of two equal servers", []Candidate{{Load: &fast}, {Load: &fast, Local: true}}, 1},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			i, ok := Pick(now, x.l, 100*time.Millisecond, 10*time.Millisecond, first)
			require.True(t, ok)
			require.Equal(t, x.want, i)
		})
	}
	_, ok := Pick(now, []Candidate{{Load: &fast, Tried: true}}, time.Second, 0, first)
	require.False(t, ok)
}

// Guards against a server that attracts all requests because it refuses them fastest. The avoid time grows with each
// consecutive failure up to a bound, and one success ends it.
func TestAvoidTimeGrowsWithConsecutiveFailures(t *testing.T) {
	l := Load{}
	l.RecordFailure(now, 100*time.Millisecond)
	require.Equal(t, now.Add(100*time.Millisecond), l.AvoidUntil)
	l.RecordFailure(now, 100*time.Millisecond)
	require.Equal(t, now.Add(200*time.Millisecond), l.AvoidUntil)
	for range 20 {
		l.RecordFailure(now, 100*time.Millisecond)
	}
	require.Equal(t, now.Add(maxAvoid), l.AvoidUntil)
	l.RecordSuccess()
	require.Zero(t, l.AvoidUntil)
}

func TestQuantileResistsOutliers(t *testing.T) {
	q := Quantile{P: 0.5}
	for i := range 2000 {
		q.Add(100)
		if i%3 == 0 {
			q.Add(900) // a minority of much larger values
		}
	}
	require.InDelta(t, 100, q.Estimate, 15)
}
