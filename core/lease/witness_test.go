package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
)

// step is one ask of a witness that started at 0 and serves the old set.
type step struct {
	after   time.Duration // since the last step
	from    ident.Daemon
	epoch   ident.Epoch
	mode    lease.Mode
	life    ident.Incarnation
	given   bool
	highest ident.Epoch
	wait    time.Duration // checked when not 0
}

func TestWitnessAsk(t *testing.T) {
	lapse := lease.DefaultTerms().Lapse()
	tests := []struct {
		name  string
		steps []step
	}{
		{"renews", []step{
			{from: "a", epoch: 2, given: true},
			{after: 400 * millisecond, from: "a", epoch: 2, given: true, highest: 2},
		}},
		{"lets a standby wait and the home go on", []step{
			{from: "a", epoch: 2, given: true},
			{after: second, from: "b", epoch: 3, highest: 2, wait: lapse - second},
			{from: "a", epoch: 2, given: true, highest: 2},
			{after: lapse - millisecond, from: "b", epoch: 3, highest: 2, wait: millisecond},
			{after: millisecond, from: "b", epoch: 3, given: true, highest: 2},
			{from: "a", epoch: 2, highest: 3},
		}},
		{"stops renewals of the superseded", []step{
			{from: "a", epoch: 2, given: true},
			{from: "c", epoch: 4, mode: lease.Supersede, highest: 4, wait: lapse},
			{from: "a", epoch: 2, highest: 4},
			{from: "b", epoch: 3, highest: 4},
			{after: lapse, from: "c", epoch: 4, given: true, highest: 4},
		}},
		{"gives at once after the holder's word", []step{
			{from: "a", epoch: 2, given: true},
			{after: second, from: "a", epoch: 2, mode: lease.Stopped, highest: 2},
			{from: "a", epoch: 2, highest: 2},
			{from: "b", epoch: 3, given: true, highest: 2},
		}},
		{"takes nobody else's word", []step{
			{from: "a", epoch: 2, given: true},
			{from: "b", epoch: 2, mode: lease.Stopped, highest: 2},
			{from: "a", epoch: 2, life: 1, mode: lease.Stopped, highest: 2},
			{from: "a", epoch: 3, mode: lease.Stopped, highest: 2},
			{from: "b", epoch: 3, highest: 2, wait: lapse},
		}},
		{"gives one epoch to one daemon, also when it has lapsed", []step{
			{from: "a", epoch: 2, given: true},
			{after: 2 * lapse, from: "b", epoch: 2, highest: 2},
			{from: "a", epoch: 2, given: true, highest: 2},
		}},
		{"lets another life of the holder wait", []step{
			{from: "a", epoch: 2, given: true},
			{after: second, from: "a", epoch: 2, life: 1, highest: 2, wait: lapse - second},
			{after: lapse - second, from: "a", epoch: 2, life: 1, given: true, highest: 2},
		}},
		{"gives a new life the epoch that the last one gave back", []step{
			{from: "a", epoch: 2, given: true},
			{from: "a", epoch: 2, mode: lease.Stopped, highest: 2},
			{from: "a", epoch: 2, life: 1, given: true, highest: 2},
		}},
		{"gives the holder a higher epoch at once", []step{
			{from: "a", epoch: 2, given: true},
			{from: "a", epoch: 4, given: true, highest: 2},
			{from: "a", epoch: 2, highest: 4},
			{from: "b", epoch: 5, highest: 4, wait: lapse},
		}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			now := mono.Time(time.Hour)
			w := lease.NewWitness("w1", lease.DefaultTerms(), 0)
			w.Serve(testService, oldSet, 1)
			for i, s := range x.steps {
				now = now.Add(s.after)
				g := w.Ask(now, s.from, lease.Ask{Server: testServer, Epoch: s.epoch, Mode: s.mode, Incarnation: s.life, Rev: 1})
				require.Equal(t, s.given, g.Given, "step %d: given", i)
				require.Equal(t, s.highest, g.Highest, "step %d: highest", i)
				if s.wait > 0 {
					require.Equal(t, s.wait, g.Wait, "step %d: wait", i)
				}
			}
		})
	}
}

func TestWitnessIsQuietAfterTheStart(t *testing.T) {
	b := newBench(t)
	b.restart("w1", oldSet)
	c := b.client("d1", 2, oldSet)
	g := c.send(lease.Renew, "w1")
	require.False(t, g.Given)
	require.Equal(t, b.terms.Lapse(), g.Wait)
	b.pass(b.terms.Lapse())
	require.True(t, c.send(lease.Renew, "w1").Given)
}

func TestServersDoNotShareLeases(t *testing.T) {
	b := newBench(t)
	b.client("d1", 2, oldSet).ask(lease.Renew)
	w := b.witnesses["w1"]
	require.True(t, w.Ask(b.now, "d2", lease.Ask{Server: "svc/b", Epoch: 2, Rev: 1}).Given)
	require.False(t, w.Ask(b.now, "d2", lease.Ask{Server: "other/b", Epoch: 2, Rev: 1}).Given, "a partition that it doesn't serve")
}

func TestWitnessTellsTheRecordedRevision(t *testing.T) {
	b := newBench(t)
	w := b.witnesses["w1"]
	require.EqualValues(t, 9, w.Ask(b.now, "d1", lease.Ask{Server: testServer, Epoch: 2, Rev: 9}).Rev)
	require.Zero(t, w.Ask(b.now, "d2", lease.Ask{Server: testServer, Epoch: 3, Rev: 20}).Rev, "a refused ask records nothing")
	b.pass(b.terms.Lapse())
	require.EqualValues(t, 9, w.Ask(b.now, "d2", lease.Ask{Server: testServer, Epoch: 3, Rev: 4}).Rev)
	w = lease.NewWitness("w1", b.terms, 0)
	w.Serve(testService, oldSet, 12)
	require.EqualValues(t, 12, w.Ask(b.now, "d1", lease.Ask{Server: testServer, Epoch: 2, Rev: 9}).Rev, "read from the table at the start")
}

func TestRetiredWitness(t *testing.T) {
	b := newBench(t)
	home, standby := b.client("d1", 2, oldSet), b.client("d2", 3, bothOf)
	home.ask(lease.Renew)
	require.True(t, b.witnesses["w1"].Retire(testService, bothOf))
	require.Equal(t, map[ident.Server]ident.Epoch{testServer: 2}, b.witnesses["w1"].Gave(testService))
	require.True(t, b.witnesses["w5"].Retire(testService, bothOf))

	g := home.send(lease.Renew, "w1")
	require.True(t, g.Retired && !g.Given && !g.Clear)
	require.Equal(t, bothOf, g.Set)
	require.True(t, home.send(lease.Renew, "w5").Retired, "a member of both sets refuses older copies as well")

	g = standby.send(lease.Renew, "w1")
	require.False(t, g.Clear, "its last lease still runs")
	require.Equal(t, b.terms.Lapse(), g.Wait)
	home.learn(bothOf)
	require.True(t, home.send(lease.Renew, "w1").Clear, "the lease that runs is the asker's")
	b.pass(b.terms.Lapse())
	require.True(t, standby.send(lease.Renew, "w1").Clear)
	require.True(t, standby.send(lease.Renew, "w5").Given, "a member of both sets goes on giving")
}

func TestRetireBeforeServe(t *testing.T) {
	w := lease.NewWitness("w1", lease.DefaultTerms(), 0)
	require.False(t, w.Retire(testService, bothOf))
	require.Empty(t, w.Gave(testService))
}
