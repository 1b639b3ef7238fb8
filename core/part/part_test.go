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

// sample returns a part with witnesses 1 2 3, servers a, b and c, and shards 0 to 69 owned by a.
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

// chunk1 replaces row 1 and sets the ownership of its first shard, 64.
func chunk1(o Ownership) SetShards {
	l := owners(6, "svc/a")
	l[0] = o
	return SetShards{Chunk: 1, Owners: l}
}

func TestApplyDoesNotModifyOldPart(t *testing.T) {
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

func TestOwnerDoesNotAllocate(t *testing.T) {
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
	unchanged := func(p *Part) *Part { return p }
	for _, c := range []struct {
		name   string
		from   func(*Part) *Part
		change Change
		rule   Rule // empty when allowed
	}{
		{"next added to current", unchanged, w(old, next, nil), ""},
		{"set replaced in one step", unchanged, w(next, nil, old), RuleWitnessChange},
		{"change completed", changing, w(next, nil, old), ""},
		{"change completed without retired", changing, w(next, nil, nil), RuleWitnessChange},
		{"second change during the first", changing, w(old, []ident.Daemon{"5"}, nil), RuleWitnessChange},
		{"second change with retired set", changing, w(old, []ident.Daemon{"5"}, old), RuleWitnessChange},
		{"change completed with another set", changing, w([]ident.Daemon{"5"}, nil, old), RuleWitnessChange},
		{"even number", unchanged, w(old, old[:2], nil), RuleWitnesses},
		{"daemon named twice", unchanged, w(old, []ident.Daemon{"4", "4", "5"}, nil), RuleWitnesses},
		{"standby takes over", unchanged, server("a", "2", 2, "3"), ""},
		{"other home with the standby's epoch", unchanged, server("a", "3", 2, "2"), RuleServerEpoch},
		{"other home past the standby's epoch", unchanged, server("a", "3", 3, "2"), ""},
		{"epoch raised too far", unchanged, server("a", "3", 4, "2"), RuleServerEpoch},
		{"other home with the same epoch", unchanged, server("a", "3", 1, "2"), RuleServerEpoch},
		{"other standby with the same epoch", unchanged, server("a", "1", 1, "3"), RuleStandby},
		{"first standby with the same epoch", unchanged, server("b", "2", 1, "3"), ""},
		{"standby removed within its epoch", unchanged, server("a", "1", 1, ""), RuleStandby},
		{"home as its own standby", unchanged, server("b", "2", 1, "2"), RuleStandby},
		{"older epoch", unchanged, server("a", "1", 0, "2"), RuleServerEpoch},
		{"server of another service", unchanged, SetServer{Server{ID: "other/x", Home: "1", Epoch: 3}}, RuleServerName},
		{"added with an epoch that may have been used", unchanged, server("d", "1", 2, ""), RuleServerEpoch},
		{"added with a new epoch", unchanged, server("d", "1", 3, ""), ""},
		{"removed in use", unchanged, RemoveServer{"svc/a"}, RuleInUse},
		{"removed as previous owner", moving, RemoveServer{"svc/a"}, RuleInUse},
		{"removed", unchanged, RemoveServer{"svc/b"}, ""},
		{"removed unknown", unchanged, RemoveServer{"svc/x"}, RuleUnknownServer},
		{"moved", unchanged, chunk1(Ownership{Server: "svc/b", Epoch: 2, Previous: "svc/a"}), ""},
		{"moved with the same epoch", unchanged, chunk1(Ownership{Server: "svc/b", Epoch: 1, Previous: "svc/a"}), RuleShardEpoch},
		{"moved without previous owner", unchanged, chunk1(Ownership{Server: "svc/b", Epoch: 2}), RulePrevious},
		{"moved to unknown", unchanged, chunk1(Ownership{Server: "svc/x", Epoch: 2, Previous: "svc/a"}), RuleInUse},
		{"moved to no owner", unchanged, chunk1(Ownership{}), RuleUnknownServer},
		{"moved to a third server before release", moving, chunk1(Ownership{Server: "svc/c", Epoch: 3, Previous: "svc/b"}), RuleUnreleased},
		{"moved back before release", moving, chunk1(Ownership{Server: "svc/a", Epoch: 3, Previous: "svc/b"}), ""},
		{"released", moving, chunk1(Ownership{Server: "svc/b", Epoch: 2}), ""},
		{"epoch raised for the same owner", unchanged, chunk1(Ownership{Server: "svc/a", Epoch: 2}), RuleShardEpoch},
		{"row shrinks", unchanged, SetShards{Chunk: 1, Owners: owners(5, "svc/a")}, RuleShards},
		{"row grows", unchanged, SetShards{Chunk: 1, Owners: owners(7, "svc/a")}, ""},
		{"gap before a row", unchanged, SetShards{Chunk: 3, Owners: owners(7, "svc/a")}, RuleShards},
		{"row after a short one", unchanged, SetShards{Chunk: 2, Owners: owners(7, "svc/a")}, RuleShards},
		{"negative row", unchanged, SetShards{Chunk: -1, Owners: owners(7, "svc/a")}, RuleShards},
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

func TestTransactionRowLimits(t *testing.T) {
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

// A server is removed and added again while its former home still holds the old lease. If epochs restarted
// at 1, a restarted witness could grant the former home's epoch to a second daemon, and both would send.
func TestReaddedServerNeedsNewEpoch(t *testing.T) {
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
	require.Greater(t, p.FirstEpoch(), used+1, "the standby's epoch may have been used too")
	_, err = p.Apply(server("b", "2", p.FirstEpoch(), ""))
	require.NoError(t, err)
}

func TestFindingsContainRowAndRule(t *testing.T) {
	_, err := sample(t).Apply(server("a", "3", 1, "2"), chunk1(Ownership{Server: "svc/b", Epoch: 2}))
	require.ErrorContains(t, err, "server/a: server-epoch: ")
	require.ErrorContains(t, err, "shards/1: previous-owner: shard 64: ")
}
