package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/core/route"
	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

// headerIdempotency lets a caller name its request, so that the home recognizes it when it comes again.
const headerIdempotency = "Idempotency-Key"

const maxName = 128 // bytes of a caller's name for a request; a longer one is not used

// request is one caller's request on its way.
type request struct {
	id     string
	named  bool // the id is the caller's own
	match  route.Match
	policy *policy
	first  *target // of the first send, until that has started

	mu     sync.Mutex // guards what a hedge changes while the first send is under way
	entry  *retry.Request
	tried  tried
	cancel []context.CancelFunc

	ended chan ended // buffered, so that a late send never blocks
}

// ended is how one send ended.
type ended struct {
	answer *wire.ExchangeAnswer // nil when none came
	event  retry.SendEnded
	took   time.Duration
}

const maxSends = 64 // room for the ends of sends; the decisions never reach it

func (e *Entry) newRequest(x *fasthttp.RequestCtx, m route.Match) *request {
	id, named := requestID(x, m)
	return &request{
		id:     id,
		named:  named,
		match:  m,
		entry:  retry.NewRequest(e.o.Clock.Now(), m.Kind),
		policy: e.policy(m.Service, m.Kind),
		ended:  make(chan ended, maxSends),
	}
}

// requestID takes the caller's name for the request, or makes one.
func requestID(x *fasthttp.RequestCtx, m route.Match) (id string, named bool) {
	if k := x.Request.Header.Peek(headerIdempotency); len(k) > 0 && len(k) <= maxName {
		return string(m.Service.Name) + "/" + string(k), true
	}
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:]), false
}

// unary answers a request whose bodies are held whole.
func (e *Entry) unary(x *fasthttp.RequestCtx, r *request) retry.Finish {
	body, err := readBody(x)
	if err != nil {
		return e.badBody(x, r, err)
	}
	head := encodeHead(x, r)
	head.Body = body
	f, a := e.run(r, head)
	if f.Outcome == retry.Answered {
		writeHead(x, a, r.id)
		x.Response.SetBodyRaw(a.GetBody())
		return f
	}
	e.writeFinal(x, r, f)
	return f
}

// readBody reads the whole body. A body that the caller cuts off must not run: it would be half a request.
func readBody(x *fasthttp.RequestCtx) ([]byte, error) {
	if !x.Request.IsBodyStream() {
		return x.Request.Body(), nil
	}
	var w limited
	if err := x.Request.BodyWriteTo(&w); err != nil {
		return nil, err
	}
	if n := x.Request.Header.ContentLength(); n >= 0 && n != len(w.b) {
		return nil, io.ErrUnexpectedEOF // the library takes a cut body of known length for a whole one
	}
	return w.b, nil
}

// limited collects up to maxBody bytes.
type limited struct{ b []byte }

func (l *limited) Write(p []byte) (int, error) {
	if len(l.b)+len(p) > maxBody {
		return 0, fasthttp.ErrBodyTooLarge
	}
	l.b = append(l.b, p...)
	return len(p), nil
}

func (e *Entry) badBody(x *fasthttp.RequestCtx, r *request, err error) retry.Finish {
	status, reason := fasthttp.StatusBadRequest, "body-cut"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status, reason = fasthttp.StatusRequestEntityTooLarge, "body-too-large"
	}
	x.SetConnectionClose()
	x.Response.Header.Set(headerRequestID, r.id)
	writeProblem(x, status, problem{Outcome: "not-run", Reason: reason, Message: err.Error()})
	return retry.Finish{Outcome: retry.NotRun, Reason: retry.Reason(reason)}
}

// run sends the request as often as the decisions say, and returns the final one with the answer, if any.
func (e *Entry) run(r *request, head *wire.Exchange) (retry.Finish, *wire.ExchangeAnswer) {
	defer r.cancelAll()
	var last *wire.ExchangeAnswer
	act := e.came(r)
	for {
		var wake mono.Time
		switch a := act.(type) {
		case retry.Finish:
			return a, last
		case retry.Send:
			x := e.sendHere(r, head, a.WakeAt)
			last, act = e.take(r, x, last)
			continue
		case retry.Wait:
			wake = a.Until
		}
		if x := e.wait(r, wake); x != nil {
			last, act = e.take(r, *x, last)
			continue
		}
		_, others, room := e.pick(r)
		act = e.next(r, retry.Woken{Available: room, OtherServer: others})
	}
}

// came takes the first decision; the target that was found for it is kept for the first send.
func (e *Entry) came(r *request) retry.Action {
	t, _, ok := e.pick(r)
	if ok {
		r.first = &t
	}
	return e.next(r, retry.Arrived{Available: ok})
}

// next takes the next decision.
func (e *Entry) next(r *request, v retry.Event) retry.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.next(e, r.entry, v)
}

// take hands the end of a send to the decisions; it returns the answer to give, if any, and what to do next.
func (e *Entry) take(r *request, x ended, last *wire.ExchangeAnswer) (*wire.ExchangeAnswer, retry.Action) {
	if x.event.Outcome.MayHaveRun() {
		r.policy.observe(x.took) // one that a hedge cancelled counts with the time that it had taken
	}
	if x.event.Outcome == retry.Answered {
		return x.answer, e.next(r, x.event)
	}
	_, x.event.OtherServer, _ = e.pick(r)
	return last, e.next(r, x.event)
}

// wait waits for the end of a send, or until the time to look again.
func (e *Entry) wait(r *request, until mono.Time) *ended {
	if r.inFlight() == 0 {
		e.waiting.Add(1)
		defer e.waiting.Add(-1)
	}
	for {
		now := e.o.Clock.Now()
		if !now.Before(until) || e.ownerChanged(r) {
			return nil
		}
		t := time.NewTimer(min(until.Sub(now), lookAgain))
		select {
		case x := <-r.ended:
			t.Stop()
			return &x
		case <-t.C:
		}
	}
}

// lookAgain is how often a waiting request looks whether its key has another owner.
const lookAgain = 25 * time.Millisecond

// ownerChanged reports whether a waiting keyed request has another owner than the one that refused it. The home of a
// server that is down says when to come back to it, and that may be long after the key has moved on.
func (e *Entry) ownerChanged(r *request) bool {
	if !r.match.Service.Keyed() || r.inFlight() > 0 {
		return false
	}
	t, _, ok := e.pick(r)
	r.mu.Lock()
	defer r.mu.Unlock()
	return ok && r.tried.last.server != "" && (t.server != r.tried.last.server || t.epoch != r.tried.last.epoch)
}

func (r *request) inFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry.InFlight()
}

// cancelAll gives up what is still in flight; a late answer goes to a channel that nobody reads.
func (r *request) cancelAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.cancel {
		f()
	}
}

// sendHere sends on the caller's own goroutine, which for most requests is the only one: handing a request from
// goroutine to goroutine wakes threads, and that costs more than the rest of its way through the entry.
// When it is time for a hedge, that one gets a goroutine, and its answer ends this send.
func (e *Entry) sendHere(r *request, head *wire.Exchange, wake mono.Time) ended {
	s, ok := e.start(r, head)
	if !ok {
		return ended{event: retry.SendEnded{Outcome: retry.NotRun}}
	}
	if wake.Before(r.entry.Deadline()) {
		t := time.AfterFunc(wake.Sub(e.o.Clock.Now()), func() { e.hedge(r, head, s) })
		defer t.Stop()
	}
	x := e.finish(s)
	r.mu.Lock()
	s.over = true
	r.mu.Unlock()
	return x
}

// hedge sends the request a second time if the decisions say so while the first send is still under way.
func (e *Entry) hedge(r *request, head *wire.Exchange, first *send) {
	_, others, room := e.pick(r)
	r.mu.Lock()
	if first.over {
		r.mu.Unlock()
		return
	}
	act := r.policy.next(e, r.entry, retry.Woken{Available: room, OtherServer: others})
	r.mu.Unlock()
	if _, ok := act.(retry.Send); !ok {
		return
	}
	s, ok := e.start(r, head)
	if !ok {
		r.ended <- ended{event: retry.SendEnded{Outcome: retry.NotRun}}
		return
	}
	x := e.finish(s)
	r.ended <- x
	if x.event.Outcome == retry.Answered {
		first.cancel()
	}
}

// send is one send under way.
type send struct {
	target target
	x      *wire.Exchange
	until  mono.Time // the caller's deadline
	c      context.Context
	cancel context.CancelFunc
	over   bool // guarded by the request's lock
}

func (e *Entry) nextTarget(r *request) (target, bool) {
	r.mu.Lock()
	t := r.first
	r.first = nil
	r.mu.Unlock()
	if t != nil {
		return *t, true
	}
	x, _, ok := e.pick(r)
	return x, ok
}

// start chooses the target of the next send.
func (e *Entry) start(r *request, head *wire.Exchange) (*send, bool) {
	t, ok := e.nextTarget(r)
	if !ok {
		return nil, false
	}
	s := &send{target: t, x: e.address(r, head, t), until: r.entry.Deadline()}
	s.c, s.cancel = context.WithDeadline(context.Background(), e.o.Clock.StdTime(r.entry.Deadline()))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried.add(t)
	r.cancel = append(r.cancel, s.cancel)
	return s, true
}

// finish makes the exchange and returns how it ended.
func (e *Entry) finish(s *send) ended {
	start := time.Now()
	l := e.loads.of(s.target.server)
	l.mine.Add(1)
	a, answeredAt, err := e.exchange(s)
	l.mine.Add(-1)
	l.take(answeredAt, a.GetReport())
	return ended{answer: a, event: e.outcome(a, answeredAt, err), took: time.Since(start)}
}

// address completes the exchange for one target.
func (e *Entry) address(r *request, head *wire.Exchange, t target) *wire.Exchange {
	left := r.entry.Deadline().Sub(e.o.Clock.Now())
	return &wire.Exchange{
		RequestId: head.GetRequestId(), Service: head.GetService(), Kind: head.GetKind(), Method: head.GetMethod(),
		Uri: head.GetUri(), Headers: head.GetHeaders(), Body: head.GetBody(), BodyFollows: head.GetBodyFollows(),
		Shard: head.GetShard(), Key: head.GetKey(), Server: string(t.server), ShardEpoch: uint64(t.epoch),
		RemainingUs: uint64(max(0, left.Microseconds())),
	}
}

// exchange makes the exchange and returns the answer and when it was sent.
func (e *Entry) exchange(s *send) (a *wire.ExchangeAnswer, answeredAt mono.Time, err error) {
	if s.target.daemon == e.o.Self {
		a = e.o.Homes.Do(s.c, s.x, s.until)
		return a, e.o.Clock.Now(), nil
	}
	asked := e.o.Clock.Now()
	m, err := e.o.Peers.Call(s.c, s.target.daemon, &wire.Call{Body: &wire.Call_Exchange{Exchange: s.x}})
	return m.GetExchange(), e.o.Clock.SentAt(time.Duration(m.GetSentUs())*time.Microsecond, asked), err //nolint:gosec // time since the start of the host
}

// outcome turns the end of a send, and the answer that was sent at answeredAt, into an event.
//
// A home that can't be reached counts as moved: nothing was sent, and its standby may be home by now.
func (e *Entry) outcome(a *wire.ExchangeAnswer, answeredAt mono.Time, err error) retry.SendEnded {
	if err != nil || a == nil {
		if err != nil && !peer.MaybeSent(err) {
			return retry.SendEnded{Outcome: retry.Moved}
		}
		return retry.SendEnded{Outcome: retry.Unknown}
	}
	v := retry.SendEnded{Outcome: retry.Unknown}
	switch a.GetOutcome() {
	case wire.Outcome_OUTCOME_ANSWERED:
		v.Outcome = retry.Answered
	case wire.Outcome_OUTCOME_NOT_RUN:
		v.Outcome = retry.NotRun
	case wire.Outcome_OUTCOME_MOVED:
		v.Outcome = retry.Moved
	case wire.Outcome_OUTCOME_UNKNOWN:
	}
	if ms := a.GetRetryAfterMs(); ms > 0 {
		v.RetryAfter = answeredAt.Add(time.Duration(ms) * time.Millisecond)
	}
	return v
}

// encodeHead makes the part of the exchange that is the same for every send.
func encodeHead(x *fasthttp.RequestCtx, r *request) *wire.Exchange {
	u := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(u)
	// The path goes on as it was matched, decoded and normalized, so that router and backend server can't
	// read two different keys from one request.
	u.SetPathBytes(r.match.Rest)
	u.SetQueryStringBytes(x.QueryArgs().QueryString())
	h := &wire.Exchange{
		RequestId: r.id, Service: string(r.match.Service.Name), Kind: r.match.Kind.Name,
		Method: string(x.Method()), Uri: append([]byte(nil), u.RequestURI()...),
		Shard: uint32(r.match.Shard), Key: append([]byte(nil), r.match.Key...),
	}
	for k, v := range x.Request.Header.All() {
		if !isHop(k) {
			h.Headers = append(h.Headers, &wire.Header{Name: append([]byte(nil), k...), Value: append([]byte(nil), v...)})
		}
	}
	return h
}

// isHop reports whether a header belongs to one connection and is not passed on.
func isHop(name []byte) bool {
	switch string(name) {
	case fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding, fasthttp.HeaderContentLength,
		fasthttp.HeaderHost, fasthttp.HeaderUpgrade, fasthttp.HeaderTE, fasthttp.HeaderTrailer, "Proxy-Connection", "Expect":
		return true
	}
	return false
}
