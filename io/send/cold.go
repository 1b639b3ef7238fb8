package send

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/core/source"
	"heatherrouter/io/conns"
	"heatherrouter/io/group"
)

const (
	healthTimeout = 400 * time.Millisecond

	// maxHealthChecks bounds the servers that wait for a health check to begin.
	maxHealthChecks = 64
)

// HealthCodec encodes health checks of backend servers and decodes the responses.
type HealthCodec interface {
	Health(req *fasthttp.Request, path string)
	ReadHealth(resp *fasthttp.Response, id ident.Server) (report.Health, bool)
}

// coldness is what limits the requests to a server.
type coldness uint8

const (
	warm      coldness = iota
	suspected          // it may have restarted and be cold
	cold               // by its row or its health
)

// coldness returns what limits the requests to the server.
func (s *Sender) coldness(b *backend, x *site.Server, now mono.Time) coldness {
	until := max(x.ColdUntil, s.o.Reports.ColdUntil(x))
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case now.Before(until):
		return cold
	case now.Before(b.restartSuspectedUntil):
		return suspected
	}
	return warm
}

// rowsOutdated reports whether the store isn't read any more, so that a server may have turned cold, or another one taken its address,
// without this daemon knowing.
func (s *Sender) rowsOutdated(snap *site.Snapshot) bool {
	return s.o.View.CopyAge() >= source.UnreadAge(snap, s.o.Self)
}

// takeWindow counts the request if the server is cold or may be, and reports whether it may be sent.
func (s *Sender) takeWindow(r *request, b *backend, x *site.Server, snap *site.Snapshot, now mono.Time) bool {
	b.mu.Lock()
	b.misdirected.Begin(now, r.keys)
	b.mu.Unlock()
	switch s.coldness(b, x, now) {
	case cold:
		n := s.coldShare(x, r.service, snap, now)
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.cold.Take(now, n)
	case suspected:
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.restartWindow.Take(now, 1, restartProbeInterval)
	case warm:
	}
	if r.service.WarmupRate <= 0 || !s.rowsOutdated(snap) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	ok, check := b.cold.TakeUnread(now, s.coldLimit(r.service), len(snap.Daemons))
	s.requestHealth(b, check)
	return ok
}

// requestHealth has the server asked for its health if need be. The caller holds b.mu.
func (s *Sender) requestHealth(b *backend, check bool) {
	if !check {
		return
	}
	select {
	case s.healthChecks <- b:
	default:
		b.cold.Checked() // the next request asks again
	}
}

// allowsSend reports whether the request limit of a cold or possibly restarted server allows a request now.
func (s *Sender) allowsSend(b *backend, x *site.Server, snap *site.Snapshot, v *site.Service, now mono.Time) bool {
	switch s.coldness(b, x, now) {
	case cold:
		n := s.coldShare(x, v, snap, now)
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.cold.Allows(now, n)
	case suspected:
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.restartWindow.Allows(now, 1, restartProbeInterval)
	case warm:
	}
	if v.WarmupRate <= 0 || !s.rowsOutdated(snap) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	ok, check := b.cold.AllowsUnread(now, s.coldLimit(v), len(snap.Daemons))
	s.requestHealth(b, check)
	return ok
}

// coldShare returns how many requests this daemon may send to the cold server in any pace.ColdWindow.
func (s *Sender) coldShare(x *site.Server, v *site.Service, snap *site.Snapshot, now mono.Time) int {
	return pace.ColdShare(x.ID, s.o.Self, s.sharers(snap, now, pace.ColdWindow), s.coldLimit(v))
}

func (s *Sender) coldLimit(v *site.Service) pace.ColdLimit {
	l := s.o.ColdLimit
	l.Rate = v.WarmupRate
	return l
}

// checkHealth asks the servers for their health that requestHealth names.
func (s *Sender) checkHealth(g *group.Group) error {
	for {
		select {
		case <-g.Context().Done():
			return nil
		case b := <-s.healthChecks:
			g.Go(func(c context.Context) error {
				s.askHealth(c, b)
				return nil
			})
		}
	}
}

// askHealth asks a server for its health. A server that doesn't answer may be cold.
func (s *Sender) askHealth(c context.Context, b *backend) {
	began := s.o.Clock.Now()
	h, answered := s.health(c, b)
	if h.ColdFor > 0 {
		s.o.Reports.ObserveCold(b.server, h.ColdFor)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.Checked()
	if answered && h.ColdFor == 0 {
		b.cold.WasWarm(began)
	}
}

// health returns what the server says of its health, and whether it answered.
func (s *Sender) health(c context.Context, b *backend) (report.Health, bool) {
	v := s.o.View.Snapshot().Config.Services[b.server.Service]
	if v == nil {
		return report.Health{}, false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	s.o.Health.Health(req, v.HealthPath)
	req.Header.SetHost(b.server.Addr.String())
	if x := b.health.Do(c, conns.Call{Deadline: time.Now().Add(healthTimeout)}, req, resp); x.Err != nil {
		return report.Health{}, false
	}
	h, ok := s.o.Health.ReadHealth(resp, b.server.ID)
	if !ok {
		return report.Health{}, true // another server's, or of a service that says nothing of its health
	}
	return h, true
}
