// Package admit decides at the home of one backend server which work is sent to it, and when.
//
// The home is the only sender of work to its server, so slots, queue, cold start, drain and the memory of
// request ids are exact here. A Server is events in, decisions out; its caller guards it with a lock and
// carries the decisions out.
package admit

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const (
	// A slot stays taken for a while after our side gave an exchange up: the server is told to cancel by the
	// closed connection, but works on until it notices, and would be overfed by a start in its place.
	minGrace = 2 * time.Millisecond
	maxGrace = 250 * time.Millisecond

	// firstService is assumed for the service time before the first answer.
	firstService = 20 * time.Millisecond

	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// peersFor is how long the figures of the peers are worth comparing with.
	peersFor = 3 * time.Second
)

// Server is the admission to one backend server at its home.
type Server struct {
	options       Options
	next          Ticket
	inFlight      []entry
	givenUp       []entry     // exchanges given up that the server may still work on
	held          []mono.Time // slots of exchanges given up, with when each counts as free again
	queue         queue
	memory        memory
	ramp          ramp
	speed         speed
	health        health
	rate          rate
	draining      bool
	errors        int // failed answers in a row
	incarnation   ident.Incarnation
	incarnationAt mono.Time // when the incarnation was learnt
	suspect       bool      // it may have restarted since; one slot until it has answered
	suspectAt     mono.Time
	peers         []time.Duration
	peersAt       mono.Time
	ages          []time.Duration // scratch
}

// New starts the admission to a server that has just been taken over: it may be cold, so the ramp starts.
func New(now mono.Time, o Options) *Server {
	if o.QueueLen <= 0 {
		o.QueueLen = defaultQueueLen
	}
	if o.Memory <= 0 {
		o.Memory = defaultMemory
	}
	o.Slots = max(o.Slots, 1)
	return &Server{
		options: o,
		queue:   queue{limit: o.QueueLen},
		memory:  memory{limit: o.Memory, ids: map[ident.Request]mono.Time{}},
		ramp:    newRamp(now, o.Slots),
		speed:   speed{since: mono.Never},
		health:  newHealth(now),
		rate:    rate{at: now},
	}
}

// TakeOver says that this home may send again after another one may have, under a new epoch. What it knew of
// the server may have passed since, so the ramp starts again, or goes on from what the last home had proved.
func (s *Server) TakeOver(now mono.Time, p Proven) {
	s.options.Proven = p
	s.incarnation, s.incarnationAt = 0, now
	s.ramp = newRamp(now, s.options.Slots)
	s.speed.forget()
	s.health = newHealth(now) // with a probe at once
}

// Arrive decides about new work; it also returns the decisions that this changes for queued work.
func (s *Server) Arrive(now mono.Time, w Work) (Decision, []Decision) {
	s.next++
	e := entry{Work: w, ticket: s.next}
	if s.remembers(&e) {
		if pending, ok := s.memory.seen(now, w.ID); ok {
			return Duplicate{Ticket: e.ticket, Pending: pending}, nil
		}
	}
	if r := s.closed(now, &e); r != "" {
		return s.refusal(now, &e, r), nil
	}
	if s.remembers(&e) && !s.memory.add(w.ID) {
		return s.refusal(now, &e, ReasonMemoryFull), nil
	}
	if len(s.queue.l) == 0 && s.free(now) {
		return s.start(now, e), nil
	}
	return s.enqueue(now, e)
}

// remembers reports whether a second copy of the work would do harm.
func (s *Server) remembers(e *entry) bool {
	return !e.Idempotent && e.ID != ""
}

func (s *Server) closed(now mono.Time, e *entry) Reason {
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
	// Work that can't start in time is refused now: its caller may still go elsewhere, and its place in the
	// queue serves work that can.
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

// takeDecision takes the decision about the ticket out of the list; without one, the work is queued.
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

// free reports whether a start is allowed now. It is the one check against feeding a server more than its
// open slots.
func (s *Server) free(now mono.Time) bool {
	s.dropFreed(now)
	return !s.draining && !s.health.down && !now.Before(s.ramp.notFrom) &&
		len(s.inFlight)+len(s.held) < s.limit()
}

// limit returns how many exchanges may be under way.
func (s *Server) limit() int {
	if s.suspect {
		return 1
	}
	return s.ramp.open()
}

// Suspect says that a connection was lost, so that the server may have restarted and be cold.
//
// A single lost connection is too little to start the ramp again, but what waits in the queue would go to a cold server
// all at once, which falls over before any answer tells its new incarnation. One exchange at a time until one
// that was started after the loss has been answered is what every server carries, and lasts for one answer.
func (s *Server) Suspect(now mono.Time) {
	s.suspect, s.suspectAt = true, now
}

// MaySend reports whether started work may go out now; ask right before its first byte. Work that was started just
// before the suspicion came up waits for its turn too: of several, only the one started first goes out.
func (s *Server) MaySend(t Ticket) bool {
	return !s.suspect || len(s.inFlight) > 0 && s.inFlight[0].ticket == t
}

// trust ends the suspicion by an answer to what was asked at the time.
func (s *Server) trust(asked mono.Time) {
	if !asked.Before(s.suspectAt) {
		s.suspect = false
	}
}

// dropFreed forgets the held slots that count as free again.
func (s *Server) dropFreed(now mono.Time) {
	s.held = slices.DeleteFunc(s.held, func(t mono.Time) bool { return !now.Before(t) })
}

// dropEnded forgets the exchanges given up whose deadline has passed: the server was told it, and has ended them.
func (s *Server) dropEnded(now mono.Time) {
	s.givenUp = slices.DeleteFunc(s.givenUp, func(e entry) bool { return !now.Before(e.Deadline) })
}

func (s *Server) start(now mono.Time, e entry) Decision {
	e.started = now
	s.inFlight = append(s.inFlight, e)
	s.ramp.started(now, s.service())
	return Start{Ticket: e.ticket}
}

// dispatch starts queued work while there is room, and refuses what has expired.
func (s *Server) dispatch(now mono.Time) []Decision {
	var l []Decision
	if s.health.down {
		return s.refuseAll(now, l, s.queue.remove(all), ReasonDown)
	}
	if s.queue.nextDeadline() <= now {
		expired := s.queue.remove(func(e *entry) bool { return !now.Before(e.Deadline) })
		l = s.refuseAll(now, l, expired, ReasonExpired)
	}
	for len(s.queue.l) > 0 && s.free(now) {
		l = append(l, s.start(now, s.queue.pop()))
	}
	return l
}

// Done takes in how the exchange of a started ticket ended.
func (s *Server) Done(now mono.Time, t Ticket, r Result) []Decision {
	i := slices.IndexFunc(s.inFlight, func(e entry) bool { return e.ticket == t })
	if i < 0 {
		return nil
	}
	e := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	if s.remembers(&e) {
		s.memory.end(now, e.ID, mayHaveRun(r.End))
	}
	if mayStillRun(r.End) && now.Before(e.Deadline) {
		s.dropEnded(now)
		s.givenUp = append(s.givenUp, e)
	}
	s.observe(now, &e, r)
	return s.dispatch(now)
}

// mayHaveRun reports whether the server may have run the request, or may yet.
func mayHaveRun(e End) bool {
	switch e {
	case EndRefused, EndNoDial, EndNoConn:
		return false
	}
	return true
}

// mayStillRun reports whether the server may still work on the request.
func mayStillRun(e End) bool {
	switch e {
	case EndReset, EndTimeout, EndSilent, EndCancelled:
		return true
	}
	return false
}

func (s *Server) observe(now mono.Time, e *entry, r Result) {
	d := now.Sub(e.started)
	switch r.End {
	case EndAnswered, EndFailed, EndOverloaded, EndRefused:
		s.trust(e.started)
	case EndNoDial, EndReset:
		s.Suspect(now)
	}
	switch r.End {
	case EndAnswered:
		s.errors = 0
		s.rate.add(now)
		s.sample(e, d)
		s.health.answered(now)
		s.ramp.answered(now, e.started)
	case EndFailed:
		s.failed(now)
	case EndOverloaded, EndRefused:
		s.health.answered(now)
		s.refused(now)
	case EndNoDial:
		s.refused(now)
		s.lost(now, e, r.End)
	case EndReset:
		s.sampleLost(e, d)
		s.refused(now)
		s.lost(now, e, r.End)
	case EndTimeout, EndSilent:
		s.hold(now)
		s.sampleLost(e, d)
		s.lost(now, e, r.End)
	case EndCancelled:
		s.hold(now)
		s.sampleLost(e, d)
	}
	s.observeIncarnation(now, e.started, r.Incarnation)
}

// failed takes in an answer of a server that is alive but broken. One may be the request's own fault, and
// neither its speed nor its success says anything; several in a row are the sign of a server that fell over.
// It fails fast then, and would draw all the work if it looked fast and free.
func (s *Server) failed(now mono.Time) {
	s.health.answered(now)
	s.errors++
	if s.errors >= burst {
		s.errors = 0
		s.restart(now)
	}
}

func (s *Server) refused(now mono.Time) {
	if s.ramp.failed(now) {
		s.restart(now)
	}
}

// restart treats the server as cold. How fast it was before says nothing about it now.
func (s *Server) restart(now mono.Time) {
	s.ramp.restart(now)
	s.speed.forget()
}

func (s *Server) sample(e *entry, d time.Duration) {
	if !e.Streamed {
		s.speed.add(d)
	}
}

// sampleLost takes in the time of an exchange that got no answer, which is a lower bound. Hedges cancel the
// slow exchanges of a straggler first, so without it a straggler would show only its fast ones.
func (s *Server) sampleLost(e *entry, d time.Duration) {
	if d > s.speed.median(nil) && s.speed.n > 0 {
		s.sample(e, d)
	}
}

func (s *Server) lost(now mono.Time, e *entry, end End) {
	if end == EndTimeout && now.Sub(e.started) < minSilence {
		return // the caller left too little time; says nothing about the server
	}
	if s.health.lost(now, end) {
		s.restart(now)
	}
}

func (s *Server) hold(now mono.Time) {
	s.held = append(s.held, now.Add(min(max(s.service(), minGrace), maxGrace)))
}

// observeIncarnation takes in the incarnation that an answer or a probe told. An exchange that was started before the
// present incarnation was learnt may end late and tell an older one.
func (s *Server) observeIncarnation(now, asked mono.Time, i ident.Incarnation) {
	if i == 0 || i == s.incarnation || asked.Before(s.incarnationAt) {
		return
	}
	switch {
	case s.incarnation != 0:
		s.restart(now)
	case i == s.options.Proven.Incarnation:
		s.ramp.jump(now, s.options.Proven.Slots)
	}
	s.incarnation, s.incarnationAt = i, now
}

// Tick takes in that time has passed; call it at NextTick.
func (s *Server) Tick(now mono.Time) []Decision {
	s.judge(now)
	return s.dispatch(now)
}

func all(*entry) bool { return true }

// NextTick returns when Tick has something to do for queued work, or Never.
func (s *Server) NextTick() mono.Time {
	if len(s.queue.l) == 0 {
		return mono.Never
	}
	t := s.queue.nextDeadline()
	if s.health.down || s.draining {
		return t
	}
	if len(s.inFlight) < s.limit() {
		t = min(t, max(s.ramp.notFrom, s.freeAt()))
	}
	return t
}

// freeAt returns when the next held slot is free; only then can a tick help when held slots are in the way.
func (s *Server) freeAt() mono.Time {
	if len(s.inFlight)+len(s.held) < s.limit() {
		return s.ramp.notFrom
	}
	return slices.Min(s.held)
}

// Cancel takes back queued work; for work that was started, cancel the exchange and report it by Done.
func (s *Server) Cancel(now mono.Time, t Ticket) []Decision {
	out := s.queue.remove(func(e *entry) bool { return e.ticket == t })
	return s.refuseAll(now, nil, out, ReasonCancelled)
}

// Drain stops new work, or lets it come back; what is in flight ends by itself. Queued work is handed back
// as not run, so that it can go elsewhere at once. A return ramps up, since caches may be cold.
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

// Release hands back the queued work of shards that the server no longer owns. InFlight tells when the
// rest of it has ended.
func (s *Server) Release(now mono.Time, owns func(ident.Shard) bool) []Decision {
	out := s.queue.remove(func(e *entry) bool { return !owns(e.Shard) })
	return s.refuseAll(now, nil, out, ReasonMoved)
}

// InFlight returns how much started work of the shard the server may still work on. An exchange that was
// given up counts until its deadline, which the server was told: were the shard's next owner to start
// before, the key would have two.
func (s *Server) InFlight(now mono.Time, sh ident.Shard) int {
	s.dropEnded(now)
	n := 0
	for _, l := range [][]entry{s.inFlight, s.givenUp} {
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

// refuse refuses work that was not started, and forgets its id: it may come again.
func (s *Server) refuse(now mono.Time, e *entry, r Reason) Decision {
	if s.remembers(e) {
		s.memory.end(now, e.ID, false)
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
	return firstService
}
