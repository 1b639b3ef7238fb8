package loads

import (
	"math"
	"slices"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
)

const (
	// halfLife is the time after which a count has half its weight.
	halfLife = 800 * time.Millisecond

	// loadHalfLife is the same for the reports of servers. What they say is seconds old when it reaches the daemons, and a longer
	// half-life would add to that.
	loadHalfLife = 400 * time.Millisecond

	// maxPriorities bounds the priorities that are told apart; requests of all lower ones count together.
	maxPriorities = 16
)

// Work is what one daemon has observed of a server since its previous exchange with the coordinator.
type Work struct {
	Sent     float64 // requests sent
	Full     float64 // of these, the ones that the server had no free capacity for
	Reports  float64 // responses with a report of the server's load
	LoadSum  float64 // requests running and waiting, summed over these reports
	Slowdown float64 // lowest slowdown reported; 0 for none
}

// Survey aggregates what daemons observe of the load of servers and services. It is not safe for concurrent use.
type Survey struct {
	since    mono.Time // of the first observation; 0 before
	servers  map[report.Target]*server
	services map[ident.Service]*demand
}

// server is what is known of one incarnation of a server. The numbers of w, except its slowdown, are decayed sums.
type server struct {
	service  ident.Service
	slots    int
	at       mono.Time // when w was last added to; 0 before
	w        Work
	slowdown choice.WindowedMin
}

// demand is the decayed number of callers' requests for a service, by priority.
type demand struct {
	at     mono.Time
	counts []float64
}

// NewSurvey returns a survey without observations.
func NewSurvey() *Survey {
	return &Survey{servers: map[report.Target]*server{}, services: map[ident.Service]*demand{}}
}

// Since returns the time of the first observation; 0 before.
func (s *Survey) Since() mono.Time { return s.since }

// SetServers sets the servers that the survey covers, and discards what is known of all others.
func (s *Survey) SetServers(l map[ident.Server]*site.Server) {
	for _, x := range l {
		s.server(x)
	}
	for k, v := range s.servers {
		x := l[k.Server]
		if x == nil || x.Born != k.Born || x.Service != v.service {
			delete(s.servers, k)
		}
	}
}

// server returns the state of an announced server, which it creates.
func (s *Survey) server(x *site.Server) *server {
	k := report.TargetOf(x)
	v := s.servers[k]
	if v == nil || v.service != x.Service {
		v = &server{service: x.Service}
		s.servers[k] = v
	}
	v.slots = x.Slots
	return v
}

// AddWork records what a daemon has observed of a server until the given time. Observations may come in any order.
func (s *Survey) AddWork(at mono.Time, x *site.Server, w Work) {
	s.began(at)
	v := s.server(x)
	old, added := weights(v.at, at, halfLife)
	v.w.Sent = v.w.Sent*old + w.Sent*added
	v.w.Full = v.w.Full*old + w.Full*added
	old, added = weights(v.at, at, loadHalfLife)
	v.w.Reports = v.w.Reports*old + w.Reports*added
	v.w.LoadSum = v.w.LoadSum*old + w.LoadSum*added
	v.at = max(v.at, at)
	if w.Slowdown > 0 {
		v.slowdown.Add(at, w.Slowdown)
	}
}

// AddDemand records callers' requests that a daemon has received until the given time.
func (s *Survey) AddDemand(at mono.Time, n ident.Service, priority int, requests float64) {
	s.began(at)
	x := s.services[n]
	if x == nil {
		x = &demand{}
		s.services[n] = x
	}
	old, added := weights(x.at, at, halfLife)
	for i := range x.counts {
		x.counts[i] *= old
	}
	x.at = max(x.at, at)
	p := max(0, min(priority, maxPriorities-1))
	for len(x.counts) <= p {
		x.counts = append(x.counts, 0)
	}
	x.counts[p] += requests * added
}

func (s *Survey) began(now mono.Time) {
	if s.since == 0 {
		s.since = now
	}
}

// decay returns the weight that counts as of the time at still have.
func decay(now, at mono.Time, halfLife time.Duration) float64 {
	if at == 0 {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(at).Seconds()) / halfLife.Seconds())
}

// weights returns the weights, as of the later of the two times, of counts as of counted and of those that are added as of at.
func weights(counted, at mono.Time, halfLife time.Duration) (old, added float64) {
	if at < counted {
		return 1, decay(counted, at, halfLife)
	}
	return decay(at, counted, halfLife), 1
}

// rate returns the factor by which a decayed count as of the time at becomes a rate per second.
func rate(now, at mono.Time, halfLife time.Duration) float64 {
	return decay(now, at, halfLife) * math.Ln2 / halfLife.Seconds()
}

// Server returns what is known of a server. Arrivals is 0: requests that were refused were meant for no server.
func (s *Survey) Server(now mono.Time, k report.Target) Sample {
	if v := s.servers[k]; v != nil {
		return v.sample(now)
	}
	return Sample{}
}

func (v *server) sample(now mono.Time) Sample {
	f := rate(now, v.at, halfLife)
	x := Sample{At: v.at, Sent: v.w.Sent * f, Full: v.w.Full * f, Reports: v.w.Reports * rate(now, v.at, loadHalfLife), Slots: v.slots}
	if v.w.Reports > 0 {
		x.InFlight = v.w.LoadSum / v.w.Reports
	}
	return x
}

// Slowdown returns the slowdown of a server without interference; 0 if it is unknown.
func (s *Survey) Slowdown(now mono.Time, k report.Target) float64 {
	if v := s.servers[k]; v != nil {
		return v.slowdown.Min(now)
	}
	return 0
}

// Service returns what is known of all servers of a service together.
func (s *Survey) Service(now mono.Time, n ident.Service) Sample {
	var x Sample
	for _, v := range s.servers {
		if v.service != n {
			continue
		}
		y := v.sample(now)
		x.At = max(x.At, y.At)
		x.Sent += y.Sent
		x.Full += y.Full
		x.Slots += y.Slots
		if now.Sub(y.At) <= reportLifetime {
			x.InFlight += y.InFlight
			x.Reports += y.Reports
		}
	}
	for _, r := range s.Demand(now, n) {
		x.Arrivals += r
	}
	if d := s.services[n]; d != nil {
		x.At = max(x.At, d.at)
	}
	return x
}

// reportLifetime is the age at which what a server reported of its load is no longer used. A server of which no daemon has sent
// anything for this time is idle or can't be reached.
const reportLifetime = 2 * time.Second

// Demand returns the callers' requests per second for a service, by priority.
func (s *Survey) Demand(now mono.Time, n ident.Service) []float64 {
	x := s.services[n]
	if x == nil {
		return nil
	}
	l, f := slices.Clone(x.counts), rate(now, x.at, halfLife)
	for i := range l {
		l[i] *= f
	}
	return l
}

// AddHealth records the slowdown that a server reports in response to a health check, if it is below the known one. A check sees one
// moment, and other processes slow a server down for a part of the time.
func (s *Survey) AddHealth(now mono.Time, x *site.Server, slowdown float64) {
	v := s.server(x)
	if least := v.slowdown.Min(now); least == 0 || slowdown < least {
		v.slowdown.Add(now, slowdown)
	}
}
