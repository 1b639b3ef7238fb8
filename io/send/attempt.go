package send

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/crash"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
	"heatherrouter/io/memory"
)

const (
	// avoidAfterFailure is how long a server is avoided after it reset or refused a connection or did not respond.
	avoidAfterFailure = 500 * time.Millisecond

	// avoidWhenFull is how long a server without free capacity is avoided.
	avoidWhenFull = 100 * time.Millisecond

	// settleTime is how long a new connection is watched for a reset before it is used: a round trip to a server in another
	// failure domain takes 3 ms.
	settleTime = 4 * time.Millisecond

	// restartSuspicionTime is how long a server that reset a connection is sent at most one request per
	// restartProbeInterval. It may have restarted and be cold, and its announcement takes up to a heartbeat and the delay of
	// the store.
	restartSuspicionTime = 1500 * time.Millisecond
	restartProbeInterval = 400 * time.Millisecond
)

// attempt sends the request to the server. It returns nil if another server should be chosen.
func (s *Sender) attempt(r *request, b *backend) *result {
	now := s.o.Clock.Now()
	s.countForBudget(r)
	if len(r.sentTo) > 0 && !s.takeRetry(r, b, now) {
		f := s.refuse(r, b.noRetryReason(now))
		return &f
	}
	resp := fasthttp.AcquireResponse()
	x, sent := s.exchange(r, b, resp)
	if sent {
		r.sentTo = append(r.sentTo, b.server.ID)
		s.o.Reports.Sent(b.server)
		r.serverToken = nil // spent
	}
	took := s.o.Clock.Now().Sub(now)
	s.observe(r, b, x, resp, took)
	misdirected := s.observeMisdirected(r, b, x, resp)
	s.settleRetry(r, b, sent, misdirected)
	s.reportToGuard(r, b, x, resp)
	if x.Outcome == retry.Answered && !s.isFromServer(resp) {
		x.Outcome, x.Err = retry.Unknown, errUnsigned
	}
	if sent {
		r.retryCause = retryCause(x, resp)
	}
	if x.Outcome != retry.Answered {
		s.logFailedSend(r, b, x, resp, took)
	}
	switch x.Outcome {
	case retry.Answered:
		return s.handleResponse(r, resp, x.Reserved)
	case retry.NotRun:
		s.releaseResponse(r, resp, x.Reserved)
		return s.handleNotRun(r, b, x, sent)
	}
	s.releaseResponse(r, resp, x.Reserved)
	r.mayHaveRun = true
	if r.caller.Err() != nil {
		return &result{outcome: outcomeCallerLeft, reason: "caller-left"}
	}
	if errors.Is(x.Err, memory.ErrNoMemory) {
		return &result{status: fasthttp.StatusBadGateway, outcome: outcomeUnknown, reason: ReasonNoMemory}
	}
	if !r.route.Idempotent {
		return &result{status: unknownStatus(x), outcome: outcomeUnknown, reason: x.End.String()}
	}
	if x.End == admit.EndReset && s.suspectedOfCrash(r) {
		f := s.refuse(r, reasonCrashing)
		return &f
	}
	return nil
}

var errUnsigned = errors.New("success response without the server's signature header")

// isFromServer reports whether the backend server itself produced the response: a success must carry its signature header.
func (s *Sender) isFromServer(resp *fasthttp.Response) bool {
	c := resp.StatusCode()
	return c < 200 || c > 299 || len(resp.Header.Peek(s.o.Dialect.Signature)) > 0
}

func unknownStatus(x conns.Result) int {
	if x.End == admit.EndTimeout {
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// handleResponse returns the server's response as the result, or nil if another server should be tried: the status is 5xx, the
// request idempotent and its service not keyed. The request's memory holds the given bytes for the response.
func (s *Sender) handleResponse(r *request, resp *fasthttp.Response, reserved int) *result {
	s.dropResponse(r)
	if resp.StatusCode() >= fasthttp.StatusInternalServerError && r.route.Idempotent && !r.service.Keyed {
		r.mayHaveRun, r.response, r.reserved = true, resp, reserved
		return nil
	}
	reason := ""
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		reason = "failed"
	}
	return &result{status: resp.StatusCode(), outcome: outcomeAnswered, reason: reason, response: resp}
}

// dropResponse releases the response of an earlier attempt.
func (s *Sender) dropResponse(r *request) {
	if r.response != nil {
		s.releaseResponse(r, r.response, r.reserved)
		r.response, r.reserved = nil, 0
	}
}

// releaseResponse releases a response for which the request's memory holds the given bytes.
func (s *Sender) releaseResponse(r *request, resp *fasthttp.Response, reserved int) {
	fasthttp.ReleaseResponse(resp)
	r.memory.Release(reserved)
}

// handleNotRun updates the request after an attempt that is guaranteed not to have run. It returns nil if another attempt
// is allowed.
func (s *Sender) handleNotRun(r *request, b *backend, x conns.Result, sent bool) *result {
	if !sent && !errors.Is(x.Err, conns.ErrGuard) {
		r.unreachable = append(r.unreachable, b.server.ID)
	}
	if !r.service.Keyed {
		return nil
	}
	if sent {
		r.notBefore = s.o.Clock.Now().Add(ownerRefusalPause)
	}
	if len(r.sentTo) >= maxKeyedSends {
		f := s.refuse(r, reasonMoving)
		return &f
	}
	return nil
}

const (
	// maxKeyedSends bounds the attempts for a key whose servers don't know yet that they own it, or no longer own it.
	maxKeyedSends = 3

	// ownerRefusalPause is how long a request waits after the owner of its key refused it: the update that names the next
	// owner arrives a few milliseconds later.
	ownerRefusalPause = 30 * time.Millisecond
)

// exchange sends the request to the server and reads its response. sent reports whether any of the request may have reached
// the server.
func (s *Sender) exchange(r *request, b *backend, resp *fasthttp.Response) (x conns.Result, sent bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	s.buildRequest(req, r, b)
	b.mu.Lock()
	b.requestSent(s.o.Clock.Now())
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.load.OwnInFlight--
		b.mu.Unlock()
	}()
	// A connection without data is not suspected while others receive responses: the server may still be running the
	// request, and aborting it would lose the caller's response when no further attempt is left.
	c, end := b.exchangeContext(r)
	defer end()
	x = b.pool.Do(c, conns.Call{
		Deadline: s.o.Clock.StdTime(r.deadline), ResetWait: settleTime, ReuseOnly: s.reusesOnly(b), Guard: func() bool { return s.maySend(r, b) },
		Memory: r.memory,
	}, req, resp)
	sent = x.Outcome != retry.NotRun || x.End == admit.EndRefused
	return x, sent
}

// buildRequest fills req with the caller's request as the server is to receive it.
func (s *Sender) buildRequest(req *fasthttp.Request, r *request, b *backend) {
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
	remaining := s.serverDeadline(r).Sub(s.o.Clock.Now())
	req.Header.Set(s.o.Dialect.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	req.Header.Set(s.o.Dialect.ExpectedServer, string(b.server.ID))
	req.SetBodyRaw(r.req.Body())
}

// maySend reports whether the request may still be sent, and is called right before its first byte. While the request waited
// for a connection or the process was paused, the server may have been drained, its domain evacuated or the key reassigned.
func (s *Sender) maySend(r *request, b *backend) bool {
	now := s.o.Clock.Now()
	snap := s.o.View.Snapshot()
	x := snap.Servers[b.server.ID]
	if !now.Before(r.deadline) || !s.endsInTime(r, now) || !snap.Accepts(b.server) || x == nil {
		return false
	}
	route := snap.Config.Route(r.host, r.path)
	if route == nil || !route.RoutesTo(r.service.Name) || !r.stillAuthorised(route, snap.Config) {
		return false
	}
	if route.Unsupported != "" || snap.Config.Services[r.service.Name].Unsupported != "" || r.mayHaveRun && !route.Idempotent {
		return false // the configuration has changed since the request was prepared
	}
	if r.serverToken != b.server && s.o.Reports.Limit(b.server) > 0 {
		return false // named since the request was prepared
	}
	if r.knownCrashes = s.crashes(r); r.knownCrashes >= crash.RefusalThreshold {
		return false
	}
	if r.service.Keyed {
		if s.o.View.Holds().Find(r.service.Name, r.key).Server != b.server.ID {
			return false
		}
	}
	if !s.takeWindow(r, b, x, snap, now) {
		return false
	}
	return s.inSendPeriod(r) && s.o.Reports.TakeAccess(b.server)
}

// observe updates the statistics of the server, route and service after an exchange.
func (s *Sender) observe(r *request, b *backend, x conns.Result, resp *fasthttp.Response, took time.Duration) {
	now := s.o.Clock.Now()
	if x.Outcome == retry.Answered {
		s.observeSize(r.route.Name, len(r.req.Body())+len(resp.Body()))
	}
	if x.Outcome == retry.Answered || x.End == admit.EndTimeout {
		s.observeTime(r, took)
	}
	s.observePath(b, x, now.Add(-took), took)
	var y report.Report
	if x.Outcome == retry.Answered || x.End == admit.EndRefused {
		y = s.observeReport(b, now.Add(-took), resp)
	}
	s.countExchange(b, x, y, now)
	if d := b.observe(now, x, resp, took, y); d > 0 {
		s.observeServiceTime(b.server.Service, d)
	}
}

// observeReport records what the server says of itself in a response to a request sent at the given time or later.
func (s *Sender) observeReport(b *backend, sentAt mono.Time, resp *fasthttp.Response) report.Report {
	r, findings := s.o.Dialect.ReadReport(resp)
	s.o.Reports.Observe(b.server, sentAt, r)
	if len(findings) > 0 && b.logsFindings(s.o.Clock.Now()) {
		s.o.Log.Warn().Err(findings).Str("server", string(b.server.ID)).Msg("server says what can't be taken as it is")
	}
	return r
}

// observe updates the server's state after an exchange. It returns the service time of the request at a server with
// slowdown 1, or 0 if the request had to wait or the server was slowed by interference.
func (b *backend) observe(now mono.Time, x conns.Result, resp *fasthttp.Response, took time.Duration, y report.Report) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var serviceTime time.Duration
	if x.Outcome == retry.Answered || x.End == admit.EndRefused {
		b.waitingSince = now
		if y.HasLoad {
			b.observeLoad(now, y.Load)
			if x.End == admit.EndAnswered && y.Load.Waiting == 0 && b.load.AtBaseline() {
				serviceTime = time.Duration(float64(took) / max(minSlowdown, b.load.BaseSlowdown))
				b.addSample(serviceTime)
			}
		}
	}
	switch x.End {
	case admit.EndAnswered:
		b.load.RecordSuccess()
	case admit.EndRefused, admit.EndOverloaded:
		b.observeRefusal(now, resp)
	case admit.EndReset, admit.EndDialFailed:
		if x.ConnLimitReached {
			b.load.RecordFailure(now, avoidWhenFull)
			break
		}
		if x.End == admit.EndDialFailed && x.OthersOpen {
			break // it has not restarted, and requests on open connections are answered
		}
		if x.End == admit.EndReset && x.OthersOpen && (b.load.Full(now) || b.isFull(b.lastLoad)) {
			b.avoidFull(now) // servers of some services reset connections when they are full
			break
		}
		b.load.RecordFailure(now, avoidAfterFailure)
		b.restartSuspectedUntil = now.Add(restartSuspicionTime)
	case admit.EndTimeout, admit.EndUnresponsive, admit.EndEndless:
		b.load.RecordFailure(now, avoidAfterFailure)
	case admit.EndFailed:
		b.load.RecordFailure(now, avoidWhenFull)
	}
	return serviceTime
}

// observeRefusal updates the server's state after a response that says that the request did not run. The owner of a key is
// avoided only while it has no capacity, and for the same time after each refusal: no other server can take the request,
// and an owner that refuses half of its requests still serves the other half.
func (b *backend) observeRefusal(now mono.Time, resp *fasthttp.Response) {
	switch {
	case resp.StatusCode() == fasthttp.StatusMisdirectedRequest: // concerns the key, not the server
	case !b.keyed || b.load.Full(now):
		b.avoidFull(now)
	}
}

// avoidFull avoids a server without free capacity, for longer after each failure unless it owns keys. The caller holds b.mu.
func (b *backend) avoidFull(now mono.Time) {
	if b.keyed {
		b.load.AvoidUntil = max(b.load.AvoidUntil, now.Add(avoidWhenFull))
		return
	}
	b.load.RecordFailure(now, avoidWhenFull)
}

// minSlowdown is the lower bound for a reported slowdown, by which times are divided.
const minSlowdown = 0.1

// logFailedSend logs an attempt that ended without a usable response.
func (s *Sender) logFailedSend(r *request, b *backend, x conns.Result, resp *fasthttp.Response, took time.Duration) {
	e := s.o.Log.Info().Err(x.Err).Str("request-id", string(r.id)).Str("server", string(b.server.ID)).
		Str("end", x.End.String()).Dur("took", took).Int("sends", len(r.sentTo))
	if x.End == admit.EndRefused {
		e.Int("status", resp.StatusCode())
	}
	e.Msg("sent without an answer")
}
