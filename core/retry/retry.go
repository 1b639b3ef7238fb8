package retry

import (
	"time"

	"heatherrouter/core/config"
	"heatherrouter/core/mono"
)

const (
	// freeMoves is how many times a request follows a pointer to a successor without waiting or paying:
	// nothing was asked of a backend server, and one move of a shard costs each request one step.
	freeMoves = 2

	minBackoff = 10 * time.Millisecond
	maxBackoff = 2 * time.Second

	// minRetryAfter is the shortest time that a refused caller is told to stay away.
	minRetryAfter = 100 * time.Millisecond
)

// Entry is one caller's request at the entry, from arrival to the final answer.
type Entry struct {
	kind     *config.Kind
	deadline mono.Time
	hedgeAt  mono.Time
	wakeAt   mono.Time // when the wait for the next send ends; Never while none is wanted
	inFlight int
	sends    int
	refusals int // in a row, for the backoff
	moves    int
	unknown  bool  // a send ended without a whole answer
	held     *Held // where the request has a place, or nil
	hedged   bool
	paid     bool // the next send has its token
	final    bool
}

// NewEntry starts a request that has just arrived.
func NewEntry(now mono.Time, k *config.Kind) *Entry {
	return &Entry{kind: k, deadline: now.Add(k.Timeout), hedgeAt: mono.Never, wakeAt: mono.Never}
}

// Deadline returns when the caller must have the final answer.
func (e *Entry) Deadline() mono.Time { return e.deadline }

// Sends returns how often the request was sent so far.
func (e *Entry) Sends() int { return e.sends }

// InFlight returns how many sends have not ended.
func (e *Entry) InFlight() int { return e.inFlight }

// Event is what happens to an entry: Came, Ended, Woke or Left.
type Event interface {
	event()
}

type (
	// Came says that the request has arrived and its body, if held, is whole.
	Came struct {
		Room bool // some server that may take it is up and has a home, as far as the entry knows
	}

	// Ended says how one send ended.
	Ended struct {
		Outcome    Outcome
		RetryAfter mono.Time // with NotRun, when the home expects room; zero when it doesn't say
		Others     bool      // a server that it wasn't sent to may take it
	}

	// Woke says that the time of a Wait has come, or that the entry was woken early because of news.
	Woke struct {
		Room   bool
		Others bool
	}

	// Left says that the caller has gone; a final answer follows only for the log.
	Left struct{}
)

func (Came) event()  {}
func (Ended) event() {}
func (Woke) event()  {}
func (Left) event()  {}

// Action is what to do for an entry: Send, Wait or Final.
type Action interface {
	action()
}

type (
	// Send says to send the request now, to a server that it wasn't sent to if there is one, else on a new
	// connection. Call Next with Woke at WakeAt.
	Send struct {
		Hedge  bool
		WakeAt mono.Time
	}

	// Wait says to do nothing before Until, unless a send ends.
	Wait struct {
		Until mono.Time
	}

	// Final says to answer the caller at once, and to cancel what is in flight.
	Final struct {
		Outcome    Outcome   // Moved becomes NotRun
		RetryAfter mono.Time // with NotRun, when to come back
		Reason     Reason
	}
)

func (Send) action()  {}
func (Wait) action()  {}
func (Final) action() {}

// Reason tells callers and logs why a request was given up; kebab case.
type Reason string

// Reasons of final answers.
const (
	ReasonAnswered    Reason = "answered"
	ReasonTimeout     Reason = "timeout"
	ReasonNoRoom      Reason = "no-room"      // refused everywhere
	ReasonNoBudget    Reason = "no-budget"    // could be sent again, but retries are used up
	ReasonMaybeRan    Reason = "maybe-ran"    // sent without a whole answer, and not idempotent
	ReasonUnavailable Reason = "unavailable"  // no server is up
	ReasonMoving      Reason = "owner-moving" // the key's owner changes, and didn't settle in time
	ReasonHeldFull    Reason = "held-full"    // too many requests wait already; this one was not accepted
	ReasonLeft        Reason = "caller-left"
)

// Policy is what the decisions for one kind of one service share.
type Policy struct {
	Budget *Budget
	Delay  *Delay
	Held   *Held // nil for no bound
}

// Next decides what to do for the entry after the event. Random is for jitter.
func (p Policy) Next(now mono.Time, e *Entry, ev Event, random uint64) Action {
	if e.final {
		return Wait{Until: mono.Never}
	}
	switch v := ev.(type) {
	case Came:
		return p.came(now, e, v, random)
	case Ended:
		return p.ended(now, e, v, random)
	case Woke:
		return p.woke(now, e, v, random)
	case Left:
		return e.left()
	}
	return e.idle()
}

func (p Policy) came(now mono.Time, e *Entry, v Came, random uint64) Action {
	if p.Held != nil && e.mayWait() {
		if !p.Held.take() {
			return e.end(Final{Outcome: NotRun, RetryAfter: now.Add(maxBackoff), Reason: ReasonHeldFull})
		}
		e.held = p.Held
	}
	p.Budget.Arrive()
	if v.Room {
		return p.send(now, e, true, false)
	}
	return p.hold(now, e, 0, ReasonUnavailable, random)
}

func (p Policy) ended(now mono.Time, e *Entry, v Ended, random uint64) Action {
	e.inFlight--
	if v.Outcome == Answered {
		return e.end(Final{Outcome: Answered, Reason: ReasonAnswered})
	}
	if v.Outcome == Unknown {
		e.unknown = true
		if !e.kind.Idempotent {
			return e.end(Final{Outcome: Unknown, Reason: ReasonMaybeRan})
		}
	}
	if !now.Before(e.deadline) {
		return e.timeout(now)
	}
	if e.inFlight > 0 {
		return e.idle() // the other send may still answer
	}
	switch v.Outcome {
	case Moved:
		return p.moved(now, e, random)
	case NotRun:
		return p.refused(now, e, v, random)
	}
	if p.Budget.Take(now) {
		return p.send(now, e, v.Others, false)
	}
	return p.hold(now, e, 0, ReasonNoBudget, random)
}

// moved sends the request after its key. A shard between two owners answers Moved for as long as the move
// takes; following at once each time would spin between the daemons, so later ones wait.
func (p Policy) moved(now mono.Time, e *Entry, random uint64) Action {
	e.moves++
	if e.moves <= freeMoves {
		return p.send(now, e, true, false)
	}
	return p.later(now, e, 0, ReasonMoving, random)
}

// refused decides after a certain refusal: elsewhere at once, or later when the home expects room in time.
func (p Policy) refused(now mono.Time, e *Entry, v Ended, random uint64) Action {
	if v.Others && p.Budget.Take(now) {
		return p.send(now, e, true, false)
	}
	if !v.Others && v.RetryAfter > 0 && v.RetryAfter.Before(e.deadline) {
		return p.later(now, e, v.RetryAfter, ReasonNoRoom, random)
	}
	return p.hold(now, e, v.RetryAfter, ReasonNoRoom, random)
}

// later waits when the time left is enough and the budget pays for the send that follows; the token is
// taken now, so that many entries can't wait for one token.
func (p Policy) later(now mono.Time, e *Entry, at mono.Time, r Reason, random uint64) Action {
	if e.mayWait() || !p.Budget.Take(now) {
		return p.hold(now, e, at, r, random)
	}
	t := e.backoff(now, random)
	e.wakeAt = max(t, at)
	if !e.wakeAt.Before(e.deadline) {
		return e.refuse(now, at, r)
	}
	e.paid = true
	return e.idle()
}

// hold waits with backoff if the kind allows it, or gives the final answer at once.
func (p Policy) hold(now mono.Time, e *Entry, at mono.Time, r Reason, random uint64) Action {
	if !e.mayWait() {
		return e.refuse(now, at, r)
	}
	e.wakeAt = min(max(e.backoff(now, random), at), e.deadline)
	return e.idle()
}

func (p Policy) woke(now mono.Time, e *Entry, v Woke, random uint64) Action {
	if !now.Before(e.deadline) {
		return e.timeout(now)
	}
	if e.inFlight > 0 {
		return p.hedge(now, e, v)
	}
	if now.Before(e.wakeAt) && e.wakeAt != mono.Never && !v.Room {
		return e.idle()
	}
	switch {
	case !v.Room:
		return p.hold(now, e, 0, ReasonUnavailable, random)
	case e.sends == 0 || e.paid:
		return p.send(now, e, v.Others, false)
	case p.Budget.Take(now):
		return p.send(now, e, v.Others, false)
	}
	return p.hold(now, e, 0, ReasonNoBudget, random)
}

func (p Policy) hedge(now mono.Time, e *Entry, v Woke) Action {
	if now.Before(e.hedgeAt) {
		return e.idle()
	}
	e.hedgeAt = mono.Never
	if !p.Budget.Take(now) {
		return e.idle()
	}
	e.hedged = true
	return p.send(now, e, v.Others, true)
}

func (p Policy) send(now mono.Time, e *Entry, others, hedge bool) Action {
	e.wakeAt = mono.Never
	e.paid = false
	e.inFlight++
	e.sends++
	// A non-idempotent request is never in flight twice, and a streamed one has nothing whole to compare.
	if e.kind.Idempotent && !e.kind.Streamed && !e.hedged {
		if d, ok := p.Delay.Hedge(others); ok {
			e.hedgeAt = now.Add(d)
		}
	}
	return Send{Hedge: hedge, WakeAt: min(e.hedgeAt, e.deadline)}
}

// mayWait reports whether the request may wait for room; one that is never dropped has to.
func (e *Entry) mayWait() bool {
	return e.kind.MayWait || e.kind.NeverDropped
}

func (e *Entry) idle() Action {
	if e.inFlight > 0 {
		return Wait{Until: min(e.hedgeAt, e.deadline)}
	}
	return Wait{Until: min(e.wakeAt, e.deadline)}
}

func (e *Entry) timeout(now mono.Time) Action {
	if e.inFlight > 0 || e.unknown {
		return e.end(Final{Outcome: Unknown, Reason: ReasonTimeout})
	}
	return e.end(Final{Outcome: NotRun, RetryAfter: now.Add(minRetryAfter), Reason: ReasonTimeout})
}

func (e *Entry) refuse(now, at mono.Time, r Reason) Action {
	if e.unknown {
		return e.end(Final{Outcome: Unknown, Reason: r})
	}
	return e.end(Final{Outcome: NotRun, RetryAfter: max(at, now.Add(minRetryAfter)), Reason: r})
}

func (e *Entry) left() Action {
	if e.inFlight > 0 || e.unknown {
		return e.end(Final{Outcome: Unknown, Reason: ReasonLeft})
	}
	return e.end(Final{Outcome: NotRun, Reason: ReasonLeft})
}

func (e *Entry) end(f Final) Action {
	e.final = true
	if e.held != nil {
		e.held.n--
	}
	return f
}

// backoff doubles with each refusal in a row and takes a random part of it off, so that entries that were
// refused together don't come back together.
func (e *Entry) backoff(now mono.Time, random uint64) mono.Time {
	d := minBackoff << min(e.refusals, 8)
	d = min(d, maxBackoff)
	e.refusals++
	return now.Add(d/2 + time.Duration(random%uint64(d/2))) //nolint:gosec // positive
}
