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

// event is a step of the simulated entry.
type event struct {
	at    mono.Time
	entry *Entry
	what  Event
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

// storm runs an entry that sends to eight servers, half of which are lost from 5 s to 10 s, and counts.
type storm struct {
	policy   Policy
	random   *rand.Rand
	todo     events
	arrivals [20]int // by second
	sends    [20]int
	finals   map[Outcome]int
	latest   mono.Time // longest time to a final answer
}

func (s *storm) lost(now mono.Time) bool {
	return now >= 5*sec && now < 10*sec && s.random.IntN(2) == 0
}

// outcome is how a send ends: a lost server refuses the dial, resets, or is silent up to the deadline.
func (s *storm) outcome(now mono.Time, e *Entry) event {
	took := 5*time.Millisecond + time.Duration(s.random.ExpFloat64()*float64(5*time.Millisecond))
	v := Ended{Outcome: Answered, Others: true}
	if s.lost(now) {
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
	a := s.policy.Next(v.at, v.entry, v.what, s.random.Uint64())
	switch a := a.(type) {
	case Send:
		s.sends[min(int(v.at/sec), 19)]++
		heap.Push(&s.todo, s.outcome(v.at, v.entry))
		heap.Push(&s.todo, event{a.WakeAt, v.entry, Woke{Room: true, Others: true}})
	case Wait:
		if a.Until != mono.Never && a.Until > v.at {
			heap.Push(&s.todo, event{a.Until, v.entry, Woke{Room: true, Others: true}})
		}
	case Final:
		s.finals[a.Outcome]++
		s.latest = max(s.latest, mono.Time(v.at.Sub(v.entry.Deadline())))
	}
}

func (s *storm) run(kinds ...*config.Kind) {
	heap.Push(&s.todo, event{at: 0})
	for len(s.todo) > 0 {
		v := heap.Pop(&s.todo).(event)
		if v.entry != nil {
			s.step(v)
			continue
		}
		if v.at >= 15*sec {
			continue
		}
		s.arrivals[int(v.at/sec)]++
		k := kinds[s.random.IntN(len(kinds))]
		heap.Push(&s.todo, event{v.at, NewEntry(v.at, k), Came{Room: true}})
		heap.Push(&s.todo, event{at: v.at.Add(time.Duration(s.random.ExpFloat64() * float64(time.Millisecond)))})
	}
}

// Callers of the servers that are left notice nothing of the others' loss but its share of load. Half of the
// servers go at once under a thousand requests a second; refused, reset and silent requests all ask for
// another send, which without a budget would nearly double the load on the half that is left.
func TestNoRetryStorm(t *testing.T) {
	for seed := range uint64(5) {
		s := &storm{
			policy: Policy{Budget: NewBudget(0), Delay: &Delay{}},
			random: rand.New(rand.NewPCG(seed, 2)),
			finals: map[Outcome]int{},
		}
		s.run(lookup, lookup, swap, plan)
		arrivals, sends := 0, 0
		for i := range s.sends {
			arrivals += s.arrivals[i]
			sends += s.sends[i]
			// In each second, but for what the bucket held and the floor; entries that wait go on after
			// the last arrival, from the floor alone.
			limit := float64(s.arrivals[i])*(1+defaultShare) + defaultBurst + defaultFloor
			require.LessOrEqual(t, float64(s.sends[i]), limit, "seed %d, second %d", seed, i)
		}
		total := float64(arrivals)*(1+defaultShare) + defaultFloor*75 + 1
		require.LessOrEqual(t, float64(sends), total, "seed %d", seed)
		finals := 0
		for _, n := range s.finals {
			finals += n
		}
		require.Equal(t, arrivals, finals, "each request has one final answer")
		require.LessOrEqual(t, s.latest, mono.Time(0), "none later than its deadline")
		if seed == 0 {
			t.Logf("arrivals %d, sends %d (%.3f), in the loss %d for %d, finals %v", arrivals, sends,
				float64(sends)/float64(arrivals), s.sends[7], s.arrivals[7], s.finals)
		}
	}
}
