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

// warm returns a server whose ramp is through, each answer having taken the service time.
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

// arrive hands in work and returns the decision about it, which must change no other.
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
	require.Nil(t, s.Done(now, 9999, Result{}), "an unknown ticket changes nothing")
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
	require.Equal(t, now.Add(40*time.Millisecond), d.(Refuse).RetryAfter, "after what is ahead and itself")

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

// An archive query waits in a full queue. Managers' work of higher priority comes; it takes the place of
// other work, or is refused when there is only work that is never dropped.
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

func TestQueuedExpire(t *testing.T) {
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

// The caller of the copy is not told "not run". A shift swap is sent, and a copy of the request arrives
// while it is pending or after it ended, say from an entry that lost the first answer. Run again, the swap
// would be registered twice; called "not run", the manager would do it again by hand.
func TestDuplicateID(t *testing.T) {
	s, now := warm(2, 10*time.Millisecond)
	swap := Work{ID: "swap", Deadline: 1000 * sec}
	first := startOf(t, arrive(t, s, now, swap))
	require.Equal(t, Duplicate{Ticket: 2, Pending: true}, arrive(t, s, now, swap))
	s.Done(now, first, Result{End: EndTimeout})
	now = now.Add(time.Minute)
	require.Equal(t, Duplicate{Ticket: 3}, arrive(t, s, now, swap))
	now = now.Add(rememberFor)
	startOf(t, arrive(t, s, now, swap))

	for _, end := range []End{EndRefused, EndNoDial, EndNoConn} {
		s, now := warm(2, 10*time.Millisecond)
		s.Done(now, startOf(t, arrive(t, s, now, swap)), Result{End: end})
		startOf(t, arrive(t, s, now, swap)) // certainly not run: it may come again
	}
}

func TestRefusedIDMayComeAgain(t *testing.T) {
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

// A full memory refuses new work rather than forget an old id, whose copy could then run.
func TestMemoryFull(t *testing.T) {
	s, now := warm(3, 10*time.Millisecond)
	s.memory.limit = 2
	for i := range 2 {
		w := work(i)
		w.Idempotent = false
		s.Done(now, startOf(t, arrive(t, s, now, w)), Result{})
	}
	w := work(2)
	w.Idempotent = false
	require.Equal(t, ReasonMemoryFull, reasonOf(t, arrive(t, s, now, w)))
	startOf(t, arrive(t, s, now, work(3)))
	startOf(t, arrive(t, s, now.Add(rememberFor), w))
	require.Len(t, s.memory.ids, 1)
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
	require.Equal(t, 1, s.Report(now).InFlight, "what is in flight ends by itself")
	require.Empty(t, s.Done(now, first, Result{}))
	require.True(t, s.Report(now).Draining)
	s.Drain(now, false)
	startOf(t, arrive(t, s, now, work(3)))
	require.Zero(t, s.ramp.at, "a return ramps up")
}

// The next owner of a shard asks whether the old one has ended. An exchange timed out on our side, but the
// server was given a deadline and may work until then: saying "ended" would let two owners run one key.
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

// An exchange that was given up frees its slot only after a while: the server works on until it sees the
// connection closed, and a start in its place would be one more than its slots.
func TestGivenUpKeepsItsSlot(t *testing.T) {
	for _, end := range []End{EndCancelled, EndTimeout, EndSilent} {
		s, now := warm(1, 40*time.Millisecond)
		a := startOf(t, arrive(t, s, now, work(0)))
		require.IsType(t, Queued{}, arrive(t, s, now, work(1)))
		require.Empty(t, s.Done(10*ms, a, Result{End: end}))
		require.Equal(t, 50*ms, s.NextTick())
		require.Equal(t, 1, s.Report(20*ms).InFlight)
		require.Len(t, s.Tick(50*ms), 1)
	}
}

// steady sends one request each period, which takes the service time, and returns the starts.
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

// A server just taken over has one slot, and even that is paced: it may be cold, and one busy slot can be
// more than it carries.
func TestFirstStepsArePaced(t *testing.T) {
	s := New(0, Options{Slots: 3})
	require.LessOrEqual(t, steady(t, s, 0, 400*ms, 12*time.Millisecond, 10*time.Millisecond), 8, "of 34")
	require.Equal(t, 1, s.ramp.open())
}

// Time alone opens no slots: at one request a second nothing has shown after a minute that the server
// carries more, and the next morning's rush would find it cold with all slots open.
func TestTimeAloneOpensNoSlot(t *testing.T) {
	s := New(0, Options{Slots: 3})
	require.Equal(t, 40, steady(t, s, 0, 40*sec, time.Second, 10*time.Millisecond))
	require.Equal(t, 1, s.Report(40*sec).OpenSlots)
	steady(t, s, 40*sec, 60*sec, time.Second, 10*time.Millisecond)
	require.Equal(t, 2, s.Report(60*sec).OpenSlots, "after 44 answers")
}

// Answers to work of an earlier step don't prove the present one.
func TestOldAnswersProveNothing(t *testing.T) {
	r := newRamp(0, 3)
	r.jump(sec, 2)
	for range 10 * slotAnswers {
		r.answered(10*sec, sec-1)
	}
	require.Equal(t, 2, r.open())
	for range slotAnswers {
		r.answered(10*sec, sec)
	}
	require.Equal(t, 3, r.open())
}

// One refusal in nine is noise, more costs a slot, a burst starts the ramp again.
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
