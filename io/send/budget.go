package send

import (
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/conns"
)

// countForBudget counts the request for its service's retry budget, once over all daemons that it is handed to. It counts at the daemon
// that first sends it, which alone can use the budget, or else at the one that its caller sent it to.
func (s *Sender) countForBudget(r *request) {
	if r.counted || r.service == nil {
		return
	}
	r.counted = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.CountRequest(r.arrived, r.service.Name)
}

// sharers returns the daemons among which a limit on events in any span is divided; none if this daemon has no share of it.
func (s *Sender) sharers(snap *site.Snapshot, now mono.Time, span time.Duration) []ident.Daemon {
	names, age := s.daemonNames(snap), s.o.View.CopyAge()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Observe(now, names, age)
	return s.fleet.Sharers(now, span)
}

// observeFleet updates what the shares of limits depend on.
func (s *Sender) observeFleet(now mono.Time) {
	s.sharers(s.o.View.Snapshot(), now, s.o.RetryLimit.Window)
}

// takeRetry takes a retry from the budget and reports whether it was available. If another server may be at the address by now, which
// only old rows wouldn't say, the retry is taken from the budgets of all services until settleRetry.
func (s *Sender) takeRetry(r *request, b *backend, now mono.Time) bool {
	s.observeFleet(now)
	b.mu.Lock()
	identified := b.misdirected.Identified(now)
	b.mu.Unlock()
	snap := s.o.View.Snapshot()
	known := identified || !s.rowsOutdated(snap)
	var ok bool
	s.mu.Lock()
	if known {
		ok = s.retries.Take(now, r.service.Name, r.callerRetry)
	} else {
		services := slices.Collect(maps.Keys(snap.Config.Services))
		if ok = s.retries.TakeForAny(now, r.service.Name, r.callerRetry, slices.Values(services)); ok {
			r.reservedFor = services
		}
	}
	s.mu.Unlock()
	s.o.Counter.RecordRetry(r.service.Name, r.retryCause.String(), ok)
	s.logRetryBudget(r.service.Name, now)
	return ok
}

// settleRetry charges a retry to the other services as well if a server of theirs may have received it.
func (s *Sender) settleRetry(r *request, b *backend, sent, misdirected bool) {
	now := s.o.Clock.Now()
	b.mu.Lock()
	identified := b.misdirected.Identified(now)
	b.mu.Unlock()
	reserved := r.reservedFor
	r.reservedFor = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Settle(r.service.Name, slices.Values(reserved))
	switch {
	case !sent || identified || len(r.sentTo) < 2:
	case reserved != nil:
		s.retries.ChargeOthers(now, r.service.Name, slices.Values(reserved))
	case misdirected:
		s.retries.ChargeOthers(now, r.service.Name, maps.Keys(s.o.View.Snapshot().Config.Services))
	}
}

// observeMisdirected records whether the server answered the request as misdirected, and reports whether it did.
func (s *Sender) observeMisdirected(r *request, b *backend, x conns.Result, resp *fasthttp.Response) bool {
	if x.Outcome != retry.Answered && x.End != admit.EndRefused {
		return false
	}
	now := s.o.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		b.misdirected.Misdirected(now, r.keys)
		return true
	}
	b.misdirected.Answered(now, r.keys)
	return false
}

// budgetLogInterval is the least time between two log lines about the retry budget of one service.
const budgetLogInterval = 2 * time.Second

// logRetryBudget logs the use of a service's retry budget while it is used.
func (s *Sender) logRetryBudget(n ident.Service, now mono.Time) {
	s.mu.Lock()
	if last, ok := s.budgetsLogged[n]; ok && now.Sub(last) < budgetLogInterval {
		s.mu.Unlock()
		return
	}
	s.budgetsLogged[n] = now
	u := s.retries.Usage(now, n)
	s.mu.Unlock()
	s.o.Log.Info().Str("service", string(n)).Float64("requests", u.Requests).Float64("retries", u.Retries).Float64("denied", u.Denied).
		Float64("unspent", u.Unspent).Float64("slack", u.Slack).Int("daemons", u.Daemons).
		Float64("misdirected", u.Misdirected).Dur("age", u.Age).Msg("retry budget in use")
}

// BudgetState is the use of a service's retry budget in the current window, for the state page.
type BudgetState struct {
	Service  ident.Service `json:"service"`
	Requests int           `json:"requests"` // counted by this daemon
	Retries  int           `json:"retries"`
	Denied   int           `json:"denied"`
	Unspent  float64       `json:"unspent"` // retries that can be taken now
	Slack    float64       `json:"slack"`   // this daemon's share
	Daemons  int           `json:"daemons"` // that the slack is divided by; 0 if this daemon has no share

	Misdirected int   `json:"misdirected"` // retries of other services' requests, included in Retries
	AgeMillis   int64 `json:"age-ms"`      // of the record: retries of the process before it are not in it
}

// BudgetStates returns the retry budgets, ordered by service.
func (s *Sender) BudgetStates() []BudgetState {
	now := s.o.Clock.Now()
	s.observeFleet(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	services := s.retries.Services()
	l := make([]BudgetState, 0, len(services))
	for _, n := range services {
		u := s.retries.Usage(now, n)
		l = append(l, BudgetState{
			Service: n, Requests: int(u.Requests), Retries: int(u.Retries), Denied: int(u.Denied), Unspent: u.Unspent, Slack: u.Slack,
			Daemons: u.Daemons, Misdirected: int(u.Misdirected), AgeMillis: u.Age.Milliseconds(),
		})
	}
	return l
}

// isCallerRetry reports whether a request on the route with this remaining time is likely a caller's retry after a refusal.
func (s *Sender) isCallerRetry(r *site.Route, remaining time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.callerRetries[r.Name]
	if p == nil {
		p = &pace.CallerRetryDetector{}
		s.callerRetries[r.Name] = p
	}
	return p.Observe(remaining)
}

// noRetryReason returns the reason for refusing a request when the retry budget is exhausted. Callers of a full server
// must not retry at once; callers of a server that refuses requests regardless of its load may.
func (b *backend) noRetryReason(now mono.Time) reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.load.Full(now) {
		return reasonFull
	}
	return reasonBudget
}

// retryCause returns why a request may be sent again after an exchange.
func retryCause(x conns.Result, resp *fasthttp.Response) pace.RetryCause {
	switch {
	case x.Outcome == retry.Answered:
		return pace.CauseFailed
	case x.End != admit.EndRefused:
		return pace.CauseUnanswered
	case resp.StatusCode() == fasthttp.StatusMisdirectedRequest:
		return pace.CauseMisdirected
	}
	return pace.CauseRefused
}
