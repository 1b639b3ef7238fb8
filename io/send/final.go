package send

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
)

// result is the final result of a request.
type result struct {
	status     int
	outcome    outcome
	reason     string
	retryAfter time.Duration
	response   *fasthttp.Response // the server's response; nil if the daemon produces its own
}

// outcome says what is certain about the run of a request, in kebab case for metrics and logs.
type outcome string

const (
	outcomeAnswered   outcome = "answered"
	outcomeNotRun     outcome = "not-run"
	outcomeUnknown    outcome = "unknown"
	outcomeCallerLeft outcome = "caller-left"
)

const (
	// retryStarting is sent to callers of a daemon that has just started: it loads its configuration in well under a second.
	retryStarting = 200 * time.Millisecond

	// retryNoServer is sent to callers of a service that has no server available.
	retryNoServer = 300 * time.Millisecond

	// retryLost is sent to callers whose keys have no owner until the grants of a lost server expire, up to 4 s after its loss.
	retryLost = time.Second

	// retryUnsupported is sent to callers of a route or service that this build can't serve until the configuration changes.
	retryUnsupported = time.Second

	// retryFull is sent to callers whose request found no free capacity: servers' queues take less time than this.
	retryFull = 150 * time.Millisecond

	// retryRefusing is sent to callers whose server refuses some requests regardless of its load: a later retry is no more
	// likely to succeed, and an early one leaves more of the caller's time.
	retryRefusing = 30 * time.Millisecond

	// backoffSpread is the time after the end of a backoff over which refused callers are told to return.
	backoffSpread = 500 * time.Millisecond
)

// refuseExpired returns the result of a request whose deadline has passed.
func (s *Sender) refuseExpired(r *request) result {
	if r.response != nil {
		return result{status: r.response.StatusCode(), outcome: outcomeAnswered, reason: "failed", response: r.response}
	}
	if r.mayHaveRun {
		return result{status: fasthttp.StatusGatewayTimeout, outcome: outcomeUnknown, reason: "timeout"}
	}
	return result{status: fasthttp.StatusServiceUnavailable, outcome: outcomeNotRun, reason: "timeout", retryAfter: retryFull}
}

// refuse returns the result of a request that no further attempt is made for.
func (s *Sender) refuse(r *request, why reason) result {
	if r.response != nil {
		return result{status: r.response.StatusCode(), outcome: outcomeAnswered, reason: "failed", response: r.response}
	}
	if r.mayHaveRun {
		return result{status: fasthttp.StatusBadGateway, outcome: outcomeUnknown, reason: string(why)}
	}
	after := retryNoServer
	switch why {
	case reasonFull, reasonBusy:
		after = s.returnAfter(r)
	case reasonCold, reasonLimited:
		after = retryFull
	case reasonLost:
		after = retryLost
	case reasonStopping:
		after = retryStopping
	case reasonBudget:
		after = retryRefusing
	case reasonCrashing:
		after = retryCrashing
	case reasonUnsupportedService, reasonUnsupportedRoute:
		after = retryUnsupported
	case reasonBackoff:
		after = max(retryFull, r.backoffUntil.Sub(s.o.Clock.Now())) + rand.N(backoffSpread)
	}
	return result{status: fasthttp.StatusServiceUnavailable, outcome: outcomeNotRun, reason: string(why), retryAfter: after}
}

// respond writes the final response.
func (s *Sender) respond(r *request, f result, resp *fasthttp.Response) {
	resp.Header.SetNoDefaultContentType(true)
	if f.response != nil {
		copyResponse(f.response, resp)
		fasthttp.ReleaseResponse(f.response)
		return
	}
	if f.status == 0 {
		resp.SetStatusCode(fasthttp.StatusBadGateway) // not read: the caller has disconnected
		return
	}
	resp.SetStatusCode(f.status)
	resp.Header.Set(s.o.Dialect.RequestID, string(r.id))
	if f.retryAfter > 0 && (f.status == fasthttp.StatusServiceUnavailable || f.status == fasthttp.StatusTooManyRequests) {
		resp.Header.Set(s.o.Dialect.RetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	if f.status == fasthttp.StatusUnauthorized {
		resp.Header.Set(fasthttp.HeaderWWWAuthenticate, bearerScheme)
	}
	resp.Header.SetContentType("text/plain; charset=utf-8")
	resp.SetBodyString(f.reason + "\n")
}

// copyResponse moves a server's response into the caller's, without the hop-by-hop headers.
func copyResponse(from, to *fasthttp.Response) {
	from.Header.CopyTo(&to.Header)
	to.Header.SetNoDefaultContentType(true)
	to.Header.ResetConnectionClose()
	for _, h := range hopHeaders {
		to.Header.Del(h)
	}
	to.SkipBody = from.SkipBody
	body := from.SwapBody(nil)
	to.SwapBody(body)
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderTE, "Proxy-Connection",
}

// recordOutcome counts the request's result and logs it unless the request succeeded.
func (s *Sender) recordOutcome(r *request, f result) {
	took := s.o.Clock.Now().Sub(r.arrived)
	service, route := "", ""
	if r.route != nil {
		route = r.route.Name
	}
	if r.service != nil {
		service = string(r.service.Name)
	}
	s.o.Counter.RecordAnswer(ident.Service(service), route, string(f.outcome), f.reason, took)
	s.recordShortage(r, f)
	if f.outcome == outcomeAnswered && f.reason == "" {
		return
	}
	e := s.o.Log.Info().Str("request-id", string(r.id)).Str("route", route).Str("service", service).
		Int("status", f.status).Str("outcome", string(f.outcome)).Str("reason", f.reason).Dur("took", took).
		Int("sends", len(r.sentTo))
	if r.relayed {
		e.Bool("relayed", true)
	}
	if len(r.relayedTo) > 0 {
		peers := make([]string, 0, len(r.relayedTo))
		for _, d := range r.relayedTo {
			peers = append(peers, string(d))
		}
		e.Strs("relayed-to", peers)
	}
	if r.hasKey {
		e.Uint16("key", uint16(r.key))
	}
	if f.status == fasthttp.StatusUnauthorized || f.status == fasthttp.StatusTooManyRequests {
		s.logCaller(r, e)
	}
	if isShortage(f.reason) {
		r.logPriority(e)
	}
	if r.hasFingerprint {
		e.Str("fingerprint", r.cachedFingerprint.String())
	}
	if n := len(r.sentTo); n > 0 {
		e.Str("last-server", string(r.sentTo[n-1]))
	}
	e.Msg("request ended")
}
