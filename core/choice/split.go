package choice

import (
	"maps"
	"slices"

	"heatherrouter/core/ident"
)

// Part is one of the services that share the requests of a route.
type Part struct {
	Service ident.Service
	Weight  float64
	Local   bool // its server for the current request is in the daemon's own failure domain
}

// Splitter divides the requests of a route among its parts by weight. The weights hold over many requests. Which
// request a part gets is free: a request goes to a part with a local server while that part has a deficit.
type Splitter struct {
	deficit map[ident.Service]float64 // requests due to the part by its weight, less those it got
}

// SplitSlack is the number of requests by which all daemons together may exceed or miss a part's weight. Operators
// treat a deviation of a tenth over three hundred requests as a fault.
const SplitSlack = 18

// minSlack is the slack that a daemon needs to assign whole requests to parts by their weights.
const minSlack = 0.5

// Pick returns the service that a request goes to. The list must not be empty.
func (s *Splitter) Pick(l []Part, daemons int) ident.Service {
	sum := 0.0
	for _, p := range l {
		sum += max(0, p.Weight)
	}
	if len(l) == 1 || sum <= 0 {
		return l[0].Service
	}
	s.addRequest(l, sum)
	slack := max(minSlack, SplitSlack/float64(max(1, daemons)))
	most, local := -1, -1
	for i, p := range l {
		if p.Weight <= 0 {
			continue
		}
		deficit := s.deficit[p.Service]
		if most < 0 || deficit > s.deficit[l[most].Service] {
			most = i
		}
		if p.Local && deficit > 1-slack && (local < 0 || deficit > s.deficit[l[local].Service]) {
			local = i
		}
	}
	picked := l[most].Service
	if local >= 0 && s.deficit[picked] <= slack {
		picked = l[local].Service
	}
	s.deficit[picked]--
	return picked
}

// addRequest adds one request to the deficits by weight, and drops parts that the route no longer has.
func (s *Splitter) addRequest(l []Part, sum float64) {
	if s.deficit == nil {
		s.deficit = map[ident.Service]float64{}
	}
	maps.DeleteFunc(s.deficit, func(n ident.Service, _ float64) bool {
		return !slices.ContainsFunc(l, func(p Part) bool { return p.Service == n })
	})
	for _, p := range l {
		s.deficit[p.Service] += max(0, p.Weight) / sum
	}
}
