package part

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

func server(name string, home ident.Daemon, e ident.Epoch, standby ident.Daemon) SetServer {
	return SetServer{Server: Server{ID: ident.ServerID("svc", name), Home: home, Epoch: e, Standby: standby}}
}

// sample has witnesses 1 2 3, servers a, b and c, and shards 0 to 69 owned by a.
func sample(t *testing.T) *Part {
	p, err := New("svc").Apply(
		SetWitnesses{Witnesses{Current: []ident.Daemon{"1", "2", "3"}}},
		server("a", "1", 1, "2"), server("b", "2", 1, ""), server("c", "3", 1, "1"),
		SetShards{Chunk: 1, Owners: owners(6, "svc/a")},
		SetShards{Chunk: 0, Owners: owners(ChunkSize, "svc/a")},
	)
	require.NoError(t, err)
	return p
}

func owners(n int, s ident.Server) []Ownership {
	return slices.Repeat([]Ownership{{Server: s, Epoch: 1}}, n)
}

// chunk1 is row 1 with another first shard.
func chunk1(o Ownership) SetShards {
	l := owners(6, "svc/a")
	l[0] = o
	return SetShards{Chunk: 1, Owners: l}
}

func TestApplyLeavesOldPartAsItIs(t *testing.T) {
	p := sample(t)
	require.Equal(t, ident.Rev(1), p.Rev)
	n, err := p.Apply(chunk1(Ownership{Server: "svc/b", Epoch: 2, Previous: "svc/a"}), server("a", "2", 2, "3"))
	require.NoError(t, err)
	require.Equal(t, ident.Server("svc/a"), p.Owner(64).Server)
	require.Equal(t, ident.Daemon("1"), p.Servers["svc/a"].Home)
	require.Equal(t, Ownership{Server: "svc/b", Epoch: 2, Previous: "svc/a"}, n.Owner(64))
	require.Equal(t, map[ident.Server][]Pending{"svc/a": {{Shard: 64, Epoch: 2}}}, n.Unreleased())
	require.Equal(t, ident.Rev(2), n.Rev)
	require.Zero(t, n.Owner(70))
}

func TestOwnerAllocatesNothing(t *testing.T) {
	p := sample(t)
	require.Zero(t, testing.AllocsPerRun(100, func() { _ = p.Owner(65) }))
}

func TestRules(t *testing.T) {
	w := func(current, next, retired []ident.Daemon) SetWitnesses {
		return SetWitnesses{Witnesses{Current: current, Next: next, Retired: retired}}
	}
	old, next := []ident.Daemon{"1", "2", "3"}, []ident.Daemon{"1", "2", "4"}
	changing := func(p *Part) *Part { p.Witnesses.Next = next; return p }
	moving := func(p *Part) *Part {
		p.Shards[64] = Ownership{Server: "svc/b", Epoch: 2, Previous: "svc/a"}
		return p
	}
	same := func(p *Part) *Part { return p }
	for _, c := range []struct {
		name   string
		from   func(*Part) *Part
		change Change
		rule   Rule // empty when allowed
	}{
		{"next beside current", same, w(old, next, nil), ""},
		{"next alone at once", same, w(next, nil, old), RuleWitnessChange},
		{"settled", changing, w(next, nil, old), ""},
		{"settled without retired", changing, w(next, nil, nil), RuleWitnessChange},
		{"second change under way", changing, w(old, []ident.Daemon{"5"}, nil), RuleWitnessChange},
		{"second change that claims to retire", changing, w(old, []ident.Daemon{"5"}, old), RuleWitnessChange},
		{"settled to others", changing, w([]ident.Daemon{"5"}, nil, old), RuleWitnessChange},
		{"even number", same, w(old, old[:2], nil), RuleWitnesses},
		{"twice the same", same, w(old, []ident.Daemon{"4", "4", "5"}, nil), RuleWitnesses},
		{"standby takes over", same, server("a", "2", 2, "3"), ""},
		{"other home with the standby's epoch", same, server("a", "3", 2, "2"), RuleServerEpoch},
		{"other home past the standby's epoch", same, server("a", "3", 3, "2"), ""},
		{"epoch too far", same, server("a", "3", 4, "2"), RuleServerEpoch},
		{"other home with the same epoch", same, server("a", "3", 1, "2"), RuleServerEpoch},
		{"other standby with the same epoch", same, server("a", "1", 1, "3"), RuleStandby},
		{"first standby with the same epoch", same, server("b", "2", 1, "3"), ""},
		{"standby taken back", same, server("a", "1", 1, ""), RuleStandby},
		{"home as its own standby", same, server("b", "2", 1, "2"), RuleStandby},
		{"older epoch", same, server("a", "1", 0, "2"), RuleServerEpoch},
		{"server of another service", same, SetServer{Server{ID: "other/x", Home: "1", Epoch: 3}}, RuleServerName},
		{"added with an epoch that may have been used", same, server("d", "1", 2, ""), RuleServerEpoch},
		{"added with a new epoch", same, server("d", "1", 3, ""), ""},
		{"removed in use", same, RemoveServer{"svc/a"}, RuleInUse},
		{"removed as previous owner", moving, RemoveServer{"svc/a"}, RuleInUse},
		{"removed", same, RemoveServer{"svc/b"}, ""},
		{"removed unknown", same, RemoveServer{"svc/x"}, RuleUnknownServer},
		{"moved", same, chunk1(Ownership{Server: "svc/b", Epoch: 2, Previous: "svc/a"}), ""},
		{"moved with the same epoch", same, chunk1(Ownership{Server: "svc/b", Epoch: 1, Previous: "svc/a"}), RuleShardEpoch},
		{"moved without previous owner", same, chunk1(Ownership{Server: "svc/b", Epoch: 2}), RulePrevious},
		{"moved to unknown", same, chunk1(Ownership{Server: "svc/x", Epoch: 2, Previous: "svc/a"}), RuleInUse},
		{"moved to nobody", same, chunk1(Ownership{}), RuleUnknownServer},
		{"moved on unreleased", moving, chunk1(Ownership{Server: "svc/c", Epoch: 3, Previous: "svc/b"}), RuleUnreleased},
		{"moved back unreleased", moving, chunk1(Ownership{Server: "svc/a", Epoch: 3, Previous: "svc/b"}), ""},
		{"released", moving, chunk1(Ownership{Server: "svc/b", Epoch: 2}), ""},
		{"epoch raised for the same owner", same, chunk1(Ownership{Server: "svc/a", Epoch: 2}), RuleShardEpoch},
		{"row shrinks", same, SetShards{Chunk: 1, Owners: owners(5, "svc/a")}, RuleShards},
		{"row grows", same, SetShards{Chunk: 1, Owners: owners(7, "svc/a")}, ""},
		{"gap before a row", same, SetShards{Chunk: 3, Owners: owners(7, "svc/a")}, RuleShards},
		{"row after a short one", same, SetShards{Chunk: 2, Owners: owners(7, "svc/a")}, RuleShards},
		{"negative row", same, SetShards{Chunk: -1, Owners: owners(7, "svc/a")}, RuleShards},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := c.from(sample(t)).Apply(c.change)
			if c.rule == "" {
				require.NoError(t, err)
				return
			}
			var f Findings
			require.ErrorAs(t, err, &f)
			require.True(t, f.Has(c.rule), "%v", err)
		})
	}
}

func TestTransactionHasOneToMaxRowsEachOnce(t *testing.T) {
	p := sample(t)
	for _, l := range [][]Change{
		nil,
		{server("b", "2", 1, "3"), server("b", "2", 1, "1")},
		slices.Repeat([]Change{server("b", "2", 1, "3")}, MaxRows+1),
	} {
		_, err := p.Apply(l...)
		var f Findings
		require.ErrorAs(t, err, &f)
		require.True(t, f.Has(RuleRows))
	}
}

// A server is removed and comes back while its former home still believes in its old lease. Were its
// epochs to begin anew, a restarted witness could give the number that the former home holds: two senders.
func TestEpochOfReturningServerIsNew(t *testing.T) {
	p := sample(t)
	used := p.Servers["svc/b"].Epoch
	for range 5 {
		n, err := p.Apply(server("b", "3", used+2, "1"))
		require.NoError(t, err)
		p, used = n, used+2
	}
	p, err := p.Apply(RemoveServer{"svc/b"})
	require.NoError(t, err)
	_, err = p.Apply(server("b", "2", used, ""))
	require.Error(t, err)
	require.Greater(t, p.FirstEpoch(), used+1, "the standby's epoch was in use too")
	_, err = p.Apply(server("b", "2", p.FirstEpoch(), ""))
	require.NoError(t, err)
}

func TestFindingsNameRowAndRule(t *testing.T) {
	_, err := sample(t).Apply(server("a", "3", 1, "2"), chunk1(Ownership{Server: "svc/b", Epoch: 2}))
	require.ErrorContains(t, err, "server/a: server-epoch: ")
	require.ErrorContains(t, err, "shards/1: previous-owner: shard 64: ")
}
