package pace

import (
	"time"

	"heatherrouter/core/mono"
)

// RetryBudget limits this daemon's retries of the requests to one service.
type RetryBudget struct {
	StartedAt mono.Time // start of this incarnation of the daemon

	requests, retries, denied windowCounter
}

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

// RetryUsage is this daemon's use of a retry budget in the current window.
type RetryUsage struct {
	Requests float64 // requests counted
	Retries  float64
	Denied   float64 // retries that the budget did not allow
	Allowed  float64 // retries allowed, to caller retries
	Slack    float64 // this daemon's share of the slack
	Daemons  int     // daemons that the slack is divided by
}

// Usage returns the use of the budget.
func (b *RetryBudget) Usage(now mono.Time, daemons int, l RetryLimit) RetryUsage {
	return RetryUsage{
		Requests: b.requests.sum(now, l.Window), Retries: b.retries.sum(now, l.Window), Denied: b.denied.sum(now, l.Window),
		Allowed: b.allowed(now, daemons, l), Slack: b.slack(now, daemons, l), Daemons: daemons,
	}
}

// RetryLimit is the limit on the retries of all daemons together.
type RetryLimit struct {
	Ratio  float64 // retries per request to the service
	Slack  float64 // retries in addition to that
	Window time.Duration
}

// budgetUtilisation is the fraction of the limit that is used. Requests are spread unevenly over the daemons, and each
// counts only its own.
const budgetUtilisation = 0.8

// CountRequest records a request to the service.
func (b *RetryBudget) CountRequest(now mono.Time, l RetryLimit) {
	b.requests.add(now, l.Window)
}

// firstTryShare is the fraction of the budget for requests that are not caller retries. A caller retries a refused
// request once by itself. If the daemon retries at once, each request that meets a failing server costs budget. If it
// retries only the caller's retry, it spends half as much or less, and as many requests are served in the end.
const firstTryShare = 0.5

// Take spends one retry, or reports false if the budget is exhausted. A caller retry may use the whole budget, since
// its caller will not try again.
func (b *RetryBudget) Take(now mono.Time, daemons int, l RetryLimit, callerRetry bool) bool {
	allowed := b.allowed(now, daemons, l)
	if !callerRetry {
		allowed *= firstTryShare
	}
	if b.retries.sum(now, l.Window)+1 > allowed {
		b.denied.add(now, l.Window)
		return false
	}
	b.retries.add(now, l.Window)
	return true
}

// allowed returns how many retries the budget allows in the current window.
func (b *RetryBudget) allowed(now mono.Time, daemons int, l RetryLimit) float64 {
	return (b.requests.sum(now, l.Window)*l.Ratio + b.slack(now, daemons, l)) * budgetUtilisation
}

// slack returns this daemon's share of the slack.
func (b *RetryBudget) slack(now mono.Time, daemons int, l RetryLimit) float64 {
	if now.Sub(b.StartedAt) < l.Window {
		return 0 // the previous incarnation may have spent it
	}
	return l.Slack / float64(max(1, daemons))
}

// counterCells is the number of cells by which the window of a windowCounter moves.
const counterCells = 10

// windowCounter counts the events in a sliding window. It may include slightly older events but misses none.
type windowCounter struct {
	n    [counterCells + 1]float64
	cell int64 // number of the newest cell
}

func (c *windowCounter) advance(now mono.Time, w time.Duration) int64 {
	cell := int64(now) / max(1, int64(w)/counterCells)
	for c.cell < cell {
		c.cell++
		if cell-c.cell > counterCells {
			c.cell = cell - counterCells
		}
		c.n[c.cell%(counterCells+1)] = 0
	}
	return cell
}

func (c *windowCounter) add(now mono.Time, w time.Duration) {
	c.n[c.advance(now, w)%(counterCells+1)]++
}

func (c *windowCounter) sum(now mono.Time, w time.Duration) float64 {
	c.advance(now, w)
	s := 0.0
	for _, x := range c.n {
		s += x
	}
	return s
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
