package entry

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/core/route"
	"heatherrouter/io/wire"
)

// Headers of final answers that no backend server gave.
const (
	headerOutcome   = "Heatherrouter-Outcome" // answered, not-run or unknown
	headerReason    = "Heatherrouter-Reason"
	headerRequestID = "Heatherrouter-Request-Id"
)

// problem is the body of an answer that no backend server gave.
type problem struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

func writeProblem(x *fasthttp.RequestCtx, status int, p problem) {
	x.Response.ResetBody()
	x.SetStatusCode(status)
	x.Response.Header.Set(headerOutcome, p.Outcome)
	x.Response.Header.Set(headerReason, p.Reason)
	x.SetContentType("application/json")
	b, _ := json.Marshal(p) // strings always marshal
	x.SetBody(append(b, '\n'))
}

// refuseMatch answers a request that fits no service, path, method or key; it was not run.
func (e *Entry) refuseMatch(x *fasthttp.RequestCtx, err error) {
	var r route.Error
	if !errors.As(err, &r) {
		writeProblem(x, fasthttp.StatusInternalServerError, problem{Outcome: "not-run", Reason: "internal", Message: err.Error()})
		return
	}
	status := fasthttp.StatusNotFound
	switch y := r.(type) {
	case *route.WrongMethodError:
		status = fasthttp.StatusMethodNotAllowed
		x.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(y.Allowed, ", "))
	case *route.NoKeyError:
		status = fasthttp.StatusBadRequest
	case *route.UnknownServiceError:
		// A service that was published a moment ago may not have reached this daemon.
		x.Response.Header.Set(fasthttp.HeaderRetryAfter, "5")
	}
	e.o.Counter.RecordAnswer("", "", "not-run", r.Reason(), 0)
	writeProblem(x, status, problem{Outcome: "not-run", Reason: r.Reason(), Message: err.Error()})
}

// malformed answers bytes that are no request.
func (e *Entry) malformed(x *fasthttp.RequestCtx, err error) {
	status, reason := fasthttp.StatusBadRequest, "malformed-request"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, "header-too-large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, "body-too-large"
	case errors.Is(err, io.ErrUnexpectedEOF):
		reason = "body-cut"
	}
	e.o.Counter.RecordAnswer("", "", "not-run", reason, 0)
	x.SetConnectionClose()
	writeProblem(x, status, problem{Outcome: "not-run", Reason: reason, Message: err.Error()})
}

// writeFinal answers a request that no backend server answered whole, at once and with when to come back.
func (e *Entry) writeFinal(x *fasthttp.RequestCtx, r *request, f retry.Finish) {
	x.Response.Header.Set(headerRequestID, r.id)
	if f.Outcome == retry.Unknown {
		writeProblem(x, fasthttp.StatusGatewayTimeout, problem{
			Outcome: "unknown", Reason: string(f.Reason),
			Message: "the request was sent to a backend server, which did not answer whole; it may have run",
		})
		return
	}
	x.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(e.o.Clock.Now(), f.RetryAfter))
	writeProblem(x, fasthttp.StatusServiceUnavailable, problem{
		Outcome: "not-run", Reason: string(f.Reason), Message: "the request was not run; it may be sent again",
	})
}

// retryAfter formats the time to come back in whole seconds, as the header wants it, never before the time itself.
func retryAfter(now, at mono.Time) string {
	s := int64((at.Sub(now) + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(1, s), 10)
}

// writeHead writes the status and headers that the backend server gave.
func writeHead(x *fasthttp.RequestCtx, a *wire.ExchangeAnswer, id string) {
	x.SetStatusCode(int(a.GetStatus()))
	for _, h := range a.GetHeaders() {
		x.Response.Header.AddBytesKV(h.GetName(), h.GetValue())
	}
	x.Response.Header.Set(headerRequestID, id)
	x.Response.Header.Set(headerOutcome, "answered")
}
