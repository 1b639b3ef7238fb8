package lease_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"heatherrouter/core/mono"
)

// instant is the time of the model, which no process can read.
type instant time.Duration

const (
	ms  = instant(time.Millisecond)
	sec = instant(time.Second)
)

type event struct {
	at  instant
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	n := len(*q) - 1
	e := (*q)[n]
	*q = (*q)[:n]
	return e
}

// sim runs events in the order of their time; all chance comes from one seed.
type sim struct {
	now instant
	seq int
	q   queue
	*rand.Rand
}

func newSim(seed uint64) *sim {
	return &sim{Rand: rand.New(rand.NewPCG(seed, 1))}
}

func (s *sim) at(t instant, f func()) {
	s.seq++
	heap.Push(&s.q, event{at: max(t, s.now), seq: s.seq, run: f})
}

func (s *sim) after(d instant, f func()) { s.at(s.now+d, f) }

// runTo runs all events up to the time, or until stop says so.
func (s *sim) runTo(t instant, stop func() bool) {
	for len(s.q) > 0 && s.q[0].at <= t && !stop() {
		e := heap.Pop(&s.q).(event)
		s.now = e.at
		e.run()
	}
	s.now = t
}

func (s *sim) chance(p float64) bool { return s.Float64() < p }

func (s *sim) between(a, b instant) instant {
	if b <= a {
		return a
	}
	return a + instant(s.Int64N(int64(b-a)))
}

// proc is one process: a clock of its own, which runs on while the process is frozen, and one life after the other.
type proc struct {
	*sim
	ppm    int64 // how fast the clock runs
	offset int64
	life   int
	alive  bool
	thaw   instant  // frozen until then
	waits  []func() // for the thaw
}

func (p *proc) clock() mono.Time {
	return mono.Time(p.offset + int64(p.now) + int64(p.now)*p.ppm/1_000_000)
}

// when returns when the clock reads t.
func (p *proc) when(t mono.Time) instant {
	x := int64(t) - p.offset
	return instant(x - x*p.ppm/(1_000_000+p.ppm) + 1)
}

func (p *proc) frozen() bool { return p.now < p.thaw }

// do runs f in the given life of the process: now, after the thaw, or never.
func (p *proc) do(life int, f func()) {
	if !p.alive || p.life != life {
		return
	}
	if p.frozen() {
		p.waits = append(p.waits, func() { p.do(life, f) })
		return
	}
	f()
}

// resume runs what waited for the thaw, in its order.
func (p *proc) resume() {
	if p.frozen() {
		return
	}
	l := p.waits
	p.waits = nil
	for _, f := range l {
		f()
	}
}

// later runs f in this life after a time by the process's own clock.
func (p *proc) later(d time.Duration, f func()) {
	life := p.life
	p.at(p.when(p.clock().Add(d)), func() { p.do(life, f) })
}

func (p *proc) begin() {
	p.life++
	p.alive = true
	p.thaw = 0
	p.offset = p.Int64N(int64(1000 * time.Hour))
}

func (p *proc) kill() { p.alive, p.waits = false, nil }

func (p *proc) freeze(d instant) {
	p.thaw = max(p.thaw, p.now+d)
	p.at(p.thaw, p.resume)
}
