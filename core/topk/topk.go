// Package topk finds the most frequent keys or shards of a stream in fixed memory.
package topk

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherrouter/core/mono"
)

// Item is one frequent key with its rate. The true rate lies between PerSecond-Error and PerSecond.
type Item[K comparable] struct {
	Key       K
	PerSecond float64
	Error     float64
}

// Sketch is the space-saving algorithm with counts that decay: a new key takes the place of the smallest
// count and inherits it, so a key above 1/size of the stream is always among those kept.
type Sketch[K comparable] struct {
	half   time.Duration // half-life of a count
	start  mono.Time     // when the weight of an occurrence was 1
	size   int
	index  map[K]int
	counts []count[K]
}

type count[K comparable] struct {
	key   K
	n     float64
	error float64
}

// rescaleAfter bounds the weights, which double with each half-life.
const rescaleAfter = 64

// New returns a sketch of the size; half is after how long an occurrence counts half.
func New[K comparable](now mono.Time, size int, half time.Duration) *Sketch[K] {
	return &Sketch[K]{half: half, start: now, size: max(size, 1), index: make(map[K]int, size)}
}

// Add counts one occurrence.
//
// Older counts don't shrink, newer occurrences weigh more instead, which has the same effect on all ratios
// and spares a walk over all counts each time.
func (s *Sketch[K]) Add(now mono.Time, k K) {
	w := s.weight(now)
	if i, ok := s.index[k]; ok {
		s.counts[i].n += w
		return
	}
	if len(s.counts) < s.size {
		s.index[k] = len(s.counts)
		s.counts = append(s.counts, count[K]{key: k, n: w})
		return
	}
	i := s.smallest()
	c := &s.counts[i]
	delete(s.index, c.key)
	s.index[k] = i
	*c = count[K]{key: k, n: c.n + w, error: c.n}
}

// Top returns up to n keys, the most frequent first.
func (s *Sketch[K]) Top(now mono.Time, n int) []Item[K] {
	w := s.weight(now)
	// A steady rate r settles at a decayed count of r times the mean life of an occurrence.
	perSecond := math.Ln2 / s.half.Seconds() / w
	l := make([]Item[K], 0, len(s.counts))
	for i := range s.counts {
		c := &s.counts[i]
		l = append(l, Item[K]{Key: c.key, PerSecond: c.n * perSecond, Error: c.error * perSecond})
	}
	slices.SortStableFunc(l, func(a, b Item[K]) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	return l[:min(n, len(l))]
}

func (s *Sketch[K]) smallest() int {
	m := 0
	for i := range s.counts {
		if s.counts[i].n < s.counts[m].n {
			m = i
		}
	}
	return m
}

func (s *Sketch[K]) weight(now mono.Time) float64 {
	x := now.Sub(s.start).Seconds() / s.half.Seconds()
	if x <= rescaleAfter {
		return math.Exp2(x)
	}
	f := math.Exp2(-x)
	for i := range s.counts {
		s.counts[i].n *= f
		s.counts[i].error *= f
	}
	s.start = now
	return 1
}
