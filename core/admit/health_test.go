package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

// Callers get refusals at once with a time to come back, not timeouts. The server's port is closed: two
// dials fail, the queue is handed back as not run, and probes decide when work starts again, by the ramp.
func TestDownByDialErrors(t *testing.T) {
	s, now := warm(2, 10*time.Millisecond)
	a := startOf(t, arrive(t, s, now, work(0)))
	b := startOf(t, arrive(t, s, now, work(1)))
	require.IsType(t, Queued{}, arrive(t, s, now, work(2)))
	require.Empty(t, s.Done(now, a, Result{End: EndNoDial}), "nothing more while the server may be cold")
	require.True(t, s.ProbeDue(now), "a probe settles the doubt")
	require.IsType(t, Queued{}, arrive(t, s, now, work(3)))
	l := s.Done(now, b, Result{End: EndNoDial})
	require.Len(t, l, 2)
	require.Equal(t, ReasonDown, reasonOf(t, l[0]))
	require.Equal(t, ReasonDown, reasonOf(t, l[1]))
	require.True(t, s.Report(now).Down)
	d := arrive(t, s, now, work(4))
	require.Equal(t, ReasonDown, reasonOf(t, d))
	require.Greater(t, d.(Refuse).RetryAfter, now)

	s.Probed(now, now, Health{})
	for range 5 {
		require.True(t, s.Report(now).Down)
		now = s.NextProbe()
		require.True(t, s.ProbeDue(now))
		require.False(t, s.ProbeDue(now), "one at a time")
		s.Probed(now, now, Health{})
	}
	require.Equal(t, now.Add(maxProbeWait), s.NextProbe())
	now = s.NextProbe()
	require.True(t, s.ProbeDue(now))
	s.Probed(now, now, Health{Alive: true})
	r := s.Report(now)
	require.False(t, r.Down)
	require.Equal(t, 1, r.OpenSlots)
	startOf(t, arrive(t, s, now, work(5)))
	require.IsType(t, Queued{}, arrive(t, s, now, work(6)), "one paced start at first")
}

// Callers of a frozen server are sent elsewhere within about a second. Its kernel takes connections and
// requests, and nothing answers; no exchange has timed out yet, the probes find it.
func TestDownBySilence(t *testing.T) {
	s, now := warm(3, 10*time.Millisecond)
	s.health.answered(now)
	for i := range 3 {
		startOf(t, arrive(t, s, now, work(i)))
	}
	for range downProbes {
		now = s.NextProbe()
		require.True(t, s.ProbeDue(now))
		asked := now
		now = now.Add(250 * time.Millisecond)
		s.Probed(now, asked, Health{})
	}
	require.True(t, s.Report(now).Down)
	require.LessOrEqual(t, now, sec)
}

// A server stays up whose health page doesn't answer while it answers work: the page lags and misleads.
func TestProbesDontOutvoteAnswers(t *testing.T) {
	s, now := warm(1, 10*time.Millisecond)
	for i := range 10 {
		require.True(t, s.ProbeDue(s.NextProbe()))
		a := startOf(t, arrive(t, s, now, work(i)))
		asked := now
		now = now.Add(probeEvery)
		s.Done(now, a, Result{End: EndAnswered})
		s.Probed(now, asked, Health{})
		require.False(t, s.Report(now).Down)
		require.Zero(t, s.health.probes, "work was answered since it was asked")
	}
}

// Few callers meet a server that looks alive to its probes and answers no work: their timeouts take it down,
// and each time that a probe lets it come back, a single loss takes it down again.
func TestProbesAloneDontRevive(t *testing.T) {
	s, now := warm(1, 10*time.Millisecond)
	sent := 0
	for i := 0; now < 20*sec; i++ {
		if s.ProbeDue(now) {
			s.Probed(now, now, Health{Alive: true})
		}
		d, _ := s.Arrive(now, work(i))
		now = now.Add(120 * time.Millisecond)
		if v, ok := d.(Start); ok {
			sent++
			s.Done(now, v.Ticket, Result{End: EndTimeout})
		}
		now = now.Add(maxGrace)
	}
	require.LessOrEqual(t, sent, downLosses+20)
	require.GreaterOrEqual(t, sent, downLosses+10, "it is tried again every second or two")
}

// Timeouts of callers that left next to no time say nothing about the server.
func TestShortTimeoutsDontCount(t *testing.T) {
	s, now := warm(1, 10*time.Millisecond)
	for i := range 20 {
		a := startOf(t, arrive(t, s, now, work(i)))
		now = now.Add(5 * time.Millisecond)
		s.Done(now, a, Result{End: EndTimeout})
		now = now.Add(maxGrace)
	}
	require.False(t, s.Report(now).Down)
}

func TestIncarnation(t *testing.T) {
	s, now := warm(3, 10*time.Millisecond)
	s.Done(now, startOf(t, arrive(t, s, now, work(0))), Result{Incarnation: 1})
	require.Equal(t, 3, s.Report(now).OpenSlots)
	old := startOf(t, arrive(t, s, now, work(1)))
	now = now.Add(time.Millisecond)
	s.Done(now, startOf(t, arrive(t, s, now, work(2))), Result{Incarnation: 2})
	require.Equal(t, 1, s.Report(now).OpenSlots, "a new incarnation is cold")
	s.ramp.jump(now, 3)
	s.Done(now, old, Result{Incarnation: 1})
	require.EqualValues(t, 2, s.Report(now).Incarnation, "a late answer of the old life")
	require.Equal(t, 3, s.Report(now).OpenSlots)
}

// A planned change of home costs the server no slots: its new home finds the incarnation that the old one
// had proved. Another incarnation, or one that isn't told, ramps up.
func TestProvenAtPreviousHome(t *testing.T) {
	for _, x := range []struct {
		told Health
		open int
	}{
		{Health{Alive: true, Incarnation: 5}, 3},
		{Health{Alive: true, Incarnation: 6}, 1},
		{Health{Alive: true}, 1},
	} {
		s := New(0, Options{Slots: 3, Proven: Proven{Incarnation: 5, Slots: 3}})
		require.Equal(t, 1, s.Report(0).OpenSlots)
		require.True(t, s.ProbeDue(0))
		s.Probed(ms, 0, x.told)
		require.Equal(t, x.open, s.Report(ms).OpenSlots)
	}
}

// A home lost its server to another one and gets it back. It may be cold by now, and the incarnation that it
// remembers says nothing, unless the other home had proved the same.
func TestTakeOver(t *testing.T) {
	s, now := warm(3, 10*time.Millisecond)
	s.Done(now, startOf(t, arrive(t, s, now, work(0))), Result{Incarnation: 5})
	late := startOf(t, arrive(t, s, now, work(1)))
	now = now.Add(time.Minute)
	s.TakeOver(now, Proven{Incarnation: 6, Slots: 2})
	require.Equal(t, 1, s.Report(now).OpenSlots)
	require.True(t, s.ProbeDue(now))
	s.Done(now, late, Result{Incarnation: 5})
	require.Zero(t, s.Report(now).Incarnation, "told before the change")
	s.Probed(now, now, Health{Alive: true, Incarnation: 6})
	require.Equal(t, 2, s.Report(now).OpenSlots)
}

// Callers of unkeyed work are led away from a straggler within a second, while its report says all is well.
// It doesn't say anything here: only what the home measures counts. It returns after it was fast for long.
func TestStraggler(t *testing.T) {
	s, now := warm(3, 5*time.Millisecond)
	peers := []time.Duration{5 * time.Millisecond, 6 * time.Millisecond, 4 * time.Millisecond, 50 * time.Millisecond}
	run := func(service time.Duration, until func() bool) time.Duration {
		began := now
		for i := 0; !until(); i++ {
			require.Less(t, now.Sub(began), time.Minute)
			s.Peers(now, peers)
			var l []Ticket
			for range 3 {
				if v, ok := arrive(t, s, now, work(i)).(Start); ok {
					l = append(l, v.Ticket)
				}
			}
			now = now.Add(service)
			for _, k := range l {
				s.Done(now, k, Result{End: EndAnswered})
			}
		}
		return now.Sub(began)
	}
	slow := func() bool { return s.Report(now).Slow }
	end := now.Add(time.Second)
	run(5*time.Millisecond, func() bool { require.False(t, slow()); return now > end })
	d := run(50*time.Millisecond, slow)
	require.Less(t, d, time.Second)
	t.Logf("slowed tenfold: told after %v", d)
	d = run(5*time.Millisecond, func() bool { return !slow() })
	require.GreaterOrEqual(t, d, fastHold)
	require.Less(t, d, 2*fastHold)
	end = now.Add(10 * time.Second)
	run(12*time.Millisecond, func() bool { require.False(t, slow(), "2.4 times is no straggler"); return now > end })
}

// A restarted server is ten times as slow as its peers until it is warm. Told as a straggler, it would be sent next to
// nothing and stay cold; the verdict holds back until its slots are open, and then falls if it is still slow.
func TestColdIsNoStraggler(t *testing.T) {
	now := mono.Time(0)
	s := New(now, Options{Slots: 3})
	for i := 0; s.Report(now).OpenSlots < 3; i++ {
		require.Less(t, now, mono.Time(2*time.Minute))
		s.Peers(now, []time.Duration{5 * time.Millisecond})
		require.False(t, s.Report(now).Slow)
		if v, ok := arrive(t, s, now, work(i)).(Start); ok {
			now = now.Add(50 * time.Millisecond)
			s.Done(now, v.Ticket, Result{End: EndAnswered})
		}
		now = now.Add(maxGap)
	}
	s.Peers(now, []time.Duration{5 * time.Millisecond})
	require.True(t, s.Report(now).Slow)
}

// A server that hangs finishes nothing; the age of what it holds tells.
func TestHangingStraggler(t *testing.T) {
	s, now := warm(3, 5*time.Millisecond)
	for i := range 3 {
		startOf(t, arrive(t, s, now, work(i)))
	}
	for now < sec && !s.Report(now).Slow {
		s.Peers(now, []time.Duration{5 * time.Millisecond})
		now = now.Add(50 * time.Millisecond)
	}
	require.True(t, s.Report(now).Slow)
	require.Less(t, now, sec)
}

// Hedges cancel the exchanges of a straggler before they end; the time that they had taken tells.
func TestHedgedStraggler(t *testing.T) {
	s, now := warm(3, 5*time.Millisecond)
	for i := 0; now < sec && !s.Report(now).Slow; i++ {
		s.Peers(now, []time.Duration{5 * time.Millisecond})
		a := startOf(t, arrive(t, s, now, work(i)))
		now = now.Add(20 * time.Millisecond)
		s.Done(now, a, Result{End: EndCancelled})
		now = now.Add(30 * time.Millisecond)
		s.Tick(now)
	}
	require.True(t, s.Report(now).Slow)
}

func TestOldPeersSayNothing(t *testing.T) {
	s, now := warm(1, time.Second)
	s.Peers(now, []time.Duration{5 * time.Millisecond})
	now = now.Add(2 * peersFor)
	s.Tick(now)
	require.False(t, s.Report(now).Slow)
	require.Equal(t, mono.Never, s.speed.since)
}
