package hold

import (
	"math"
	"slices"

	"heatherrouter/core/choice"
)

// A key that gets far more requests than its holder carries can't be spread: only one server may have it. Each daemon sees a
// small part of its requests and reports that are late, and where servers never answer what they have no room for, it
// sees nothing at all. So the requests beyond what the holder carries fill its queue, and all of them are late, those for
// other keys at the same server too. The coordinator knows the rates of all keys; it tells the daemons which share of the
// requests to send, and the others are refused at once.

const (
	// carried is how much of what a server is reckoned to carry is sent to it. The reckoning is rough: it takes the usual
	// work at the pace that the server tells when it is left alone, and requests that are sent again count twice. Less would
	// refuse what could be served.
	carried = 2.5

	// meanWork is the mean of the time of a service's requests by their median, which is what daemons measure: a few are
	// much longer.
	meanWork = 1.3

	// admitStep is the step in which shares change, in percent: each change goes to all daemons.
	admitStep = 5

	// leastAdmit keeps a key in use whose requests are mostly refused.
	leastAdmit = 5
)

// demand is requests a second at one server that are admitted by one share.
type demand struct {
	rate  float64
	share float64
	hot   Range // the bucket that they are for; empty for all others
}

// Admit returns the holds with the share of the requests to send for each range, its busiest buckets apart.
func Admit(l []Hold, targets []Target, rates Rates) []Hold {
	if len(rates) == 0 || len(targets) == 0 {
		return l
	}
	p := newPlanner(nil, targets, rates)
	held := make([][]Hold, len(p.targets))
	for _, h := range l {
		if i := p.index(Life{Server: h.Server}); i >= 0 {
			held[i] = append(held[i], h)
			p.load[i] += p.rate(h.Range)
		}
	}
	var next []Hold
	for _, h := range l {
		i := p.index(Life{Server: h.Server})
		if i < 0 || p.load[i] <= p.carries(i) {
			next = append(next, h)
			continue
		}
		next = append(next, admitted(h, p.shares(i, held[i]))...)
	}
	return next
}

// carries returns the requests a second that the target carries without most of them being late.
func (p *planner) carries(i int) float64 {
	return carried * float64(max(1, p.targets[i].Slots)) / (p.work[i] * choice.MeanInterference * meanWork)
}

// shares divides what a target carries among its busiest buckets and all its other keys: none of them gets more than it
// asks for, and those that don't get all of it get the same.
func (p *planner) shares(i int, held []Hold) []demand {
	left := p.carries(i)
	others := demand{rate: p.load[i]}
	var l []demand
	for _, h := range held {
		for b := int(h.First) / p.width; b <= int(h.Last)/p.width; b++ {
			r := Range{First: max(h.First, key(b*p.width)), Last: min(h.Last, key((b+1)*p.width-1))}
			if d := p.rate(r); d >= busyShare*left {
				l = append(l, demand{rate: d, hot: r})
				others.rate -= d
			}
		}
	}
	l = append(l, others)
	slices.SortFunc(l, func(a, b demand) int {
		if a.rate < b.rate {
			return -1
		}
		return 1
	})
	for k := range l {
		allowed := min(l[k].rate, left/float64(len(l)-k))
		left -= allowed
		l[k].share = allowed / math.Max(l[k].rate, perKey)
	}
	return l
}

// admitted cuts the busy buckets out of a hold.
func admitted(h Hold, l []demand) []Hold {
	var others Hold
	var hot []Hold
	for _, d := range l {
		x := h
		x.Admit = percent(d.share)
		if d.hot == (Range{}) {
			others = x
			continue
		}
		if x.Range = d.hot; h.Has(x.First) {
			hot = append(hot, x)
		}
	}
	slices.SortFunc(hot, func(a, b Hold) int { return int(a.First) - int(b.First) })
	var next []Hold
	first := int(h.First)
	add := func(last int) {
		if last >= first {
			x := others
			x.Range = Range{First: key(first), Last: key(last)}
			next = append(next, x)
		}
	}
	for _, x := range hot {
		add(int(x.First) - 1)
		next = append(next, x)
		first = int(x.Last) + 1
	}
	add(int(h.Last))
	return next
}

// percent returns a share as it is told; 0 stands for all.
func percent(share float64) uint8 {
	x := int(math.Round(share*100/admitStep)) * admitStep
	if x >= 100 {
		return 0
	}
	return uint8(max(leastAdmit, x)) //nolint:gosec // below 100
}
