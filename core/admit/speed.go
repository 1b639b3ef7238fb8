package admit

import (
	"slices"
	"time"

	"heatherrouter/core/mono"
)

const (
	samples = 16

	// slowFactor and fastFactor differ, and so do the times for which they must hold: a server near the
	// threshold would otherwise flap, and each change moves the load of all its peers.
	slowFactor = 3.0
	fastFactor = 1.5
	slowHold   = 200 * time.Millisecond
	fastHold   = 2 * time.Second

	// slowFloor keeps noise of fast services from counting as slowness.
	slowFloor = 2 * time.Millisecond
)

// speed decides whether the server is a straggler by comparing this home's measurements with its peers.
// It ignores the server's own load report, which lags.
type speed struct {
	ring  [samples]time.Duration
	n     int // number of samples ever added
	slow  bool
	since mono.Time // start of the time for which the opposite verdict has held; Never if it doesn't hold
}

func (s *speed) add(d time.Duration) {
	s.ring[s.n%samples] = d
	s.n++
}

// forget discards the samples and the verdict based on them.
func (s *speed) forget() {
	s.n, s.slow, s.since = 0, false, mono.Never
}

// median returns the moving median of ended exchanges, or the age of the youngest unfinished one if that
// is longer. The caller passes ages only while all open slots are busy: a hanging server ends no exchange
// and would otherwise look as fast as before, while a single long query is no evidence.
func (s *speed) median(ages []time.Duration) time.Duration {
	n := min(s.n, samples)
	if n == 0 {
		return 0
	}
	var buf [samples]time.Duration
	l := append(buf[:0], s.ring[:n]...)
	slices.Sort(l)
	m := l[len(l)/2]
	if len(ages) > 0 {
		m = max(m, slices.Min(ages))
	}
	return m
}

// judge compares the server's latency with the median of its peers.
func (s *speed) judge(now mono.Time, own time.Duration, peers []time.Duration) {
	p := medianOf(peers)
	if own == 0 || p == 0 {
		s.since = mono.Never
		return
	}
	hold := slowHold
	var turn bool
	if s.slow {
		hold = fastHold
		turn = own <= max(time.Duration(fastFactor*float64(p)), slowFloor)
	} else {
		turn = own > max(time.Duration(slowFactor*float64(p)), slowFloor)
	}
	switch {
	case !turn:
		s.since = mono.Never
	case s.since == mono.Never:
		s.since = now
	case now.Sub(s.since) >= hold:
		s.slow, s.since = !s.slow, mono.Never
	}
}

func medianOf(l []time.Duration) time.Duration {
	l = slices.DeleteFunc(slices.Clone(l), func(d time.Duration) bool { return d == 0 })
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}
