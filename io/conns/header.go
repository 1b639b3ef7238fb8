package conns

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/ident"
	"heatherrouter/core/retry"
)

// Headers between a home and its backend server.
const (
	HeaderRequestID   = "Heatherrouter-Request-Id"
	HeaderEpoch       = "Heatherrouter-Epoch"
	HeaderDeadline    = "Heatherrouter-Deadline" // wall clock, Unix milliseconds
	HeaderKey         = "Heatherrouter-Key"
	HeaderShard       = "Heatherrouter-Shard"
	HeaderIncarnation = "Heatherrouter-Incarnation" // in responses
	HeaderNotRun      = "Heatherrouter-Not-Run"     // in responses with status 503: "1" if the request did not run
)

// Names are the response headers that Pool evaluates; it ignores one with an empty name.
type Names struct {
	RequestID string // echoed by the server
	NotRun    string // present if the server did not run the request
}

var defaultNames = Names{RequestID: HeaderRequestID, NotRun: HeaderNotRun}

// NoNames is for servers other than backend servers: their responses carry none of the headers.
var NoNames = Names{NotRun: "-"}

// Meta is the information about a request that a home sends to its backend server.
type Meta struct {
	RequestID ident.Request
	Epoch     ident.Epoch
	Deadline  time.Time
	Key       []byte // nil for an unkeyed service
	Shard     ident.Shard
}

// SetHeaders sets the headers of the home and replaces any that the caller sent: a caller could otherwise raise the
// epoch and fence off the rightful home.
func SetHeaders(req *fasthttp.Request, m Meta) {
	h := &req.Header
	var buf [20]byte
	h.Set(HeaderRequestID, string(m.RequestID))
	h.SetBytesV(HeaderEpoch, strconv.AppendUint(buf[:0], uint64(m.Epoch), 10))
	h.SetBytesV(HeaderDeadline, strconv.AppendInt(buf[:0], m.Deadline.UnixMilli(), 10))
	if m.Key == nil {
		h.Del(HeaderKey)
		h.Del(HeaderShard)
		return
	}
	h.SetBytesV(HeaderKey, m.Key)
	h.SetBytesV(HeaderShard, strconv.AppendUint(buf[:0], uint64(m.Shard), 10))
}

// classify derives the result from a whole response.
func classify(resp *fasthttp.Response, n Names) Result {
	r := Result{Outcome: retry.Answered, End: admit.EndAnswered, Incarnation: incarnation(resp)}
	misdirected := resp.StatusCode() == fasthttp.StatusMisdirectedRequest // not run, by definition of the status
	if misdirected || len(resp.Header.Peek(n.NotRun)) > 0 && resp.StatusCode() >= fasthttp.StatusBadRequest {
		r.Outcome, r.End = retry.NotRun, admit.EndRefused
		return r
	}
	switch resp.StatusCode() {
	case fasthttp.StatusServiceUnavailable:
		r.End = admit.EndOverloaded
	case fasthttp.StatusBadGateway, fasthttp.StatusGatewayTimeout:
		r.End = admit.EndOverloaded
	default:
		if resp.StatusCode() >= fasthttp.StatusInternalServerError {
			r.End = admit.EndFailed
		}
	}
	return r
}

// incarnation reads the incarnation of the server; a value that is not a number is hashed, as only equality matters.
func incarnation(resp *fasthttp.Response) ident.Incarnation {
	v := resp.Header.Peek(HeaderIncarnation)
	if len(v) == 0 {
		return 0
	}
	if n, err := strconv.ParseUint(string(v), 10, 64); err == nil {
		return ident.Incarnation(n)
	}
	return ident.Incarnation(xxhash.Sum64(v))
}
