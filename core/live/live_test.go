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

func word(name string, i ident.Incarnation) Word {
	return Word{Daemon: ident.Daemon(name), Domain: "z0", Region: "r", Incarnation: i}
}

// later asks often enough on the way not to look paused.
func later(v *View, from mono.Time, d time.Duration) mono.Time {
	for t := from; t.Before(from.Add(d)); t = t.Add(50 * time.Millisecond) {
		v.Daemons(t)
	}
	return from.Add(d)
}

func TestSilenceAndReturn(t *testing.T) {
	v := New(start, word("a", 1))
	v.Hear(start, word("b", 1))
	now := later(v, start, SilentAfter-time.Millisecond)
	require.True(t, v.Alive(now, "b"))
	now = later(v, now, time.Millisecond)
	require.False(t, v.Alive(now, "b"))
	require.True(t, v.Alive(now, "a"), "itself")
	require.False(t, v.Alive(now, "c"), "never heard")
	now = later(v, now, time.Second)
	v.Hear(now, word("b", 1))
	require.True(t, v.Alive(now, "b"))
	require.Equal(t, now, v.Daemons(now)[1].Since)
	now = later(v, now, ForgetAfter)
	require.Len(t, v.Daemons(now), 1)
}

// A word from before a restart arrives after the first word of the new life. Nobody may see the daemon's
// old leaving flag come back, or take the late word for a sign of life.
func TestLateWordOfOlderIncarnationIsIgnored(t *testing.T) {
	v := New(start, word("a", 1))
	v.Hear(start, word("b", 2))
	now := later(v, start, 800*time.Millisecond)
	late := word("b", 1)
	late.Leaving = true
	v.Hear(now, late)
	now = later(v, now, 200*time.Millisecond)
	require.False(t, v.Alive(now, "b"))
	require.False(t, v.Daemons(now)[1].Leaves())
}

// The process is frozen for a minute and goes on. At its first look everybody has been silent for a
// minute, though it is the one that was away; it must wait for a silence that it was there to see.
func TestOwnPauseIsNoSilenceOfOthers(t *testing.T) {
	v := New(start, word("a", 1))
	v.Hear(start, word("b", 1))
	v.Hear(start, word("dead", 1))
	now := later(v, start, 800*time.Millisecond)
	v.Hear(now, word("b", 1))
	now = later(v, now, 200*time.Millisecond)
	require.False(t, v.Alive(now, "dead"))
	now = now.Add(time.Minute)
	require.True(t, v.Alive(now, "b"))
	require.False(t, v.Alive(now, "dead"), "was silent before the pause")
	now = later(v, now, SilentAfter)
	require.False(t, v.Alive(now, "b"), "and is still silent after it")
}

// The host list lags and errs: it may call a daemon gone that speaks, or live that is dead. It only
// shortens the wait for one that is silent too.
func TestHostListIsOnlyAHint(t *testing.T) {
	v := New(start, word("a", 1))
	v.Hear(start, word("b", 1))
	v.List(map[ident.Daemon]bool{"a": false})
	require.Equal(t, Unlisted, v.Daemons(start)[1].Listed, "a list that has not caught up says nothing")
	v.List(map[ident.Daemon]bool{"a": false, "b": true})
	require.True(t, v.Daemons(start)[1].Leaves())
	v.List(map[ident.Daemon]bool{"a": false})
	now := later(v, start, SilentListed-time.Millisecond)
	require.True(t, v.Alive(now, "b"))
	now = later(v, now, time.Millisecond)
	require.False(t, v.Alive(now, "b"))
	v.Hear(now, word("b", 1))
	require.True(t, v.Alive(now, "b"), "it speaks")
	v.List(map[ident.Daemon]bool{"a": false, "b": false})
	now = later(v, now, SilentAfter)
	require.False(t, v.Alive(now, "b"), "listed as live, and silent")
}

func TestCoordinatorIsFirstLiveWitness(t *testing.T) {
	alive := map[ident.Daemon]bool{"b": true, "c": true}
	is := func(d ident.Daemon) bool { return alive[d] }
	require.Equal(t, ident.Daemon("b"), Coordinator([]ident.Daemon{"a", "b", "c"}, is))
	require.Empty(t, Coordinator([]ident.Daemon{"a"}, is))
}

func TestRankInterleavesDomainsAndHardlyChanges(t *testing.T) {
	var l []Daemon
	domain := map[ident.Daemon]ident.Domain{}
	for i := range 12 {
		d := Daemon{Word: Word{Daemon: ident.Daemon(fmt.Sprintf("d%02d", i)), Domain: ident.Domain(fmt.Sprintf("z%d", i%3)), Region: "r"}, Heard: start}
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
