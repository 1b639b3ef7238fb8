package admit

import (
	"testing"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// BenchmarkArriveDone is one request through a server with free slots, as a home handles each.
func BenchmarkArriveDone(b *testing.B) {
	for _, x := range []struct {
		name       string
		idempotent bool
	}{{"idempotent", true}, {"not idempotent", false}} {
		b.Run(x.name, func(b *testing.B) {
			s, now := warm(3, time.Millisecond)
			ids := make([]ident.Request, 1<<16)
			for i := range ids {
				ids[i] = ident.Request(time.Duration(i).String())
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				now = now.Add(10 * time.Millisecond)
				d, _ := s.Arrive(now, Work{ID: ids[i%len(ids)], Idempotent: x.idempotent, Deadline: mono.Never})
				s.Done(now, TicketOf(d), Result{End: EndAnswered, Incarnation: 1})
			}
		})
	}
}

// BenchmarkQueued is one request through the queue of a full server.
func BenchmarkQueued(b *testing.B) {
	s, now := warm(3, time.Millisecond)
	w := Work{Idempotent: true, Deadline: mono.Never}
	var running []Ticket
	for range 3 {
		d, _ := s.Arrive(now, w)
		running = append(running, TicketOf(d))
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Arrive(now, w)
		l := s.Done(now, running[0], Result{End: EndAnswered})
		running = append(running[:0], running[1], running[2], TicketOf(l[0]))
	}
}
