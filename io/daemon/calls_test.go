package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/io/clock"
	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

type fakeCaller struct {
	to        []ident.Daemon
	remaining time.Duration // of the last exchange
	err       error
}

func (f *fakeCaller) Call(_ context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	f.to = append(f.to, to)
	f.remaining = time.Duration(m.GetExchange().GetRemainingUs()) * time.Microsecond //nolint:gosec // a time
	if f.err != nil {
		return nil, f.err
	}
	a := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200}
	if !m.GetExchange().GetForwarded() {
		a = nil
	}
	return &wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}}, nil
}

// An entry that can't reach a home asks its standby, which passes the request on once. If the home can't be reached from
// here either, the request was not run; if the answer is lost on the way, it may have run, and the entry must know.
func TestForward(t *testing.T) {
	lost := errors.New("lost")
	tests := []struct {
		name      string
		home      string
		forwarded bool
		err       error
		calls     int
		want      wire.Outcome
	}{
		{"to the home", "h02", false, nil, 1, wire.Outcome_OUTCOME_ANSWERED},
		{"not again", "h02", true, nil, 0, wire.Outcome_OUTCOME_MOVED},
		{"nobody known", "", false, nil, 0, wire.Outcome_OUTCOME_MOVED},
		{"it is this one", "h01", false, nil, 0, wire.Outcome_OUTCOME_MOVED},
		{"not sent", "h02", false, &peer.Error{Err: lost}, 1, wire.Outcome_OUTCOME_MOVED},
		{"no answer", "h02", false, &peer.Error{Sent: true, Err: lost}, 1, wire.Outcome_OUTCOME_UNKNOWN},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeCaller{err: tt.err}
			x := &wire.Exchange{RemainingUs: 1_000_000, Forwarded: tt.forwarded}
			a := forwarder{self: "h01", clock: clock.New(), peers: f, do: func(context.Context, *wire.Exchange, mono.Time) *wire.ExchangeAnswer {
				return &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_MOVED, Home: tt.home}
			}}.run(t.Context(), 0, x)
			require.Len(t, f.to, tt.calls)
			require.Equal(t, tt.want, a.GetOutcome())
		})
	}
}

// Guards against requests that are sent to a server, here or by another home, after their callers' deadlines, as this process was paused while
// they lay unread.
func TestDeadlineOfExchangeThatLayUnreadCountsFromItsSending(t *testing.T) {
	const unread = 3 * time.Second
	k := clock.New()
	for _, remaining := range []time.Duration{2 * time.Second, 5 * time.Second} {
		sentAt, want := k.SinceBoot()-unread, k.Now().Add(remaining-unread)
		f, got := &fakeCaller{}, mono.Time(0)
		x := &wire.Exchange{RemainingUs: uint64(remaining.Microseconds())}
		require.LessOrEqual(t, deadline(k, sentAt, x), want.Add(time.Second/100), "of a stream")
		a := forwarder{self: "h01", clock: k, peers: f, do: func(_ context.Context, _ *wire.Exchange, deadline mono.Time) *wire.ExchangeAnswer {
			got = deadline
			return &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_MOVED, Home: "h02"}
		}}.run(t.Context(), sentAt, x)
		require.LessOrEqual(t, got, want.Add(time.Second/100))
		if remaining < unread {
			require.Empty(t, f.to)
			require.Equal(t, wire.Outcome_OUTCOME_MOVED, a.GetOutcome())
			continue
		}
		require.Equal(t, []ident.Daemon{"h02"}, f.to)
		require.LessOrEqual(t, f.remaining, remaining-unread+time.Second/100)
	}
}
