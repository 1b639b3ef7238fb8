package daemon

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

type fakeCaller struct {
	to  []ident.Daemon
	err error
}

func (f *fakeCaller) Call(_ context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	f.to = append(f.to, to)
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
			a := forward(t.Context(), f, "h01", x, func(context.Context, *wire.Exchange) *wire.ExchangeAnswer {
				return &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_MOVED, Home: tt.home}
			})
			require.Len(t, f.to, tt.calls)
			require.Equal(t, tt.want, a.GetOutcome())
		})
	}
}
