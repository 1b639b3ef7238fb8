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

// loseCoordinator returns a tracker whose coordinator has just fallen silent, and the time.
func loseCoordinator(t *testing.T, s *site.Snapshot, seed uint64) (*Tracker, mono.Time) {
	t.Helper()
	x := New("self", rand.New(rand.NewPCG(seed, 1)).IntN) //nolint:gosec // a draw by its seed
	c, ok := x.Next(mono.Time(1), s)
	require.True(t, ok)
	require.Equal(t, ident.Daemon("lead"), c.Peer)
	x.Failed(c.Until, s, c)
	return x, c.Until
}

// Guards against handshakes of a whole site with the smallest of its voters.
func TestAbleVotersAreAskedMore(t *testing.T) {
	s := newSite("small1", "small2", "small3", "able")
	s.Daemons["able"].Capacity = 1600
	n := 0
	for seed := range uint64(400) {
		x, now := loseCoordinator(t, s, seed)
		x.probeAt = now.Add(1)
		if c, ok := x.Next(now, s); ok && c.Peer == "able" {
			n++
		}
	}
	require.Greater(t, n, 250)
	require.Less(t, n, 390, "the others share the rest")
}

// Guards against daemons that ask the store in hundreds while it is out, and against one that relies on that for too long.
func TestStoreIsOutOnlyWhileVotersSaySo(t *testing.T) {
	s := newSite("v1", "v2", "v3", "v4")
	x, now := loseCoordinator(t, s, 0)
	c := Copy{AsOf: now.Add(-OldCopy)}
	own := x.StoreAt(now, s, c)
	require.False(t, x.Answered(now, s, "other", OldCopy), "reads the store no more than this daemon")
	require.False(t, x.Answered(now, s, "v1", OldCopy))
	require.False(t, x.Answered(now, s, "v2", OldCopy))
	require.Equal(t, own, x.StoreAt(now, s, c))
	require.False(t, x.Answered(now, s, "v3", OldCopy))
	require.Greater(t, x.StoreAt(now, s, c), own)
	require.LessOrEqual(t, x.StoreAt(now, s, c), now.Add(heardWithin), "looked at again when their word is old")
	require.True(t, x.Answered(now, s, "v3", 0))
	require.Equal(t, own, x.StoreAt(now, s, c))
}

// Guards against voters that give a slow coordinator up, so that another takes over, and against daemons that ask nobody else.
func TestSlowCoordinatorKeepsItsVoters(t *testing.T) {
	s := newSite("self", "v1", "v2")
	x, now := loseCoordinator(t, s, 0)
	others := 0
	for range 10 {
		c, ok := x.Next(now, s)
		require.True(t, ok)
		if c.Peer == "lead" {
			require.GreaterOrEqual(t, c.Until.Sub(now), elect.SyncWait(s, "self")+AnswerTime)
		} else {
			others++
		}
		now = c.Until
		x.Failed(now, s, c)
	}
	require.GreaterOrEqual(t, others, 4)
	require.LessOrEqual(t, others, 7)
}

// Guards against daemons that never hear a coordinator again which has become slow.
func TestSlowCoordinatorIsHeardAgain(t *testing.T) {
	s := newSite("v1", "v2")
	x, now := loseCoordinator(t, s, 0)
	full := elect.SyncWait(s, "self") + AnswerTime
	var limits []time.Duration
	for range 20 {
		c, ok := x.Next(now, s)
		require.True(t, ok)
		if c.Peer == "lead" {
			limits = append(limits, c.Until.Sub(now))
		}
		now = c.Until
		x.Failed(now, s, c)
	}
	require.Equal(t, AnswerTime, limits[0])
	require.Contains(t, limits[:4], full)
}
