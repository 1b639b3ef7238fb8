package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// Guards against an older observation, which arrives late from another daemon, restoring or ending a limit.
func TestNewestObservationCounts(t *testing.T) {
	k := Target{Server: "s", Born: 1}
	r := NewRecord()
	at := func(ms int) mono.Time { return mono.Time(time.Hour).Add(time.Duration(ms) * time.Millisecond) }
	require.Equal(t, Unchanged, r.Observe(k, Observation{At: at(0)}))
	require.Empty(t, r.Observations(), "servers that never named a limit aren't recorded")
	require.Equal(t, Named, r.Observe(k, Observation{Rate: 7.5, At: at(10)}))
	require.Equal(t, Unchanged, r.Observe(k, Observation{At: at(5)}))
	require.Equal(t, Altered, r.Observe(k, Observation{Rate: 3, At: at(20)}))
	rate, ok := r.Limit(k)
	require.True(t, ok)
	require.InDelta(t, 3, rate, 0)
	require.Equal(t, Ended, r.Observe(k, Observation{At: at(30)}))
	require.Equal(t, Unchanged, r.Observe(k, Observation{Rate: 7.5, At: at(25)}))
	require.Zero(t, r.Count())
	require.Equal(t, Named, r.Observe(k, Observation{Rate: 0.001, At: at(40)}))
	rate, _ = r.Limit(k)
	require.InDelta(t, MinRate, rate, 0, "some requests must show when the limit has ended")
}

// Guards against applying a limit to another incarnation of the server, and against keeping limits of lost servers forever.
func TestLimitsOfLostServersArePruned(t *testing.T) {
	now := mono.Time(time.Hour)
	s := &site.Snapshot{Servers: map[ident.Server]*site.Server{"a": {ID: "a", Born: 2}, "b": {ID: "b", Born: 1}}}
	r := NewRecord()
	r.Observe(Target{Server: "a", Born: 1}, Observation{Rate: 5, At: now})
	r.Observe(Target{Server: "b", Born: 1}, Observation{Rate: 5, At: now})
	_, ok := r.Limit(TargetOf(s.Servers["a"]))
	require.False(t, ok)
	require.True(t, r.Prune(now, s))
	require.Len(t, r.Observations(), 1)
	r.Observe(Target{Server: "b", Born: 1}, Observation{At: now})
	require.False(t, r.Prune(now, s))
	require.True(t, r.Prune(now.Add(endedTTL+1), s))
}
