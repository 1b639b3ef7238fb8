package lessor_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
	"heatherrouter/io/clock"
	"heatherrouter/io/lessor"
	"heatherrouter/io/wire"
)

// BenchmarkSlopeAsk measures one renewal at a witness by the number of servers that the asking daemon is home of.
func BenchmarkSlopeAsk(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("holds=%d", n), func(b *testing.B) {
			l := lessor.New(lessor.Options{
				Self: "w", Terms: lease.Terms{Lease: time.Millisecond, Renew: time.Millisecond}, Clock: clock.New(),
				Alive: func(ident.Daemon) bool { return true }, Heard: func(ident.Daemon) {},
			})
			l.Serve(&part.Part{Service: "s", Rev: 1, Witnesses: part.Witnesses{Current: []ident.Daemon{"w"}}}, 1)
			time.Sleep(20 * time.Millisecond) // the quiet time after the start
			a := &wire.LeaseAsk{Incarnation: 1}
			for i := range n {
				a.Holds = append(a.Holds, &wire.Hold{Server: fmt.Sprintf("s/server-%04d", i), Epoch: 3, Rev: 1})
			}
			var r *wire.LeaseAnswer
			for b.Loop() {
				r = l.Ask(mono.Time(time.Hour), "h", a)
			}
			if !r.GetGives()[0].GetGiven() {
				b.Fatal("no lease given")
			}
			b.ReportMetric(float64(proto.Size(a))/float64(n), "ask-B/hold")
			b.ReportMetric(float64(proto.Size(r))/float64(n), "answer-B/hold")
		})
	}
}
