package route

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	// staleAfter is the age above which a load report no longer describes the current load.
	staleAfter = time.Second

	// downReportTTL is how long a server counts as down after a report says so. Reports arrive only with responses, so a
	// server that gets no requests sends no further reports. If the state did not expire, one report would exclude the
	// server at this entry daemon for ever, and reports for all servers would exclude the whole service. A request that
	// is sent too early is harmless: the home daemon rejects it at once as not run.
	downReportTTL = 500 * time.Millisecond

	// slowPickInterval is the number of picks for each one that ignores the slow flag. A slow server without requests
	// could not show that it has recovered. One pick in 64 is too rare to raise the 99th percentile of latency.
	slowPickInterval = 64
)

// Candidate is a backend server that may get a request, with the last load report of its home daemon.
type Candidate struct {
	Server     ident.Server
	Excluded   bool // drained, or without a home daemon
	Down       bool // reported as down
	Slow       bool // reported as slower than the other servers
	InFlight   int
	Queued     int
	OpenSlots  int       // 0 counts as an outdated report
	ReportedAt mono.Time // when the report was received
	Tried      bool      // whether an earlier attempt of the same request was sent to this server
}

// Pick chooses the less loaded of two random candidates and returns its index, or false if none is usable.
// It chooses slow candidates only rarely, and tried ones only if there are no others.
func Pick(now mono.Time, l []Candidate, random uint64) (int, bool) {
	for maxRank := 0; maxRank <= rankTried; maxRank++ {
		limit := maxRank
		if limit == rankFast && random%slowPickInterval == 0 {
			limit = rankSlow
		}
		if n := count(now, l, limit); n > 0 {
			return pickOfTwo(now, l, limit, n, random/slowPickInterval), true
		}
	}
	return 0, false
}

// Ranks of candidates. A candidate is chosen only if there is none of a lower rank, except for the picks that ignore the
// slow flag.
const (
	rankFast = iota
	rankSlow
	rankTried
	rankDown
)

// Usable reports whether requests may be sent to the server.
func (c *Candidate) Usable(now mono.Time) bool {
	return !c.Excluded && (!c.Down || now.Sub(c.ReportedAt) >= downReportTTL)
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

// count returns the number of candidates whose rank is at most limit.
func count(now mono.Time, l []Candidate, limit int) int {
	n := 0
	for i := range l {
		if l[i].rank(now) <= limit {
			n++
		}
	}
	return n
}

// pickOfTwo draws two of the n candidates whose rank is at most limit and returns the index of the less loaded one.
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

// nth returns the index of the n-th candidate, counted from 0, among those whose rank is at most limit.
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

// load returns the number of requests per open slot. Without an up-to-date report it is at least 1, the load of a server
// whose slots are all busy. Otherwise a server that sends no reports but was idle in its last one would get all requests.
// A server with a current report is thus preferred unless it has a queue.
func (c *Candidate) load(now mono.Time) float64 {
	x := float64(c.InFlight+c.Queued) / float64(max(c.OpenSlots, 1))
	if c.OpenSlots == 0 || now.Sub(c.ReportedAt) > staleAfter {
		x = max(x, 1)
	}
	return x
}
