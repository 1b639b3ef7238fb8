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
	p := Policy{Budget: NewBudget(0), HedgeDelay: &HedgeDelay{p95: float64(10 * ms)}}
	p.Budget.tokens = n
	p.Budget.minRate = 0
	return p
}

func arrive(t *testing.T, p Policy, k *config.Kind) *Request {
	e := NewRequest(0, k)
	require.IsType(t, Send{}, p.Next(0, e, Arrived{Available: true}, 0))
	return e
}

// Checks the action after each outcome of the first send.
func TestAfterFirstSend(t *testing.T) {
	send := Send{WakeAt: 12 * ms}
	for _, x := range []struct {
		name   string
		kind   *config.Kind
		tokens float64
		ended  SendEnded
		want   Action
	}{
		{"answered", swap, 9, SendEnded{Outcome: Answered}, Finish{Outcome: Answered, Reason: ReasonAnswered}},
		{"not idempotent, unknown", swap, 9, SendEnded{Outcome: Unknown, OtherServer: true}, Finish{Outcome: Unknown, Reason: ReasonMaybeRan}},
		{"not idempotent, not run", swap, 9, SendEnded{Outcome: NotRun, OtherServer: true}, Send{WakeAt: sec}},
		{"not run, no budget", swap, 0, SendEnded{Outcome: NotRun, OtherServer: true}, Finish{Outcome: NotRun, RetryAfter: 102 * ms, Reason: ReasonNoRoom}},
		{"not run, capacity too late", swap, 9, SendEnded{Outcome: NotRun, RetryAfter: 3 * sec}, Finish{Outcome: NotRun, RetryAfter: 3 * sec, Reason: ReasonNoRoom}},
		{"not run, capacity in time", swap, 9, SendEnded{Outcome: NotRun, RetryAfter: 50 * ms}, Wait{Until: 50 * ms}},
		{"not run, no retry time", swap, 9, SendEnded{Outcome: NotRun}, Finish{Outcome: NotRun, RetryAfter: 102 * ms, Reason: ReasonNoRoom}},
		{"moved", swap, 0, SendEnded{Outcome: Moved}, Send{WakeAt: sec}},
		{"idempotent, unknown", lookup, 9, SendEnded{Outcome: Unknown, OtherServer: true}, send},
		{"idempotent, unknown, same server", lookup, 9, SendEnded{Outcome: Unknown}, Send{WakeAt: 42 * ms}},
		{"idempotent, unknown, no budget", lookup, 0, SendEnded{Outcome: Unknown, OtherServer: true}, Finish{Outcome: Unknown, Reason: ReasonNoBudget}},
		{"may wait, not run", archive, 0, SendEnded{Outcome: NotRun, OtherServer: true}, Wait{Until: 7 * ms}},
		{"may wait, capacity later", archive, 9, SendEnded{Outcome: NotRun, RetryAfter: 5 * sec}, Wait{Until: 5 * sec}},
		{"may wait, unknown", plan, 0, SendEnded{Outcome: Unknown}, Wait{Until: 7 * ms}},
		{"streamed, unknown", volume, 9, SendEnded{Outcome: Unknown, OtherServer: true}, Send{WakeAt: 60 * sec}},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := newPolicy(0)
			e := arrive(t, p, x.kind)
			p.Budget.tokens = x.tokens
			require.Equal(t, x.want, p.Next(2*ms, e, x.ended, 0))
		})
	}
}

// Guards against running a non-idempotent request twice. Its home fails after the send: the caller must get the
// unknown outcome at once, whatever budget and time are left.
func TestNonIdempotentIsNotResentAfterUnknown(t *testing.T) {
	p := newPolicy(100)
	e := arrive(t, p, swap)
	require.Equal(t, Wait{Until: sec}, p.Next(500*ms, e, Woken{Available: true, OtherServer: true}, 0), "no hedge")
	require.Equal(t, Finish{Outcome: Unknown, Reason: ReasonMaybeRan}, p.Next(500*ms, e, SendEnded{Outcome: Unknown, OtherServer: true}, 0))
	require.Equal(t, Wait{Until: mono.Never}, p.Next(501*ms, e, Woken{Available: true}, 0), "nothing after the final answer")
	require.Equal(t, 1, e.Sends())
}

// Guards against waiting for a slow server: after the usual response time the request is sent to one other server,
// and the first complete answer counts.
func TestHedge(t *testing.T) {
	p := newPolicy(1)
	e := arrive(t, p, lookup)
	require.Equal(t, Wait{Until: 10 * ms}, p.Next(9*ms, e, Woken{Available: true, OtherServer: true}, 0))
	require.Equal(t, Send{Hedge: true, WakeAt: sec}, p.Next(10*ms, e, Woken{Available: true, OtherServer: true}, 0))
	require.Equal(t, Wait{Until: sec}, p.Next(30*ms, e, Woken{Available: true, OtherServer: true}, 0), "only one hedge")
	require.Equal(t, Wait{Until: sec}, p.Next(31*ms, e, SendEnded{Outcome: Unknown}, 0), "the other send may still be answered")
	require.Equal(t, Finish{Outcome: Answered, Reason: ReasonAnswered}, p.Next(40*ms, e, SendEnded{Outcome: Answered}, 0))

	p = newPolicy(0)
	e = arrive(t, p, lookup)
	p.Budget.tokens = 0
	require.Equal(t, Wait{Until: sec}, p.Next(10*ms, e, Woken{Available: true, OtherServer: true}, 0), "no budget")
	p.HedgeDelay.p95 = 0
	require.Equal(t, Send{WakeAt: sec}, p.Next(0, NewRequest(0, lookup), Arrived{Available: true}, 0), "no hedge before the first observation")
}

// Guards against a final answer after the deadline while a send is in flight or the request waits.
func TestTimeout(t *testing.T) {
	p := newPolicy(0)
	e := arrive(t, p, swap)
	require.Equal(t, Finish{Outcome: Unknown, Reason: ReasonTimeout}, p.Next(sec, e, Woken{}, 0))

	e = NewRequest(0, plan)
	require.IsType(t, Wait{}, p.Next(0, e, Arrived{}, 0))
	f := p.Next(60*sec, e, Woken{}, 0)
	require.Equal(t, Finish{Outcome: NotRun, RetryAfter: 60*sec + 100*ms, Reason: ReasonTimeout}, f, "never sent")
}

// Guards against refusing a request that is never dropped. All its servers are down for almost a minute: it must wait
// and be sent once one is available, early if it is woken.
func TestNeverDropped(t *testing.T) {
	p := newPolicy(0)
	e := NewRequest(0, archive)
	a := p.Next(0, e, Arrived{}, 7)
	now := mono.Time(0)
	for now < 55*sec {
		w := a.(Wait)
		require.Greater(t, w.Until, now)
		require.LessOrEqual(t, w.Until, now.Add(maxBackoff))
		now = w.Until
		a = p.Next(now, e, Woken{}, uint64(now))
	}
	require.Zero(t, e.Sends())
	require.IsType(t, Send{}, p.Next(now+1, e, Woken{Available: true}, 0))
	require.IsType(t, Wait{}, p.Next(now+2, e, SendEnded{Outcome: NotRun}, 0), "refused by the server: waits again")
}

// Guards against reporting "not run" for a request whose first send may have run, after its second send was refused
// or its deadline passed while it waited.
func TestUnknownIsNotReportedAsNotRun(t *testing.T) {
	p := newPolicy(1)
	e := arrive(t, p, lookup)
	require.IsType(t, Send{}, p.Next(ms, e, SendEnded{Outcome: Unknown, OtherServer: true}, 0))
	require.Equal(t, Finish{Outcome: Unknown, Reason: ReasonNoRoom}, p.Next(2*ms, e, SendEnded{Outcome: NotRun, OtherServer: true}, 0))

	e = arrive(t, p, plan)
	require.IsType(t, Wait{}, p.Next(ms, e, SendEnded{Outcome: Unknown}, 0))
	require.Equal(t, Finish{Outcome: Unknown, Reason: ReasonTimeout}, p.Next(60*sec, e, Woken{}, 0))
}

// Guards against unbounded waiting requests in an outage. Requests beyond the limit are refused before they are
// accepted, other kinds need no slot, and a slot is released by the final answer or when the caller leaves.
func TestWaitSlots(t *testing.T) {
	p := newPolicy(9)
	p.WaitSlots = NewWaitSlots(2)
	a, b := NewRequest(0, archive), NewRequest(0, plan)
	require.IsType(t, Wait{}, p.Next(0, a, Arrived{}, 0))
	require.IsType(t, Send{}, p.Next(0, b, Arrived{Available: true}, 0))
	f := p.Next(0, NewRequest(0, archive), Arrived{Available: true}, 0)
	require.Equal(t, Finish{Outcome: NotRun, RetryAfter: 2 * sec, Reason: ReasonHeldFull}, f)
	arrive(t, p, swap)
	require.Equal(t, 2, p.WaitSlots.InUse())
	require.Equal(t, Finish{Outcome: NotRun, Reason: ReasonCallerLeft}, p.Next(ms, a, CallerLeft{}, 0))
	require.IsType(t, Wait{}, p.Next(ms, a, CallerLeft{}, 0), "slot released only once")
	require.Equal(t, 1, p.WaitSlots.InUse())
	p.Next(ms, b, SendEnded{Outcome: Answered}, 0)
	require.Zero(t, p.WaitSlots.InUse())
	e := arrive(t, p, lookup)
	require.Equal(t, Finish{Outcome: Unknown, Reason: ReasonCallerLeft}, p.Next(ms, e, CallerLeft{}, 0))
}

func TestUnavailable(t *testing.T) {
	f := newPolicy(0).Next(0, NewRequest(0, swap), Arrived{}, 0)
	require.Equal(t, Finish{Outcome: NotRun, RetryAfter: 100 * ms, Reason: ReasonUnavailable}, f)
}

// Guards against a busy loop while a shard moves for a long time: a request follows two redirects at once, then with
// backoff.
func TestMovedBacksOff(t *testing.T) {
	p := newPolicy(3)
	e := arrive(t, p, swap)
	require.IsType(t, Send{}, p.Next(ms, e, SendEnded{Outcome: Moved}, 0))
	require.IsType(t, Send{}, p.Next(2*ms, e, SendEnded{Outcome: Moved}, 0))
	now := 3 * ms
	for range 3 {
		w := p.Next(now, e, SendEnded{Outcome: Moved}, 0).(Wait)
		require.Greater(t, w.Until, now)
		now = w.Until
		require.IsType(t, Send{}, p.Next(now, e, Woken{Available: true}, 0))
	}
	f := p.Next(now, e, SendEnded{Outcome: Moved}, 0)
	require.Equal(t, ReasonOwnerMoving, f.(Finish).Reason)
	require.Equal(t, NotRun, f.(Finish).Outcome)
}

func TestBudget(t *testing.T) {
	b := NewBudget(0)
	require.True(t, b.Take(0))
	require.False(t, b.Take(0))
	for range 25 {
		b.RecordRequest()
	}
	require.True(t, b.Take(0))
	require.True(t, b.Take(0))
	require.False(t, b.Take(0))
	require.True(t, b.Take(sec), "the minimum rate")
	require.False(t, b.Take(sec))
	require.True(t, b.Take(3600*sec))
	require.False(t, b.Take(3600*sec), "an idle hour adds one token")
	for range 10000 {
		b.RecordRequest()
	}
	require.InDelta(t, defaultBurst, b.Available(), 1e-9)
}

func TestHedgeDelayFollowsPercentile(t *testing.T) {
	d := &HedgeDelay{}
	for i := range 20000 { // uniform from 0 to 100 ms
		d.Observe(time.Duration(i*7919%100) * time.Millisecond)
	}
	h, ok := d.Delay(true)
	require.True(t, ok)
	require.InDelta(t, 95, h.Milliseconds(), 8)
	h, _ = d.Delay(false)
	require.InDelta(t, 4*95, h.Milliseconds(), 32)
	for range 2000 {
		d.Observe(10 * time.Microsecond)
	}
	h, _ = d.Delay(true)
	require.Equal(t, minHedgeDelay, h)
}
