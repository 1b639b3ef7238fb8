package grant

import (
	"sync"

	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/wire"
)

// survey is what daemons have measured of the load of servers and services in the current term, and the view of it that goes to all
// daemons. It is safe for concurrent use.
type survey struct {
	mu        sync.Mutex
	s         *loads.Survey
	publisher *loads.Publisher
}

func newSurvey() *survey { return &survey{s: loads.NewSurvey(), publisher: loads.NewPublisher(0)} }

// reset discards everything at the start of a term.
func (y *survey) reset(t site.Term) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.s, y.publisher = loads.NewSurvey(), loads.NewPublisher(t)
}

// add records what a daemon has measured. Daemons don't name the incarnation of a server: what they measured of the one before
// counts for its successor, once.
func (y *survey) add(at mono.Time, s *site.Snapshot, m *wire.Sync) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, w := range m.GetWorks() {
		x := s.Servers[ident.Server(w.GetServer())]
		if x == nil || x.Service != ident.Service(w.GetService()) {
			continue
		}
		y.s.AddWork(at, x, loads.Work{
			Sent: float64(w.GetSent()), Full: float64(w.GetFull()), Reports: float64(w.GetReports()), LoadSum: float64(w.GetLoadSum()),
			Slowdown: float64(w.GetPacePercent()) / 100,
		})
	}
	for _, d := range m.GetDemands() {
		if n := ident.Service(d.GetService()); s.Config != nil && s.Config.Services[n] != nil {
			y.s.AddDemand(at, n, int(d.GetPriority()), float64(d.GetRequests()))
		}
	}
}

// update returns the newest version of the view for the servers and daemons of the snapshot, or nil while there is none.
func (y *survey) update(now mono.Time, s *site.Snapshot) *loads.Edition {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.s.SetServers(s.Servers)
	keyed := map[ident.Service]bool{}
	for n, v := range s.Config.Services {
		keyed[n] = v.Keyed
	}
	y.publisher.SetKeyed(keyed)
	return y.publisher.Update(now, y.s, len(s.Daemons))
}

// SetShare sets the fraction of the callers' requests for a service that daemons send; 0 for all. It goes out with the next version
// of the view, and ends with the term.
func (y *survey) SetShare(n ident.Service, share float64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.publisher.SetShare(n, share)
}

// Server returns what is known of a server.
func (y *survey) Server(now mono.Time, k report.Target) loads.Sample {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.s.Server(now, k)
}

// Service returns what is known of all servers of a service together.
func (y *survey) Service(now mono.Time, n ident.Service) loads.Sample {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.s.Service(now, n)
}

// Demand returns the callers' requests per second for a service, by priority.
func (y *survey) Demand(now mono.Time, n ident.Service) []float64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.s.Demand(now, n)
}

// Slowdown returns the slowdown of a server without interference; 0 if it is unknown.
func (y *survey) Slowdown(now mono.Time, k report.Target) float64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.s.Slowdown(now, k)
}

// addHealth records the slowdown that a server reports in response to a health check.
func (y *survey) addHealth(now mono.Time, x *site.Server, slowdown float64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.s.AddHealth(now, x, slowdown)
}
