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

// simDaemon is a daemon with a clock of its own, with a different origin and a slightly different rate.
type simDaemon struct {
	promise Promise
	offset  time.Duration
	rate    float64
	newer   bool // started after the successor's row was written, and has read it
}

func (d *simDaemon) clock(now time.Duration) time.Duration {
	return d.offset + time.Duration(float64(now)*d.rate)
}

// Guards against a key with two owners: a coordinator sends orders after its successor has relied on its having
// stopped. Answers of the coordinator are delayed or lost, daemons restart and lose their memory, and a successor
// collects withdrawals. Once it has a quorum of them, the coordinator must not have a quorum of its own.
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
		reachable := time.Duration(r.IntN(4000)) * time.Millisecond // time for which answers arrive
		for now := 10 * time.Second; now < 20*time.Second; now += 20 * time.Millisecond {
			i := 1 + r.IntN(n-1)
			d := l[i]
			sent := now - time.Duration(r.IntN(300))*time.Millisecond // network delay of the answer
			if now < 10*time.Second+reachable && !d.newer && d.promise.Renew(d.clock(now), 1, promiseDuration) {
				support.Confirm(ident.Daemon(fmt.Sprint(i)), sent, promiseDuration*99/100)
			}
			if r.IntN(60) == 0 {
				d.promise, d.newer = Promise{StartedAt: d.clock(now)}, taken
				if !taken {
					delete(withdrawals, i) // the successor's transaction expects its row unchanged
				}
			}
			if k := 1 + r.IntN(n-1); l[k].promise.Withdraw(l[k].clock(now), 1) {
				withdrawals[k] = true
			}
			if taken = taken || IsQuorum(len(withdrawals), n); taken {
				require.False(t, support.HasQuorum(now, "0", voters, nil), "seed %d: supported at %v after a quorum of withdrawals", seed, now)
			}
		}
	}
}

// Guards against a successor that waits 30 s although no coordinator may send orders any more. Daemons without contact
// to the coordinator can withdraw as soon as their promise has ended, and not before.
func TestWithdrawAfterPromiseEnds(t *testing.T) {
	p := Promise{}
	now := 10 * time.Second
	require.True(t, p.Renew(now, 3, promiseDuration))
	require.False(t, p.Withdraw(now+promiseDuration-1, 3))
	require.True(t, p.Withdraw(now+promiseDuration, 3))
	require.False(t, p.Renew(now+promiseDuration, 3, promiseDuration), "a withdrawal is permanent")
	require.True(t, p.Renew(now+promiseDuration, 4, promiseDuration))
}

// Guards against orders of a coordinator whose supporter has restarted and withdrawn in its next incarnation. A daemon
// that has just started withdraws nothing until every promise of an earlier incarnation has ended.
func TestNoWithdrawalRightAfterStart(t *testing.T) {
	p := Promise{StartedAt: 5 * time.Second}
	require.False(t, p.Withdraw(5*time.Second+longestPromise-1, 1))
	require.True(t, p.Withdraw(5*time.Second+longestPromise, 1))
}

// Guards against keys that cannot move because a lost coordinator is not replaced. The cases are the reasons for a
// takeover and its timing.
func TestDecide(t *testing.T) {
	two := map[ident.Daemon]*site.Daemon{"a": {Incarnation: 1}, "b": {Incarnation: 1}}
	row := func(c site.Coordinator) *site.Snapshot { return &site.Snapshot{Daemons: two, Coordinator: c} }
	tests := []struct {
		name string
		s    State
		want Decision
	}{
		{"recent contact", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1, Clean: true}), SinceContact: 900 * time.Millisecond, SinceLoaded: time.Hour}, Wait{}},
		{"unresponsive", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1, Clean: true}), SinceContact: 1300 * time.Millisecond, SinceLoaded: time.Hour}, RequestWithdrawals{Clean: true}},
		{"unresponsive for long", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1, Clean: true}), SinceContact: 9 * time.Second, SinceLoaded: time.Hour}, TakeOver{WithoutQuorum: true}},
		{"unresponsive, coordinator without a quorum", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1, WithoutQuorum: true, Clean: true}), SinceContact: 1300 * time.Millisecond, SinceLoaded: time.Hour}, RequestWithdrawals{}},
		{"unresponsive, store unreachable too", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1, Clean: true}), SinceContact: time.Minute, SinceLoaded: time.Hour, CopyAge: 2 * time.Second}, Wait{}},
		{"handed over", State{Snapshot: row(site.Coordinator{Clean: true, Term: 2}), SinceContact: 300 * time.Millisecond, SinceLoaded: time.Hour}, TakeOver{Clean: true}},
		{"handed over, earlier orders may still be sent", State{Snapshot: row(site.Coordinator{Term: 2}), SinceContact: 300 * time.Millisecond, SinceLoaded: time.Hour}, TakeOver{}},
		{"restarted", State{Snapshot: row(site.Coordinator{Daemon: "a", Clean: true}), SinceContact: 300 * time.Millisecond, SinceLoaded: time.Hour}, TakeOver{Clean: true}},
		{"earlier incarnation of this daemon", State{Snapshot: row(site.Coordinator{Daemon: "b", Incarnation: 0, Clean: true})}, TakeOver{Clean: true}},
		{"unresponsive, coordinator not clean", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1}), SinceContact: 1300 * time.Millisecond, SinceLoaded: time.Hour}, RequestWithdrawals{}},
		{"restarted, not clean", State{Snapshot: row(site.Coordinator{Daemon: "a"}), SinceContact: 300 * time.Millisecond, SinceLoaded: time.Hour}, TakeOver{}},
		{"earlier incarnation of this daemon, not clean", State{Snapshot: row(site.Coordinator{Daemon: "b", Incarnation: 0})}, TakeOver{}},
		{"this daemon", State{Snapshot: row(site.Coordinator{Daemon: "b", Incarnation: 1, Clean: true}), SinceContact: time.Minute}, Wait{}},
		{"first start", State{Snapshot: row(site.Coordinator{}), SinceLoaded: 2 * time.Second}, TakeOver{Clean: true}},
		{"first start, other rows pending", State{Snapshot: row(site.Coordinator{}), SinceLoaded: 500 * time.Millisecond}, Wait{}},
		{"servers unreachable, another may take over", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1, Clean: true}), SinceContact: 1300 * time.Millisecond, SinceLoaded: time.Hour, ServersUnreachable: true}, Wait{}},
		{"servers unreachable, no other has taken over", State{Snapshot: row(site.Coordinator{Daemon: "a", Incarnation: 1, Clean: true}), SinceContact: 2300 * time.Millisecond, SinceLoaded: time.Hour, ServersUnreachable: true}, RequestWithdrawals{Clean: true}},
		{"leaving", State{Snapshot: row(site.Coordinator{}), SinceContact: time.Minute, SinceLoaded: time.Hour, Leaving: true}, Wait{}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			x.s.Self, x.s.Incarnation = "b", 1
			require.Equal(t, x.want, x.s.Decide())
		})
	}
}

// Guards against a daemon that has just started being treated as lost. It would drop out of the shares and of the
// supporters, and write its row again and again. Its time without a confirmation starts when the coordinator first sees its
// incarnation.
func TestNewDaemonIsNotUnresponsive(t *testing.T) {
	const limit = 6 * time.Second
	var s Support
	began := 100 * time.Second
	daemons := map[ident.Daemon]*site.Daemon{"self": {Incarnation: 1}, "old": {Incarnation: 1}}
	s.Confirm("old", began, promiseDuration)
	require.Empty(t, s.Unresponsive(began+time.Second, began, limit, "self", daemons))
	daemons["new"] = &site.Daemon{Incarnation: 1}
	at := began + time.Minute
	require.Equal(t, []ident.Daemon{"old"}, s.Unresponsive(at, began, limit, "self", daemons))
	daemons["old"] = &site.Daemon{Incarnation: 2} // restarted
	require.Empty(t, s.Unresponsive(at, began, limit, "self", daemons))
	require.Len(t, s.Unresponsive(at+limit, began, limit, "self", daemons), 2)
}

// Guards against 8 s without orders after voters withdrew for a candidate that did not take over.
func TestCoordinatorTakesNewTermWithoutSupport(t *testing.T) {
	require.False(t, NeedsNewTerm(newTermTimeout-1, true), "voters may still promise")
	require.True(t, NeedsNewTerm(newTermTimeout, true))
	require.False(t, NeedsNewTerm(time.Hour, false), "a coordinator without a quorum must not disturb the election of another")
}
