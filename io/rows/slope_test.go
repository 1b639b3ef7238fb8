package rows_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
	"heatherrouter/io/rows"
)

// bigDoc returns the document of a service with the given numbers of shards and servers.
func bigDoc(shards, servers int) *docs.Doc {
	p := part.New("big")
	for i := range servers {
		id := ident.ServerID("big", fmt.Sprintf("server-%05d", i))
		p.Servers[id] = part.Server{ID: id, Home: "h0001", Epoch: 7, Standby: "h0002"}
	}
	p.Witnesses.Current = []ident.Daemon{"h0001", "h0002", "h0003", "h0004", "h0005"}
	for i := range shards {
		p.Shards = append(p.Shards, part.Ownership{Server: ident.ServerID("big", fmt.Sprintf("server-%05d", i%servers)), Epoch: 9})
	}
	d := docs.New("part/big")
	d.Rev = 1
	for _, c := range rows.Rows(p) {
		d.Rows[c.Row] = docs.Row{Rev: 1, Body: c.Body}
	}
	return d
}

// heap returns the bytes allocated on the heap after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSlopeMap measures the memory of a service's assignments in a daemon, and the time to decode a new copy.
func BenchmarkSlopeMap(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000, 4_000_000} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			empty := heap()
			d := bigDoc(n, max(15, n/128))
			heapWithRows := heap()
			var p *part.Part
			for b.Loop() {
				var err error
				p, err = rows.Decode("big", d)
				require.NoError(b, err)
			}
			heapWithBoth := heap()
			b.ReportMetric(float64(heapWithRows-empty)/float64(n), "row-B/shard")
			b.ReportMetric(float64(heapWithBoth-heapWithRows)/float64(n), "part-B/shard")
			runtime.KeepAlive(p)
			runtime.KeepAlive(d)
		})
	}
}

// BenchmarkSlopeAdvance measures the time to decode a copy that differs by one shard.
func BenchmarkSlopeAdvance(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			d := bigDoc(n, max(15, n/128))
			p, err := rows.Decode("big", d)
			require.NoError(b, err)
			moved := withMovedShard(p, d)
			for b.Loop() {
				_, err := rows.Advance(p, moved)
				require.NoError(b, err)
			}
		})
	}
}

// withMovedShard returns the document after shard 70 has moved to the next server.
func withMovedShard(p *part.Part, d *docs.Doc) *docs.Doc {
	o := slices.Clone(p.Chunk(1))
	o[6] = part.Ownership{Server: o[7].Server, Epoch: o[6].Epoch + 1, Previous: o[6].Server}
	x := docs.Delta{Name: d.Name, From: d.Rev, Rev: d.Rev + 1, Rows: map[ident.Row]docs.Row{}}
	for _, c := range rows.Encode([]part.Change{part.SetShards{Chunk: 1, Owners: o}}) {
		x.Rows[c.Row] = docs.Row{Rev: x.Rev, Body: c.Body}
	}
	next, _ := d.Apply(x)
	return next
}

func TestAdvanceMatchesDecode(t *testing.T) {
	d := bigDoc(1000, 15)
	p, err := rows.Decode("big", d)
	require.NoError(t, err)
	for _, next := range []*docs.Doc{withMovedShard(p, d), withoutServer(d), withMoreShards(d)} {
		a, err := rows.Advance(p, next)
		want, wantErr := rows.Decode("big", next)
		require.Equal(t, wantErr, err)
		require.Equal(t, want, a)
	}
	require.Equal(t, part.Ownership{Server: "big/server-00010", Epoch: 9}, p.Owner(70), "the old part must not change")
}

// withoutServer returns the document without the row of a server that still owns shards, which Decode reports.
func withoutServer(d *docs.Doc) *docs.Doc {
	next, _ := d.Apply(docs.Delta{Name: d.Name, From: d.Rev, Rev: d.Rev + 1, Rows: map[ident.Row]docs.Row{
		part.ServerRow("big/server-00014"): {Rev: d.Rev + 1},
	}})
	return next
}

// withMoreShards returns the document extended to 1200 shards.
func withMoreShards(d *docs.Doc) *docs.Doc {
	x := bigDoc(1200, 15)
	delta := docs.Delta{Name: d.Name, From: d.Rev, Rev: d.Rev + 1, Rows: map[ident.Row]docs.Row{}}
	for n, r := range x.Rows {
		delta.Rows[n] = docs.Row{Rev: delta.Rev, Body: r.Body}
	}
	next, _ := d.Apply(delta)
	return next
}
