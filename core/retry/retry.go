package retry

import (
	"time"

	"heatherrouter/core/config"
	"heatherrouter/core/mono"
)

const (
	// freeMoves is how many times a request is redirected to the new home or owner without backoff or budget. No
	// backend server received it, and one move of a shard redirects each request once.
	freeMoves = 2

	minBackoff = 10 * time.Millisecond
	maxBackoff = 2 * time.Second

	// minRetryAfter is the shortest retry delay returned to a refused caller.
	minRetryAfter = 100 * time.Millisecond
)

// Request is the state of one caller's request at the entry daemon, from arrival to the final answer.
type Request struct {
	kind       *config.Kind
	deadline   mono.Time
	hedgeAt    mono.Time
	retryAt    mono.Time // time of the next send or check; Never if none is planned
	inFlight   int
	sends      int
	refusals   int // consecutive, for the backoff
	moves      int
	mayHaveRun bool       // a send ended without a complete answer
	waitSlots  *WaitSlots // that the request has a slot of; nil for none
	hedged     bool
	hasToken   bool // the token for the next send was already taken
	finished   bool
}

// NewRequest returns the state of a request that arrived now.
func NewRequest(now mono.Time, k *config.Kind) *Request {
	return &Request{kind: k, deadline: now.Add(k.Timeout), hedgeAt: mono.Never, retryAt: mono.Never}
}

// Deadline returns the time by which the caller must receive the final answer.
func (e *Request) Deadline() mono.Time { return e.deadline }

// Sends returns how many times the request has been sent.
func (e *Request) Sends() int { return e.sends }

// InFlight returns how many sends have not ended.
func (e *Request) InFlight() int { return e.inFlight }

// Event is an input to Policy.Next: Arrived, SendEnded, Woken or CallerLeft.
type Event interface {
	event()
}

type (
	// Arrived means that the request has arrived, including its whole body if it is buffered.
	Arrived struct {
		Available bool // a server that may accept the request is up and has a home, as far as the entry daemon knows
	}

	// SendEnded reports the result of one send.
	SendEnded struct {
		Outcome     Outcome
		RetryAfter  mono.Time // with NotRun, when the home expects capacity; zero if unknown
		OtherServer bool      // another server, which hasn't received the request, may accept it
	}

	// Woken means that the time of a Wait or Send was reached, or that the request was woken early by a change.
	Woken struct {
		Available   bool // as in Arrived
		OtherServer bool // as in SendEnded
	}

	// CallerLeft means that the caller has disconnected; the final answer is only logged.
	CallerLeft struct{}
)

func (Arrived) event()    {}
func (SendEnded) event()  {}
func (Woken) event()      {}
func (CallerLeft) event() {}

// Action is what to do for a request: Send, Wait or Finish.
type Action interface {
	action()
}

type (
	// Send means to send the request now, to a server that hasn't received it or else over a new connection.
	// Call Next with Woken at WakeAt.
	Send struct {
		Hedge  bool
		WakeAt mono.Time
	}

	// Wait means to do nothing before Until, unless a send ends.
	Wait struct {
		Until mono.Time
	}

	// Finish means to answer the caller at once and to cancel the sends in flight.
	Finish struct {
		Outcome    Outcome   // never Moved, which is reported as NotRun
		RetryAfter mono.Time // with NotRun, when the caller may retry; zero if it has left
		Reason     Reason
	}
)

func (Send) action()   {}
func (Wait) action()   {}
func (Finish) action() {}

// Reason is the cause of a final answer, in kebab case, for callers and logs.
type Reason string

// Reasons of final answers.
const (
	ReasonAnswered    Reason = "answered"
	ReasonTimeout     Reason = "timeout"
	ReasonNoRoom      Reason = "no-room"      // refused by all servers that were tried
	ReasonNoBudget    Reason = "no-budget"    // the request may be sent again, but the retry budget is empty
	ReasonMaybeRan    Reason = "maybe-ran"    // sent without a complete answer, and not idempotent
	ReasonUnavailable Reason = "unavailable"  // no server is up
	ReasonOwnerMoving Reason = "owner-moving" // the key's owner was changing and did not settle in time
	ReasonHeldFull    Reason = "held-full"    // all wait slots are in use; the request was not accepted
	ReasonCallerLeft  Reason = "caller-left"
)

// Policy is the state shared by the decisions for one kind of one service.
type Policy struct {
	Budget     *Budget
	HedgeDelay *HedgeDelay
	WaitSlots  *WaitSlots // nil for no limit
}

// Next returns what to do for the request after the event. The random number is for jitter.
func (p Policy) Next(now mono.Time, e *Request, ev Event, random uint64) Action {
	if e.finished {
		return Wait{Until: mono.Never}
	}
	switch v := ev.(type) {
	case Arrived:
		return p.arrived(now, e, v, random)
	case SendEnded:
		return p.sendEnded(now, e, v, random)
	case Woken:
		return p.woken(now, e, v, random)
	case CallerLeft:
		return e.callerLeft()
	}
	return e.wait()
}

func (p Policy) arrived(now mono.Time, e *Request, v Arrived, random uint64) Action {
	if p.WaitSlots != nil && e.mayWait() {
		if !p.WaitSlots.acquire() {
			return e.finish(Finish{Outcome: NotRun, RetryAfter: now.Add(maxBackoff), Reason: ReasonHeldFull})
		}
		e.waitSlots = p.WaitSlots
	}
	p.Budget.RecordRequest()
	if v.Available {
		return p.send(now, e, true, false)
	}
	return p.waitOrRefuse(now, e, 0, ReasonUnavailable, random)
}

func (p Policy) sendEnded(now mono.Time, e *Request, v SendEnded, random uint64) Action {
	e.inFlight--
	if v.Outcome == Answered {
		return e.finish(Finish{Outcome: Answered, Reason: ReasonAnswered})
	}
	if v.Outcome == Unknown {
		e.mayHaveRun = true
		if !e.kind.Idempotent {
			return e.finish(Finish{Outcome: Unknown, Reason: ReasonMaybeRan})
		}
	}
	if !now.Before(e.deadline) {
		return e.timeout(now)
	}
	if e.inFlight > 0 {
		return e.wait() // the other send may still be answered
	}
	switch v.Outcome {
	case Moved:
		return p.retryMoved(now, e, random)
	case NotRun:
		return p.retryRefused(now, e, v, random)
	}
	if p.Budget.Take(now) {
		return p.send(now, e, v.OtherServer, false)
	}
	return p.waitOrRefuse(now, e, 0, ReasonNoBudget, random)
}

// retryMoved sends the request to the new home or owner. While a shard moves, its requests are answered Moved:
// following each redirect at once would loop between the daemons, so later ones wait.
func (p Policy) retryMoved(now mono.Time, e *Request, random uint64) Action {
	e.moves++
	if e.moves <= freeMoves {
		return p.send(now, e, true, false)
	}
	return p.waitWithToken(now, e, 0, ReasonOwnerMoving, random)
}

// retryRefused handles a send that did not run: it retries on another server at once, or later if the home
// expects capacity in time.
func (p Policy) retryRefused(now mono.Time, e *Request, v SendEnded, random uint64) Action {
	if v.OtherServer && p.Budget.Take(now) {
		return p.send(now, e, true, false)
	}
	if !v.OtherServer && v.RetryAfter > 0 && v.RetryAfter.Before(e.deadline) {
		return p.waitWithToken(now, e, v.RetryAfter, ReasonNoRoom, random)
	}
	return p.waitOrRefuse(now, e, v.RetryAfter, ReasonNoRoom, random)
}

// waitWithToken waits if the next send fits before the deadline and the budget has a token for it. The token is
// taken now, so that several requests can't wait for the same one.
func (p Policy) waitWithToken(now mono.Time, e *Request, at mono.Time, r Reason, random uint64) Action {
	if e.mayWait() || !p.Budget.Take(now) {
		return p.waitOrRefuse(now, e, at, r, random)
	}
	t := e.backoff(now, random)
	e.retryAt = max(t, at)
	if !e.retryAt.Before(e.deadline) {
		return e.refuse(now, at, r)
	}
	e.hasToken = true
	return e.wait()
}

// waitOrRefuse waits with backoff if the kind allows it, and otherwise gives the final answer at once.
func (p Policy) waitOrRefuse(now mono.Time, e *Request, at mono.Time, r Reason, random uint64) Action {
	if !e.mayWait() {
		return e.refuse(now, at, r)
	}
	e.retryAt = min(max(e.backoff(now, random), at), e.deadline)
	return e.wait()
}

func (p Policy) woken(now mono.Time, e *Request, v Woken, random uint64) Action {
	if !now.Before(e.deadline) {
		return e.timeout(now)
	}
	if e.inFlight > 0 {
		return p.hedge(now, e, v)
	}
	if now.Before(e.retryAt) && e.retryAt != mono.Never && !v.Available {
		return e.wait()
	}
	switch {
	case !v.Available:
		return p.waitOrRefuse(now, e, 0, ReasonUnavailable, random)
	case e.sends == 0 || e.hasToken:
		return p.send(now, e, v.OtherServer, false)
	case p.Budget.Take(now):
		return p.send(now, e, v.OtherServer, false)
	}
	return p.waitOrRefuse(now, e, 0, ReasonNoBudget, random)
}

func (p Policy) hedge(now mono.Time, e *Request, v Woken) Action {
	if now.Before(e.hedgeAt) {
		return e.wait()
	}
	e.hedgeAt = mono.Never
	if !p.Budget.Take(now) {
		return e.wait()
	}
	e.hedged = true
	return p.send(now, e, v.OtherServer, true)
}

func (p Policy) send(now mono.Time, e *Request, otherServer, hedge bool) Action {
	e.retryAt = mono.Never
	e.hasToken = false
	e.inFlight++
	e.sends++
	// A non-idempotent request is never in flight twice, and a streamed one has no complete answers to compare.
	if e.kind.Idempotent && !e.kind.Streamed && !e.hedged {
		if d, ok := p.HedgeDelay.Delay(otherServer); ok {
			e.hedgeAt = now.Add(d)
		}
	}
	return Send{Hedge: hedge, WakeAt: min(e.hedgeAt, e.deadline)}
}

// mayWait reports whether the request may wait for capacity. Requests that are never dropped always may.
func (e *Request) mayWait() bool {
	return e.kind.MayWait || e.kind.NeverDropped
}

func (e *Request) wait() Action {
	if e.inFlight > 0 {
		return Wait{Until: min(e.hedgeAt, e.deadline)}
	}
	return Wait{Until: min(e.retryAt, e.deadline)}
}

func (e *Request) timeout(now mono.Time) Action {
	if e.inFlight > 0 || e.mayHaveRun {
		return e.finish(Finish{Outcome: Unknown, Reason: ReasonTimeout})
	}
	return e.finish(Finish{Outcome: NotRun, RetryAfter: now.Add(minRetryAfter), Reason: ReasonTimeout})
}

func (e *Request) refuse(now, at mono.Time, r Reason) Action {
	if e.mayHaveRun {
		return e.finish(Finish{Outcome: Unknown, Reason: r})
	}
	return e.finish(Finish{Outcome: NotRun, RetryAfter: max(at, now.Add(minRetryAfter)), Reason: r})
}

func (e *Request) callerLeft() Action {
	if e.inFlight > 0 || e.mayHaveRun {
		return e.finish(Finish{Outcome: Unknown, Reason: ReasonCallerLeft})
	}
	return e.finish(Finish{Outcome: NotRun, Reason: ReasonCallerLeft})
}

func (e *Request) finish(f Finish) Action {
	e.finished = true
	if e.waitSlots != nil {
		e.waitSlots.used--
	}
	return f
}

// backoff returns the time of the next try. The delay doubles with each consecutive refusal, less a random part,
// so that requests that were refused together don't retry together.
func (e *Request) backoff(now mono.Time, random uint64) mono.Time {
	d := minBackoff << min(e.refusals, 8)
	d = min(d, maxBackoff)
	e.refusals++
	return now.Add(d/2 + time.Duration(random%uint64(d/2))) //nolint:gosec // positive
}
