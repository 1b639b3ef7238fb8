package route

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	// staleAfter is the age from which a report says little about the load of now.
	staleAfter = time.Second

	// downFor is how long a report of down is believed. Reports come with answers only, so a server that is sent
	// nothing is never heard of again: without an end, the first report of down would keep an entry from it for
	// good, and with all of them down once, from the whole service. A request that tries it too early is refused
	// by its home at once, as not run.
	downFor = 500 * time.Millisecond

	// slowPickEvery is how many picks there are for each one that ignores the slow flag. A straggler without any
	// work could never show that it has recovered; one pick in 64 stays under the 99th percentile.
	slowPickEvery = 64
)

// Candidate is a backend server that may take a request, with what its home reports of it.
type Candidate struct {
	Server    ident.Server
	Out       bool // drained, or without a home
	Down      bool // as its home reported
	Slow      bool
	InFlight  int
	Queued    int
	OpenSlots int
	At        mono.Time // when the report was received
	Tried     bool      // an earlier send of the same request went there
}

// Pick chooses a server by two random choices and returns its index, or false when all are down.
// It avoids tried and slow ones while there are others.
func Pick(now mono.Time, l []Candidate, random uint64) (int, bool) {
	for worst := 0; worst <= rankTried; worst++ {
		limit := worst
		if limit == rankFast && random%slowPickEvery == 0 {
			limit = rankSlow
		}
		if n := count(now, l, limit); n > 0 {
			return pickOfTwo(now, l, limit, n, random/slowPickEvery), true
		}
	}
	return 0, false
}

// Ranks of candidates: a higher one is only taken when there is none below.
const (
	rankFast = iota
	rankSlow
	rankTried
	rankDown
)

// Usable reports whether work may be sent to the server.
func (c *Candidate) Usable(now mono.Time) bool {
	return !c.Out && (!c.Down || now.Sub(c.At) >= downFor)
}

func (c *Candidate) rank(now mono.Time) int {
	switch {
	case !c.Usable(now):
		return rankDown
	case c.Tried:
		return rankTried
	case c.Slow:
		return rankSlow
	}
	return rankFast
}

func count(now mono.Time, l []Candidate, limit int) int {
	n := 0
	for i := range l {
		if l[i].rank(now) <= limit {
			n++
		}
	}
	return n
}

// pickOfTwo draws two of the n candidates up to the rank, and returns the less loaded one.
func pickOfTwo(now mono.Time, l []Candidate, limit, n int, random uint64) int {
	a := int(random % uint64(n)) //nolint:gosec // below n
	i := nth(now, l, limit, a)
	if n == 1 {
		return i
	}
	random /= uint64(n)
	b := int(random % uint64(n-1)) //nolint:gosec // below n
	if b >= a {
		b++
	}
	j := nth(now, l, limit, b)
	if l[j].load(now) < l[i].load(now) {
		return j
	}
	return i
}

// nth returns the index of candidate n among those up to the rank.
func nth(now mono.Time, l []Candidate, limit, n int) int {
	for i := range l {
		if l[i].rank(now) > limit {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}

// load is work per open slot. A stale report counts as at least one full server: an idle one that isn't
// heard of would else draw all the work, and a full one that is heard of is the safer choice only when it
// has a queue.
func (c *Candidate) load(now mono.Time) float64 {
	x := float64(c.InFlight+c.Queued) / float64(max(c.OpenSlots, 1))
	if c.OpenSlots == 0 || now.Sub(c.At) > staleAfter {
		x = max(x, 1)
	}
	return x
}
