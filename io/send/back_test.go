package send

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/choice"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
)

// loadOf reads "RUNNING WAITING" from a header of one digit each.
func loadOf(v []byte) (Report, bool) {
	if len(v) != 2 {
		return Report{}, false
	}
	return Report{Running: int(v[0] - '0'), Waiting: int(v[1] - '0'), Pace: 1}, true
}

// see lets a server end one exchange and returns for how long it is left alone.
func see(b *back, now mono.Time, x conns.Result, status int, load string) time.Duration {
	resp := &fasthttp.Response{}
	resp.SetStatusCode(status)
	resp.Header.Set("Load", load)
	b.observe(now, x, resp, time.Millisecond, Dialect{Load: "Load", ParseLoad: loadOf})
	return max(0, b.load.AvoidUntil.Sub(now))
}

// Keys go unserved although their holder serves half of what it is sent. It turns the other half away, and was left alone
// for up to 3 s after some refusals in a row, as if another server could take its requests. A holder is left alone only
// where it has no room, for a moment; a server of a service without keys longer after each refusal.
func TestHolderThatRefuses(t *testing.T) {
	refused := conns.Result{Outcome: retry.NotRun, End: admit.EndRefused}
	holder := &back{keyed: true, load: choice.Load{Slots: 3}}
	other := &back{load: choice.Load{Slots: 3}}
	now := mono.Time(time.Hour)
	for range 6 {
		require.Zero(t, see(holder, now, refused, fasthttp.StatusServiceUnavailable, "10"), "it has room")
		see(other, now, refused, fasthttp.StatusServiceUnavailable, "10")
	}
	require.GreaterOrEqual(t, other.load.AvoidUntil.Sub(now), time.Second)
	for range 6 {
		require.Equal(t, avoidFull, see(holder, now, refused, fasthttp.StatusServiceUnavailable, "39"), "it has none")
	}
	other = &back{load: choice.Load{Slots: 3}}
	require.Zero(t, see(other, now, refused, fasthttp.StatusMisdirectedRequest, "10"), "that is about the key")
}

// A sound server is sent one request in 0.4 s for a second and a half, because it reset a connection beyond those that it
// takes. Only a server whose connections are all reset may have started again.
func TestOverItsConnectionsIsNoRestart(t *testing.T) {
	now := mono.Time(time.Hour)
	b := &back{load: choice.Load{Slots: 3}}
	require.Equal(t, avoidFull, see(b, now, conns.Result{Outcome: retry.NotRun, End: admit.EndReset, ConnLimitReached: true}, 0, ""))
	require.Zero(t, b.suspect)
	see(b, now, conns.Result{Outcome: retry.Unknown, End: admit.EndReset}, 0, "")
	require.Equal(t, now.Add(suspectRestart), b.suspect)
}

// A server that is full is overrun by callers who come back at once. Its refusals use up the budget of sends, and callers
// of the next requests are told when to come back: after the time that a queue takes, not at once as where a server turns
// requests away that it could run.
func TestBudgetIsOutAtFullServer(t *testing.T) {
	s := &Sender{}
	now := mono.Time(time.Hour)
	idle := back{load: choice.Load{Slots: 3}}
	full := back{load: choice.Load{Slots: 3, Mine: 6}}
	require.Equal(t, retryFailing, s.refuse(&request{}, idle.unpaid(now)).retryAfter)
	require.Equal(t, retryFull, s.refuse(&request{}, full.unpaid(now)).retryAfter)
}
