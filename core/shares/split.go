package shares

import "time"

// leastPart is the part of the share of the most urgent requests that all others get at least.
const leastPart = 0.25

// Split divides the share of a service's requests by priority, the highest first. The mix is the fraction of the requests of each
// priority. The result has an entry for each priority of the mix. A share of 0 is for all requests.
func Split(share float64, mix []float64) []float64 {
	l := make([]float64, len(mix))
	total, first := 0.0, 0.0 // first is the part of the highest priority that has requests
	for i, x := range mix {
		if total == 0 {
			first = x
		}
		total += x
		l[i] = 1
	}
	if share <= 0 || share >= 1 {
		return l
	}
	most := share
	if total > 0 {
		most = min(1, share/(leastPart+(1-leastPart)*first/total))
	}
	least := leastPart * most
	left := (share - least) * total
	for i, x := range mix {
		add := most - least
		if x*add > left {
			add = left / x
		} else if left <= 0 && total > 0 {
			add = 0
		}
		l[i] = least + add
		left = max(0, left-add*x) // rounding must not leave less than nothing
	}
	return l
}

// Of returns the share of the requests of one priority. Priorities lower than those of the mix get the share of its lowest one.
func Of(share float64, mix []float64, priority int) float64 {
	switch {
	case share <= 0 || share >= 1:
		return 1
	case len(mix) == 0:
		return share
	}
	return Split(share, mix)[min(max(0, priority), len(mix)-1)]
}

// Draw returns the number that is compared with a request's share, given its random number from 0 to 1. A caller that returns after a
// refusal is twice as likely to be served.
func Draw(random float64, returned bool) float64 {
	if returned {
		return random / 2
	}
	return random
}

const (
	// holdTime is how long a share stays in force without news from the coordinator, and risePerSecond its increase from then on.
	holdTime      = 3 * time.Second
	risePerSecond = 0.1
)

// Aged returns a share that was last confirmed by the coordinator the given time ago; 0 for all requests.
func Aged(share float64, age time.Duration) float64 {
	if share == 0 || age <= holdTime {
		return share
	}
	if share += risePerSecond * (age - holdTime).Seconds(); share < 1 {
		return share
	}
	return 0
}

// leastFraction is the fraction of a service's requests from which the requests of a priority count. A few test requests on routes that
// callers don't use have no part in the order.
const leastFraction = 0.02

// Mixed reports whether requests of several priorities come, by the rate or fraction of each priority.
func Mixed(mix []float64) bool {
	total, n := 0.0, 0
	for _, x := range mix {
		total += x
	}
	for _, x := range mix {
		if x > leastFraction*total {
			n++
		}
	}
	return n > 1
}
