package live

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const start = mono.Time(time.Hour)

func heartbeat(name string, i ident.Incarnation) Heartbeat {
	return Heartbeat{Daemon: ident.Daemon(name), Domain: "z0", Region: "r", Incarnation: i}
}

// advance returns the time after d. It calls the view every 50 ms until then, so that it doesn't detect a pause.
func advance(v *View, from mono.Time, d time.Duration) mono.Time {
	for t := from; t.Before(from.Add(d)); t = t.Add(50 * time.Millisecond) {
		v.Daemons(t)
	}
	return from.Add(d)
}

func TestSuspicionAndReturn(t *testing.T) {
	v := New(start, heartbeat("a", 1))
	v.Observe(start, heartbeat("b", 1))
	now := advance(v, start, SuspectAfter-time.Millisecond)
	require.True(t, v.Alive(now, "b"))
	now = advance(v, now, time.Millisecond)
	require.False(t, v.Alive(now, "b"))
	require.True(t, v.Alive(now, "a"), "itself")
	require.False(t, v.Alive(now, "c"), "no heartbeat received")
	now = advance(v, now, time.Second)
	v.Observe(now, heartbeat("b", 1))
	require.True(t, v.Alive(now, "b"))
	require.Equal(t, now, v.Daemons(now)[1].AliveSince)
	now = advance(v, now, ForgetAfter)
	require.Len(t, v.Daemons(now), 1)
}

// Guards against a heartbeat from before a restart that arrives after the first one from the new incarnation. It must not
// restore the old leaving flag or make the daemon look alive.
func TestHeartbeatOfOlderIncarnationIsIgnored(t *testing.T) {
	v := New(start, heartbeat("a", 1))
	v.Observe(start, heartbeat("b", 2))
	now := advance(v, start, 800*time.Millisecond)
	late := heartbeat("b", 1)
	late.Leaving = true
	v.Observe(now, late)
	now = advance(v, now, 200*time.Millisecond)
	require.False(t, v.Alive(now, "b"))
	require.False(t, v.Daemons(now)[1].IsLeaving())
}

// Guards against a process that suspects all others after its own pause of a minute, in which it received no heartbeats. Only
// time without heartbeats while it runs may count.
func TestOwnPauseDoesNotSuspectOthers(t *testing.T) {
	v := New(start, heartbeat("a", 1))
	v.Observe(start, heartbeat("b", 1))
	v.Observe(start, heartbeat("down", 1))
	now := advance(v, start, 800*time.Millisecond)
	v.Observe(now, heartbeat("b", 1))
	now = advance(v, now, 200*time.Millisecond)
	require.False(t, v.Alive(now, "down"))
	now = now.Add(time.Minute)
	require.True(t, v.Alive(now, "b"))
	require.False(t, v.Alive(now, "down"), "was suspected before the pause")
	now = advance(v, now, SuspectAfter)
	require.False(t, v.Alive(now, "b"), "has sent no heartbeat after the pause either")
}

// Guards against relying on the host list, which may lag or be wrong: a daemon that it lists as gone may send heartbeats, and
// one that it lists as live may be dead. It may only shorten the timeout of a daemon without heartbeats.
func TestHostListOnlyShortensTimeout(t *testing.T) {
	v := New(start, heartbeat("a", 1))
	v.Observe(start, heartbeat("b", 1))
	v.SetHostList(map[ident.Daemon]bool{"a": false})
	require.Equal(t, Unlisted, v.Daemons(start)[1].Listed, "a list that has not included the daemon yet has no effect")
	v.SetHostList(map[ident.Daemon]bool{"a": false, "b": true})
	require.True(t, v.Daemons(start)[1].IsLeaving())
	v.SetHostList(map[ident.Daemon]bool{"a": false})
	now := advance(v, start, SuspectAfterGone-time.Millisecond)
	require.True(t, v.Alive(now, "b"))
	now = advance(v, now, time.Millisecond)
	require.False(t, v.Alive(now, "b"))
	v.Observe(now, heartbeat("b", 1))
	require.True(t, v.Alive(now, "b"), "it sends heartbeats")
	v.SetHostList(map[ident.Daemon]bool{"a": false, "b": false})
	now = advance(v, now, SuspectAfter)
	require.False(t, v.Alive(now, "b"), "listed as live, but without heartbeats")
}

func TestCoordinatorIsFirstLiveWitness(t *testing.T) {
	alive := map[ident.Daemon]bool{"b": true, "c": true}
	is := func(d ident.Daemon) bool { return alive[d] }
	require.Equal(t, ident.Daemon("b"), Coordinator([]ident.Daemon{"a", "b", "c"}, is))
	require.Empty(t, Coordinator([]ident.Daemon{"a"}, is))
}

func TestRankInterleavesDomains(t *testing.T) {
	var l []Daemon
	domain := map[ident.Daemon]ident.Domain{}
	for i := range 12 {
		d := Daemon{Heartbeat: Heartbeat{Daemon: ident.Daemon(fmt.Sprintf("d%02d", i)), Domain: ident.Domain(fmt.Sprintf("z%d", i%3)), Region: "r"}, LastContact: start}
		domain[d.Daemon] = d.Domain
		l = append(l, d)
	}
	r := Rank(start, "svc", "r", l)
	require.Len(t, r, 12)
	for i := 0; i < 12; i += 3 {
		seen := map[ident.Domain]bool{domain[r[i]]: true, domain[r[i+1]]: true, domain[r[i+2]]: true}
		require.Len(t, seen, 3)
	}
	require.Empty(t, Rank(start, "svc", "other", l))
	l[0].Leaving = true
	require.NotContains(t, Rank(start, "svc", "r", l), ident.Daemon("d00"))
}
