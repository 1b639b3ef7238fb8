package grant

import (
	"sync"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/io/wire"
)

// rates is what daemons have measured: requests a second by service and bucket, and the speed of servers. Daemons bring
// it on goroutines of their own.
type rates struct {
	mu       sync.Mutex
	services map[ident.Service]*hold.Meter
	paces    map[ident.Server]*choice.Least
	units    map[ident.Service]*choice.Quantile // of a request's time at a usual server, in nanoseconds
}

func newRates() *rates {
	return &rates{services: map[ident.Service]*hold.Meter{}, paces: map[ident.Server]*choice.Least{}, units: map[ident.Service]*choice.Quantile{}}
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
			s = hold.NewMeter(now)
			r.services[ident.Service(x.GetService())] = s
		}
		s.Add(now, int(x.GetBucket()), int(x.GetRequests()))
	}
	for _, x := range works {
		if p := x.GetPacePercent(); p > 0 {
			id := ident.Server(x.GetServer())
			if r.paces[id] == nil {
				r.paces[id] = &choice.Least{}
			}
			r.paces[id].Add(now, float64(p)/100)
		}
		q := r.units[ident.Service(x.GetService())]
		if q == nil {
			q = &choice.Quantile{P: choice.UnitQuantile}
			r.units[ident.Service(x.GetService())] = q
		}
		for _, t := range x.GetTook_100Us() {
			q.Add(float64(t) * float64(choice.SampleUnit))
		}
	}
}

// of returns a copy of a service's rates, nil before any count.
func (r *rates) of(now mono.Time, n ident.Service) hold.Rates {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[n]
	if s == nil {
		return nil
	}
	return s.Rates(now)
}

// work returns how long an undisturbed request takes at a server; 0 while nobody has measured it.
func (r *rates) work(now mono.Time, n ident.Service, s ident.Server) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, pace := r.units[n], r.paces[s]
	if q == nil || pace == nil {
		return 0
	}
	return time.Duration(q.Q * pace.At(now))
}
