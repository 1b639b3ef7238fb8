package source

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

func newSite(voters ...ident.Daemon) *site.Snapshot {
	s := &site.Snapshot{
		Daemons: map[ident.Daemon]*site.Daemon{}, Voters: voters, Coordinator: site.Coordinator{Daemon: "lead", Term: 1},
	}
	for _, d := range append([]ident.Daemon{"lead", "self", "other"}, voters...) {
		s.Daemons[d] = &site.Daemon{Name: d, Capacity: 160}
	}
	return s
}

// loseCoordinator returns a tracker whose coordinator has just failed to answer a call, and the time.
func loseCoordinator(t *testing.T, s *site.Snapshot, seed uint64) (*Tracker, mono.Time) {
	t.Helper()
	x := New("self", rand.New(rand.NewPCG(seed, 1)).IntN) //nolint:gosec // reproducible choices
	c, ok := x.Next(mono.Time(1), s)
	require.True(t, ok)
	require.Equal(t, ident.Daemon("lead"), c.Peer)
	x.Failed(c.Deadline, s, c)
	return x, c.Deadline
}

// Guards against a whole site whose handshakes go to its smallest voters when the coordinator fails.
func TestVotersAreChosenByCapacity(t *testing.T) {
	s := newSite("small1", "small2", "small3", "large")
	s.Daemons["large"].Capacity = 1600
	n := 0
	for seed := range uint64(400) {
		x, now := loseCoordinator(t, s, seed)
		x.probeAt = now.Add(1)
		if c, ok := x.Next(now, s); ok && c.Peer == "large" {
			n++
		}
	}
	require.Greater(t, n, 250)
	require.Less(t, n, 390, "the small voters are selected too")
}

// Guards against hundreds of daemons that poll the store during an outage, and against a daemon that assumes an outage after
// the voters' answers have expired.
func TestOutageNeedsRecentAnswersOfVoters(t *testing.T) {
	s := newSite("v1", "v2", "v3", "v4")
	x, now := loseCoordinator(t, s, 0)
	c := Copy{AsOf: now.Add(-OutdatedAge)}
	own := x.StorePollAt(now, s, c)
	require.False(t, x.Answered(now, s, "other", OutdatedAge), "a daemon that is no voter does not count towards an outage")
	require.False(t, x.Answered(now, s, "v1", OutdatedAge))
	require.False(t, x.Answered(now, s, "v2", OutdatedAge))
	require.Equal(t, own, x.StorePollAt(now, s, c))
	require.False(t, x.Answered(now, s, "v3", OutdatedAge))
	require.Greater(t, x.StorePollAt(now, s, c), own)
	require.LessOrEqual(t, x.StorePollAt(now, s, c), now.Add(answerTTL), "the outage is no longer assumed when the voters' answers expire")
	require.True(t, x.Answered(now, s, "v3", 0))
	require.Equal(t, own, x.StorePollAt(now, s, c))
}

// Guards against voters that stop polling a slow coordinator, so that another takes over, and against daemons that poll only
// the slow coordinator.
func TestVotersKeepPollingSlowCoordinator(t *testing.T) {
	s := newSite("self", "v1", "v2")
	x, now := loseCoordinator(t, s, 0)
	others := 0
	for range 10 {
		c, ok := x.Next(now, s)
		require.True(t, ok)
		if c.Peer == "lead" {
			require.GreaterOrEqual(t, c.Deadline.Sub(now), elect.SyncWait(s, "self")+ResponseTimeout)
		} else {
			others++
		}
		now = c.Deadline
		x.Failed(now, s, c)
	}
	require.GreaterOrEqual(t, others, 4)
	require.LessOrEqual(t, others, 7)
}

// Guards against daemons whose probes of a slow coordinator always time out, so that they never use it again.
func TestSlowCoordinatorIsUsedAgain(t *testing.T) {
	s := newSite("v1", "v2")
	x, now := loseCoordinator(t, s, 0)
	full := elect.SyncWait(s, "self") + ResponseTimeout
	var limits []time.Duration
	for range 20 {
		c, ok := x.Next(now, s)
		require.True(t, ok)
		if c.Peer == "lead" {
			limits = append(limits, c.Deadline.Sub(now))
		}
		now = c.Deadline
		x.Failed(now, s, c)
	}
	require.Equal(t, ResponseTimeout, limits[0])
	require.Contains(t, limits[:4], full)
}
