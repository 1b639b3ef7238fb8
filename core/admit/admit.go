// Package admit decides at the home of one backend server which work is sent to it, and when.
//
// The home is the only sender of work to its server, so its state of slots, queue, cold start, drain and
// request ids is exact. A Server takes events and returns decisions; its caller guards it with a lock and
// executes the decisions.
package admit

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	// A slot stays occupied for a while after this home abandons an exchange: the closed connection cancels it, but
	// the server works on until it notices, and another start would overload it.
	minGrace = 2 * time.Millisecond
	maxGrace = 250 * time.Millisecond

	// initialServiceTime is assumed before the first response.
	initialServiceTime = 20 * time.Millisecond

	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// peersMaxAge is how long the latencies of the peers are valid for comparison.
	peersMaxAge = 3 * time.Second
)

// Server is the admission control of one backend server at its home.
type Server struct {
	options             Options
	next                Ticket
	inFlight            []entry
	abandoned           []entry     // abandoned exchanges that the server may still work on
	held                []mono.Time // for each slot of an abandoned exchange, when it is free again
	queue               queue
	requestIDs          idTable
	ramp                ramp
	speed               speed
	health              health
	rate                rate
	draining            bool
	consecutiveFailures int // failed responses in a row
	incarnation         ident.Incarnation
	incarnationAt       mono.Time   // when the incarnation was first observed
	unresponsive        ProvenSlots // to open once the server, now unresponsive, responds in that incarnation; zero if none
	unresponsiveAt      mono.Time
	suspect             bool // the server may have restarted; limited to one exchange until it has responded
	suspectAt           mono.Time
	peers               []time.Duration
	peersAt             mono.Time
	ages                []time.Duration // reused buffer
}

// New returns the state for a server that this home has just taken over: it may be cold, so the ramp starts.
func New(now mono.Time, o Options) *Server {
	if o.QueueLen <= 0 {
		o.QueueLen = defaultQueueLen
	}
	if o.MaxRequestIDs <= 0 {
		o.MaxRequestIDs = defaultMemory
	}
	o.Slots = max(o.Slots, 1)
	return &Server{
		options:    o,
		queue:      queue{limit: o.QueueLen},
		requestIDs: idTable{limit: o.MaxRequestIDs, ids: map[ident.Request]mono.Time{}},
		ramp:       newRamp(now, o.Slots),
		speed:      speed{since: mono.Never},
		health:     newHealth(now),
		rate:       rate{at: now},
	}
}

// TakeOver records that this home may send again, under a new epoch, after another home may have. Its state of
// the server may be outdated, so the ramp restarts, or continues from the slots proven at the other home.
func (s *Server) TakeOver(now mono.Time, p ProvenSlots) {
	s.options.Proven, s.unresponsive = p, ProvenSlots{}
	s.incarnation, s.incarnationAt = 0, now
	s.ramp = newRamp(now, s.options.Slots)
	s.speed.forget()
	s.health = newHealth(now) // a probe is due at once
}

// Arrive decides about new work; it also returns the resulting decisions about queued work.
func (s *Server) Arrive(now mono.Time, w Work) (Decision, []Decision) {
	s.next++
	e := entry{Work: w, ticket: s.next}
	if s.needsDedup(&e) {
		if pending, ok := s.requestIDs.seen(now, w.ID); ok {
			return Duplicate{Ticket: e.ticket, Pending: pending}, nil
		}
	}
	if r := s.refusalReason(now, &e); r != "" {
		return s.refusal(now, &e, r), nil
	}
	if s.needsDedup(&e) && !s.requestIDs.add(w.ID) {
		return s.refusal(now, &e, ReasonMemoryFull), nil
	}
	if len(s.queue.l) == 0 && s.canStart(now) {
		return s.start(now, e), nil
	}
	return s.enqueue(now, e)
}

// needsDedup reports whether a second copy of the work would do harm.
func (s *Server) needsDedup(e *entry) bool {
	return !e.Idempotent && e.ID != ""
}

func (s *Server) refusalReason(now mono.Time, e *entry) Reason {
	switch {
	case s.draining:
		return ReasonDraining
	case s.health.down:
		return ReasonDown
	case !now.Before(e.Deadline):
		return ReasonExpired
	}
	return ""
}

func (s *Server) enqueue(now mono.Time, e entry) (Decision, []Decision) {
	// Work that can't start in time is refused now: its caller may still use another server, and its place in the
	// queue is left for work that can.
	if !e.NeverDropped && s.speed.n > 0 && e.Deadline.Before(now.Add(s.wait(s.queue.ahead(&e)))) {
		return s.refuse(now, &e, ReasonTooLate), nil
	}
	evicted, isEvicted, ok := s.queue.push(e)
	if !ok {
		return s.refuse(now, &e, ReasonQueueFull), nil
	}
	var l []Decision
	if isEvicted {
		l = append(l, s.refuse(now, &evicted, ReasonEvicted))
	}
	l = append(l, s.dispatch(now)...)
	return s.takeDecision(e.ticket, l)
}

// takeDecision removes the ticket's decision from the list; without one, the work is queued.
func (s *Server) takeDecision(t Ticket, l []Decision) (Decision, []Decision) {
	for i, d := range l {
		if TicketOf(d) == t {
			return d, slices.Delete(l, i, i+1)
		}
	}
	return Queued{Ticket: t}, l
}

// TicketOf returns the ticket that the decision is about.
func TicketOf(d Decision) Ticket {
	switch v := d.(type) {
	case Start:
		return v.Ticket
	case Queued:
		return v.Ticket
	case Refuse:
		return v.Ticket
	case Duplicate:
		return v.Ticket
	}
	return 0
}

// canStart reports whether a start is allowed now. It is the only check that keeps a server within its
// open slots.
func (s *Server) canStart(now mono.Time) bool {
	s.expireHeld(now)
	return !s.draining && !s.health.down && !now.Before(s.ramp.nextStart) &&
		len(s.inFlight)+len(s.held) < s.limit()
}

// limit returns how many exchanges may be in flight.
func (s *Server) limit() int {
	if s.suspect {
		return 1
	}
	return s.ramp.open()
}

// SuspectRestart records that a connection was lost, so that the server may have restarted and be cold.
//
// A single lost connection is too little evidence to restart the ramp, but the queued work would go to a cold server
// all at once, and it would collapse before a response reports its new incarnation. Every server carries one exchange at
// a time; this limit ends with the first response to an exchange that was started after the loss.
func (s *Server) SuspectRestart(now mono.Time) {
	s.suspect, s.suspectAt = true, now
}

// MaySend reports whether started work may be sent now; call it right before the first byte. It also holds back work
// that was started just before SuspectRestart: of several, only the one started first is sent.
func (s *Server) MaySend(t Ticket) bool {
	return !s.suspect || len(s.inFlight) > 0 && s.inFlight[0].ticket == t
}

// clearSuspicion ends the suspicion if the server responded to a request or probe sent after it arose.
func (s *Server) clearSuspicion(asked mono.Time) {
	if !asked.Before(s.suspectAt) {
		s.suspect = false
	}
}

// expireHeld removes the held slots that are free again.
func (s *Server) expireHeld(now mono.Time) {
	s.held = slices.DeleteFunc(s.held, func(t mono.Time) bool { return !now.Before(t) })
}

// expireAbandoned removes abandoned exchanges past their deadline, which the server was sent: it has ended them.
func (s *Server) expireAbandoned(now mono.Time) {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(e entry) bool { return !now.Before(e.Deadline) })
}

func (s *Server) start(now mono.Time, e entry) Decision {
	e.started = now
	s.inFlight = append(s.inFlight, e)
	s.ramp.started(now, s.service())
	return Start{Ticket: e.ticket}
}

// dispatch starts queued work while there is capacity, and refuses expired work.
func (s *Server) dispatch(now mono.Time) []Decision {
	var l []Decision
	if s.health.down {
		return s.refuseAll(now, l, s.queue.remove(all), ReasonDown)
	}
	if s.queue.nextDeadline() <= now {
		expired := s.queue.remove(func(e *entry) bool { return !now.Before(e.Deadline) })
		l = s.refuseAll(now, l, expired, ReasonExpired)
	}
	for len(s.queue.l) > 0 && s.canStart(now) {
		l = append(l, s.start(now, s.queue.pop()))
	}
	return l
}

// Done records how the exchange of a started ticket ended.
func (s *Server) Done(now mono.Time, t Ticket, r Result) []Decision {
	i := slices.IndexFunc(s.inFlight, func(e entry) bool { return e.ticket == t })
	if i < 0 {
		return nil
	}
	e := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	if s.needsDedup(&e) {
		s.requestIDs.end(now, e.ID, mayHaveRun(r.End))
	}
	if mayStillRun(r.End) && now.Before(e.Deadline) {
		s.expireAbandoned(now)
		s.abandoned = append(s.abandoned, e)
	}
	s.observe(now, &e, r)
	return s.dispatch(now)
}

// mayHaveRun reports whether the server may have run the request, or may still run it.
func mayHaveRun(e End) bool {
	switch e {
	case EndRefused, EndDialFailed, EndNoConnFree:
		return false
	}
	return true
}

// mayStillRun reports whether the server may still work on the request.
func mayStillRun(e End) bool {
	switch e {
	case EndReset, EndTimeout, EndUnresponsive, EndCancelled, EndEndless:
		return true
	}
	return false
}

// Tick expires and starts queued work as time passes; call it at NextTick.
func (s *Server) Tick(now mono.Time) []Decision {
	s.judge(now)
	return s.dispatch(now)
}

func all(*entry) bool { return true }

// NextTick returns when Tick is due for queued work, or Never.
func (s *Server) NextTick() mono.Time {
	if len(s.queue.l) == 0 {
		return mono.Never
	}
	t := s.queue.nextDeadline()
	if s.health.down || s.draining {
		return t
	}
	if len(s.inFlight) < s.limit() {
		t = min(t, max(s.ramp.nextStart, s.freeAt()))
	}
	return t
}

// freeAt returns when the next held slot is free: an earlier tick has no effect while held slots fill the limit.
func (s *Server) freeAt() mono.Time {
	if len(s.inFlight)+len(s.held) < s.limit() {
		return s.ramp.nextStart
	}
	return slices.Min(s.held)
}

// Cancel removes queued work; for started work, cancel the exchange and report it by Done.
func (s *Server) Cancel(now mono.Time, t Ticket) []Decision {
	out := s.queue.remove(func(e *entry) bool { return e.ticket == t })
	return s.refuseAll(now, nil, out, ReasonCancelled)
}

// Drain stops or resumes new work; exchanges in flight are left to end. Queued work is refused as not run, so
// that it can go to another server at once. Resuming restarts the ramp, since caches may be cold.
func (s *Server) Drain(now mono.Time, on bool) []Decision {
	if on == s.draining {
		return nil
	}
	s.draining = on
	if !on {
		s.ramp.resume(now, s.incarnation != 0)
		s.speed.forget()
		return s.dispatch(now)
	}
	return s.refuseAll(now, nil, s.queue.remove(all), ReasonDraining)
}

// Release refuses the queued work of shards that the server no longer owns. InFlight reports when the
// started work has ended.
func (s *Server) Release(now mono.Time, owns func(ident.Shard) bool) []Decision {
	out := s.queue.remove(func(e *entry) bool { return !owns(e.Shard) })
	return s.refuseAll(now, nil, out, ReasonMoved)
}

// InFlight returns how many exchanges of the shard the server may still work on. An abandoned exchange
// counts until its deadline, which the server was sent: if the shard's next owner started before, the key
// would have two owners.
func (s *Server) InFlight(now mono.Time, sh ident.Shard) int {
	s.expireAbandoned(now)
	n := 0
	for _, l := range [][]entry{s.inFlight, s.abandoned} {
		for i := range l {
			if l[i].Shard == sh {
				n++
			}
		}
	}
	return n
}

func (s *Server) refuseAll(now mono.Time, l []Decision, out []entry, r Reason) []Decision {
	for i := range out {
		l = append(l, s.refuse(now, &out[i], r))
	}
	return l
}

// refuse refuses work that was not started, and removes its id so that it may be sent again.
func (s *Server) refuse(now mono.Time, e *entry, r Reason) Decision {
	if s.needsDedup(e) {
		s.requestIDs.end(now, e.ID, false)
	}
	return s.refusal(now, e, r)
}

func (s *Server) refusal(now mono.Time, e *entry, r Reason) Decision {
	d := s.wait(len(s.queue.l))
	if s.health.down {
		d = s.health.probeAt.Sub(now)
	}
	return Refuse{Ticket: e.ticket, Reason: r, RetryAfter: now.Add(min(max(d, minRetryAfter), maxRetryAfter))}
}

// wait estimates how long work waits for its start with n entries ahead.
func (s *Server) wait(n int) time.Duration {
	st := s.ramp.steps[s.ramp.at]
	per := float64(s.service()) / (float64(st.slots) * st.duty)
	return time.Duration(float64(n+1) * per)
}

func (s *Server) service() time.Duration {
	if m := s.speed.median(nil); m > 0 {
		return m
	}
	return initialServiceTime
}
