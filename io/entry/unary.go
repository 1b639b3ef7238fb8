package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
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

// request is one caller's request on its way.
type request struct {
	id     string
	match  route.Match
	entry  *retry.Entry
	policy *policy
	tried  tried
	ended  chan ended // buffered, so that a late send never blocks
	cancel []context.CancelFunc
}

// ended is how one send ended.
type ended struct {
	answer *wire.ExchangeAnswer // nil when none came
	event  retry.Ended
	took   time.Duration
}

const maxSends = 64 // room for the ends of sends; the decisions never reach it

func (e *Entry) newRequest(x *fasthttp.RequestCtx, m route.Match) *request {
	return &request{
		id:     requestID(x, m),
		match:  m,
		entry:  retry.NewEntry(e.o.Clock.Now(), m.Kind),
		policy: e.policy(m.Service, m.Kind),
		ended:  make(chan ended, maxSends),
	}
}

// requestID takes the caller's name for the request, or makes one.
func requestID(x *fasthttp.RequestCtx, m route.Match) string {
	if k := x.Request.Header.Peek(headerIdempotency); len(k) > 0 && len(k) <= 128 {
		return string(m.Service.Name) + "/" + string(k)
	}
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// unary answers a request whose bodies are held whole.
func (e *Entry) unary(x *fasthttp.RequestCtx, r *request) retry.Final {
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
	err := x.Request.BodyWriteTo(&w)
	return w.b, err
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

func (e *Entry) badBody(x *fasthttp.RequestCtx, r *request, err error) retry.Final {
	status, reason := fasthttp.StatusBadRequest, "body-cut"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status, reason = fasthttp.StatusRequestEntityTooLarge, "body-too-large"
	}
	x.SetConnectionClose()
	x.Response.Header.Set(headerRequestID, r.id)
	writeProblem(x, status, problem{Outcome: "not-run", Reason: reason, Message: err.Error()})
	return retry.Final{Outcome: retry.NotRun, Reason: retry.Reason(reason)}
}

// run sends the request as often as the decisions say, and returns the final one with the answer, if any.
func (e *Entry) run(r *request, head *wire.Exchange) (retry.Final, *wire.ExchangeAnswer) {
	defer r.cancelAll()
	held := false
	defer func() {
		if held {
			e.waiting.Add(-1)
		}
	}()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	_, _, room := e.pick(&r.match, &r.tried)
	act := r.policy.next(e, r.entry, retry.Came{Room: room})
	var last *wire.ExchangeAnswer
	for {
		var wake mono.Time
		switch a := act.(type) {
		case retry.Final:
			return a, last
		case retry.Send:
			e.send(r, head)
			wake = a.WakeAt
		case retry.Wait:
			wake = a.Until
			if !held && r.entry.InFlight() == 0 {
				if e.waiting.Add(1) > maxWaiting {
					// Pushed back rather than dropped later: nothing was promised to this caller yet.
					e.waiting.Add(-1)
					return retry.Final{Outcome: retry.NotRun, Reason: "too-many-waiting", RetryAfter: e.o.Clock.Now().Add(time.Second)}, nil
				}
				held = true
			}
		}
		timer.Reset(wake.Sub(e.o.Clock.Now()))
		select {
		case x := <-r.ended:
			if x.answer != nil && x.event.Outcome == retry.Answered {
				last = x.answer
				r.policy.observe(x.took)
			}
			_, x.event.Others, _ = e.pick(&r.match, &r.tried)
			act = r.policy.next(e, r.entry, x.event)
		case <-timer.C:
			_, others, room := e.pick(&r.match, &r.tried)
			act = r.policy.next(e, r.entry, retry.Woke{Room: room, Others: others})
		}
	}
}

// cancelAll gives up what is still in flight; a late answer goes to a channel that nobody reads.
func (r *request) cancelAll() {
	for _, f := range r.cancel {
		f()
	}
}

// send starts one send; its end goes to r.ended.
func (e *Entry) send(r *request, head *wire.Exchange) {
	t, _, ok := e.pick(&r.match, &r.tried)
	if !ok {
		r.ended <- ended{event: retry.Ended{Outcome: retry.NotRun}}
		return
	}
	r.tried.add(t)
	c, cancel := context.WithDeadline(context.Background(), e.o.Clock.Std(r.entry.Deadline()))
	r.cancel = append(r.cancel, cancel)
	x := e.address(r, head, t)
	go func() {
		start := time.Now()
		l := e.loads.of(t.server)
		l.mine.Add(1)
		a, err := e.exchange(c, t, x)
		l.mine.Add(-1)
		l.take(e.o.Clock.Now(), a.GetReport())
		r.ended <- ended{answer: a, event: e.outcome(a, err), took: time.Since(start)}
	}()
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

func (e *Entry) exchange(c context.Context, t target, x *wire.Exchange) (*wire.ExchangeAnswer, error) {
	if t.daemon == e.o.Self {
		return e.o.Homes.Do(c, x), nil
	}
	m, err := e.o.Peers.Call(c, t.daemon, &wire.Call{Body: &wire.Call_Exchange{Exchange: x}})
	return m.GetExchange(), err
}

// outcome turns the end of a send into an event.
//
// A home that can't be reached counts as moved: nothing was sent, and its standby may be home by now.
func (e *Entry) outcome(a *wire.ExchangeAnswer, err error) retry.Ended {
	if err != nil || a == nil {
		if err != nil && !peer.MaybeSent(err) {
			return retry.Ended{Outcome: retry.Moved}
		}
		return retry.Ended{Outcome: retry.Unknown}
	}
	v := retry.Ended{Outcome: retry.Unknown}
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
		v.RetryAfter = e.o.Clock.Now().Add(time.Duration(ms) * time.Millisecond)
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
