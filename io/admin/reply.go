package admin

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/check"
)

// reply sends the answer, or the failure that the error stands for.
func (p *Page) reply(c *fasthttp.RequestCtx, v any, err error) {
	if err == nil {
		answer(c, v)
		return
	}
	status, f := classify(err)
	if status == fasthttp.StatusInternalServerError {
		p.log.Error().Str("path", string(c.Path())).Str("error", trace.DebugReport(err)).Msg("admin call failed")
	}
	if e, ok := errors.AsType[*UnavailableError](err); ok {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(e.RetryAfter))
	}
	fail(c, status, f)
}

// classify returns the status and body of a failure.
func classify(err error) (int, Failure) {
	if e, ok := errors.AsType[check.Findings](err); ok {
		return fasthttp.StatusUnprocessableEntity, Failure{
			Reason: ReasonFindings, Message: "nothing was changed because of findings", Findings: FromFindings(e),
		}
	}
	if e, ok := errors.AsType[*ConflictError](err); ok {
		return fasthttp.StatusConflict, Failure{
			Reason: ReasonConflict, Message: e.Error(), Conflict: e,
		}
	}
	if e, ok := errors.AsType[*UnavailableError](err); ok {
		return fasthttp.StatusServiceUnavailable, Failure{Reason: ReasonUnavailable, Message: e.Error()}
	}
	if e, ok := errors.AsType[*UnknownError](err); ok {
		return fasthttp.StatusGatewayTimeout, Failure{Reason: ReasonUnknown, Message: e.Error()}
	}
	if e, ok := errors.AsType[*NotFoundError](err); ok {
		return fasthttp.StatusNotFound, Failure{Reason: ReasonNotFound, Message: e.Error()}
	}
	if trace.IsBadParameter(err) {
		return fasthttp.StatusBadRequest, Failure{Reason: ReasonBadRequest, Message: trace.UserMessage(err)}
	}
	return fasthttp.StatusInternalServerError, Failure{Reason: ReasonInternal, Message: trace.UserMessage(err)}
}

// retryAfter formats a wait in whole seconds, at least one.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

func badRequest(c *fasthttp.RequestCtx, message string) {
	fail(c, fasthttp.StatusBadRequest, Failure{Reason: ReasonBadRequest, Message: message})
}

func answer(c *fasthttp.RequestCtx, v any) {
	send(c, fasthttp.StatusOK, v)
}

func fail(c *fasthttp.RequestCtx, status int, f Failure) {
	send(c, status, f)
}

func send(c *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		b, _ = json.Marshal(Failure{Reason: ReasonInternal, Message: "the answer is no JSON: " + err.Error()})
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(append(b, '\n'))
}
