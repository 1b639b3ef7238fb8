package lease_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
)

func TestHolderNeedsMajorities(t *testing.T) {
	given, clear := lease.Give{Given: true}, lease.Give{Clear: true, Set: bothOf}
	settled := lease.Set{Rev: 7, Current: newSet.Current}
	tests := []struct {
		name string
		set  lease.Set
		give map[ident.Daemon]lease.Give
		want bool
	}{
		{"none", oldSet, nil, false},
		{"two of five", oldSet, map[ident.Daemon]lease.Give{"w1": given, "w2": given}, false},
		{"three of five", oldSet, map[ident.Daemon]lease.Give{"w1": given, "w2": given, "w3": given}, true},
		{"strangers", oldSet, map[ident.Daemon]lease.Give{"w1": given, "w2": given, "w6": given, "w7": given}, false},
		{"old majority alone", bothOf, map[ident.Daemon]lease.Give{"w1": given, "w2": given, "w3": given}, false},
		{"new majority alone", bothOf, map[ident.Daemon]lease.Give{"w6": given, "w7": given, "w8": given}, false},
		{"both, one in common", bothOf, map[ident.Daemon]lease.Give{
			"w1": given, "w2": given, "w5": given, "w6": given, "w7": given,
		}, true},
		{"old ones have retired", bothOf, map[ident.Daemon]lease.Give{
			"w1": clear, "w2": clear, "w3": clear, "w6": given, "w7": given, "w8": given,
		}, true},
		{"only retired ones", bothOf, map[ident.Daemon]lease.Give{"w1": clear, "w2": clear, "w3": clear}, false},
		{"retired without a change", oldSet, map[ident.Daemon]lease.Give{"w1": clear, "w2": clear, "w3": clear}, false},
		{"settled", settled, map[ident.Daemon]lease.Give{"w6": given, "w7": given, "w8": given}, true},
		{"no witnesses", lease.Set{Rev: 1}, map[ident.Daemon]lease.Give{"w1": given}, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			h := lease.NewHolder(lease.DefaultTerms(), testServer, 2, 1)
			h.SetWitnesses(x.set)
			for d, g := range x.give {
				g.Server, g.Epoch = testServer, 2
				h.Answered(100, d, g)
			}
			require.Equal(t, x.want, h.Holds(101))
		})
	}
}

// The caller would see two homes at one server. A retired witness's word is late: it comes when another change is under
// way in which that witness may give again. It counts only for the change that it was given in.
func TestClearOfAnEarlierChange(t *testing.T) {
	h := lease.NewHolder(lease.DefaultTerms(), testServer, 2, 1)
	next := lease.Set{Rev: 12, Current: oldSet.Current, Next: newSet.Current}
	clear := lease.Give{Server: testServer, Epoch: 2, Clear: true, Set: bothOf}
	h.SetWitnesses(bothOf)
	h.Answered(100, "w1", clear)
	h.SetWitnesses(next)
	for _, d := range []ident.Daemon{"w2", "w3"} {
		h.Answered(100, d, clear)
	}
	for _, d := range newSet.Current[1:] {
		h.Answered(100, d, lease.Give{Server: testServer, Epoch: 2, Given: true})
	}
	require.False(t, h.Holds(101))
}

func TestHolderUntilIsThatOfTheMajority(t *testing.T) {
	terms := lease.DefaultTerms()
	h := lease.NewHolder(terms, testServer, 2, 1)
	h.SetWitnesses(oldSet)
	for i, d := range oldSet.Current {
		h.Answered(mono.Time(i)*1000, d, lease.Give{Server: testServer, Epoch: 2, Given: true})
	}
	require.Equal(t, mono.Time(2000).Add(terms.Lease), h.Until(), "w3, w4 and w5 gave it until then")
	h.Answered(0, "w5", lease.Give{Server: testServer, Epoch: 2, Given: true})
	require.Equal(t, mono.Time(2000).Add(terms.Lease), h.Until(), "an answer out of order takes nothing back")
}

func TestHolderIgnoresAnswersToOthers(t *testing.T) {
	h := lease.NewHolder(lease.DefaultTerms(), testServer, 2, 1)
	h.SetWitnesses(lease.Set{Rev: 1, Current: []ident.Daemon{"w1"}})
	h.Answered(100, "w1", lease.Give{Server: "svc/b", Epoch: 2, Given: true})
	h.Answered(100, "w1", lease.Give{Server: testServer, Epoch: 4, Given: true})
	require.False(t, h.Holds(101))
}

func TestHolderKeepsItsLeaseWhenAMinorityRefuses(t *testing.T) {
	b := newBench(t)
	home, standby := b.client("d1", 2, oldSet), b.client("d2", 3, oldSet)
	standby.ask(lease.Renew, "w1", "w2")
	home.ask(lease.Renew)
	home.requireHolds(true)
	e, ok := home.Superseded()
	require.True(t, ok)
	require.EqualValues(t, 3, e)
	require.False(t, home.Lost(b.now), "it may go on; the table should give it a newer epoch")
	b.pass(b.terms.Lease)
	require.True(t, home.Lost(b.now))
}

func TestHolderStops(t *testing.T) {
	b := newBench(t)
	home, next := b.client("d1", 2, oldSet), b.client("d2", 4, oldSet)
	home.ask(lease.Renew)
	home.Stop(b.now)
	home.requireHolds(false)
	home.ask(lease.Renew)
	home.requireHolds(false)
	require.True(t, home.Lost(b.now))
	home.ask(lease.Stopped)
	next.ask(lease.Supersede)
	next.requireHolds(true)
}

func TestHolderRecordsAtAMajority(t *testing.T) {
	h := lease.NewHolder(lease.DefaultTerms(), testServer, 2, 1)
	h.SetWitnesses(oldSet)
	for i, d := range oldSet.Current {
		h.Answered(100, d, lease.Give{Server: testServer, Epoch: 2, Given: true, Rev: ident.Rev(10 * (i + 1))})
	}
	require.EqualValues(t, 30, h.Recorded())
	require.EqualValues(t, 50, h.Floor(), "the highest that any witness told")
	h.SetWitnesses(bothOf)
	require.EqualValues(t, 0, h.Recorded(), "not yet by the next set")
}

func TestHolderAsksEachWitnessOnce(t *testing.T) {
	h := lease.NewHolder(lease.DefaultTerms(), testServer, 2, 1)
	h.SetWitnesses(bothOf)
	l := h.Witnesses()
	require.Len(t, l, 9)
	require.Len(t, slices.Compact(l), 9)
	h.SetWitnesses(oldSet)
	require.Len(t, h.Witnesses(), 9, "an older row changes nothing")
}

func TestAssignment(t *testing.T) {
	a := lease.Assignment{}.Assign("d1", "d2")
	require.Equal(t, lease.Assignment{Home: "d1", Epoch: 2, Standby: "d2"}, a)
	require.EqualValues(t, 2, a.EpochOf("d1"))
	require.EqualValues(t, 3, a.EpochOf("d2"))
	require.Zero(t, a.EpochOf("d3"))
	require.Zero(t, lease.Assignment{Home: "d1", Epoch: 2}.EpochOf(""))
	require.Equal(t, lease.Assignment{Home: "d2", Epoch: 3, Standby: "d3"}, a.TakenOver("d3"))
	require.EqualValues(t, 4, a.Assign("d1", "d3").Epoch, "epoch 3 is d2's, also when it has been replaced")
}

func TestChange(t *testing.T) {
	_, ok := lease.Begin(bothOf, []ident.Daemon{"w1"})
	require.False(t, ok, "one change at a time")
	_, ok = lease.Begin(oldSet, nil)
	require.False(t, ok)
	x, ok := lease.Begin(oldSet, newSet.Current)
	require.True(t, ok)
	require.Equal(t, bothOf.Next, x.Next)

	terms := lease.DefaultTerms()
	c := lease.NewChange(terms, bothOf)
	now := mono.Time(time.Hour)
	c.Retired(now, "w1")
	c.Retired(now, "w1")
	c.Retired(now, "w9")
	c.Retired(now, "w2")
	_, ok = c.Settled(now.Add(time.Hour))
	require.False(t, ok, "two of five, one of them twice, and a stranger")
	require.Equal(t, []ident.Daemon{"w3", "w4", "w5"}, c.Ask())
	c.Retired(now, "w3")
	_, ok = c.Settled(now.Add(terms.Lapse() - 1))
	require.False(t, ok)
	x, ok = c.Settled(now.Add(terms.Lapse()))
	require.True(t, ok)
	require.Equal(t, newSet.Current, x.Current)
	require.Empty(t, x.Next)
}
