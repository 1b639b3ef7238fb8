package home

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/owner"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
	"heatherrouter/io/wire"
)

const (
	// settleWait is how long a request waits here for a lease or a shard that is on its way. A planned move
	// takes a few milliseconds; sending the requests back to their entries would use up their retries.
	settleWait  = 400 * time.Millisecond
	settleEvery = 3 * time.Millisecond

	suspectAfter  = 300 * time.Millisecond // of no answer, when others are answered
	suspectFactor = 8                      // times the usual service time
)

// Reasons of answers that the backend server did not give; kebab case.
const (
	reasonNoHome    = "not-home"
	reasonNoLease   = "no-lease"
	reasonNoGrant   = "no-grant"
	reasonMoved     = "shard-moved"
	reasonWaiting   = "shard-moving"
	reasonDuplicate = "duplicate-request"
	reasonNoKind    = "unknown-kind"
)

// job is one exchange on its way through the home.
type job struct {
	x        *wire.Exchange
	kind     *config.Kind
	deadline mono.Time
	ticket   admit.Ticket
	token    owner.Token // of a keyed service
	keyed    bool
	epoch    ident.Epoch
	addr     netip.AddrPort // of the server, and pool its connections; the configuration may change both meanwhile
	pool     *conns.Pool
	suspect  time.Duration // without an answer, until the connection is doubted; 0 for never
}

// Do runs one exchange, whose caller waits until the deadline, and returns its answer, whose outcome is certain.
func (s *Homes) Do(c context.Context, x *wire.Exchange, deadline mono.Time) *wire.ExchangeAnswer {
	h := s.get(ident.Server(x.GetServer()))
	if h == nil {
		return s.notHome(x)
	}
	for tries := 1; ; tries++ {
		j, a := h.begin(c, x, deadline)
		if a != nil {
			return a
		}
		// If it is held back before its first byte, it queues again here: its entry would only learn that it has to wait.
		a, heldBack := h.run(c, j)
		if !heldBack || tries == maxTries {
			return a
		}
	}
}

// maxTries bounds how often one exchange is admitted; being held back more often has some other cause than its turn.
const maxTries = 3

// notHome answers that the request was not run, and who is home by this daemon's copy.
func (s *Homes) notHome(x *wire.Exchange) *wire.ExchangeAnswer {
	a := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_MOVED, Reason: reasonNoHome}
	if p := s.o.View.Get().Part(ident.Service(x.GetService())); p != nil {
		row, _ := p.Server(ident.Server(x.GetServer()))
		a.Home = string(row.Home)
	}
	return a
}

// begin takes the exchange through the lease, the shard's owner and the server's slots. It returns the answer
// instead when the exchange is not to be sent.
func (h *Home) begin(c context.Context, x *wire.Exchange, deadline mono.Time) (*job, *wire.ExchangeAnswer) {
	now := h.o.Clock.Now()
	j := &job{x: x, deadline: deadline}
	until := min(now.Add(settleWait), deadline)
	for {
		a, again := h.tryBegin(c, j)
		if !again {
			return j, a
		}
		if !h.o.Clock.Now().Before(until) || c.Err() != nil {
			return nil, a
		}
		time.Sleep(settleEvery)
	}
}

// tryBegin makes one try; again says that the reason will pass by itself soon.
func (h *Home) tryBegin(c context.Context, j *job) (a *wire.ExchangeAnswer, again bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, again := h.mayTake(j); a != nil {
		return a, again
	}
	now := h.o.Clock.Now()
	h.noteLost(now)
	d, others := h.admit.Arrive(now, admit.Work{
		ID: ident.Request(j.x.GetRequestId()), Shard: ident.Shard(j.x.GetShard()), Priority: j.kind.Priority,
		Deadline: j.deadline, Idempotent: j.kind.Idempotent, NeverDropped: j.kind.NeverDropped, Streamed: j.kind.Streamed,
	})
	h.deliver(others)
	if q, ok := d.(admit.Queued); ok {
		d = h.wait(c, q.Ticket)
	}
	switch v := d.(type) {
	case admit.Start:
		j.ticket, j.addr, j.pool = v.Ticket, h.server.Addr, h.pool
		j.suspect = h.suspectAfter(j)
		return h.enter(j)
	case admit.Refuse:
		return h.refused(v), false
	case admit.Duplicate:
		return h.duplicate(), false
	}
	return h.moved(reasonMoved), false
}

// wait waits for the decision about queued work; it lets go of the lock meanwhile.
func (h *Home) wait(c context.Context, t admit.Ticket) admit.Decision {
	w := make(chan admit.Decision, 1)
	h.waits[t] = w
	h.mu.Unlock()
	defer h.mu.Lock()
	select {
	case d := <-w:
		return d
	case <-c.Done():
	}
	h.mu.Lock()
	h.deliver(h.admit.Cancel(h.o.Clock.Now(), t))
	h.mu.Unlock()
	return <-w // the cancellation, or a decision that came just before it
}

// mayTake checks what needs no slot.
func (h *Home) mayTake(j *job) (a *wire.ExchangeAnswer, again bool) {
	j.kind, j.keyed = kindOf(h.service, j.x.GetKind()), h.service.Keyed()
	if j.kind == nil {
		return h.moved(reasonNoKind), false
	}
	if h.epoch == 0 || h.stopped || h.holder == nil {
		return h.moved(reasonNoHome), false
	}
	if !h.holder.Holds(h.o.Clock.Now()) {
		// The home waits for its lease a little; a standby whose home is well has none coming.
		return h.moved(reasonNoLease), h.row.Home == h.o.Self || !h.o.Alive(h.row.Home)
	}
	if now := h.o.Clock.Now(); h.needsGrant() && !h.admit.Report(now).Down {
		h.offerGrant(now)
		return h.moved(reasonNoGrant), true
	}
	if !j.keyed {
		return nil, false
	}
	// Asked before a slot is: a request that waits for its shard and tries again every few milliseconds would else use up
	// the starts that a ramp allows, and keep everybody else from a server that has just come back.
	no := h.gate.Check(h.o.Clock.Now(), ident.Shard(j.x.GetShard()), ident.Epoch(j.x.GetShardEpoch()))
	if no != owner.NotRefused {
		return h.gated(j, no)
	}
	return nil, false
}

// enter takes the started work through the gate of its shard.
func (h *Home) enter(j *job) (a *wire.ExchangeAnswer, again bool) {
	now := h.o.Clock.Now()
	if !j.keyed {
		if h.holder.Holds(now) {
			j.epoch = h.holder.Epoch()
			h.open++
			return nil, false
		}
		h.undo(now, j)
		return h.moved(reasonNoLease), true
	}
	s, no := h.gate.Start(now, ident.Shard(j.x.GetShard()), ident.Epoch(j.x.GetShardEpoch()), j.deadline)
	if no == owner.NotRefused {
		j.token, j.epoch, j.deadline = s.Token, s.Epoch, s.Deadline
		h.open++
		h.hot.Add(now, ident.Shard(j.x.GetShard()))
		return nil, false
	}
	h.undo(now, j)
	return h.gated(j, no)
}

// gated answers what the gate refuses; again says that the reason will pass by itself soon.
func (h *Home) gated(j *job, no owner.Refusal) (a *wire.ExchangeAnswer, again bool) {
	switch no {
	case owner.AwaitingRelease:
		return h.moved(reasonWaiting), true
	case owner.NoLease:
		return h.moved(reasonNoLease), true
	}
	// The entry's copy may be ahead of this one by a few milliseconds.
	return h.moved(reasonMoved), ident.Epoch(j.x.GetShardEpoch()) > h.shardEpoch(ident.Shard(j.x.GetShard()))
}

func (h *Home) shardEpoch(s ident.Shard) ident.Epoch {
	if p := h.o.View.Get().Part(h.service.Name); p != nil {
		return p.Owner(s).Epoch
	}
	return 0
}

// undo gives back the slot of work that is not sent.
func (h *Home) undo(now mono.Time, j *job) {
	h.deliver(h.admit.Done(now, j.ticket, admit.Result{End: admit.EndNoConnFree}))
}

func (h *Home) moved(reason string) *wire.ExchangeAnswer {
	return &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_MOVED, Reason: reason, Home: string(h.row.Home)}
}

func (h *Home) refused(r admit.Refuse) *wire.ExchangeAnswer {
	if r.Reason == admit.ReasonMoved {
		return h.moved(reasonMoved) // it was queued here; the entry follows the shard to its next owner
	}
	now := h.o.Clock.Now()
	return &wire.ExchangeAnswer{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: string(r.Reason), Report: h.report(now, false),
		RetryAfterMs: uint32(max(1, r.RetryAfter.Sub(now).Milliseconds())),
	}
}

// duplicate answers a second arrival of a request that must not run twice: whether the first ran is not known here.
func (h *Home) duplicate() *wire.ExchangeAnswer {
	return &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: reasonDuplicate}
}

// run sends the exchange to the backend server; it reports whether it was held back instead.
func (h *Home) run(c context.Context, j *job) (a *wire.ExchangeAnswer, heldBack bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	h.fill(req, j)
	req.SetBodyRaw(j.x.GetBody())
	r := j.pool.Do(c, h.call(j), req, resp)
	a = h.end(j, r)
	if r.Outcome == retry.Answered {
		a.Status = uint32(resp.StatusCode())
		a.Headers = encodeHeaders(resp)
		a.Body = append([]byte(nil), resp.Body()...)
	}
	return a, errors.Is(r.Err, conns.ErrGuard)
}

func (h *Home) call(j *job) conns.Call {
	x := conns.Call{Deadline: h.o.Clock.StdTime(j.deadline), Guard: func() bool { return h.maySend(j) }}
	if j.suspect > 0 {
		x.SuspectAt = time.Now().Add(j.suspect)
	}
	return x
}

// suspectAfter returns how long an exchange may go without an answer before its connection is doubted. A server that
// is usually slow is given more time: its answers would else be given up again and again.
func (h *Home) suspectAfter(j *job) time.Duration {
	if !j.kind.Idempotent {
		return 0
	}
	return max(suspectAfter, suspectFactor*h.admit.MedianServiceTime())
}

// maySend checks the lease right before the first byte: the process may have been paused since it took the job,
// and somebody else may be home by now.
func (h *Home) maySend(j *job) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	h.noteLost(now)
	if !h.admit.MaySend(j.ticket) {
		return false
	}
	if j.keyed {
		return h.gate.Send(now, j.token)
	}
	return h.holder.Epoch() == j.epoch && h.holder.Holds(now)
}

// end gives the slot back and says what is certain.
func (h *Home) end(j *job, r conns.Result) *wire.ExchangeAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	h.open--
	h.noteLost(now)
	if j.keyed && r.Outcome != retry.Unknown {
		h.gate.Answered(j.token) // one without an answer stays in flight until its deadline
	}
	h.deliver(h.admit.Done(now, j.ticket, admit.Result{End: r.End, Incarnation: r.Incarnation}))
	a := &wire.ExchangeAnswer{Outcome: outcome(r.Outcome), Reason: r.End.String(), Report: h.report(now, false)}
	if errors.Is(r.Err, conns.ErrGuard) {
		a.Outcome = wire.Outcome_OUTCOME_MOVED // since it was admitted; the entry follows the shard or the lease
	}
	if r.Outcome == retry.NotRun && r.Err != nil {
		h.o.Log.Debug().Err(r.Err).Str("request-id", j.x.GetRequestId()).Str("server", string(h.id)).Msg("not sent")
	}
	if r.Outcome == retry.Unknown {
		h.o.Log.Info().Err(r.Err).Str("request-id", j.x.GetRequestId()).Str("server", string(h.id)).
			Str("end", r.End.String()).Msg("sent without a whole answer")
	}
	return a
}

func outcome(o retry.Outcome) wire.Outcome {
	switch o {
	case retry.Answered:
		return wire.Outcome_OUTCOME_ANSWERED
	case retry.NotRun:
		return wire.Outcome_OUTCOME_NOT_RUN
	case retry.Moved:
		return wire.Outcome_OUTCOME_MOVED
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// fill makes the request for the backend server.
func (h *Home) fill(req *fasthttp.Request, j *job) {
	for _, x := range j.x.GetHeaders() {
		req.Header.AddBytesKV(x.GetName(), x.GetValue())
	}
	req.Header.SetMethod(j.x.GetMethod())
	req.Header.SetHost(j.addr.String())
	req.SetRequestURIBytes(j.x.GetUri())
	m := conns.Meta{
		RequestID: ident.Request(j.x.GetRequestId()), Epoch: j.epoch,
		Deadline: h.o.Clock.WallTime(j.deadline), Shard: ident.Shard(j.x.GetShard()),
	}
	if j.keyed {
		m.Key = j.x.GetKey()
	}
	conns.SetHeaders(req, m)
}

func encodeHeaders(resp *fasthttp.Response) []*wire.Header {
	var l []*wire.Header
	for k, v := range resp.Header.All() {
		switch string(k) {
		case fasthttp.HeaderConnection, fasthttp.HeaderTransferEncoding, fasthttp.HeaderContentLength,
			"Keep-Alive", fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade:
			continue
		}
		l = append(l, &wire.Header{Name: append([]byte(nil), k...), Value: append([]byte(nil), v...)})
	}
	return l
}

func kindOf(s *config.Service, name string) *config.Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}
