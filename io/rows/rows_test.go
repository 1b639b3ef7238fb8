package rows

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherrouter/core/check"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
	"heatherrouter/io/wire"
)

func doc(rev ident.Rev, l []docs.Change) *docs.Doc {
	d := docs.New(ident.AssignmentsDoc("svc"))
	d.Rev = rev
	for _, c := range l {
		d.Rows[c.Row] = docs.Row{Rev: rev, Body: c.Body}
	}
	return d
}

func drawPart(t *rapid.T) *part.Part {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z][a-z0-9-]{0,8}`), 1, 6, rapid.ID).Draw(t, "servers")
	daemon := rapid.Map(rapid.StringMatching(`[a-z]{1,4}`), func(s string) ident.Daemon { return ident.Daemon(s) })
	p := part.New("svc")
	p.Rev = ident.Rev(rapid.Uint64().Draw(t, "rev"))
	p.Witnesses = part.Witnesses{
		Current: rapid.SliceOfN(daemon, 1, 5).Draw(t, "current"),
		Next:    nilIfEmpty(rapid.SliceOfN(daemon, 0, 5).Draw(t, "next")),
		Retired: nilIfEmpty(rapid.SliceOfN(daemon, 0, 5).Draw(t, "retired")),
	}
	var ids []ident.Server
	for _, n := range names {
		id := ident.ServerID("svc", n)
		ids = append(ids, id)
		p.Servers[id] = part.Server{
			ID: id, Home: daemon.Draw(t, "home"), Epoch: ident.Epoch(rapid.Uint64Min(1).Draw(t, "epoch")),
			Standby:   rapid.SampledFrom([]ident.Daemon{"", "x"}).Draw(t, "standby"),
			State:     rapid.SampledFrom([]part.State{part.Active, part.Draining, part.Down}).Draw(t, "state"),
			Supersede: rapid.Bool().Draw(t, "supersede"),
		}
	}
	for range rapid.IntRange(0, 150).Draw(t, "shards") {
		p.Shards = append(p.Shards, part.Ownership{
			Server: rapid.SampledFrom(ids).Draw(t, "owner"), Epoch: 7,
			Previous: rapid.SampledFrom(append(ids, "")).Draw(t, "previous"),
		})
	}
	return p
}

func nilIfEmpty(l []ident.Daemon) []ident.Daemon {
	if len(l) == 0 {
		return nil
	}
	return l
}

func TestDecodeReversesRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPart(t)
		got, err := Decode("svc", doc(p.Rev, Rows(p)))
		require.NoError(t, err)
		require.Equal(t, p, got)
	})
}

func TestRemovedServerHasNilBody(t *testing.T) {
	l := Encode([]part.Change{part.RemoveServer{ID: "svc/a"}})
	require.Equal(t, []docs.Change{{Row: "server/a"}}, l)
}

func TestInvalidRowsAreReported(t *testing.T) {
	marshal := func(m proto.Message) []byte {
		b, err := proto.Marshal(m)
		require.NoError(t, err)
		return b
	}
	owner := &wire.ShardOwner{Server: "a", Epoch: 1}
	good := []docs.Change{
		{Row: "server/a", Body: marshal(&wire.ServerRow{Home: "d", Epoch: 1})},
		{Row: "shards/0", Body: marshal(&wire.ShardsRow{Owners: []*wire.ShardOwner{owner}})},
	}
	for _, c := range []struct {
		row  ident.Row
		body []byte
		want string
	}{
		{"witnesses", []byte{0xff}, "not a WitnessRow"},
		{"witnesses", marshal(&wire.WitnessRow{Next: []string{"x"}}), "no current witness"},
		{"server/b", marshal(&wire.ServerRow{Home: "d"}), "requires a name"},
		{"server/b", marshal(&wire.ServerRow{Home: "d", Epoch: 1, State: 9}), "known state"},
		{"server/", marshal(&wire.ServerRow{Home: "d", Epoch: 1}), "requires a name"},
		{"shards/1", marshal(&wire.ShardsRow{First: 64, Owners: []*wire.ShardOwner{owner}}), "only the last row may be short"},
		{"shards/2", marshal(&wire.ShardsRow{First: 128, Owners: []*wire.ShardOwner{owner}}), "shards/1: missing"},
		{"shards/0", marshal(&wire.ShardsRow{First: 1, Owners: []*wire.ShardOwner{owner}}), "does not match first shard"},
		{"shards/00", marshal(&wire.ShardsRow{Owners: []*wire.ShardOwner{owner}}), "does not match first shard"},
		{"shards/0", marshal(&wire.ShardsRow{First: 0}), ""},
		{"shards/0", marshal(&wire.ShardsRow{Owners: []*wire.ShardOwner{{Server: "x", Epoch: 1}}}), "has no row"},
		{"shards/0", marshal(&wire.ShardsRow{Owners: []*wire.ShardOwner{{Server: "a", Epoch: 1, Previous: "x"}}}), "has no row"},
		{"shards/0", marshal(&wire.ShardsRow{Owners: []*wire.ShardOwner{{Epoch: 1}}}), "requires an owner"},
		{"other", []byte{1}, "unknown row"},
	} {
		d := doc(3, append(good, docs.Change{Row: c.row, Body: c.body}))
		_, err := Decode("svc", d)
		if c.want == "" {
			require.NoError(t, err, "a row with an empty body counts as absent")
			continue
		}
		var f check.Findings
		require.ErrorAs(t, err, &f, "%s", c.row)
		require.ErrorContains(t, err, c.want)
	}
}

func FuzzDecode(f *testing.F) {
	p := part.New("svc")
	p.Witnesses.Current = []ident.Daemon{"d"}
	p.Servers["svc/a"] = part.Server{ID: "svc/a", Home: "d", Epoch: 1}
	p.Shards = []part.Ownership{{Server: "svc/a", Epoch: 1, Previous: "svc/a"}}
	for _, c := range Rows(p) {
		f.Add(string(c.Row), c.Body)
	}
	f.Add("shards/-1", []byte{8, 1})
	f.Add("shards/9999999999999999999", []byte{8, 255, 255, 255, 255, 15, 18, 0})
	f.Fuzz(func(t *testing.T, row string, body []byte) {
		l := append(Rows(p), docs.Change{Row: ident.Row(row), Body: body})
		got, err := Decode("svc", doc(1, l))
		if err != nil {
			return
		}
		again, err := Decode("svc", doc(1, Rows(got)))
		require.NoError(t, err)
		require.Equal(t, got.Shards, again.Shards)
		require.Equal(t, got.Servers, again.Servers)
	})
}
