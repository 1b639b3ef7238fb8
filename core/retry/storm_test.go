package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/config"
	"heatherrouter/core/mono"
)

// event is a step of the simulated entry daemon.
type event struct {
	at      mono.Time
	request *Request // nil for the arrival of the next request
	input   Event
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	l := *e
	x := l[len(l)-1]
	*e = l[:len(l)-1]
	return x
}

// storm simulates an entry daemon half of whose eight servers are down from 5 s to 10 s, and counts its sends.
type storm struct {
	policy   Policy
	random   *rand.Rand
	queue    events
	arrivals [20]int // per second
	sends    [20]int
	finals   map[Outcome]int
	latest   mono.Time // latest final answer, relative to the deadline
}

func (s *storm) isDown(now mono.Time) bool {
	return now >= 5*sec && now < 10*sec && s.random.IntN(2) == 0
}

// outcome returns how a send ends: a server that is down refuses the connection, resets it, or doesn't answer before
// the deadline.
func (s *storm) outcome(now mono.Time, e *Request) event {
	took := 5*time.Millisecond + time.Duration(s.random.ExpFloat64()*float64(5*time.Millisecond))
	v := SendEnded{Outcome: Answered, OtherServer: true}
	if s.isDown(now) {
		switch s.random.IntN(3) {
		case 0:
			took, v.Outcome = time.Millisecond, NotRun
		case 1:
			took, v.Outcome = time.Millisecond, Unknown
		default:
			took, v.Outcome = e.Deadline().Sub(now), Unknown
		}
	}
	return event{now.Add(took), e, v}
}

func (s *storm) step(v event) {
	a := s.policy.Next(v.at, v.request, v.input, s.random.Uint64())
	switch a := a.(type) {
	case Send:
		s.sends[min(int(v.at/sec), 19)]++
		heap.Push(&s.queue, s.outcome(v.at, v.request))
		heap.Push(&s.queue, event{a.WakeAt, v.request, Woken{Available: true, OtherServer: true}})
	case Wait:
		if a.Until != mono.Never && a.Until > v.at {
			heap.Push(&s.queue, event{a.Until, v.request, Woken{Available: true, OtherServer: true}})
		}
	case Finish:
		s.finals[a.Outcome]++
		s.latest = max(s.latest, mono.Time(v.at.Sub(v.request.Deadline())))
	}
}

func (s *storm) run(kinds ...*config.Kind) {
	heap.Push(&s.queue, event{at: 0})
	for len(s.queue) > 0 {
		v := heap.Pop(&s.queue).(event)
		if v.request != nil {
			s.step(v)
			continue
		}
		if v.at >= 15*sec {
			continue
		}
		s.arrivals[int(v.at/sec)]++
		k := kinds[s.random.IntN(len(kinds))]
		heap.Push(&s.queue, event{v.at, NewRequest(v.at, k), Arrived{Available: true}})
		heap.Push(&s.queue, event{at: v.at.Add(time.Duration(s.random.ExpFloat64() * float64(time.Millisecond)))})
	}
}

// Guards against a retry storm that overloads the remaining servers. Half of the servers fail at once under a thousand
// requests a second. Refused, reset and unanswered requests are all retried, which without a budget would nearly double
// the load on the other half.
func TestNoRetryStorm(t *testing.T) {
	for seed := range uint64(5) {
		s := &storm{
			policy: Policy{Budget: NewBudget(0), HedgeDelay: &HedgeDelay{}},
			random: rand.New(rand.NewPCG(seed, 2)),
			finals: map[Outcome]int{},
		}
		s.run(lookup, lookup, swap, plan)
		arrivals, sends := 0, 0
		for i := range s.sends {
			arrivals += s.arrivals[i]
			sends += s.sends[i]
			// The limit per second includes the burst and the minimum rate. After the last arrival, waiting requests
			// are sent at the minimum rate alone.
			limit := float64(s.arrivals[i])*(1+defaultRatio) + defaultBurst + defaultMinRate
			require.LessOrEqual(t, float64(s.sends[i]), limit, "seed %d, second %d", seed, i)
		}
		total := float64(arrivals)*(1+defaultRatio) + defaultMinRate*75 + 1
		require.LessOrEqual(t, float64(sends), total, "seed %d", seed)
		finals := 0
		for _, n := range s.finals {
			finals += n
		}
		require.Equal(t, arrivals, finals, "each request has one final answer")
		require.LessOrEqual(t, s.latest, mono.Time(0), "no final answer after its deadline")
		if seed == 0 {
			t.Logf("arrivals %d, sends %d (%.3f), during the failure %d sends for %d arrivals, final answers %v", arrivals, sends,
				float64(sends)/float64(arrivals), s.sends[7], s.arrivals[7], s.finals)
		}
	}
}
