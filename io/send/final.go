package send

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
)

// final is how a request ends.
type final struct {
	status     int
	outcome    outcome
	reason     string
	retryAfter time.Duration
	answer     *fasthttp.Response // of the server, or nil
}

// outcome is what is certain about a request; kebab case, for metrics and logs.
type outcome string

const (
	answered outcome = "answered"
	notRun   outcome = "not-run"
	unknown  outcome = "unknown"
	left     outcome = "caller-left"
)

const (
	// retryStarting is for callers of a daemon that has just started; it knows its site in well under a second.
	retryStarting = 200 * time.Millisecond

	// retryNoServer is for callers of a service without any server to send to.
	retryNoServer = 300 * time.Millisecond

	// retryLost is for callers whose keys wait for the grants of a lost server to lapse, which takes up to 4 s from its loss.
	retryLost = time.Second

	// retryFull is for callers whose request found no room: queues of servers are shorter than this.
	retryFull = 150 * time.Millisecond

	// retryFailing is for callers whose request met a server that turns away some of its requests whatever its load: later
	// it would do no better, and the sooner it comes back the more time is left.
	retryFailing = 30 * time.Millisecond
)

// expired ends a request whose time is over.
func (s *Sender) expired(r *request) final {
	if r.answer != nil {
		return final{status: r.answer.StatusCode(), outcome: answered, reason: "failed", answer: r.answer}
	}
	if r.maybe {
		return final{status: fasthttp.StatusGatewayTimeout, outcome: unknown, reason: "timeout"}
	}
	return final{status: fasthttp.StatusServiceUnavailable, outcome: notRun, reason: "timeout", retryAfter: retryFull}
}

// refuse ends a request that can't be served now.
func (s *Sender) refuse(r *request, why reason) final {
	if r.answer != nil {
		return final{status: r.answer.StatusCode(), outcome: answered, reason: "failed", answer: r.answer}
	}
	if r.maybe {
		return final{status: fasthttp.StatusBadGateway, outcome: unknown, reason: string(why)}
	}
	after := retryNoServer
	switch why {
	case reasonFull, reasonCold, reasonBusy:
		after = retryFull
	case reasonLost:
		after = retryLost
	case reasonBudget:
		after = retryFailing
	case reasonDeadly:
		after = retryDeadly
	}
	return final{status: fasthttp.StatusServiceUnavailable, outcome: notRun, reason: string(why), retryAfter: after}
}

// respond writes the final answer.
func (s *Sender) respond(r *request, f final, resp *fasthttp.Response) {
	resp.Header.SetNoDefaultContentType(true)
	if f.answer != nil {
		copyAnswer(f.answer, resp)
		fasthttp.ReleaseResponse(f.answer)
		return
	}
	if f.status == 0 {
		resp.SetStatusCode(fasthttp.StatusBadGateway) // nobody reads it
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

// copyAnswer moves a server's answer over, without the headers that concern its connection.
func copyAnswer(from, to *fasthttp.Response) {
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

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderTE, "Proxy-Connection",
}

// account counts and logs how the request ended.
func (s *Sender) account(r *request, f final) {
	took := s.o.Clock.Now().Sub(r.arrived)
	service, route := "", ""
	if r.route != nil {
		route = r.route.Name
	}
	if r.service != nil {
		service = string(r.service.Name)
	}
	s.o.Counter.RecordAnswer(ident.Service(service), route, string(f.outcome), f.reason, took)
	if f.outcome == answered && f.reason == "" {
		return
	}
	e := s.o.Log.Info().Str("request-id", string(r.id)).Str("route", route).Str("service", service).
		Int("status", f.status).Str("outcome", string(f.outcome)).Str("reason", f.reason).Dur("took", took).
		Int("sends", len(r.tried))
	if r.hasKey {
		e.Uint16("key", uint16(r.key))
	}
	if f.status == fasthttp.StatusUnauthorized || f.status == fasthttp.StatusTooManyRequests {
		s.logCaller(r, e)
	}
	if r.named {
		e.Str("fingerprint", r.name.String())
	}
	if n := len(r.tried); n > 0 {
		e.Str("last-server", string(r.tried[n-1]))
	}
	e.Msg("request ended")
}
