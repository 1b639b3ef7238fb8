package reach

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// newFleet returns a site with four daemons in domain a, two in b of the same region, and one in c of another.
func newFleet() (*site.Snapshot, *Relays) {
	s := &site.Snapshot{Daemons: map[ident.Daemon]*site.Daemon{}, Servers: map[ident.Server]*site.Server{}}
	for d, domain := range map[ident.Daemon]ident.Domain{"a0": "a", "a1": "a", "a2": "a", "a3": "a", "b0": "b", "b1": "b", "c0": "c"} {
		s.Daemons[d] = &site.Daemon{Name: d, Domain: domain}
	}
	r := rand.New(rand.NewPCG(1, 2))
	return s, NewRelays("a0", map[ident.Domain]ident.Region{"a": "r", "b": "r", "c": "other"}, r.IntN)
}

func TestRelayIsLocalUnlessBusy(t *testing.T) {
	s, r := newFleet()
	seen := map[ident.Daemon]int{}
	for range 90 {
		d, ok := r.Pick(begin, s, "s", "", nil)
		require.True(t, ok)
		seen[d]++
		r.Started(d)
	}
	require.Greater(t, seen["a1"], 10)
	require.Greater(t, seen["b0"], 5, "peers of other domains take a part of a large load")
	require.Zero(t, seen["a0"])
}

// Guards against sending requests to a region that their callers are not in.
func TestRelayStaysInRegion(t *testing.T) {
	s, r := newFleet()
	_, ok := r.Pick(begin, s, "s", "", []ident.Daemon{"a1", "a2", "a3", "b0", "b1"})
	require.False(t, ok)
}

func TestPeerWithoutServiceIsAvoidedForThatServiceOnly(t *testing.T) {
	s, r := newFleet()
	others := []ident.Daemon{"a2", "a3", "b0", "b1"}
	r.Started("a1")
	r.Ended(begin, "a1", "s", "x", ServiceUnreachable)
	_, ok := r.Pick(begin, s, "s", "y", others)
	require.False(t, ok)
	d, ok := r.Pick(begin, s, "t", "", others)
	require.True(t, ok)
	require.Equal(t, ident.Daemon("a1"), d)
	_, ok = r.Pick(begin.Add(minAvoidance), s, "s", "y", others)
	require.True(t, ok, "it may reach the service again")
}

func TestPeerWithoutOneServerIsAskedForOthers(t *testing.T) {
	s, r := newFleet()
	others := []ident.Daemon{"a2", "a3", "b0", "b1"}
	r.Started("a1")
	r.Ended(begin, "a1", "s", "x", ServerUnreachable)
	_, ok := r.Pick(begin, s, "s", "x", others)
	require.False(t, ok)
	_, ok = r.Pick(begin, s, "s", "y", others)
	require.True(t, ok)
}

func TestFailedPeerIsAvoidedLongerEachTime(t *testing.T) {
	s, r := newFleet()
	others := []ident.Daemon{"a2", "a3", "b0", "b1"}
	now, asked := begin, 0
	for ; now < begin.Add(20*time.Second); now = now.Add(100 * time.Millisecond) {
		if d, ok := r.Pick(now, s, "s", "", others); ok {
			asked++
			r.Started(d)
			r.Ended(now, d, "s", "", PeerFailed)
		}
	}
	require.Less(t, asked, 9)
	now = now.Add(maxAvoidance)
	d, ok := r.Pick(now, s, "s", "", others)
	require.True(t, ok)
	r.Started(d)
	r.Ended(now, d, "s", "", Reached)
	_, ok = r.Pick(now, s, "s", "", others)
	require.True(t, ok)
}

// Guards against requests that are refused because several peers in a row can't reach the service, while others are known to.
func TestRelayPrefersPeersThatReachedTheService(t *testing.T) {
	s, r := newFleet()
	r.Started("b1")
	r.Ended(begin, "b1", "s", "", Reached)
	seen := map[ident.Daemon]int{}
	for range 800 {
		d, ok := r.Pick(begin.Add(time.Second), s, "s", "", nil)
		require.True(t, ok)
		seen[d]++
	}
	require.Greater(t, seen["b1"], 600)
	require.Less(t, seen["b1"], 780, "others are tried as well")
	d, _ := r.Pick(begin.Add(time.Second), s, "s", "", []ident.Daemon{"a1"})
	require.Equal(t, ident.Daemon("b1"), d, "the second peer of a request is one that reached the service")
}

// Guards against asking peers that have just asked this daemon for the same service.
func TestPeerThatAsksIsNotAsked(t *testing.T) {
	s, r := newFleet()
	r.Asked(begin, "a1", "s")
	others := []ident.Daemon{"a2", "a3", "b0", "b1"}
	_, ok := r.Pick(begin, s, "s", "", others)
	require.False(t, ok)
	_, ok = r.Pick(begin, s, "t", "", others)
	require.True(t, ok)
}
