package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	ms  = mono.Time(time.Millisecond)
	sec = mono.Time(time.Second)
)

// warm returns a server whose ramp is complete, with samples of the service time.
func warm(slots int, service time.Duration) (*Server, mono.Time) {
	s, now := New(0, Options{Slots: slots}), mono.Time(0)
	for range samples {
		s.speed.add(service)
	}
	s.ramp.jump(now, slots)
	return s, now
}

func work(i int) Work {
	return Work{ID: ident.Request(fmt.Sprint(i)), Deadline: 1000 * sec, Idempotent: true}
}

// arrive submits work and returns the decision about it; it fails on decisions about other work.
func arrive(t *testing.T, s *Server, now mono.Time, w Work) Decision {
	d, l := s.Arrive(now, w)
	require.Empty(t, l)
	return d
}

func startOf(t *testing.T, d Decision) Ticket {
	require.IsType(t, Start{}, d)
	return d.(Start).Ticket
}

func reasonOf(t *testing.T, d Decision) Reason {
	require.IsType(t, Refuse{}, d)
	return d.(Refuse).Reason
}

func TestSlotsAndQueueOrder(t *testing.T) {
	s, now := warm(3, 10*time.Millisecond)
	var started []Ticket
	for i := range 3 {
		started = append(started, startOf(t, arrive(t, s, now, work(i))))
	}
	var queued []Ticket
	for _, p := range []config.Priority{0, 5, 0, 5, 9} {
		w := work(0)
		w.Priority = p
		d := arrive(t, s, now, w)
		require.IsType(t, Queued{}, d)
		queued = append(queued, TicketOf(d))
	}
	var order []Ticket
	for range 5 {
		now = now.Add(10 * time.Millisecond)
		l := s.Done(now, started[0], Result{End: EndAnswered})
		require.Len(t, l, 1)
		started = append(started[1:], startOf(t, l[0]))
		order = append(order, started[2])
	}
	require.Equal(t, []Ticket{queued[4], queued[1], queued[3], queued[0], queued[2]}, order)
	require.Nil(t, s.Done(now, 9999, Result{}), "an unknown ticket has no effect")
}

func TestRefusals(t *testing.T) {
	s, now := warm(1, 10*time.Millisecond)
	s.options.QueueLen, s.queue.limit = 3, 3
	startOf(t, arrive(t, s, now, work(0)))
	past := work(1)
	past.Deadline = now
	require.Equal(t, ReasonExpired, reasonOf(t, arrive(t, s, now, past)))
	for i := range 3 {
		require.IsType(t, Queued{}, arrive(t, s, now, work(i)))
	}
	d := arrive(t, s, now, work(9))
	require.Equal(t, ReasonQueueFull, reasonOf(t, d))
	require.Equal(t, now.Add(40*time.Millisecond), d.(Refuse).RetryAfter, "wait for the queue ahead and itself")

	late := work(1)
	late.Deadline = now.Add(25 * time.Millisecond)
	require.Equal(t, ReasonTooLate, reasonOf(t, arrive(t, s, now, late)))

	urgent := work(10)
	urgent.Priority = 1
	d, l := s.Arrive(now, urgent)
	require.IsType(t, Queued{}, d)
	require.Len(t, l, 1)
	require.Equal(t, Refuse{Ticket: 5, Reason: ReasonEvicted, RetryAfter: now.Add(40 * time.Millisecond)}, l[0])

	l = s.Cancel(now, TicketOf(d))
	require.Len(t, l, 1)
	require.Equal(t, ReasonCancelled, reasonOf(t, l[0]))
	require.Empty(t, s.Cancel(now, TicketOf(d)))
}

// An archive query waits in a full queue when managers' work of higher priority arrives. That work replaces
// other work, or is refused if the queue holds only work that is never evicted.
func TestNeverDroppedIsNotEvicted(t *testing.T) {
	s, now := warm(1, 10*time.Millisecond)
	s.queue.limit = 2
	startOf(t, arrive(t, s, now, work(0)))
	archive := work(1)
	archive.NeverDropped = true
	kept := arrive(t, s, now, archive)
	dropped := arrive(t, s, now, work(2))
	urgent := work(3)
	urgent.Priority = 9
	_, l := s.Arrive(now, urgent)
	require.Equal(t, TicketOf(dropped), TicketOf(l[0]))
	urgent.Priority = 10
	_, l = s.Arrive(now, urgent)
	require.Equal(t, ReasonEvicted, reasonOf(t, l[0]))
	s.queue.remove(func(e *entry) bool { return e.Priority > 0 })
	require.IsType(t, Queued{}, arrive(t, s, now, archive))
	require.Equal(t, ReasonQueueFull, reasonOf(t, arrive(t, s, now, urgent)))
	require.Equal(t, TicketOf(kept), s.queue.l[0].ticket)
}

func TestQueuedWorkExpires(t *testing.T) {
	s, now := warm(1, 10*time.Millisecond)
	first := startOf(t, arrive(t, s, now, work(0)))
	w := work(1)
	w.Deadline = 50 * ms
	d := arrive(t, s, now, w)
	require.Equal(t, 50*ms, s.NextTick())
	require.Empty(t, s.Tick(49*ms))
	l := s.Tick(50 * ms)
	require.Equal(t, TicketOf(d), TicketOf(l[0]))
	require.Equal(t, ReasonExpired, reasonOf(t, l[0]))
	require.Equal(t, mono.Never, s.NextTick())
	require.Empty(t, s.Done(60*ms, first, Result{}))
}

// A shift swap is sent, and a copy of the request arrives while it is pending or after it ended, for example from
// an entry daemon that lost the first response. If the copy ran, the swap would be registered twice; if its caller
// received "not run", the manager would repeat it by hand.
func TestDuplicateID(t *testing.T) {
	s, now := warm(2, 10*time.Millisecond)
	swap := Work{ID: "swap", Deadline: 1000 * sec}
	first := startOf(t, arrive(t, s, now, swap))
	require.Equal(t, Duplicate{Ticket: 2, Pending: true}, arrive(t, s, now, swap))
	s.Done(now, first, Result{End: EndTimeout})
	now = now.Add(time.Minute)
	require.Equal(t, Duplicate{Ticket: 3}, arrive(t, s, now, swap))
	now = now.Add(dedupTTL)
	startOf(t, arrive(t, s, now, swap))

	for _, end := range []End{EndRefused, EndDialFailed, EndNoConnFree} {
		s, now := warm(2, 10*time.Millisecond)
		s.Done(now, startOf(t, arrive(t, s, now, swap)), Result{End: end})
		startOf(t, arrive(t, s, now, swap)) // did not run: it may be sent again
	}
}

func TestRefusedIDMayBeSentAgain(t *testing.T) {
	s, now := warm(1, 10*time.Millisecond)
	first := startOf(t, arrive(t, s, now, work(0)))
	swap := Work{ID: "swap", Deadline: now.Add(40 * time.Millisecond)}
	require.IsType(t, Queued{}, arrive(t, s, now, swap))
	require.IsType(t, Duplicate{}, arrive(t, s, now, swap))
	s.Tick(50 * ms)
	swap.Deadline = 100 * sec
	require.IsType(t, Queued{}, arrive(t, s, 50*ms, swap))
	require.Len(t, s.Done(60*ms, first, Result{}), 1)
}

// A full request id table refuses new work: if it evicted an old id, a copy of that request could run.
func TestRequestIDTableFull(t *testing.T) {
	s, now := warm(3, 10*time.Millisecond)
	s.requestIDs.limit = 2
	for i := range 2 {
		w := work(i)
		w.Idempotent = false
		s.Done(now, startOf(t, arrive(t, s, now, w)), Result{})
	}
	w := work(2)
	w.Idempotent = false
	require.Equal(t, ReasonMemoryFull, reasonOf(t, arrive(t, s, now, w)))
	startOf(t, arrive(t, s, now, work(3)))
	startOf(t, arrive(t, s, now.Add(dedupTTL), w))
	require.Len(t, s.requestIDs.ids, 1)
}

func TestDrain(t *testing.T) {
	s, now := warm(1, 10*time.Millisecond)
	first := startOf(t, arrive(t, s, now, work(0)))
	queued := arrive(t, s, now, work(1))
	l := s.Drain(now, true)
	require.Equal(t, ReasonDraining, reasonOf(t, l[0]))
	require.Equal(t, TicketOf(queued), TicketOf(l[0]))
	require.Empty(t, s.Drain(now, true))
	require.Equal(t, ReasonDraining, reasonOf(t, arrive(t, s, now, work(2))))
	require.Equal(t, 1, s.Report(now).InFlight, "exchanges in flight are left to end")
	require.Empty(t, s.Done(now, first, Result{}))
	require.True(t, s.Report(now).Draining)
	s.Drain(now, false)
	startOf(t, arrive(t, s, now, work(3)))
	require.Zero(t, s.ramp.at, "resuming restarts the ramp")
}

// The next owner of a shard asks whether work at the old one has ended. An exchange timed out at this home, but the
// server may work on it until the deadline it was sent: "ended" would let two owners run one key.
func TestShardInFlight(t *testing.T) {
	s, now := warm(2, 10*time.Millisecond)
	w := Work{Shard: 4, Deadline: sec, Idempotent: true}
	a := startOf(t, arrive(t, s, now, w))
	b := startOf(t, arrive(t, s, now, w))
	require.IsType(t, Queued{}, arrive(t, s, now, w))
	l := s.Release(now, func(x ident.Shard) bool { return x != 4 })
	require.Equal(t, ReasonMoved, reasonOf(t, l[0]))
	require.Equal(t, 2, s.InFlight(now, 4))
	s.Done(now, a, Result{End: EndAnswered})
	s.Done(now, b, Result{End: EndCancelled})
	require.Equal(t, 1, s.InFlight(now, 4))
	require.Equal(t, 1, s.InFlight(sec-1, 4))
	require.Zero(t, s.InFlight(sec, 4))
}

// An abandoned exchange frees its slot only after a while: the server works on until it sees the closed
// connection, and another start would exceed its slots.
func TestAbandonedKeepsItsSlot(t *testing.T) {
	for _, end := range []End{EndCancelled, EndTimeout, EndUnresponsive} {
		s, now := warm(1, 40*time.Millisecond)
		a := startOf(t, arrive(t, s, now, work(0)))
		require.IsType(t, Queued{}, arrive(t, s, now, work(1)))
		require.Empty(t, s.Done(10*ms, a, Result{End: end}))
		require.Equal(t, 50*ms, s.NextTick())
		require.Equal(t, 1, s.Report(20*ms).InFlight)
		require.Len(t, s.Tick(50*ms), 1)
	}
}

// steady sends one request per period, each with the given service time, and returns the number of starts.
func steady(t *testing.T, s *Server, from, to mono.Time, period, service time.Duration) int {
	n := 0
	for now := from; now < to; now = now.Add(period) {
		w := work(0)
		w.Deadline = now.Add(period)
		if v, ok := arrive(t, s, now, w).(Start); ok {
			n++
			s.Done(now.Add(service), v.Ticket, Result{End: EndAnswered})
		}
		s.Tick(now.Add(period))
	}
	return n
}

// A server that was just taken over has one slot, and even that is rate-limited: it may be cold, and one busy slot
// can exceed its capacity.
func TestFirstStepsAreRateLimited(t *testing.T) {
	s := New(0, Options{Slots: 3})
	require.LessOrEqual(t, steady(t, s, 0, 400*ms, 12*time.Millisecond, 10*time.Millisecond), 8, "of 34")
	require.Equal(t, 1, s.ramp.open())
}

// Time alone opens no slots: one request per second for a minute is no evidence that the server carries
// more, and the next morning's peak would reach a cold server with all slots open.
func TestTimeAloneOpensNoSlot(t *testing.T) {
	s := New(0, Options{Slots: 3})
	require.Equal(t, 40, steady(t, s, 0, 40*sec, time.Second, 10*time.Millisecond))
	require.Equal(t, 1, s.Report(40*sec).OpenSlots)
	steady(t, s, 40*sec, 60*sec, time.Second, 10*time.Millisecond)
	require.Equal(t, 2, s.Report(60*sec).OpenSlots, "after 44 responses")
}

// Responses to work of an earlier step are no evidence for the current step.
func TestEarlierResponsesDontCount(t *testing.T) {
	r := newRamp(0, 3)
	r.jump(sec, 2)
	for range 10 * slotResponses {
		r.answered(10*sec, sec-1)
	}
	require.Equal(t, 2, r.open())
	for range slotResponses {
		r.answered(10*sec, sec)
	}
	require.Equal(t, 3, r.open())
}

// One refusal in nine is noise, more costs a slot, a burst restarts the ramp.
func TestRefusalsLowerTheRamp(t *testing.T) {
	r := newRamp(0, 3)
	r.jump(0, 3)
	for range 100 {
		require.False(t, r.failed(0))
		for range 9 {
			r.answered(0, 0)
		}
	}
	require.Equal(t, 3, r.open())
	require.False(t, r.failed(0))
	require.False(t, r.failed(0))
	require.Equal(t, 2, r.open())
	require.True(t, r.failed(0))
}
