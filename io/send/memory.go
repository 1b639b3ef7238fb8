package send

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/buffer"
	"heatherrouter/io/memory"
)

// retryNoMemory is the least time after which callers return that were refused for lack of memory, by class of priority. It is spread over
// twice that time: buffers are held for about the time of a request.
var retryNoMemory = [buffer.Classes]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// NoMemoryRetryAfter returns when a caller whose request of the given priority was refused for lack of memory is told to return.
func NoMemoryRetryAfter(priority int) time.Duration {
	d := retryNoMemory[buffer.Class(priority)]
	return d + rand.N(d)
}

// Priority returns the priority of a request by its route; requests without a route have the lowest.
func (s *Sender) Priority(h *fasthttp.RequestHeader) int {
	if c := s.o.View.Snapshot().Config; c != nil {
		if r := c.Route(string(h.Host()), pathOf(h.RequestURI())); r != nil {
			return r.Priority
		}
	}
	return buffer.Lowest
}

// RefuseNoMemory writes the response to a request whose body was not read for lack of memory.
func (s *Sender) RefuseNoMemory(c context.Context, req *fasthttp.Request, resp *fasthttp.Response, m *memory.Reservation) {
	r := s.newRequest(c, req)
	if x := s.o.View.Snapshot().Config; x != nil {
		r.route = x.Route(r.host, r.path)
	}
	f := result{
		status: fasthttp.StatusServiceUnavailable, outcome: outcomeNotRun, reason: ReasonNoMemory, retryAfter: NoMemoryRetryAfter(m.Priority),
	}
	s.respond(r, f, resp)
	s.recordOutcome(r, f)
}
