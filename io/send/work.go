package send

import (
	"heatherrouter/core/admit"
	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
)

// demandClass identifies the callers' requests that are counted together.
type demandClass struct {
	service  ident.Service
	priority uint32
}

// priority returns the priority of the request: its organisation's if that has one, else its route's.
func (r *request) priority() uint32 {
	p := r.route.Priority
	if r.organisation != nil && r.organisation.HasPriority {
		p = r.organisation.Priority
	}
	return uint32(max(0, p)) //nolint:gosec // a small number
}

// workCounts counts what this daemon observed of a server's load since the last report to the coordinator.
type workCounts struct {
	sent    uint32 // requests, also those whose new connection was reset
	full    uint32 // of these, the ones that the server had no capacity for
	reports uint32
	loadSum uint32 // running and waiting, summed over the reports
}

// countReport counts a report of the server's load. The caller holds b.mu.
func (b *backend) countReport(r report.Load) {
	b.lastLoad = r.Running + r.Waiting
	b.work.reports++
	b.work.loadSum += uint32(max(0, b.lastLoad)) //nolint:gosec // requests at one server
}

// countExchange counts a request that reached the server, before the server's report of it is recorded.
func (s *Sender) countExchange(b *backend, x conns.Result, y report.Report, now mono.Time) {
	if x.Outcome == retry.NotRun && x.End != admit.EndRefused && !x.ConnLimitReached {
		return
	}
	view, age := s.o.View.Loads()
	level, known := view.Level(report.TargetOf(b.server), age)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.sent++
	if b.foundFull(x, y, known, level, now) {
		b.work.full++
	}
}

// foundFull reports whether the server had no capacity for the request. A refusal shows that by its report. A server that resets
// connections when it is full says nothing, so its last known load decides. The caller holds b.mu.
func (b *backend) foundFull(x conns.Result, y report.Report, known bool, level loads.Level, now mono.Time) bool {
	switch {
	case x.End == admit.EndRefused:
		return y.HasLoad && b.isFull(y.Load.Running+y.Load.Waiting)
	case x.End != admit.EndReset:
		return false
	case known && !b.load.HasReport(now):
		return level == loads.Full
	}
	return b.isFull(b.lastLoad)
}

// isFull reports whether the load is at least twice the server's slots.
func (b *backend) isFull(load int) bool { return load >= 2*max(1, b.load.Slots) }
