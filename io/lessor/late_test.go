package lessor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
	"heatherrouter/io/clock"
	"heatherrouter/io/lessor"
	"heatherrouter/io/wire"
)

// Guards against a plan by reports that count as new because a witness was paused, and against a lease that the witness takes for lapsed while
// its holder counts on it, as the time of sending that a message tells may be too early.
func TestReportCountsFromSendingAndLeaseFromReading(t *testing.T) {
	k := clock.New()
	l := lessor.New(lessor.Options{
		Self: "w", Terms: lease.Terms{Lease: 100 * time.Millisecond, Margin: time.Second}, Clock: k,
		Alive: func(ident.Daemon) bool { return true }, Heard: func(ident.Daemon) {},
	})
	l.Serve(&part.Part{Service: "s", Rev: 1, Witnesses: part.Witnesses{Current: []ident.Daemon{"w"}}}, 1)
	time.Sleep(1200 * time.Millisecond) // the quiet time after the start
	ask := func(sentAt mono.Time, from ident.Daemon, epoch uint64) bool {
		h := &wire.Hold{Server: "s/a", Epoch: epoch, Rev: 1, Report: &wire.ServerReport{Down: true}}
		return l.Ask(sentAt, from, &wire.LeaseAsk{Incarnation: 1, Holds: []*wire.Hold{h}}).GetGives()[0].GetGiven()
	}
	sentAt := k.Now().Add(-time.Minute)
	require.True(t, ask(sentAt, "h", 1))
	require.Equal(t, sentAt, l.Seen("s")["s/a"].At)
	require.False(t, ask(k.Now(), "g", 2))
}
