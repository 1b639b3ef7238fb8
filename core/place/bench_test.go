package place

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures one plan of a service without events. The coordinator makes ten a second per service.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []struct{ servers, shards int }{{15, 512}, {120, 8192}} {
		b.Run(fmt.Sprintf("%d-servers-%d-shards", n.servers, n.shards), func(b *testing.B) {
			m := newSim(newSite(&testing.T{}, n.servers, n.shards), 100_000, 200*float64(n.servers), simSeed)
			m.holding = true
			m.advance(10 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				Plan(m.now, m.in)
			}
		})
	}
}
