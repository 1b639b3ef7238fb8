package hold

import (
	"math"
	"slices"

	"heatherrouter/core/choice"
	"heatherrouter/core/ident"
)

// A key can get far more requests than its holder can serve, and it can't be spread, because only one server may hold
// it. Each daemon sees a small part of the key's requests and of the reports of late ones. If servers never answer
// requests that they have no room for, a daemon sees nothing at all. The excess requests then fill the queue of the
// holder and delay all its requests, also those for other keys. The coordinator knows the rates of all keys. It
// notifies the daemons of the share of requests to send, and they refuse the others at once.

const (
	// capacityFactor is the load sent to a server, as a multiple of its estimated capacity. The estimate is rough: it
	// uses the usual service time at the server's baseline slowdown, as reported by the server, and counts retried
	// requests twice. A lower factor would refuse requests that could be served.
	capacityFactor = 2.5

	// admitStep is the step of shares in percent. Each change is sent to all daemons.
	admitStep = 5

	// minAdmit is the minimum share in percent. It keeps a key in use if most of its requests are refused.
	minAdmit = 5
)

// demand is the requests per second at one server that share one admission rate.
type demand struct {
	rate  float64
	share float64
	hot   Range // bucket of the requests; zero for the demand of all other keys
}

// Admit returns the holds with the share of requests to send for each range. The hottest buckets get ranges of their
// own.
func Admit(l []Hold, targets []Target, rates Rates) []Hold {
	if len(rates) == 0 || len(targets) == 0 {
		return l
	}
	p := newPlanner(nil, targets, rates)
	held := make([][]Hold, len(p.targets))
	for _, h := range l {
		if i := p.index(Incarnation{Server: h.Server}); i >= 0 {
			held[i] = append(held[i], h)
			p.load[i] += p.rate(h.Range)
		}
	}
	var next []Hold
	for _, h := range l {
		i := p.index(Incarnation{Server: h.Server})
		if i < 0 || p.load[i] <= p.capacity(i) {
			next = append(next, h)
			continue
		}
		next = append(next, splitHot(h, p.admittedShares(i, held[i]))...)
	}
	return next
}

// KeepAdmit returns the holds with the percentages that earlier holds of the same keys at the same servers have, where they have none
// of their own.
func KeepAdmit(l, earlier []Hold) []Hold {
	var next []Hold
	for _, h := range l {
		first := int(h.First)
		add := func(last int, admit uint8) {
			if last >= first {
				x := h
				x.First, x.Last, x.Admit = key(first), key(last), admit
				next = append(next, x)
				first = last + 1
			}
		}
		for _, e := range earlier {
			if h.Admit == 0 && e.Admit > 0 && e.Server == h.Server && int(e.Last) >= first && e.First <= h.Last {
				add(int(e.First)-1, 0)
				add(int(min(e.Last, h.Last)), e.Admit)
			}
		}
		add(int(h.Last), h.Admit)
	}
	return next
}

// Arrivals returns the callers' requests per second for the keys of each server.
func Arrivals(l []Hold, rates Rates) map[ident.Server]float64 {
	p := newPlanner(nil, nil, rates)
	m := map[ident.Server]float64{}
	for _, h := range l {
		if h.Server != "" {
			m[h.Server] += p.rate(h.Range)
		}
	}
	return m
}

// capacity returns the requests per second that the target can serve without most of them being late.
func (p *planner) capacity(i int) float64 {
	if b := p.targets[i].Bound; b > 0 {
		return b
	}
	return capacityFactor * float64(max(1, p.targets[i].Slots)) / (p.serviceTimes[i] * choice.MeanInterference * choice.MeanToMedian)
}

// admittedShares divides the capacity of a target among its hottest buckets and all its other keys (max-min fairness):
// none gets more than its demand, and those that get less than their demand get the same rate.
func (p *planner) admittedShares(i int, held []Hold) []demand {
	left := p.capacity(i)
	others := demand{rate: p.load[i]}
	var l []demand
	for _, h := range held {
		for b := int(h.First) / p.width; b <= int(h.Last)/p.width; b++ {
			r := Range{First: max(h.First, key(b*p.width)), Last: min(h.Last, key((b+1)*p.width-1))}
			if d := p.rate(r); d >= hotShare*left {
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
		l[k].share = allowed / math.Max(l[k].rate, minKeyRate)
	}
	return l
}

// splitHot cuts the hot buckets out of a hold.
func splitHot(h Hold, l []demand) []Hold {
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

// percent returns a share as a percentage; 0 means all requests.
func percent(share float64) uint8 {
	x := int(math.Round(share*100/admitStep)) * admitStep
	if x >= 100 {
		return 0
	}
	return uint8(max(minAdmit, x)) //nolint:gosec // below 100
}
