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

// largeRow returns a configuration of 270 KB that differs slightly between revisions.
func largeRow(rev store.Rev) store.Row {
	var b bytes.Buffer
	for i := range 4000 {
		fmt.Fprintf(&b, `{"name":"route-%x","prefix":"/%x/","timeout_ms":2000,"service":"x"},`, i*7919, i*104729)
	}
	fmt.Fprintf(&b, `{"version":%d}`, rev)
	return store.Row{Key: "config", Value: b.Bytes(), Rev: rev}
}

// syncTable brings a peer's table up to date and returns the size of the message in bytes.
func syncTable(t *testing.T, from, to *table) int {
	t.Helper()
	x := from.changesSince(store.Orders, to.rev, to.packableRevs())
	require.NotNil(t, x)
	p, err := to.decodePage(x)
	require.NoError(t, err)
	if x.GetWhole() {
		to.replace(p)
	} else {
		to.apply(p)
	}
	return proto.Size(x)
}

// Guards against requests that are routed by a configuration replaced seconds ago, because frequent large configurations fill
// the coordinator's link. A peer that has one of the kept versions must get only the difference, however many versions it
// has missed. A peer that has none must get the full value, packed to about a tenth of its size (at most a fifth).
func TestFrequentLargeConfigurations(t *testing.T) {
	lead, peer, behind := newTable(), newTable(), newTable()
	lead.apply(store.Page{Rows: []store.Row{largeRow(1)}, Rev: 1})
	size := len(largeRow(1).Value)
	require.Less(t, syncTable(t, &lead, &peer), size/5)
	syncTable(t, &lead, &behind)
	for rev := store.Rev(2); rev <= 15; rev++ {
		lead.apply(store.Page{Rows: []store.Row{largeRow(rev)}, Rev: rev})
		if rev%3 == 0 {
			require.Less(t, syncTable(t, &lead, &peer), 500)
			require.Equal(t, largeRow(rev).Value, peer.rows["config"].Value)
		}
	}
	require.Less(t, syncTable(t, &lead, &behind), size/5)
	require.Equal(t, largeRow(15).Value, behind.rows["config"].Value)
}

// Guards against a configuration that no operator wrote. An answer of another peer has made the daemon's copy newer than the
// revision in its request. A value packed against the older version must be refused, and the full table requested.
func TestRowPackedAgainstAnotherVersion(t *testing.T) {
	lead, peer := newTable(), newTable()
	for _, rev := range []store.Rev{1, 5} {
		lead.apply(store.Page{Rows: []store.Row{largeRow(rev)}, Rev: rev})
	}
	peer.apply(store.Page{Rows: []store.Row{largeRow(3)}, Rev: 3})
	x := lead.changesSince(store.Orders, 1, map[string]store.Rev{"config": 1})
	require.NotNil(t, x)
	_, err := peer.decodePage(x)
	require.Error(t, err)
	p, err := peer.decodePage(lead.changesSince(store.Orders, 0, nil))
	require.NoError(t, err)
	peer.replace(p)
	require.Equal(t, largeRow(5).Value, peer.rows["config"].Value)
}

// Guards against a difference that a daemon can't unpack, because its peer never had the version that the daemon has.
func TestRowIsPackedAgainstVersionOfPeer(t *testing.T) {
	lead, peer := newTable(), newTable()
	for _, rev := range []store.Rev{1, 5} {
		lead.apply(store.Page{Rows: []store.Row{largeRow(rev)}, Rev: rev})
	}
	peer.apply(store.Page{Rows: []store.Row{largeRow(3)}, Rev: 3})
	syncTable(t, &lead, &peer)
	require.Equal(t, largeRow(5).Value, peer.rows["config"].Value)
}

// Guards against a daemon that repeatedly requests a difference that it can't unpack from a current peer, after a peer with an
// older copy has answered its request for the full table.
func TestFullTableIsRequestedUntilCurrent(t *testing.T) {
	f := newFeed(newMemory(), "d1")
	old, lead := newTable(), newTable()
	old.apply(store.Page{Rows: []store.Row{largeRow(1)}, Rev: 1})
	for _, rev := range []store.Rev{1, 5} {
		lead.apply(store.Page{Rows: []store.Row{largeRow(rev)}, Rev: rev})
	}
	f.tables[store.Orders].apply(store.Page{Rows: []store.Row{largeRow(3)}, Rev: 3})
	require.False(t, f.applyTable(store.Orders, lead.changesSince(store.Orders, 1, map[string]store.Rev{"config": 1}), "lead"))
	require.Zero(t, f.syncRequest().GetRevs()[store.Orders])
	require.True(t, f.applyTable(store.Orders, old.changesSince(store.Orders, 0, nil), "old"))
	require.Zero(t, f.syncRequest().GetRevs()[store.Orders])
	require.True(t, f.applyTable(store.Orders, lead.changesSince(store.Orders, 0, nil), "lead"))
	require.Equal(t, uint64(5), f.syncRequest().GetRevs()[store.Orders])
}

// Guards against requests that go to the previous holder of a key. The holders change several times while a daemon waits for
// an answer. It must end with the newest, and a daemon that has none of the kept versions must get the full list.
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
			peer.applyHolds(proto.Clone(x).(*wire.PackedHolds))
			require.Equal(t, lead.Holds(), peer.Holds())
		}
		lead.Publish(holds(n))
	}
}
