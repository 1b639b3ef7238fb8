package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/io/clock"
	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

// oldAnswers answers each call with a refusal that lay unread.
type oldAnswers struct{ sent time.Duration }

func (p oldAnswers) Call(context.Context, ident.Daemon, *wire.Call) (*wire.Reply, error) {
	a := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryAfterMs: 4000, Report: &wire.ServerReport{LatencyUs: 1}}
	return &wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}, SentUs: uint64(p.sent.Microseconds())}, nil //nolint:gosec // a time
}

func (oldAnswers) OpenExchange(context.Context, ident.Daemon, *wire.Exchange, time.Duration) (*peer.Exchange, error) {
	return nil, &peer.Error{Err: context.Canceled}
}

func (oldAnswers) Unreachable(ident.Daemon) bool { return false }

// Guards against a request that waits for longer than its server asked for, and against an old report of a server that passes for new, because
// an answer lay unread.
func TestAnswerThatLayUnreadCountsFromItsSending(t *testing.T) {
	const unread = 3 * time.Second
	k := clock.New()
	e := &Entry{o: Options{Self: "h01", Clock: k, Peers: oldAnswers{sent: k.SinceBoot() - unread}}, loads: newLoads()}
	x := e.finish(&send{target: target{server: "s/a", daemon: "h02"}, c: t.Context(), until: k.Now().Add(time.Minute)})
	require.Greater(t, x.event.RetryAfter, mono.Time(0))
	require.LessOrEqual(t, x.event.RetryAfter, k.Now().Add(4*time.Second-unread))
	_, fresh := e.loads.of("s/a").latency(k.Now())
	require.False(t, fresh)
}
