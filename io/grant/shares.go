package grant

import (
	"maps"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/shares"
	"heatherrouter/core/site"
)

// bounds limits what daemons send to services that are short of capacity: for each server of a service with keys, and for all servers
// together of a service without. It belongs to one term.
type bounds struct {
	services map[ident.Service]*shares.Controller
	servers  map[report.Target]*shares.Controller
	bounded  map[ident.Service]int // servers with a bound; 1 for a service without keys that has one

	// What daemons have from the coordinator before. It stays in force until this one has measurements of its own, or the time given.
	inheritUntil  mono.Time
	earlierShares map[ident.Service]float64
	earlierHolds  map[ident.Service][]hold.Hold
}

const (
	// maxInheritAge is the age of the earlier coordinator's shares from which they are not kept.
	maxInheritAge = 5 * time.Second

	// maxInherit is how long they are kept without measurements.
	maxInherit = 5 * time.Second
)

// newBounds returns the bounds of a new term. The view and the holds are the daemon's copies of the earlier coordinator's; they may be nil.
func newBounds(now mono.Time, v *loads.View, age time.Duration, h *hold.Holds) *bounds {
	b := &bounds{
		services: map[ident.Service]*shares.Controller{}, servers: map[report.Target]*shares.Controller{}, bounded: map[ident.Service]int{},
		inheritUntil: now.Add(maxInherit), earlierShares: map[ident.Service]float64{},
	}
	if v == nil || age > maxInheritAge {
		return b
	}
	for n, x := range v.Services {
		b.earlierShares[n] = x.Share
	}
	if h != nil {
		b.earlierHolds = h.Services
	}
	return b
}

func (b *bounds) service(n ident.Service) *shares.Controller {
	if b.services[n] == nil {
		b.services[n] = &shares.Controller{}
	}
	return b.services[n]
}

func (b *bounds) server(k report.Target) *shares.Controller {
	if b.servers[k] == nil {
		b.servers[k] = &shares.Controller{}
	}
	return b.servers[k]
}

// retain discards what belongs to servers and services that are gone.
func (b *bounds) retain(s *site.Snapshot) {
	maps.DeleteFunc(b.servers, func(k report.Target, _ *shares.Controller) bool {
		x := s.Servers[k.Server]
		return x == nil || x.Born != k.Born
	})
	maps.DeleteFunc(b.services, func(n ident.Service, _ *shares.Controller) bool { return s.Config.Services[n] == nil })
}

// stepService updates the bound of a service without keys and returns its share.
func (b *bounds) stepService(now mono.Time, n ident.Service, x loads.Sample, need shares.Need) float64 {
	c := b.service(n)
	c.Step(now, x, need)
	if !c.Settled() && now.Before(b.inheritUntil) {
		return b.earlierShares[n]
	}
	return c.Share(x.Arrivals)
}

// stepServer updates the bound of a server with keys and returns its rate; 0 for none.
func (b *bounds) stepServer(now mono.Time, k report.Target, x loads.Sample, need shares.Need) float64 {
	c := b.server(k)
	c.Step(now, x, need)
	return c.Rate()
}

// settled reports whether the controllers of a service's servers have measurements of their own, as far as these send any.
func (b *bounds) settled(l []*site.Server) bool {
	for _, x := range l {
		if c := b.servers[report.TargetOf(x)]; c != nil && c.Settled() {
			return true
		}
	}
	return false
}

// slotTime returns the mean time that a request occupies a slot, given the time without interference.
func slotTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * choice.MeanInterference * choice.MeanToMedian)
}

// mixesPriorities reports whether a service of a large site gets requests of several priorities, by the configuration and by its callers'
// demand. Elsewhere, refusing some of the requests in an overload costs callers more than it gains.
func (g *Granter) mixesPriorities(s *site.Snapshot, n ident.Service, now mono.Time) bool {
	if !g.o.Shares || !s.IsLarge() || !s.Config.MixesPriorities(n) {
		return false
	}
	d := g.survey.Demand(now, n)
	return len(d) == 0 || shares.Mixed(d) // without measurements, shares of an earlier coordinator are kept for a while
}

// updateShares updates the shares of all services without keys.
func (g *Granter) updateShares(s *site.Snapshot, now mono.Time) {
	g.bounds.retain(s)
	for n, v := range s.Config.Services {
		if v.Keyed {
			continue
		}
		if !g.mixesPriorities(s, n, now) {
			g.survey.SetShare(n, 0)
			delete(g.bounds.services, n)
			continue
		}
		x := g.survey.Service(now, n)
		x.Slots = usableSlots(s, n)
		share := g.bounds.stepService(now, n, x, shares.Need{TargetLatency: s.Config.TargetLatency(n), ServiceTime: g.meanSlotTime(s, n, now)})
		g.survey.SetShare(n, share)
		count := 0
		if _, ok := g.bounds.service(n).Bounded(); ok {
			count = 1
		}
		g.logBounded(n, count, share)
	}
}

// usableSlots returns the slots of the servers that take requests of a service.
func usableSlots(s *site.Snapshot, n ident.Service) int {
	slots := 0
	for _, x := range s.ServersOf(n) {
		if s.Accepts(x) {
			slots += x.Slots // 0 if it announces none: then its load says nothing
		}
	}
	return slots
}

// meanSlotTime returns the mean time that a request to a service occupies a slot, if all slots are taken; 0 if it is unknown.
func (g *Granter) meanSlotTime(s *site.Snapshot, n ident.Service, now mono.Time) time.Duration {
	slots, rate := 0.0, 0.0
	for _, x := range s.ServersOf(n) {
		if d := g.serviceTime(now, x); d > 0 && s.Accepts(x) {
			y := float64(max(1, x.Slots))
			slots, rate = slots+y, rate+y/d.Seconds()
		}
	}
	if rate == 0 {
		return 0
	}
	return slotTime(time.Duration(slots / rate * float64(time.Second)))
}

// updateBounds updates the bounds of the servers of a service with keys.
func (g *Granter) updateBounds(s *site.Snapshot, x *service, now mono.Time) {
	if !g.mixesPriorities(s, x.name, now) {
		x.bounds, x.earlier = nil, nil
		g.logBounded(x.name, 0, 0)
		return
	}
	arrivals := hold.Arrivals(x.holds, x.rates)
	target := s.Config.TargetLatency(x.name)
	x.bounds = map[ident.Server]float64{}
	for _, y := range s.ServersOf(x.name) {
		k := report.TargetOf(y)
		sample := g.survey.Server(now, k)
		sample.Arrivals = arrivals[y.ID]
		if r := g.bounds.stepServer(now, k, sample, shares.Need{TargetLatency: target, ServiceTime: slotTime(g.serviceTime(now, y))}); r > 0 {
			x.bounds[y.ID] = r
		}
	}
	x.earlier, x.replanned = nil, true
	if now.Before(g.bounds.inheritUntil) && !g.bounds.settled(s.ServersOf(x.name)) {
		x.earlier = g.bounds.earlierHolds[x.name]
	}
	g.logBounded(x.name, len(x.bounds), 0)
}

// admitted returns the holds with the share of requests to admit for each.
func (x *service) admitted(l []hold.Hold) []hold.Hold {
	targets := make([]hold.Target, len(x.targets))
	for i, t := range x.targets {
		t.Bound = x.bounds[t.Server]
		targets[i] = t
	}
	return hold.KeepAdmit(hold.Admit(l, targets, x.rates), x.earlier)
}

// logBounded logs when a service becomes short of capacity, and when it no longer is.
func (g *Granter) logBounded(n ident.Service, count int, share float64) {
	was := g.bounds.bounded[n]
	g.bounds.bounded[n] = count
	switch {
	case was == 0 && count > 0:
		g.o.Log.Warn().Str("service", string(n)).Int("servers", count).Float64("share", share).Msg("service is short of capacity")
	case was > 0 && count == 0:
		g.o.Log.Info().Str("service", string(n)).Msg("service has capacity again")
	}
}
