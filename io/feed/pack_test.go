package feed

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/io/clock"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// largeRow returns a configuration of 270 KB that differs a little from one version to the next.
func largeRow(rev store.Rev) store.Row {
	var b bytes.Buffer
	for i := range 4000 {
		fmt.Fprintf(&b, `{"name":"route-%x","prefix":"/%x/","timeout_ms":2000,"service":"x"},`, i*7919, i*104729)
	}
	fmt.Fprintf(&b, `{"version":%d}`, rev)
	return store.Row{Key: "config", Value: b.Bytes(), Rev: rev}
}

// copyOver brings a peer's table up to date and returns the bytes that it took.
func copyOver(t *testing.T, from, to *table) int {
	t.Helper()
	x := from.since(store.Orders, to.rev, to.packable())
	require.NotNil(t, x)
	p, err := to.page(x)
	require.NoError(t, err)
	if x.GetWhole() {
		to.replace(p)
	} else {
		to.apply(p)
	}
	return proto.Size(x)
}

// Requests are sent by a configuration that was replaced seconds ago. In a storm of large ones the coordinator's link is
// full of whole copies. A peer that has one of the last versions must get the difference only, however many versions it
// has missed, and one that has none the whole in a tenth of its size.
func TestStormOfLargeConfigurations(t *testing.T) {
	lead, peer, behind := newTable(), newTable(), newTable()
	lead.apply(store.Page{Rows: []store.Row{largeRow(1)}, Rev: 1})
	size := len(largeRow(1).Value)
	require.Less(t, copyOver(t, &lead, &peer), size/5)
	copyOver(t, &lead, &behind)
	for rev := store.Rev(2); rev <= 15; rev++ {
		lead.apply(store.Page{Rows: []store.Row{largeRow(rev)}, Rev: rev})
		if rev%3 == 0 {
			require.Less(t, copyOver(t, &lead, &peer), 500)
			require.Equal(t, largeRow(rev).Value, peer.rows["config"].Value)
		}
	}
	require.Less(t, copyOver(t, &lead, &behind), size/5)
	require.Equal(t, largeRow(15).Value, behind.rows["config"].Value)
}

// A daemon puts a configuration into force that nobody wrote. Its copy has become newer than what it told the sender, by an
// answer of another peer; what was packed against the older must be refused, and the whole table be asked for.
func TestRowPackedAgainstAnotherVersion(t *testing.T) {
	lead, peer := newTable(), newTable()
	for _, rev := range []store.Rev{1, 5} {
		lead.apply(store.Page{Rows: []store.Row{largeRow(rev)}, Rev: rev})
	}
	peer.apply(store.Page{Rows: []store.Row{largeRow(3)}, Rev: 3})
	x := lead.since(store.Orders, 1, map[string]store.Rev{"config": 1})
	require.NotNil(t, x)
	_, err := peer.page(x)
	require.Error(t, err)
	p, err := peer.page(lead.since(store.Orders, 0, nil))
	require.NoError(t, err)
	peer.replace(p)
	require.Equal(t, largeRow(5).Value, peer.rows["config"].Value)
}

// Guards against a difference that a daemon can't unpack, because its peer never saw the version that it has.
func TestRowIsPackedAgainstVersionOfPeer(t *testing.T) {
	lead, peer := newTable(), newTable()
	for _, rev := range []store.Rev{1, 5} {
		lead.apply(store.Page{Rows: []store.Row{largeRow(rev)}, Rev: rev})
	}
	peer.apply(store.Page{Rows: []store.Row{largeRow(3)}, Rev: 3})
	copyOver(t, &lead, &peer)
	require.Equal(t, largeRow(5).Value, peer.rows["config"].Value)
}

// Guards against a daemon that asks a new peer again and again for a difference that it can't unpack, after an older peer
// answered its request for the whole table.
func TestWholeTableIsAskedForUntilItIsNew(t *testing.T) {
	f := newFeed(newMemory(), "d1")
	old, lead := newTable(), newTable()
	old.apply(store.Page{Rows: []store.Row{largeRow(1)}, Rev: 1})
	for _, rev := range []store.Rev{1, 5} {
		lead.apply(store.Page{Rows: []store.Row{largeRow(rev)}, Rev: rev})
	}
	f.tables[store.Orders].apply(store.Page{Rows: []store.Row{largeRow(3)}, Rev: 3})
	require.False(t, f.takeTable(store.Orders, lead.since(store.Orders, 1, map[string]store.Rev{"config": 1}), "lead"))
	require.Zero(t, f.syncRequest().GetRevs()[store.Orders])
	require.True(t, f.takeTable(store.Orders, old.since(store.Orders, 0, nil), "old"))
	require.Zero(t, f.syncRequest().GetRevs()[store.Orders])
	require.True(t, f.takeTable(store.Orders, lead.since(store.Orders, 0, nil), "lead"))
	require.Equal(t, uint64(5), f.syncRequest().GetRevs()[store.Orders])
}

// Requests go to the last holder of a key. The holders change several times while a daemon waits for an answer; it must
// end with the newest, and one that has none of the kept lists gets the whole.
func TestHoldsPacked(t *testing.T) {
	holds := func(n uint64) *hold.Holds {
		h := &hold.Holds{Stamp: hold.Stamp{Term: 1, Sequence: n}, Services: map[ident.Service][]hold.Hold{"s": nil}}
		for i := range 200 {
			h.Services["s"] = append(h.Services["s"], hold.Hold{
				Range:  hold.Range{First: hold.Key(i * 300), Last: hold.Key(i*300 + 299)},
				Server: ident.Server(fmt.Sprintf("i-%08x", uint32(i+int(n))*2654435761)),
			})
		}
		return h
	}
	lead, peer := New(Options{Clock: clock.New()}), New(Options{Clock: clock.New()})
	lead.Publish(holds(1))
	for n := uint64(2); n <= 20; n++ {
		var have hold.Stamp
		if h := peer.Holds(); h != nil {
			have = h.Stamp
		}
		if n%9 != 0 { // some answers are lost
			x, err := lead.packHolds(have)
			require.NoError(t, err)
			if n > 2 && n%9 != 1 {
				require.Less(t, len(x.GetPacked()), 400)
			}
			peer.takeHolds(proto.Clone(x).(*wire.PackedHolds))
			require.Equal(t, lead.Holds(), peer.Holds())
		}
		lead.Publish(holds(n))
	}
}
