package send

import (
	"context"
	"errors"
	"syscall"
	"time"

	"heatherrouter/core/admit"
	"heatherrouter/core/mono"
	"heatherrouter/core/reach"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
	"heatherrouter/io/group"
	"heatherrouter/io/paths"
)

const (
	// unansweredCheckInterval is the time between checks for servers that leave requests unanswered.
	unansweredCheckInterval = 100 * time.Millisecond

	// minUnanswered is the time without an answer after which the path to a server is checked, and unansweredFactor the same as
	// a multiple of the service time. Most requests of a service with longer service times take longer than the minimum.
	minUnanswered    = 250 * time.Millisecond
	unansweredFactor = 3

	// While some server has become silent within the last doubtWindow, the paths to others are checked after doubtUnanswered.
	doubtWindow     = 500 * time.Millisecond
	doubtUnanswered = 50 * time.Millisecond
)

// errPathLost ends an exchange whose server can't be reached any more.
var errPathLost = errors.New("path to the server lost")

// observePath records what an exchange says about the path to its server.
func (s *Sender) observePath(b *backend, x conns.Result, began mono.Time, took time.Duration) {
	switch {
	case x.Outcome == retry.Answered || x.End == admit.EndRefused || x.End == admit.EndEndless || x.ConnLimitReached:
		s.o.Paths.Answered(b.server, x.Fresh || x.ConnLimitReached)
	case x.End == admit.EndDialFailed:
		if f := paths.FailureOf(x.Err, took, dialTimeout); f != 0 {
			s.o.Paths.Failed(began, b.server, f)
		}
	case x.End == admit.EndTimeout && errors.Is(x.Err, syscall.ETIMEDOUT):
		s.o.Paths.Failed(began, b.server, reach.Silent)
	case x.End == admit.EndReset || x.End == admit.EndTimeout:
		s.o.Paths.Verify(b.server)
	}
}

// Run starts the sender's background work.
func (s *Sender) Run(g *group.Group) {
	g.Go(s.checkUnanswered)
	g.Go(func(context.Context) error { return s.checkHealth(g) })
}

// checkUnanswered checks the paths to servers that leave requests unanswered: on a silent path, the first sign is that nothing
// comes back.
func (s *Sender) checkUnanswered(c context.Context) error {
	t := time.NewTicker(unansweredCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
		}
		for _, b := range s.unansweredBackends(s.o.Clock.Now()) {
			if s.silent(b) {
				b.cancelWaiting()
				continue
			}
			s.o.Paths.Verify(b.server)
		}
	}
}

// silent reports whether the server can't be reached because of this daemon's links, so that nothing comes back on open connections
// either. A busy server may not accept a connection for seconds while it works on requests; then others of its service answer.
func (s *Sender) silent(b *backend) bool {
	x, f := s.o.Paths.State(b.server)
	return x == reach.Unreachable && f == reach.Silent && s.o.Paths.Suspected(b.server.Service)
}

// unansweredBackends returns the servers that have requests of this daemon and have sent nothing for longer than usual.
func (s *Sender) unansweredBackends(now mono.Time) []*backend {
	doubt := now.Sub(s.o.Paths.SilentSince()) < doubtWindow
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []*backend
	for _, b := range s.backends {
		limit := minUnanswered
		if q := s.serviceTimes[b.server.Service]; q != nil {
			limit = max(limit, unansweredFactor*time.Duration(q.Estimate))
		}
		if doubt {
			limit = doubtUnanswered
		}
		if b.unansweredFor(now) >= limit {
			l = append(l, b)
		}
	}
	return l
}

// unansweredFor returns for how long the server has had requests of this daemon without sending anything; 0 if it has none.
func (b *backend) unansweredFor(now mono.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.load.OwnInFlight == 0 {
		return 0
	}
	return now.Sub(b.waitingSince)
}

// cancelWaiting ends the exchanges that may be repeated elsewhere.
func (b *backend) cancelWaiting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, cancel := range b.cancels {
		cancel(errPathLost)
	}
	clear(b.cancels)
}

// exchangeContext returns the context of an exchange, which ends as well when the path to the server is lost and the request may be
// repeated. The function must be called after the exchange.
func (b *backend) exchangeContext(r *request) (context.Context, func()) {
	if !r.route.Idempotent {
		return r.ctx, func() {}
	}
	c, cancel := context.WithCancelCause(r.ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cancels == nil {
		b.cancels = map[*request]context.CancelCauseFunc{}
	}
	b.cancels[r] = cancel
	return c, func() {
		cancel(nil)
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.cancels, r)
	}
}

// requestSent records that a request was sent. The caller holds b.mu.
func (b *backend) requestSent(now mono.Time) {
	if b.load.OwnInFlight == 0 {
		b.waitingSince = now
	}
	b.load.OwnInFlight++
}

// canReach reports whether requests can be sent to the server: it is reachable, or it refuses new connections while an earlier one is
// still open.
func (s *Sender) canReach(b *backend) bool {
	x, f := s.o.Paths.State(b.server)
	if x == reach.Reachable {
		return true
	}
	if s.silent(b) {
		b.pool.CloseIdle() // nothing sent on them would arrive
	}
	return f == reach.Refused && b.pool.HasIdle()
}

// reusesOnly reports whether requests to the server are sent on open connections only.
func (s *Sender) reusesOnly(b *backend) bool {
	x, _ := s.o.Paths.State(b.server)
	return x != reach.Reachable
}
