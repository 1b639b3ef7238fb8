package send

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/crash"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
)

const (
	// avoidFailed is how long a server that reset or refused connections, or was silent, is left alone.
	avoidFailed = 500 * time.Millisecond

	// avoidFull is the same for one that had no room.
	avoidFull = 100 * time.Millisecond

	// settle is for how long a new connection is looked at before it is used: the way to a server in another failure domain
	// and back takes 3 ms.
	settle = 4 * time.Millisecond

	// suspectRestart is for how long a server that reset connections is sent one request each suspectPace: it may have
	// started again and be cold, and its announcement of that takes up to a heartbeat and the way through the store.
	suspectRestart = 1500 * time.Millisecond
	suspectPace    = 400 * time.Millisecond
)

// attempt sends the request to the server; nil means to look for the next.
func (s *Sender) attempt(r *request, b *back) *final {
	now := s.o.Clock.Now()
	if len(r.tried) > 0 && !s.takeMore(r, now) {
		f := s.refuse(r, b.unpaid(now))
		return &f
	}
	resp := fasthttp.AcquireResponse()
	x, sent := s.exchange(r, b, resp)
	if sent {
		r.tried = append(r.tried, b.server.ID)
	}
	took := s.o.Clock.Now().Sub(now)
	s.observe(r, b, x, resp, took)
	s.guard(r, b, x, resp)
	if x.Outcome == retry.Answered && !s.whole(resp) {
		x.Outcome, x.Err = retry.Unknown, errUnsigned
	}
	if x.Outcome != retry.Answered {
		s.logSend(r, b, x, resp, took)
	}
	switch x.Outcome {
	case retry.Answered:
		return s.answered(r, resp)
	case retry.NotRun:
		fasthttp.ReleaseResponse(resp)
		return s.notRun(r, b, x, sent)
	}
	fasthttp.ReleaseResponse(resp)
	r.maybe = true
	if r.caller.Err() != nil {
		return &final{outcome: left, reason: "caller-left"}
	}
	if !r.route.Idempotent {
		return &final{status: unknownStatus(x), outcome: unknown, reason: x.End.String()}
	}
	if x.End == admit.EndReset && s.suspected(r) {
		f := s.refuse(r, reasonDeadly)
		return &f
	}
	return nil
}

var errUnsigned = errors.New("a success without the server's signature")

// whole reports whether an answer is the server's own: a success has to bear its signature.
func (s *Sender) whole(resp *fasthttp.Response) bool {
	c := resp.StatusCode()
	return c < 200 || c > 299 || len(resp.Header.Peek(s.o.Dialect.Signature)) > 0
}

func unknownStatus(x conns.Result) int {
	if x.End == admit.EndTimeout {
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// answered takes a whole answer: it is final, but that a failure of an idempotent request is worth another server.
func (s *Sender) answered(r *request, resp *fasthttp.Response) *final {
	if r.answer != nil {
		fasthttp.ReleaseResponse(r.answer)
		r.answer = nil
	}
	if resp.StatusCode() >= fasthttp.StatusInternalServerError && r.route.Idempotent && !r.service.Keyed {
		r.maybe, r.answer = true, resp
		return nil
	}
	reason := ""
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		reason = "failed"
	}
	return &final{status: resp.StatusCode(), outcome: answered, reason: reason, answer: resp}
}

// notRun goes on after a send that surely didn't run.
func (s *Sender) notRun(r *request, b *back, x conns.Result, sent bool) *final {
	if !sent && !errors.Is(x.Err, conns.ErrGuard) {
		r.failed = append(r.failed, b.server.ID)
	}
	if !r.service.Keyed {
		return nil
	}
	if sent {
		r.again = s.o.Clock.Now().Add(refusedPause)
	}
	if len(r.tried) >= maxKeyedSends {
		f := s.refuse(r, reasonMoving)
		return &f
	}
	return nil
}

const (
	// maxKeyedSends bounds the sends to holders of a key that don't know of it yet, or not any more.
	maxKeyedSends = 3

	// refusedPause is how long a request waits after the holder of its key refused it: news of the next holder are a few
	// milliseconds behind.
	refusedPause = 30 * time.Millisecond
)

// exchange makes one exchange; sent reports whether any of it may have reached the server.
func (s *Sender) exchange(r *request, b *back, resp *fasthttp.Response) (x conns.Result, sent bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.fill(req, r, b)
	b.mu.Lock()
	b.load.Mine++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.load.Mine--
		b.mu.Unlock()
	}()
	// No suspicion of a connection that is silent while others are answered: the server may be at work on the request, and
	// giving it up would cost its caller the answer when no other send is left.
	x = b.pool.Do(r.ctx, conns.Call{
		Deadline: s.o.Clock.StdTime(r.deadline), ResetWait: settle, Guard: func() bool { return s.maySend(r, b) },
	}, req, resp)
	sent = x.Outcome != retry.NotRun || x.End == admit.EndRefused
	return x, sent
}

// fill makes the request for the server out of the caller's.
func (s *Sender) fill(req *fasthttp.Request, r *request, b *back) {
	r.req.Header.CopyTo(&req.Header)
	req.Header.SetNoDefaultContentType(true)
	req.Header.ResetConnectionClose()
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	req.Header.Del(fasthttp.HeaderExpect)
	if r.authEnabled {
		s.setOrganisation(req, r)
	}
	left := r.deadline.Sub(s.o.Clock.Now())
	req.Header.Set(s.o.Dialect.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set(s.o.Dialect.Expect, string(b.server.ID))
	req.SetBodyRaw(r.req.Body())
}

// maySend is asked right before the first byte: the request may have waited for a connection, and the process may have
// stood still, while the server was drained, its domain evacuated or the key given to another.
func (s *Sender) maySend(r *request, b *back) bool {
	now := s.o.Clock.Now()
	snap := s.o.View.Snapshot()
	x := snap.Servers[b.server.ID]
	if !now.Before(r.deadline) || !snap.Takes(b.server) || x == nil {
		return false
	}
	route := snap.Config.Route(r.host, r.path)
	if route == nil || !route.Sends(r.service.Name) || !r.stillAuthorised(route, snap.Config) {
		return false
	}
	if r.crashes = s.crashes(r); r.crashes >= crash.RefusalThreshold {
		return false
	}
	if r.service.Keyed {
		if s.o.View.Holds().Find(r.service.Name, r.key).Server != b.server.ID {
			return false
		}
	}
	names := s.daemonNames(snap)
	b.mu.Lock()
	defer b.mu.Unlock()
	w, n, span := s.limit(b, x, r.service, names, now)
	return w == nil || w.Take(now, n, span)
}

// observe takes in what an exchange tells of the server.
func (s *Sender) observe(r *request, b *back, x conns.Result, resp *fasthttp.Response, took time.Duration) {
	now := s.o.Clock.Now()
	if x.Outcome == retry.Answered {
		s.observeSize(r.route.Name, len(r.req.Body())+len(resp.Body()))
	}
	if d := b.observe(now, x, resp, took, s.o.Dialect); d > 0 {
		s.observeUnit(b.server.Service, d)
	}
}

// observe returns how long the request would have taken at a usual server, if it was undisturbed.
func (b *back) observe(now mono.Time, x conns.Result, resp *fasthttp.Response, took time.Duration, d Dialect) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var unit time.Duration
	if x.Outcome == retry.Answered || x.End == admit.EndRefused {
		if rep, ok := d.ParseLoad(resp.Header.Peek(d.Load)); ok {
			b.report(now, rep)
			if x.End == admit.EndAnswered && rep.Waiting == 0 && b.load.Undisturbed() {
				unit = time.Duration(float64(took) / max(minPace, b.load.Own))
				b.sample(unit)
			}
		}
	}
	switch x.End {
	case admit.EndAnswered:
		b.load.Answered()
	case admit.EndRefused, admit.EndOverloaded:
		b.refused(now, resp)
	case admit.EndReset, admit.EndNoDial:
		if x.ConnLimitReached {
			b.load.Failed(now, avoidFull)
			break
		}
		b.load.Failed(now, avoidFailed)
		b.suspect = now.Add(suspectRestart)
	case admit.EndTimeout, admit.EndSilent:
		b.load.Failed(now, avoidFailed)
	case admit.EndFailed:
		b.load.Failed(now, avoidFull)
	}
	return unit
}

// refused takes in that the server answered without running the request. The holder of a key is left alone only where it
// has no room, and never for longer after one refusal than after another: no other server can take the request, and one
// that turns away half of its requests serves the other half.
func (b *back) refused(now mono.Time, resp *fasthttp.Response) {
	switch {
	case resp.StatusCode() == fasthttp.StatusMisdirectedRequest: // which is about the key, not the server
	case !b.keyed:
		b.load.Failed(now, avoidFull)
	case b.load.Full(now):
		b.load.AvoidUntil = max(b.load.AvoidUntil, now.Add(avoidFull))
	}
}

// minPace bounds a server's report of its pace, by which times are divided.
const minPace = 0.1

// logSend tells of a send that got no answer.
func (s *Sender) logSend(r *request, b *back, x conns.Result, resp *fasthttp.Response, took time.Duration) {
	e := s.o.Log.Info().Err(x.Err).Str("request-id", string(r.id)).Str("server", string(b.server.ID)).
		Str("end", x.End.String()).Dur("took", took).Int("sends", len(r.tried))
	if x.End == admit.EndRefused {
		e.Int("status", resp.StatusCode())
	}
	e.Msg("sent without an answer")
}
