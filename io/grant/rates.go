package grant

import (
	"math"
	"sync"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/io/wire"
)

const (
	buckets = hold.Keys / hold.BucketKeys

	// halfLife is the time after which a count has half its weight. A key that suddenly gets a third of the requests fills its
	// server's queue within a second; its dozen requests in half a second can't be chance.
	halfLife = 800 * time.Millisecond

	// maxWeight bounds the weight of new counts: when it is reached, all counts are scaled down.
	maxWeight = 1 << 40
)

// measurements holds what daemons have measured: request rates by service and bucket, and service times. It is safe for concurrent use.
type measurements struct {
	mu           sync.Mutex
	services     map[ident.Service]*keyCounts
	serviceTimes map[ident.Service]*choice.Quantile // service time of a request at a server with slowdown 1, in nanoseconds
}

// keyCounts holds exponentially decayed request counts. New counts get growing weights, so that a count changes only its own
// bucket.
type keyCounts struct {
	since  mono.Time
	counts hold.Rates
}

func newMeasurements() *measurements {
	return &measurements{services: map[ident.Service]*keyCounts{}, serviceTimes: map[ident.Service]*choice.Quantile{}}
}

func (r *measurements) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.services)
	clear(r.serviceTimes)
}

func (r *measurements) add(at mono.Time, l []*wire.KeyCount, work []*wire.ServerWork) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range l {
		s := r.services[ident.Service(x.GetService())]
		if s == nil {
			s = &keyCounts{since: at, counts: make(hold.Rates, buckets)}
			r.services[ident.Service(x.GetService())] = s
		}
		if b := int(x.GetBucket()); b < buckets {
			s.counts[b] += float64(x.GetRequests()) * s.weight(at)
		}
	}
	for _, x := range work {
		q := r.serviceTimes[ident.Service(x.GetService())]
		if q == nil {
			q = &choice.Quantile{P: choice.ServiceTimeQuantile}
			r.serviceTimes[ident.Service(x.GetService())] = q
		}
		for _, t := range x.GetTook_100Us() {
			q.Add(float64(t) * float64(choice.SampleUnit))
		}
	}
}

// weight returns the weight of a request that is counted at time now.
func (s *keyCounts) weight(now mono.Time) float64 {
	w := math.Exp2(now.Sub(s.since).Seconds() / halfLife.Seconds())
	if w < maxWeight {
		return w
	}
	for i := range s.counts {
		s.counts[i] /= w
	}
	s.since = now
	return 1
}

// keyRates returns the request rates of a service in each bucket, or nil if no request was counted.
func (r *measurements) keyRates(now mono.Time, n ident.Service) hold.Rates {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[n]
	if s == nil {
		return nil
	}
	// At a constant rate, decayed counts add up to the rate times halfLife / ln 2.
	f := math.Ln2 / halfLife.Seconds() / s.weight(now)
	l := make(hold.Rates, len(s.counts))
	for i, x := range s.counts {
		l[i] = x * f
	}
	return l
}

// serviceTime returns the time of a request at a server with slowdown 1, or 0 if it was not measured.
func (r *measurements) serviceTime(n ident.Service) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.serviceTimes[n]; q != nil {
		return time.Duration(q.Estimate)
	}
	return 0
}
