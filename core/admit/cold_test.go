package admit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// coldServer is slow after a start and carries one request more for each third of its warm-up. Under more load
// it collapses: it fails everything for a while and is cold again.
type coldServer struct {
	slots, warmUp int
	warmTime      time.Duration // used instead of warmUp unless zero
	since         mono.Time
	answered      int
	failsUntil    mono.Time
	collapses     int
}

func (c *coldServer) warmth(now mono.Time) float64 {
	if c.warmTime > 0 {
		return min(float64(now.Sub(c.since))/float64(c.warmTime), 1)
	}
	return min(float64(c.answered)/float64(c.warmUp), 1)
}

func (c *coldServer) collapse(now mono.Time) {
	c.answered, c.since = 0, now
	c.failsUntil = now.Add(300 * time.Millisecond)
}

type exchange struct {
	ticket Ticket
	ends   mono.Time
	end    End
}

func (c *coldServer) take(now mono.Time, t Ticket, inside int, service time.Duration) exchange {
	if now < c.failsUntil {
		return exchange{t, now.Add(time.Millisecond), EndFailed}
	}
	w := c.warmth(now)
	if inside > 1+int(w*float64(c.slots)) {
		c.collapses++
		c.collapse(now)
		return exchange{t, now.Add(time.Millisecond), EndFailed}
	}
	return exchange{t, now.Add(time.Duration(float64(service) * (3 - 2*w))), EndAnswered}
}

// overload sends ten times the server's capacity from one time to another and returns the number of responses.
func overload(s *Server, c *coldServer, from, to mono.Time, service time.Duration, seed uint64) (answered int, full mono.Time) {
	r := rand.New(rand.NewPCG(seed, 1))
	var busy []exchange
	next := from
	full = mono.Never
	send := func(now mono.Time, l []Decision) {
		for _, d := range l {
			if v, ok := d.(Start); ok {
				busy = append(busy, c.take(now, v.Ticket, len(busy)+1, service))
			}
		}
	}
	for now := from; now < to; {
		if now >= next {
			d, l := s.Arrive(now, Work{Idempotent: true, Deadline: now.Add(time.Second)})
			send(now, append(l, d))
			next = now.Add(time.Duration(r.ExpFloat64() * float64(service) / 10 / float64(c.slots)))
		}
		for i := 0; i < len(busy); i++ {
			if e := busy[i]; e.ends <= now {
				busy = slices.Delete(busy, i, i+1)
				i--
				if e.end == EndAnswered {
					answered++
					c.answered++
				}
				send(now, s.Done(now, e.ticket, Result{End: e.end}))
			}
		}
		send(now, s.Tick(now))
		if s.ramp.full() && full == mono.Never {
			full = now
		}
		now = min(next, max(s.NextTick(), now+ms/10))
		if len(busy) > 0 {
			now = min(now, slices.MinFunc(busy, func(a, b exchange) int { return cmp.Compare(a.ends, b.ends) }).ends)
		}
	}
	for _, e := range busy {
		s.Done(to, e.ticket, Result{End: EndCancelled})
	}
	return answered, full
}

// A server starts cold under ten times its capacity and must come up without a collapse. With all slots open at
// once, it would collapse, restart cold and collapse again, without end.
func TestColdServerNeverOverloaded(t *testing.T) {
	for _, x := range []struct {
		name      string
		cold      coldServer
		collapses int // before the backoff matches the warm-up time
		end       mono.Time
		least     int // responses
		seeds     uint64
	}{
		{"30 requests", coldServer{slots: 3, warmUp: 30}, 0, 10 * sec, 2000, 3},
		{"120 requests", coldServer{slots: 3, warmUp: 120}, 0, 10 * sec, 2000, 3},
		{"2 s", coldServer{slots: 3, warmTime: 2 * time.Second}, 0, 10 * sec, 2000, 3},
		{"1000 requests", coldServer{slots: 3, warmUp: 1000}, 4, 120 * sec, 20000, 1},
		{"20 s", coldServer{slots: 3, warmTime: 20 * time.Second}, 4, 120 * sec, 10000, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range x.seeds {
				s, c := New(0, Options{Slots: 3}), x.cold
				n, full := overload(s, &c, 0, x.end, 10*time.Millisecond, seed)
				t.Logf("seed %d: collapses %d, answered %d in %v, all slots open after %v",
					seed, c.collapses, n, time.Duration(x.end), time.Duration(full))
				require.LessOrEqual(t, c.collapses, x.collapses)
				require.Greater(t, n, x.least, "all slots must be in use in the end")
			}
		})
	}
}

// A server restarts cold without reporting a new incarnation. The burst of failures restarts the ramp, so that
// callers see a few failed requests and no second collapse.
func TestUnannouncedColdRestart(t *testing.T) {
	for seed := range uint64(5) {
		s, c := New(0, Options{Slots: 3}), coldServer{slots: 3, warmUp: 60}
		overload(s, &c, 0, 10*sec, 10*time.Millisecond, seed)
		require.Zero(t, c.collapses)
		require.True(t, s.ramp.full())
		c.collapse(10 * sec)
		n, _ := overload(s, &c, 10*sec, 30*sec, 10*time.Millisecond, seed)
		require.LessOrEqual(t, c.collapses, 1, "seed %d", seed)
		require.Greater(t, n, 4000)
	}
}

// The server restarts while requests wait at its home. The home sees one lost connection, too little evidence to restart
// the ramp, but a cold server would collapse under all open slots before a response reports its new incarnation. So one
// request is sent, and its response decides: the ramp restarts, or all slots are used again.
func TestLostConnectionHoldsToOneRequest(t *testing.T) {
	for incarnation, more := range map[ident.Incarnation]int{1: 3, 2: 1} {
		s, now := warm(3, 10*time.Millisecond)
		s.observeIncarnation(now, now, 1)
		var l []Ticket
		for i := range 8 {
			l = append(l, TicketOf(arrive(t, s, now, work(i))))
		}
		now = now.Add(time.Millisecond)
		require.Empty(t, s.Done(now, l[0], Result{End: EndReset}), "two are still in flight")
		require.Empty(t, s.Done(now, l[1], Result{End: EndAnswered, Incarnation: 1}), "sent before the loss")
		next := s.Done(now, l[2], Result{End: EndAnswered, Incarnation: 1})
		require.Len(t, next, 1)
		now = now.Add(time.Millisecond)
		require.Len(t, s.Done(now, startOf(t, next[0]), Result{End: EndAnswered, Incarnation: incarnation}), more, "incarnation %d", incarnation)
	}
}
