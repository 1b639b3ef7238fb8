package grant

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/hold"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/conns"
)

const (
	// minProbedServers is the number of servers of a service from which on the coordinator asks them for their health. In a
	// smaller service the requests of all daemons tell as much within a second.
	minProbedServers = 128

	// firstProbeInterval is the time between health checks before the keys of a service are assigned for the first time. A
	// server that other processes slow down at one check is likely to be at its usual speed at another.
	firstProbeInterval = 200 * time.Millisecond

	probeInterval = time.Second
	probeTimeout  = 400 * time.Millisecond
)

// probeServers asks the servers of large keyed services for their health when that is due, and returns when it is due next. Keys are
// assigned by the speed of servers, which is unknown until they have had requests.
func (g *Granter) probeServers(s *site.Snapshot, now mono.Time) mono.Time {
	if !s.IsLarge() {
		return now.Add(planInterval)
	}
	interval := probeInterval
	var l []*site.Server
	for n, v := range s.Config.Services {
		servers := s.ServersOf(n)
		if !v.Keyed || len(servers) < minProbedServers {
			continue
		}
		l = append(l, servers...)
		if x := g.services[n]; x == nil || x.rev == 0 {
			interval = firstProbeInterval
		}
	}
	if len(l) == 0 || now.Sub(g.probedAt) < interval {
		return max(now.Add(pollInterval), g.probedAt.Add(interval))
	}
	g.probedAt = now
	for _, x := range l {
		if k := g.link(hold.Incarnation{Server: x.ID, Born: x.Born}); k != nil && s.Accepts(x) {
			path := s.Config.Services[x.Service].HealthPath
			g.group.Go(func(c context.Context) error {
				g.probe(c, k, path)
				return nil
			})
		}
	}
	return now.Add(interval)
}

// probe asks one server for its health.
func (g *Granter) probe(c context.Context, l *link, path string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	g.o.OrderCodec.Health(req, path)
	req.Header.SetHost(l.server.Addr.String())
	if r := l.health.Do(c, conns.Call{Deadline: time.Now().Add(probeTimeout)}, req, resp); r.Err != nil {
		return // says nothing about the server: it may be busy
	}
	h, ok := g.o.OrderCodec.ReadHealth(resp, l.server.ID)
	if !ok || !h.HasLoad {
		return
	}
	g.survey.addHealth(g.o.Clock.Now(), l.server, h.Load.Slowdown)
}
