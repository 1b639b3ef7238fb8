package elect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

const promiseDuration = 1200 * time.Millisecond

// simDaemon is one daemon with a clock of its own, which runs from another start and a little fast or slow.
type simDaemon struct {
	promise Promise
	offset  time.Duration
	rate    float64
	newer   bool // it has started after the successor was written down, and knows it
}

func (d *simDaemon) clock(now time.Duration) time.Duration {
	return d.offset + time.Duration(float64(now)*d.rate)
}

// A key gets two owners when a coordinator goes on sending orders after its successor has counted on its having stopped.
// Answers of the coordinator arrive late or never, daemons restart and forget, and a successor collects words all the
// while; once it has enough of them, the coordinator may not find itself supported any more.
func TestNoSupportAfterQuorumOfWithdrawals(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		n := 3 + r.IntN(10)
		var voters []ident.Daemon
		var l []*simDaemon
		for i := range n {
			voters = append(voters, ident.Daemon(fmt.Sprint(i)))
			l = append(l, &simDaemon{offset: time.Duration(r.IntN(1000)) * time.Second, rate: 0.999 + 0.002*r.Float64()})
		}
		var support Support
		withdrawals, taken := map[int]bool{}, false
		reachable := time.Duration(r.IntN(4000)) * time.Millisecond // until when the answers get through
		for now := 10 * time.Second; now < 20*time.Second; now += 20 * time.Millisecond {
			i := 1 + r.IntN(n-1)
			d := l[i]
			sent := now - time.Duration(r.IntN(300))*time.Millisecond // the answer was under way for so long
			if now < 10*time.Second+reachable && !d.newer && d.promise.Renew(d.clock(now), 1, promiseDuration) {
				support.Confirm(ident.Daemon(fmt.Sprint(i)), sent, promiseDuration*99/100)
			}
			if r.IntN(60) == 0 {
				d.promise, d.newer = Promise{StartedAt: d.clock(now)}, taken
				if !taken {
					delete(withdrawals, i) // its row has changed, and the successor's transaction expects that it hasn't
				}
			}
			if k := 1 + r.IntN(n-1); l[k].promise.Withdraw(l[k].clock(now), 1) {
				withdrawals[k] = true
			}
			if taken = taken || IsQuorum(len(withdrawals), n); taken {
				require.False(t, support.HasQuorum(now, "0", voters, nil), "seed %d: supported %v after enough words", seed, now)
			}
		}
	}
}

// A successor waits 30 s for a right that nobody uses. Daemons that don't hear the coordinator any more give their word
// as soon as their promise has ended, and not before.
func TestWithdrawAfterPromiseEnds(t *testing.T) {
	p := Promise{}
	now := 10 * time.Second
	require.True(t, p.Renew(now, 3, promiseDuration))
	require.False(t, p.Withdraw(now+promiseDuration-1, 3))
	require.True(t, p.Withdraw(now+promiseDuration, 3))
	require.False(t, p.Renew(now+promiseDuration, 3, promiseDuration), "the word is for good")
	require.True(t, p.Renew(now+promiseDuration, 4, promiseDuration))
}

// An order is sent by a coordinator whose supporter has started again and given its word in its next life. A daemon that
// has just started gives no word until every promise of an earlier life has ended.
func TestNoWithdrawalRightAfterStart(t *testing.T) {
	p := Promise{StartedAt: 5 * time.Second}
	require.False(t, p.Withdraw(5*time.Second+longestPromise-1, 1))
	require.True(t, p.Withdraw(5*time.Second+longestPromise, 1))
}

// Keys stay where they are although their coordinator is gone. Each reason for which a daemon takes over, and when.
func TestDecide(t *testing.T) {
	two := map[ident.Daemon]*site.Daemon{"a": {Incarnation: 1}, "b": {Incarnation: 1}}
	row := func(c site.Coordinator) *site.Snapshot { return &site.Snapshot{Daemons: two, Coordinator: c} }
	tests := []struct {
		name string
		s    State
		want Decision
	}{
		{"heard of", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1}), SinceContact: 900 * time.Millisecond, SinceLoaded: time.Hour}, Wait{}},
		{"silent", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1}), SinceContact: 1300 * time.Millisecond, SinceLoaded: time.Hour}, RequestWithdrawals{Clean: true}},
		{"silent for long", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1}), SinceContact: 9 * time.Second, SinceLoaded: time.Hour}, TakeOver{WithoutQuorum: true}},
		{"silent, without the support of a quorum", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1, WithoutQuorum: true}), SinceContact: 1300 * time.Millisecond, SinceLoaded: time.Hour}, RequestWithdrawals{}},
		{"silent, the store too", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1}), SinceContact: time.Minute, SinceLoaded: time.Hour, CopyAge: 2 * time.Second}, Wait{}},
		{"handed over", State{Snapshot: row(site.Coordinator{Clean: true, Term: 2}), SinceContact: 300 * time.Millisecond, SinceLoaded: time.Hour}, TakeOver{Clean: true}},
		{"started again", State{Snapshot: row(site.Coordinator{Daemon: "a"}), SinceContact: 300 * time.Millisecond, SinceLoaded: time.Hour}, TakeOver{Clean: true}},
		{"an earlier life of this one", State{Snapshot: row(site.Coordinator{Daemon: "b", Incarnation: 0})}, TakeOver{Clean: true}},
		{"this one", State{Snapshot: row(site.Coordinator{Daemon: "b", Incarnation: 1}), SinceContact: time.Minute}, Wait{}},
		{"first start", State{Snapshot: row(site.Coordinator{}), SinceLoaded: 2 * time.Second}, TakeOver{Clean: true}},
		{"first start, others to come", State{Snapshot: row(site.Coordinator{}), SinceLoaded: 500 * time.Millisecond}, Wait{}},
		{"leaving", State{Snapshot: row(site.Coordinator{}), SinceContact: time.Minute, SinceLoaded: time.Hour, Leaving: true}, Wait{}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			x.s.Self, x.s.Incarnation = "b", 1
			require.Equal(t, x.want, x.s.Decide())
		})
	}
}

// A daemon that has just started is taken for gone, drops out of the shares and of those who support, and writes its row
// again and again. It counts as silent only from when the coordinator first saw it in that life.
func TestNewDaemonIsNotWithoutContact(t *testing.T) {
	const limit = 6 * time.Second
	var s Support
	began := 100 * time.Second
	daemons := map[ident.Daemon]*site.Daemon{"self": {Incarnation: 1}, "old": {Incarnation: 1}}
	s.Confirm("old", began, promiseDuration)
	require.Empty(t, s.WithoutContact(began+time.Second, began, limit, "self", daemons))
	daemons["new"] = &site.Daemon{Incarnation: 1}
	at := began + time.Minute
	require.Equal(t, []ident.Daemon{"old"}, s.WithoutContact(at, began, limit, "self", daemons))
	daemons["old"] = &site.Daemon{Incarnation: 2} // started again
	require.Empty(t, s.WithoutContact(at, began, limit, "self", daemons))
	require.Len(t, s.WithoutContact(at+limit, began, limit, "self", daemons), 2)
}
