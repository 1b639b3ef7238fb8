// Package topk finds the most frequent items of a stream, such as keys or shards, in fixed memory.
package topk

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherrouter/core/mono"
)

// Item is a frequent key with its rate. The true rate is between PerSecond-Error and PerSecond.
type Item[K comparable] struct {
	Key       K
	PerSecond float64
	Error     float64
}

// Sketch implements the space-saving algorithm with exponentially decaying counts. A new key replaces the key with the
// smallest count and inherits that count, so a key above 1/size of the stream is always kept.
type Sketch[K comparable] struct {
	halfLife time.Duration
	epoch    mono.Time // when an occurrence had the weight 1
	size     int
	index    map[K]int
	counts   []count[K]
}

type count[K comparable] struct {
	key   K
	n     float64
	error float64
}

// maxHalfLives is the number of half-lives after which counts are rescaled. It bounds the weights,
// which double with each half-life.
const maxHalfLives = 64

// New returns an empty sketch of up to size keys. The weight of an occurrence halves with each halfLife.
func New[K comparable](now mono.Time, size int, halfLife time.Duration) *Sketch[K] {
	return &Sketch[K]{halfLife: halfLife, epoch: now, size: max(size, 1), index: make(map[K]int, size)}
}

// Add counts one occurrence of a key.
//
// Newer occurrences get a higher weight instead of a decay of all older counts. The ratios are the same, and Add need not
// visit all counts.
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

// Top returns up to n keys, in descending order of their rates.
func (s *Sketch[K]) Top(now mono.Time, n int) []Item[K] {
	w := s.weight(now)
	// At a constant rate r, the decayed count converges to r times the mean lifetime of an occurrence.
	perSecond := math.Ln2 / s.halfLife.Seconds() / w
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
	x := now.Sub(s.epoch).Seconds() / s.halfLife.Seconds()
	if x <= maxHalfLives {
		return math.Exp2(x)
	}
	f := math.Exp2(-x)
	for i := range s.counts {
		s.counts[i].n *= f
		s.counts[i].error *= f
	}
	s.epoch = now
	return 1
}
