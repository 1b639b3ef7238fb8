package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/core/owner"
)

const (
	second      = time.Second
	millisecond = time.Millisecond
)

// The caller would see one shard answered by two servers. A coordinator's write is held up, it gives up, another one
// moves the shard elsewhere, and then the first write arrives. It was made from a revision that is no longer the
// table's, so the table refuses it; the sender's giving up need not be known to anybody.
func TestCompareAndSetInFlightWhenItsSenderGivesUp(t *testing.T) {
	late := func(off ...rule) *world {
		var m [nRules]bool
		for _, r := range off {
			m[r] = true
		}
		w := newWorld(schedule{Seed: 1, Servers: 3, Shards: 1}, m)
		w.tableBad = 1
		w.commit(w.daemons[7], w.table, w.daemons[7].move(0, serverName(1)))
		w.tableBad = 0
		w.commit(w.daemons[8], w.table, w.daemons[8].move(0, serverName(2)))
		w.runTo(w.now+4*sec, func() bool { return false })
		return w
	}
	w := late()
	require.Equal(t, owner.Row{Owner: "svc/2", Epoch: 2}, w.table.shards[0])
	require.Empty(t, w.judge.fault)
	require.Equal(t, ident.Server("svc/1"), late(compareAndSet).table.shards[0].Owner, "without the rule it lands")
}

// The caller waits a little longer than needed, but sees no second owner. The witnesses give the standby the lease and
// their answers are lost; it never sends. The next home must wait all the same, for nobody can tell that they were lost.
func TestReplyOfWitnessLost(t *testing.T) {
	b := newBench(t)
	standby, next := b.client("d1", 3, oldSet), b.client("d2", 4, oldSet)
	for _, d := range standby.Witnesses() {
		require.True(t, standby.send(lease.Renew, d).Given)
	}
	standby.requireHolds(false)
	next.ask(lease.Supersede)
	next.requireHolds(false)
	b.pass(b.terms.Lapse())
	next.ask(lease.Supersede)
	next.requireHolds(true)
}

// The caller would see a swap run by the old home after the new one started. The answers of the witnesses take a second,
// or a pause of the home makes it seem so. The witnesses count from when they answered; a home that counted from the
// arrival would send for a second beside the next one. It counts from when it sent.
func TestReplyOfWitnessLate(t *testing.T) {
	b := newBench(t)
	home, standby := b.client("d1", 2, oldSet), b.client("d2", 3, oldSet)
	sent := b.now
	var l []lease.Give
	for _, d := range oldSet.Current {
		l = append(l, home.send(lease.Renew, d))
	}
	b.pass(second)
	for i, d := range oldSet.Current {
		home.Answered(sent, d, l[i])
	}
	home.requireHolds(true)
	require.Equal(t, sent.Add(b.terms.Lease), home.Until())
	b.pass(b.terms.Lapse() - second)
	home.requireHolds(false)
	standby.ask(lease.Renew)
	standby.requireHolds(true)
}

// The caller would see two homes at one server. A witness gives a lease and freezes; its answer arrives, it thaws after
// the lease and answers the standby. Its clock ran on, so the lease that it remembers has lapsed for the holder too. An
// ask of the old home that lay in its queue comes after the standby's and is refused, with the newer epoch as the reason.
func TestWitnessFrozenAfterItGave(t *testing.T) {
	b := newBench(t)
	home, standby := b.client("d1", 2, oldSet), b.client("d2", 3, oldSet)
	home.ask(lease.Renew)
	b.pass(b.terms.Lapse() + 10*millisecond)
	home.requireHolds(false)
	standby.ask(lease.Renew)
	standby.requireHolds(true)
	home.ask(lease.Renew)
	home.requireHolds(false)
	e, ok := home.Superseded()
	require.True(t, ok)
	require.EqualValues(t, 3, e)
	require.True(t, home.Lost(b.now))
}

// The caller would see two homes at one server. Three of five witnesses give the home a lease, then restart twice and
// know nothing of it, while the home goes on with what it holds. Quiet counts from the last start, so a lease that any
// earlier life gave has lapsed before this one gives.
func TestWitnessRestartedTwice(t *testing.T) {
	b := newBench(t)
	home, standby := b.client("d1", 2, oldSet), b.client("d2", 3, oldSet)
	home.ask(lease.Renew, "w1", "w2", "w3")
	for range 2 {
		b.pass(500 * millisecond)
		for _, d := range []ident.Daemon{"w1", "w2", "w3"} {
			b.restart(d, oldSet)
		}
		standby.ask(lease.Renew)
		standby.requireHolds(false)
	}
	home.requireHolds(true)
	g := b.witnesses["w1"].AskWithout(lease.RuleQuiet, b.now, "d2", standby.Ask(lease.Renew, 1))
	require.True(t, g.Given, "without the rule the third witness would give")
	b.pass(b.terms.Lapse())
	standby.ask(lease.Renew)
	standby.requireHolds(true)
	home.requireHolds(false)
}

// The caller would see two homes at one server. The witnesses change, and a home that hasn't heard of it renews with the
// old ones. The next home knows only of the new ones. The change settles only when a majority of the old ones refuses
// copies older than the change and what they gave has lapsed; before that the next home needs both sets.
func TestChangeOfWitnessesThatTheHomeHasNotHeardOf(t *testing.T) {
	b := newBench(t)
	stale, next := b.client("d1", 2, oldSet), b.client("d2", 4, bothOf)
	stale.ask(lease.Renew)
	for _, d := range bothOf.Next {
		b.witnesses[d].Serve(testService, bothOf, 5)
	}
	next.ask(lease.Supersede)
	next.requireHolds(false)

	c := lease.NewChange(b.terms, bothOf)
	for _, d := range c.Ask()[:3] {
		require.True(t, b.witnesses[d].Retire(testService, bothOf))
		c.Gave(b.witnesses[d].Gave(testService))
		c.Retired(b.now, d)
	}
	g := stale.send(lease.Renew, "w1")
	require.True(t, g.Retired)
	require.Equal(t, bothOf, g.Set, "the pointer to the successors")
	stale.ask(lease.Renew)
	_, ok := c.Settled(b.now)
	require.False(t, ok, "the stale home still holds a lease")
	stale.requireHolds(true)

	b.pass(b.terms.Lapse())
	stale.ask(lease.Renew)
	stale.requireHolds(false)
	x, ok := c.Settled(b.now)
	require.True(t, ok)
	require.Equal(t, newSet.Current, x.Current)
	next.learn(newSet)
	next.ask(lease.Supersede)
	next.requireHolds(true)
}

// The caller sees nothing of a change of witnesses that goes well: a home that hears of it holds its lease throughout.
// The old witnesses retire one after the other; each then leaves the lease to the new ones, for nobody else can have it.
func TestChangeOfWitnessesWithoutAGap(t *testing.T) {
	b := newBench(t)
	home := b.client("d1", 2, oldSet)
	home.ask(lease.Renew)
	for _, w := range b.witnesses {
		w.Serve(testService, bothOf, 5)
	}
	c := lease.NewChange(b.terms, bothOf)
	home.learn(bothOf)
	for range 20 {
		for _, d := range c.Ask() {
			b.witnesses[d].Retire(testService, bothOf)
			c.Retired(b.now, d)
			break
		}
		home.ask(lease.Renew)
		home.requireHolds(true)
		b.pass(b.terms.Renew)
	}
	_, ok := c.Settled(b.now)
	require.True(t, ok)
	for _, w := range b.witnesses {
		w.Serve(testService, newSet, 7)
	}
	home.learn(newSet)
	for range 10 {
		home.ask(lease.Renew)
		home.requireHolds(true)
		b.pass(b.terms.Renew)
	}
}

// The caller would see two homes at one server. An old witness restarts after it retired and forgets that it did; the
// coordinator has counted it. It reads the row from the table before it gives, and takes itself for retired when a
// change is under way.
func TestWitnessRestartsDuringItsRetirement(t *testing.T) {
	b := newBench(t)
	stale := b.client("d1", 2, oldSet)
	for _, d := range []ident.Daemon{"w1", "w2", "w3"} {
		b.witnesses[d].Retire(testService, bothOf)
		b.restart(d, bothOf)
	}
	b.pass(b.terms.Lapse())
	stale.ask(lease.Renew)
	stale.requireHolds(false)
	for _, d := range []ident.Daemon{"w1", "w2", "w3"} {
		b.witnesses[d].ForgetChange(testService)
	}
	stale.ask(lease.Renew)
	stale.requireHolds(true) // what the rule is for
}

// The caller would see two homes at one server. Old witnesses restart long after the change and hear of the world from a
// daemon whose copy is from before it. They would give that daemon the lease. So a witness gives nothing before it has
// read the table.
func TestWitnessThatHasNotReadTheTable(t *testing.T) {
	b := newBench(t)
	stale := b.client("d1", 2, oldSet)
	for _, d := range oldSet.Current {
		b.witnesses[d] = lease.NewWitness(d, b.terms, b.now)
	}
	b.pass(time.Minute)
	stale.ask(lease.Renew)
	stale.requireHolds(false)
	for _, d := range oldSet.Current {
		b.witnesses[d].Serve(testService, newSet, 7)
	}
	stale.ask(lease.Renew)
	stale.requireHolds(false)
}

// The caller would see two homes at one server for 30 ms. The home's clock is 1 % slow and the witness's 1 % fast, so
// the home's 1.5 s last 1.515 s and the witness's 1.485 s. The witness waits longer by the ratio of the two.
func TestClocksThatDrift(t *testing.T) {
	terms := lease.DefaultTerms()
	slow := func(real time.Duration) mono.Time { return mono.Time(float64(real) * (1 - terms.Drift)) }
	fast := func(real time.Duration) mono.Time { return mono.Time(float64(real) * (1 + terms.Drift)) }
	for _, x := range []struct {
		name  string
		terms lease.Terms
		safe  bool
	}{
		{"as it is", terms, true},
		{"without the margins", lease.Terms{Lease: terms.Lease, Renew: terms.Renew}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := lease.NewWitness("w1", x.terms, 0)
			w.Serve(testService, lease.Set{Rev: 1, Current: []ident.Daemon{"w1"}}, 1)
			home := lease.NewHolder(terms, testServer, 2, 1)
			home.SetWitnesses(lease.Set{Rev: 1, Current: []ident.Daemon{"w1"}})
			at := 10 * second
			home.Answered(slow(at), "w1", w.Ask(fast(at), "d1", home.Ask(lease.Renew, 1)))
			for home.Holds(slow(at)) {
				at += millisecond
				g := w.Ask(fast(at), "d2", lease.Ask{Server: testServer, Epoch: 3, Incarnation: 1, Rev: 1})
				if g.Given && home.Holds(slow(at)) {
					require.False(t, x.safe, "given %v after the ask, while the home holds", at-10*second)
					return
				}
			}
			require.True(t, x.safe)
		})
	}
}

// The caller is answered by the old home until its lease ends, then by the new one, never by both. A home is cut from
// all witnesses but still reaches its server. It knows by its own clock when it has to stop; the witnesses give the
// standby the lease only after that.
func TestHomeCutFromTheWitnessesThatStillReachesItsServer(t *testing.T) {
	b := newBench(t)
	home, standby := b.client("d1", 2, oldSet), b.client("d2", 3, oldSet)
	home.ask(lease.Renew)
	for range 1600 {
		b.pass(millisecond)
		standby.ask(lease.Renew)
		require.False(t, home.holds() && standby.holds())
	}
	home.requireHolds(false)
	standby.requireHolds(true)
}

// The caller is refused by a server that checks grants, for as long as the table is out. A standby took over and no row
// told of it; the witnesses changed, the standby was lost, and the next witnesses gave the old home its epoch, which the
// server has seen surpassed. The old witnesses tell what they gave when they retire, and the row that settles the change
// assigns the server anew.
func TestTakeoverIsKnownAfterAChangeOfWitnesses(t *testing.T) {
	b := newBench(t)
	row := lease.Assignment{Home: "d1", Epoch: 2, Standby: "d2"}
	standby := b.client("d2", 3, oldSet)
	standby.ask(lease.Renew)
	c := lease.NewChange(b.terms, bothOf)
	require.False(t, c.TakenOver(testServer, row))
	for _, d := range []ident.Daemon{"w3", "w4", "w5"} {
		require.True(t, b.witnesses[d].Retire(testService, bothOf))
		c.Gave(b.witnesses[d].Gave(testService))
		c.Retired(b.now, d)
	}
	require.True(t, c.TakenOver(testServer, row))
	require.False(t, c.TakenOver(testServer, row.TakenOver("d3")), "the row tells of it")
	require.False(t, c.TakenOver("svc/b", row))
}

// The caller would be sent to a home that was deposed long ago. All witnesses restart and forget; that home wakes up from
// a freeze and asks under its old epoch. The witnesses read the newer one from the table when they start.
func TestWitnessesThatForgotADeposedHome(t *testing.T) {
	b := newBench(t)
	home, next := b.client("d1", 2, oldSet), b.client("d2", 4, oldSet)
	home.ask(lease.Renew)
	for _, d := range oldSet.Current {
		b.restart(d, oldSet)
		b.witnesses[d].Assigned(testServer, 4)
	}
	b.pass(b.terms.Lapse())
	home.ask(lease.Renew)
	home.requireHolds(false)
	next.ask(lease.Renew)
	next.requireHolds(true)
}

// The caller is refused until the table gives a new epoch. A server that checks grants has seen a newer epoch than the
// home's, and no witness remembers who had it. The home learns it from the server's refusal and asks for a new one.
func TestServerHasSeenANewerEpoch(t *testing.T) {
	b := newBench(t)
	home := b.client("d1", 2, oldSet)
	home.ask(lease.Renew)
	home.Refused(1)
	_, ok := home.Superseded()
	require.False(t, ok)
	home.Refused(3)
	e, ok := home.Superseded()
	require.True(t, ok)
	require.EqualValues(t, 3, e)
	home.requireHolds(true)
}
