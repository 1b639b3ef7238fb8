package choice

import (
	"maps"
	"slices"

	"heatherrouter/core/ident"
)

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service ident.Service
	Weight  float64
	Near    bool // its server for the request at hand is in the daemon's own failure domain
}

// Split decides which part of a route each request goes to. Over the requests each part gets its weight; which of them it
// gets is free, so that a request goes to the part that has its server nearby while that is owed any.
type Split struct {
	owed map[ident.Service]float64 // requests, by the weights so far, that the part has not had
}

// SplitSlack is how many requests all daemons together may have sent too many or too few to a part. Operators take a tenth
// off the weights over three hundred requests for a fault.
const SplitSlack = 18

// leastSlack is what a daemon needs to give whole requests to parts by their weights.
const leastSlack = 0.5

// Pick returns the service that a request goes to. The parts hold at least one.
func (s *Split) Pick(l []Part, daemons int) ident.Service {
	sum := 0.0
	for _, p := range l {
		sum += max(0, p.Weight)
	}
	if len(l) == 1 || sum <= 0 {
		return l[0].Service
	}
	s.owe(l, sum)
	slack := max(leastSlack, SplitSlack/float64(max(1, daemons)))
	most, near := -1, -1
	for i, p := range l {
		if p.Weight <= 0 {
			continue
		}
		owed := s.owed[p.Service]
		if most < 0 || owed > s.owed[l[most].Service] {
			most = i
		}
		if p.Near && owed > 1-slack && (near < 0 || owed > s.owed[l[near].Service]) {
			near = i
		}
	}
	picked := l[most].Service
	if near >= 0 && s.owed[picked] <= slack {
		picked = l[near].Service
	}
	s.owed[picked]--
	return picked
}

// owe adds one request to what is owed, and forgets parts that the route doesn't have any more.
func (s *Split) owe(l []Part, sum float64) {
	if s.owed == nil {
		s.owed = map[ident.Service]float64{}
	}
	maps.DeleteFunc(s.owed, func(n ident.Service, _ float64) bool {
		return !slices.ContainsFunc(l, func(p Part) bool { return p.Service == n })
	})
	for _, p := range l {
		s.owed[p.Service] += max(0, p.Weight) / sum
	}
}
