package policy

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/stand"
)

// worked returns what the servers of a service began since a time, in order.
func worked(s stand.Service, since time.Time) []fakes.Work {
	var l []fakes.Work
	for _, v := range s.Servers {
		l = append(l, workedBy(v, since)...)
	}
	slices.SortFunc(l, func(a, b fakes.Work) int { return int(a.Start - b.Start) })
	return l
}

func workedBy(v *server.Server, since time.Time) []fakes.Work {
	l := v.Log()
	at := since.UnixNano()
	return slices.DeleteFunc(l, func(w fakes.Work) bool { return w.Start < at })
}

// maxByMean returns how much more the most loaded server did than the mean.
func maxByMean(s stand.Service, from, until time.Time) float64 {
	most, sum := 0, 0
	for _, v := range s.Servers {
		n := 0
		for _, w := range workedBy(v, from) {
			if w.Start < until.UnixNano() {
				n++
			}
		}
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(len(s.Servers)) / float64(max(sum, 1))
}

// move is a change of the server that works on a key.
type move struct {
	key      string
	from, to ident.Server
}

// movesOf finds the changes of server of each key; keys counts the keys that were seen.
func movesOf(l []fakes.Work) (moves []move, keys int) {
	last := map[string]ident.Server{}
	for i := range l {
		w := &l[i]
		if w.Key == "" || w.Outcome == fakes.NotRunOutcome {
			continue
		}
		if s, ok := last[w.Key]; ok && s != w.Server {
			moves = append(moves, move{w.Key, s, w.Server})
		}
		last[w.Key] = w.Server
	}
	return moves, len(last)
}

// gaps returns, for each key that had an answer, the longest time between the ends of two answers beyond the time
// between two requests, sorted.
func gaps(l []fakes.Work, from, until time.Time) []time.Duration {
	ends := map[string][]int64{}
	for i := range l {
		if w := &l[i]; w.Key != "" && w.Outcome == fakes.AnsweredOutcome {
			ends[w.Key] = append(ends[w.Key], w.End)
		}
	}
	var out []time.Duration
	for i := range uint64(probeKeys) {
		out = append(out, gap(ends[probeKey(i)], from, until))
	}
	slices.Sort(out)
	return out
}

func gap(ends []int64, from, until time.Time) time.Duration {
	ends = append(slices.Clone(ends), until.UnixNano())
	slices.Sort(ends)
	last, longest := from.UnixNano(), time.Duration(0)
	for _, e := range ends {
		longest = max(longest, time.Duration(e-last))
		last = max(last, e)
	}
	return max(0, longest-time.Second/probeRate)
}

func quantile(l []time.Duration, q float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	return l[min(int(q*float64(len(l))), len(l)-1)]
}

// concurrency returns the most requests that a server worked on at once, and how many failed by overload.
func concurrency(l []fakes.Work) (most, overloaded int) {
	type edge struct {
		at int64
		by int
	}
	var x []edge
	for i := range l {
		switch w := &l[i]; w.Outcome {
		case fakes.NotRunOutcome:
			continue
		case fakes.FailedOutcome:
			overloaded++
		}
		x = append(x, edge{l[i].Start, 1})
		if l[i].End > 0 {
			x = append(x, edge{l[i].End, -1})
		}
	}
	slices.SortFunc(x, func(a, b edge) int { return int(a.at - b.at) })
	n := 0
	for _, e := range x {
		n += e.by
		most = max(most, n)
	}
	return most, overloaded
}
