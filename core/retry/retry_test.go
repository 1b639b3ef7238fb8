package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/config"
	"heatherrouter/core/mono"
)

const (
	ms  = mono.Time(time.Millisecond)
	sec = mono.Time(time.Second)
)

var (
	lookup  = &config.Kind{Name: "lookup", Idempotent: true, Timeout: time.Second}
	swap    = &config.Kind{Name: "swap", Timeout: time.Second}
	archive = &config.Kind{Name: "archive", Idempotent: true, Timeout: time.Minute, MayWait: true, NeverDropped: true}
	plan    = &config.Kind{Name: "plan", Idempotent: true, Timeout: time.Minute, MayWait: true}
	volume  = &config.Kind{Name: "volume", Idempotent: true, Timeout: time.Minute, Streamed: true}
)

// newPolicy returns a policy with tokens for n sends beyond the first, and a 95th percentile of 10 ms.
func newPolicy(n float64) Policy {
	p := Policy{Budget: NewBudget(0), Delay: &Delay{q: float64(10 * ms)}}
	p.Budget.tokens = n
	p.Budget.floor = 0
	return p
}

func came(t *testing.T, p Policy, k *config.Kind) *Entry {
	e := NewEntry(0, k)
	require.IsType(t, Send{}, p.Next(0, e, Came{Room: true}, 0))
	return e
}

// What follows the end of the first send.
func TestAfterFirstSend(t *testing.T) {
	send := Send{WakeAt: 12 * ms}
	for _, x := range []struct {
		name   string
		kind   *config.Kind
		tokens float64
		ended  Ended
		want   Action
	}{
		{"answered", swap, 9, Ended{Outcome: Answered}, Final{Outcome: Answered, Reason: ReasonAnswered}},
		{"not idempotent, unknown", swap, 9, Ended{Outcome: Unknown, Others: true}, Final{Outcome: Unknown, Reason: ReasonMaybeRan}},
		{"not idempotent, not run", swap, 9, Ended{Outcome: NotRun, Others: true}, Send{WakeAt: sec}},
		{"not run, no budget", swap, 0, Ended{Outcome: NotRun, Others: true}, Final{Outcome: NotRun, RetryAfter: 102 * ms, Reason: ReasonNoRoom}},
		{"not run, room too late", swap, 9, Ended{Outcome: NotRun, RetryAfter: 3 * sec}, Final{Outcome: NotRun, RetryAfter: 3 * sec, Reason: ReasonNoRoom}},
		{"not run, room in time", swap, 9, Ended{Outcome: NotRun, RetryAfter: 50 * ms}, Wait{Until: 50 * ms}},
		{"not run, nothing told", swap, 9, Ended{Outcome: NotRun}, Final{Outcome: NotRun, RetryAfter: 102 * ms, Reason: ReasonNoRoom}},
		{"moved", swap, 0, Ended{Outcome: Moved}, Send{WakeAt: sec}},
		{"idempotent, unknown", lookup, 9, Ended{Outcome: Unknown, Others: true}, send},
		{"idempotent, unknown, same server", lookup, 9, Ended{Outcome: Unknown}, Send{WakeAt: 42 * ms}},
		{"idempotent, unknown, no budget", lookup, 0, Ended{Outcome: Unknown, Others: true}, Final{Outcome: Unknown, Reason: ReasonNoBudget}},
		{"may wait, not run", archive, 0, Ended{Outcome: NotRun, Others: true}, Wait{Until: 7 * ms}},
		{"may wait, room later", archive, 9, Ended{Outcome: NotRun, RetryAfter: 5 * sec}, Wait{Until: 5 * sec}},
		{"may wait, unknown", plan, 0, Ended{Outcome: Unknown}, Wait{Until: 7 * ms}},
		{"streamed, unknown", volume, 9, Ended{Outcome: Unknown, Others: true}, Send{WakeAt: 60 * sec}},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := newPolicy(0)
			e := came(t, p, x.kind)
			p.Budget.tokens = x.tokens
			require.Equal(t, x.want, p.Next(2*ms, e, x.ended, 0))
		})
	}
}

// A manager's swap was sent and its home died. The manager is told at once that the outcome is unknown; a
// second send could register the swap twice, however much budget and time there is.
func TestNeverTwiceUnlessNotRun(t *testing.T) {
	p := newPolicy(100)
	e := came(t, p, swap)
	require.Equal(t, Wait{Until: sec}, p.Next(500*ms, e, Woke{Room: true, Others: true}, 0), "no hedge")
	require.Equal(t, Final{Outcome: Unknown, Reason: ReasonMaybeRan}, p.Next(500*ms, e, Ended{Outcome: Unknown, Others: true}, 0))
	require.Equal(t, Wait{Until: mono.Never}, p.Next(501*ms, e, Woke{Room: true}, 0), "nothing after the final answer")
	require.Equal(t, 1, e.Sends())
}

// A caller's lookup is with a straggler. After the usual time it is sent to another server as well, once,
// and the first whole answer counts.
func TestHedge(t *testing.T) {
	p := newPolicy(1)
	e := came(t, p, lookup)
	require.Equal(t, Wait{Until: 10 * ms}, p.Next(9*ms, e, Woke{Room: true, Others: true}, 0))
	require.Equal(t, Send{Hedge: true, WakeAt: sec}, p.Next(10*ms, e, Woke{Room: true, Others: true}, 0))
	require.Equal(t, Wait{Until: sec}, p.Next(30*ms, e, Woke{Room: true, Others: true}, 0), "one hedge")
	require.Equal(t, Wait{Until: sec}, p.Next(31*ms, e, Ended{Outcome: Unknown}, 0), "the other may still answer")
	require.Equal(t, Final{Outcome: Answered, Reason: ReasonAnswered}, p.Next(40*ms, e, Ended{Outcome: Answered}, 0))

	p = newPolicy(0)
	e = came(t, p, lookup)
	p.Budget.tokens = 0
	require.Equal(t, Wait{Until: sec}, p.Next(10*ms, e, Woke{Room: true, Others: true}, 0), "no budget")
	p.Delay.q = 0
	require.Equal(t, Send{WakeAt: sec}, p.Next(0, NewEntry(0, lookup), Came{Room: true}, 0), "nothing known yet")
}

// The caller gets the final answer at the deadline, whatever is still in flight.
func TestTimeout(t *testing.T) {
	p := newPolicy(0)
	e := came(t, p, swap)
	require.Equal(t, Final{Outcome: Unknown, Reason: ReasonTimeout}, p.Next(sec, e, Woke{}, 0))

	e = NewEntry(0, plan)
	require.IsType(t, Wait{}, p.Next(0, e, Came{}, 0))
	f := p.Next(60*sec, e, Woke{}, 0)
	require.Equal(t, Final{Outcome: NotRun, RetryAfter: 60*sec + 100*ms, Reason: ReasonTimeout}, f, "never sent")
}

// An archive query is accepted while all servers of its service are gone for almost a minute. It is held,
// never refused, and sent when there is room again, early if news come.
func TestNeverDropped(t *testing.T) {
	p := newPolicy(0)
	e := NewEntry(0, archive)
	a := p.Next(0, e, Came{}, 7)
	now := mono.Time(0)
	for now < 55*sec {
		w := a.(Wait)
		require.Greater(t, w.Until, now)
		require.LessOrEqual(t, w.Until, now.Add(maxBackoff))
		now = w.Until
		a = p.Next(now, e, Woke{}, uint64(now))
	}
	require.Zero(t, e.Sends())
	require.IsType(t, Send{}, p.Next(now+1, e, Woke{Room: true}, 0))
	require.IsType(t, Wait{}, p.Next(now+2, e, Ended{Outcome: NotRun}, 0), "refused after all: waits again")
}

// A caller is not told "not run" of a request whose first send may have run, though its second one was refused
// or its time ran out while it waited.
func TestUnknownStays(t *testing.T) {
	p := newPolicy(1)
	e := came(t, p, lookup)
	require.IsType(t, Send{}, p.Next(ms, e, Ended{Outcome: Unknown, Others: true}, 0))
	require.Equal(t, Final{Outcome: Unknown, Reason: ReasonNoRoom}, p.Next(2*ms, e, Ended{Outcome: NotRun, Others: true}, 0))

	e = came(t, p, plan)
	require.IsType(t, Wait{}, p.Next(ms, e, Ended{Outcome: Unknown}, 0))
	require.Equal(t, Final{Outcome: Unknown, Reason: ReasonTimeout}, p.Next(60*sec, e, Woke{}, 0))
}

// In an outage archive queries pile up. Those beyond the bound are pushed back before they are accepted;
// managers' requests take no place, and each place is free again with the final answer or when its caller left.
func TestHeld(t *testing.T) {
	p := newPolicy(9)
	p.Held = NewHeld(2)
	a, b := NewEntry(0, archive), NewEntry(0, plan)
	require.IsType(t, Wait{}, p.Next(0, a, Came{}, 0))
	require.IsType(t, Send{}, p.Next(0, b, Came{Room: true}, 0))
	f := p.Next(0, NewEntry(0, archive), Came{Room: true}, 0)
	require.Equal(t, Final{Outcome: NotRun, RetryAfter: 2 * sec, Reason: ReasonHeldFull}, f)
	came(t, p, swap)
	require.Equal(t, 2, p.Held.Len())
	require.Equal(t, Final{Outcome: NotRun, Reason: ReasonLeft}, p.Next(ms, a, Left{}, 0))
	require.IsType(t, Wait{}, p.Next(ms, a, Left{}, 0), "only once")
	require.Equal(t, 1, p.Held.Len())
	p.Next(ms, b, Ended{Outcome: Answered}, 0)
	require.Zero(t, p.Held.Len())
	e := came(t, p, lookup)
	require.Equal(t, Final{Outcome: Unknown, Reason: ReasonLeft}, p.Next(ms, e, Left{}, 0))
}

func TestUnavailable(t *testing.T) {
	f := newPolicy(0).Next(0, NewEntry(0, swap), Came{}, 0)
	require.Equal(t, Final{Outcome: NotRun, RetryAfter: 100 * ms, Reason: ReasonUnavailable}, f)
}

// A shard is between two owners for long. Callers follow it twice at once, then with pauses, not in a spin.
func TestMovedBacksOff(t *testing.T) {
	p := newPolicy(3)
	e := came(t, p, swap)
	require.IsType(t, Send{}, p.Next(ms, e, Ended{Outcome: Moved}, 0))
	require.IsType(t, Send{}, p.Next(2*ms, e, Ended{Outcome: Moved}, 0))
	now := 3 * ms
	for range 3 {
		w := p.Next(now, e, Ended{Outcome: Moved}, 0).(Wait)
		require.Greater(t, w.Until, now)
		now = w.Until
		require.IsType(t, Send{}, p.Next(now, e, Woke{Room: true}, 0))
	}
	f := p.Next(now, e, Ended{Outcome: Moved}, 0)
	require.Equal(t, ReasonMoving, f.(Final).Reason)
	require.Equal(t, NotRun, f.(Final).Outcome)
}

func TestBudget(t *testing.T) {
	b := NewBudget(0)
	require.True(t, b.Take(0))
	require.False(t, b.Take(0))
	for range 25 {
		b.Arrive()
	}
	require.True(t, b.Take(0))
	require.True(t, b.Take(0))
	require.False(t, b.Take(0))
	require.True(t, b.Take(sec), "the floor")
	require.False(t, b.Take(sec))
	require.True(t, b.Take(3600*sec))
	require.False(t, b.Take(3600*sec), "a quiet hour is not saved up")
	for range 10000 {
		b.Arrive()
	}
	require.InDelta(t, defaultBurst, b.Left(), 1e-9)
}

func TestDelayFollowsPercentile(t *testing.T) {
	d := &Delay{}
	for i := range 20000 { // uniform from 0 to 100 ms
		d.Observe(time.Duration(i*7919%100) * time.Millisecond)
	}
	h, ok := d.Hedge(true)
	require.True(t, ok)
	require.InDelta(t, 95, h.Milliseconds(), 8)
	h, _ = d.Hedge(false)
	require.InDelta(t, 4*95, h.Milliseconds(), 32)
	for range 2000 {
		d.Observe(10 * time.Microsecond)
	}
	h, _ = d.Hedge(true)
	require.Equal(t, minHedge, h)
}
