package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const begin = mono.Time(time.Hour)

func target(id string) Target {
	return Target{Service: "s", Server: ident.Server(id)}
}

func TestOneLostServerSuspectsNoOther(t *testing.T) {
	p := NewPaths()
	p.Answered(begin, target("b"), true)
	lost, suspected := p.Failed(begin.Add(1), begin.Add(2), target("a"), Refused)
	require.True(t, lost)
	require.False(t, suspected)
	require.Equal(t, Unreachable, p.State(target("a")))
	require.Equal(t, Reachable, p.State(target("b")))
}

func TestTwoLostServersSuspectAllOfTheirService(t *testing.T) {
	p := NewPaths()
	p.Failed(begin, begin.Add(1), target("a"), Silent)
	_, suspected := p.Failed(begin, begin.Add(2), target("b"), Silent)
	require.True(t, suspected)
	require.Equal(t, Unverified, p.State(target("c")))
	p.Answered(begin.Add(3), target("c"), true)
	require.Equal(t, Reachable, p.State(target("d")), "one server answers, so the others are not suspected")
	require.Equal(t, Unreachable, p.State(target("a")))
}

// Guards against giving up the open connections to a server that accepts no new ones, and against trying new ones again and again
// because the open ones work.
func TestOpenConnectionsWorkWhileNewOnesFail(t *testing.T) {
	p := NewPaths()
	p.Answered(begin.Add(10), target("a"), false)
	lost, suspected := p.Failed(begin, begin.Add(20), target("a"), Silent)
	require.True(t, lost)
	require.False(t, suspected)
	require.Equal(t, Refused, p.Failure(target("a")))
	require.Zero(t, p.Answered(begin.Add(30), target("a"), false))
	require.Equal(t, Unreachable, p.State(target("a")))
	require.NotZero(t, p.Answered(begin.Add(40), target("a"), true))
	require.Equal(t, Reachable, p.State(target("a")))
}

func TestRecoveryIsReportedOnce(t *testing.T) {
	p := NewPaths()
	p.Failed(begin, begin.Add(time.Second), target("a"), Refused)
	p.Failed(begin, begin.Add(2*time.Second), target("a"), Refused)
	require.False(t, p.AllReachable())
	require.Equal(t, 4*time.Second, p.Answered(begin.Add(5*time.Second), target("a"), true))
	require.Zero(t, p.Answered(begin.Add(6*time.Second), target("a"), true))
	require.True(t, p.AllReachable())
}

func TestProbesOfUnreachableServerSlowDown(t *testing.T) {
	p := NewPaths()
	probes := 0
	for now := begin; now < begin.Add(10*time.Second); now = now.Add(10 * time.Millisecond) {
		if p.TakeProbe(now, target("a")) {
			probes++
			p.Failed(now, now, target("a"), Refused)
		}
	}
	require.Greater(t, probes, 9)
	require.Less(t, probes, 14)
}

func TestRetainDropsStateOfServersThatAreGone(t *testing.T) {
	p := NewPaths()
	p.Failed(begin, begin, target("a"), Refused)
	p.Failed(begin, begin, target("b"), Refused)
	p.Retain(func(t Target) bool { return t.Server == "c" })
	require.Empty(t, p.Unreachable(begin))
	require.False(t, p.Suspected("s"))
	require.True(t, p.AllReachable())
}

// Guards against requests that wait for servers of one service long after the servers of another are known to be unreachable.
func TestServicesWithoutAnswerAreVerified(t *testing.T) {
	p := NewPaths()
	other, third := Target{Service: "other", Server: "x"}, Target{Service: "third", Server: "y"}
	p.Answered(begin, other, true)
	p.Answered(begin, third, true)
	p.Failed(begin.Add(1), begin.Add(2), target("a"), Silent)
	require.Equal(t, Reachable, p.State(other))
	p.Failed(begin.Add(1), begin.Add(3), target("b"), Silent)
	p.Answered(begin.Add(4), third, true)
	require.Equal(t, Unverified, p.State(other))
	require.Equal(t, Reachable, p.State(third))
	p.Answered(begin.Add(5), target("a"), true)
	require.Equal(t, Reachable, p.State(other))
}

// probesPerSecond returns how many probes a daemon makes in ten seconds, per second, if a tenth of the servers is dead and another
// tenth leaves requests unanswered.
func probesPerSecond(servers int) float64 {
	p, now, n := NewPaths(), mono.Time(time.Hour), 0
	probe := func(i int, dead bool) {
		t := Target{Service: "s", Server: ident.Server(fmt.Sprint(i))}
		if !p.TakeProbe(now, t) {
			return
		}
		n++
		if dead {
			p.Failed(now, now, t, Refused)
		} else {
			p.Answered(now, t, true)
		}
	}
	for i := range servers / 10 {
		p.Failed(now, now, Target{Service: "s", Server: ident.Server(fmt.Sprint(i))}, Refused)
		p.Answered(now, Target{Service: "s", Server: "other"}, false)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for i := range servers / 5 {
			probe(i, i < servers/10)
		}
		p.Answered(now, Target{Service: "s", Server: "other"}, true)
	}
	return float64(n) / 10
}

// Guards against probes that multiply with the size of the site: all daemons probe the same dead and slow servers.
func TestProbesPerDaemonAreBounded(t *testing.T) {
	for _, n := range []int{43, 300, 1000, 4000} {
		x := probesPerSecond(n)
		t.Logf("%d servers: %.1f probes per second", n, x)
		require.LessOrEqual(t, x, 2*probeRate+2*probeBurst/10.0+0.1)
	}
}

// Guards against probing a slow server again as soon as it has accepted a connection.
func TestAcceptedProbeIsNotRepeatedAtOnce(t *testing.T) {
	p := NewPaths()
	require.True(t, p.TakeProbe(begin, target("a")))
	p.Answered(begin.Add(time.Millisecond), target("a"), true)
	require.False(t, p.TakeProbe(begin.Add(100*time.Millisecond), target("a")))
	require.True(t, p.TakeProbe(begin.Add(maxProbeInterval), target("a")))
}
