package rows_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
	"heatherrouter/io/rows"
)

// bigDoc returns the document of a service with that many shards and servers.
func bigDoc(shards, servers int) *docs.Doc {
	p := part.New("big")
	for i := range servers {
		id := ident.MakeServer("big", fmt.Sprintf("server-%05d", i))
		p.Servers[id] = part.Server{ID: id, Home: "h0001", Epoch: 7, Standby: "h0002"}
	}
	p.Witnesses.Current = []ident.Daemon{"h0001", "h0002", "h0003", "h0004", "h0005"}
	for i := range shards {
		p.Shards = append(p.Shards, part.Ownership{Server: ident.MakeServer("big", fmt.Sprintf("server-%05d", i%servers)), Epoch: 9})
	}
	d := docs.New("part/big")
	d.Rev = 1
	for _, c := range rows.Rows(p) {
		d.Rows[c.Row] = docs.Row{Rev: 1, Body: c.Body}
	}
	return d
}

// heap returns the bytes in use.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSlopeMap measures what a daemon holds of a service's assignments, and how long a new copy takes to decode.
func BenchmarkSlopeMap(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000, 4_000_000} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			empty := heap()
			d := bigDoc(n, max(15, n/128))
			rowsHeld := heap()
			var p *part.Part
			for b.Loop() {
				var err error
				p, err = rows.Decode("big", d)
				require.NoError(b, err)
			}
			both := heap()
			b.ReportMetric(float64(rowsHeld-empty)/float64(n), "row-B/shard")
			b.ReportMetric(float64(both-rowsHeld)/float64(n), "part-B/shard")
			runtime.KeepAlive(p)
			runtime.KeepAlive(d)
		})
	}
}
