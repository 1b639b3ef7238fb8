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

	// halfLife is after how long a count weighs half. A key that suddenly gets a third of the requests fills its server's
	// queue within a second; its dozen requests in half a second are no chance.
	halfLife = 800 * time.Millisecond

	// rescaleAt bounds the weight of new counts; old ones are scaled down by then.
	rescaleAt = 1 << 40
)

// rates is what daemons have measured: requests a second by service and bucket, and the speed of servers. Daemons bring
// it on goroutines of their own.
type rates struct {
	mu       sync.Mutex
	services map[ident.Service]*rate
	paces    map[ident.Server]*choice.WindowedMin
	units    map[ident.Service]*choice.Quantile // of a request's time at a usual server, in nanoseconds
}

// rate counts with weights that grow, instead of letting the old counts decay: a count touches its bucket only.
type rate struct {
	since mono.Time
	n     hold.Rates
}

func newRates() *rates {
	return &rates{services: map[ident.Service]*rate{}, paces: map[ident.Server]*choice.WindowedMin{}, units: map[ident.Service]*choice.Quantile{}}
}

func (r *rates) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.services)
	clear(r.paces)
	clear(r.units)
}

func (r *rates) add(now mono.Time, l []*wire.KeyCount, works []*wire.ServerWork) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range l {
		s := r.services[ident.Service(x.GetService())]
		if s == nil {
			s = &rate{since: now, n: make(hold.Rates, buckets)}
			r.services[ident.Service(x.GetService())] = s
		}
		if b := int(x.GetBucket()); b < buckets {
			s.n[b] += float64(x.GetRequests()) * s.weight(now)
		}
	}
	for _, x := range works {
		if p := x.GetPacePercent(); p > 0 {
			id := ident.Server(x.GetServer())
			if r.paces[id] == nil {
				r.paces[id] = &choice.WindowedMin{}
			}
			r.paces[id].Add(now, float64(p)/100)
		}
		q := r.units[ident.Service(x.GetService())]
		if q == nil {
			q = &choice.Quantile{P: choice.ServiceTimeQuantile}
			r.units[ident.Service(x.GetService())] = q
		}
		for _, t := range x.GetTook_100Us() {
			q.Add(float64(t) * float64(choice.SampleUnit))
		}
	}
}

// weight returns what a request counts for that came now.
func (s *rate) weight(now mono.Time) float64 {
	w := math.Exp2(now.Sub(s.since).Seconds() / halfLife.Seconds())
	if w < rescaleAt {
		return w
	}
	for i := range s.n {
		s.n[i] /= w
	}
	s.since = now
	return 1
}

// of returns a copy of a service's rates, nil before any count.
func (r *rates) of(now mono.Time, n ident.Service) hold.Rates {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[n]
	if s == nil {
		return nil
	}
	// Counts that decay by halves sum up to their rate times halfLife / ln 2.
	f := math.Ln2 / halfLife.Seconds() / s.weight(now)
	l := make(hold.Rates, len(s.n))
	for i, x := range s.n {
		l[i] = x * f
	}
	return l
}

// work returns how long an undisturbed request takes at a server; 0 while nobody has measured it.
func (r *rates) work(now mono.Time, n ident.Service, s ident.Server) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, pace := r.units[n], r.paces[s]
	if q == nil || pace == nil {
		return 0
	}
	return time.Duration(q.Estimate * pace.Min(now))
}
