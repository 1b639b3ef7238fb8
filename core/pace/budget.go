package pace

import (
	"iter"
	"maps"
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// RetryLimit is the limit on the retries of all daemons together, for each service.
type RetryLimit struct {
	Ratio  float64 // retries per request to the service
	Slack  float64 // retries in addition to that
	Window time.Duration
}

const (
	// budgetUtilisation is the fraction of the limit that is used. The limit is counted over fixed windows. The retries of any window are
	// paid by the requests of that window and of the creditCells before it, as requests earn credit for that long: the limit allows that
	// many as long as traffic is steady, and a little more for retries that arrive late.
	budgetUtilisation = 0.75

	// creditCells is the number of whole cells for which the credit of a request lasts.
	creditCells = counterCells / 4

	// firstTryShare is the fraction of the budget for requests that are not caller retries. A caller retries a refused
	// request once by itself. If the daemon retries at once, each request that meets a failing server costs budget. If it
	// retries only the caller's retry, it spends half as much or less, and as many requests are served in the end.
	firstTryShare = 0.5
)

// Retries is the one record by which this daemon decides on retries: the requests that it counts for each service, the retries that it
// sent, and its share of the slack.
//
// The sum over all daemons stays within the limit without an exchange between them. Each request is counted by one daemon, which earns
// a part of a retry by it, and each retry is paid by the daemon that sends it, from the account of each service that may receive it.
// Credit that isn't spent soon expires: after a restart, or after callers have moved to other daemons, the requests that follow earn
// credit elsewhere, while nobody there knows what the requests before have paid for.
type Retries struct {
	limit    RetryLimit
	fleet    *Fleet
	accounts map[ident.Service]*account
}

// account counts the requests to one service and the retries that its servers may have received.
type account struct {
	requests, retries, denied windowCounter
	misdirected               windowCounter // retries of other services' requests, included in retries
	credit                    windowCounter // earned by requests and not spent
	fromSlack                 windowCounter // retries that credit didn't pay
	reserved                  int           // retries of other services' requests on their way that it may have to pay
}

// NewRetries returns an empty record.
func NewRetries(l RetryLimit, f *Fleet) *Retries {
	return &Retries{limit: l, fleet: f, accounts: map[ident.Service]*account{}}
}

func (r *Retries) account(s ident.Service) *account {
	x := r.accounts[s]
	if x == nil {
		x = &account{}
		r.accounts[s] = x
	}
	return x
}

// CountRequest records a request to the service that arrived at the given time.
func (r *Retries) CountRequest(at mono.Time, s ident.Service) {
	x := r.account(s)
	x.requests.add(at, r.limit.Window, 1)
	x.credit.add(at, r.limit.Window, r.limit.Ratio*budgetUtilisation)
}

// Take spends one retry of the service, or reports false if the budget is exhausted. A caller retry may use the whole budget, since
// its caller will not try again.
func (r *Retries) Take(now mono.Time, s ident.Service, callerRetry bool) bool {
	x := r.account(s)
	reserve := 0.0
	if !callerRetry {
		reserve = (1 - firstTryShare) * r.most(now, x)
	}
	if r.available(now, x)-1 < reserve {
		x.denied.add(now, r.limit.Window, 1)
		return false
	}
	r.spend(now, x)
	return true
}

// TakeForAny is like Take for a retry that servers of the other services may receive. It also reserves a retry of each of these, until
// Settle, and reports false if one of them owes retries already.
func (r *Retries) TakeForAny(now mono.Time, s ident.Service, callerRetry bool, services iter.Seq[ident.Service]) bool {
	for o := range services {
		if o != s && r.available(now, r.account(o)) < 0 {
			r.account(s).denied.add(now, r.limit.Window, 1)
			return false
		}
	}
	if !r.Take(now, s, callerRetry) {
		return false
	}
	for o := range services {
		if o != s {
			r.account(o).reserved++
		}
	}
	return true
}

// Settle ends the reservations of a retry that TakeForAny has taken for a service.
func (r *Retries) Settle(taken ident.Service, services iter.Seq[ident.Service]) {
	for s := range services {
		if x := r.account(s); s != taken && x.reserved > 0 {
			x.reserved--
		}
	}
}

// ChargeOthers charges a retry that was taken for a service to the other services as well, because a server of any of them may have
// received it.
func (r *Retries) ChargeOthers(now mono.Time, taken ident.Service, services iter.Seq[ident.Service]) {
	for s := range services {
		if s != taken {
			x := r.account(s)
			r.spend(now, x)
			x.misdirected.add(now, r.limit.Window, 1)
		}
	}
}

// spend charges one retry to the account, to its credit as far as that lasts.
func (r *Retries) spend(now mono.Time, x *account) {
	x.retries.add(now, r.limit.Window, 1)
	x.fromSlack.add(now, r.limit.Window, x.credit.take(now, r.limit.Window, creditCells, 1))
}

// available returns how many retries the account can pay now. It is negative if it was charged for others' requests beyond that.
func (r *Retries) available(now mono.Time, x *account) float64 {
	share, _ := r.slack(now)
	credit := x.credit.sum(now, r.limit.Window, creditCells)
	return credit + share*budgetUtilisation - x.fromSlack.atMost(now, r.limit.Window) - float64(x.reserved)
}

// most returns what would be available if no retry had been taken.
func (r *Retries) most(now mono.Time, x *account) float64 {
	share, _ := r.slack(now)
	return (x.requests.sum(now, r.limit.Window, creditCells)*r.limit.Ratio + share) * budgetUtilisation
}

// slack returns this daemon's share of the slack, and the number of daemons that it is divided by.
func (r *Retries) slack(now mono.Time) (share float64, daemons int) {
	l := r.fleet.Sharers(now, r.limit.Window)
	if len(l) == 0 {
		return 0, 0
	}
	return r.limit.Slack / float64(len(l)), len(l)
}

// RetryUsage is this daemon's use of a service's retry budget in the current window.
type RetryUsage struct {
	Requests float64 // requests counted
	Retries  float64
	Denied   float64 // retries of the service's requests that no budget allowed
	Unspent  float64 // retries that can be taken now, by caller retries
	Slack    float64 // this daemon's share of the slack
	Daemons  int     // daemons that the slack is divided by; 0 if this daemon has no share

	Misdirected float64       // retries of other services' requests, included in Retries
	Age         time.Duration // of the record: retries of the process before it are not in it
}

// Usage returns the use of the service's budget.
func (r *Retries) Usage(now mono.Time, s ident.Service) RetryUsage {
	x := r.account(s)
	share, daemons := r.slack(now)
	return RetryUsage{
		Requests: x.requests.atLeast(now, r.limit.Window), Retries: x.retries.atMost(now, r.limit.Window),
		Denied: x.denied.atMost(now, r.limit.Window), Unspent: r.available(now, x), Slack: share, Daemons: daemons,
		Misdirected: x.misdirected.atMost(now, r.limit.Window), Age: now.Sub(r.fleet.startedAt),
	}
}

// Services returns the services with an account, in order.
func (r *Retries) Services() []ident.Service { return slices.Sorted(maps.Keys(r.accounts)) }

// RetryCause says why a request is sent again.
type RetryCause uint8

// Causes of retries: how the attempt before ended.
const (
	CauseUnanswered  RetryCause = iota // no usable response
	CauseFailed                        // a response with status 5xx
	CauseRefused                       // the server did not run the request
	CauseMisdirected                   // the server is not the one that was meant, or doesn't hold the key
)

var causeNames = [...]string{"unanswered", "failed", "refused", "misdirected"}

// String returns the cause in kebab case.
func (c RetryCause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unknown"
}

// CallerRetryDetector recognises requests that a caller has sent again after a refusal. It tracks the longest time
// that the callers of a route allow: a retry has less time left.
type CallerRetryDetector struct {
	longest time.Duration
}

// remainingTolerance is the range within which the remaining times of new requests differ. A retry has lost more,
// since it was already answered once and was told how long to wait.
const remainingTolerance = 10 * time.Millisecond

// longestDecay is the fraction of the difference by which each request lowers the longest time towards its own.
// Otherwise one caller with a timeout of a minute would make all later requests look like retries.
const longestDecay = 0.002

// Observe records the remaining time of a request and reports whether it appears to be a caller retry.
func (p *CallerRetryDetector) Observe(remaining time.Duration) bool {
	retry := remaining < p.longest-remainingTolerance
	p.longest = max(remaining, p.longest-time.Duration(longestDecay*float64(p.longest-remaining)))
	return retry
}
