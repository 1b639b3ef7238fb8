package conns

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// requestHash identifies a request by the hash of its id; 0 if it has none.
type requestHash uint64

// hashID returns the hash of the request's id.
func hashID(req *fasthttp.Request, n Names) requestHash {
	if n.RequestID == "" {
		return 0
	}
	id := req.Header.Peek(n.RequestID)
	if len(id) == 0 {
		return 0
	}
	return max(1, requestHash(xxhash.Sum64(id)))
}

// sentRequest is a request that a connection has carried.
type sentRequest struct {
	hash    requestHash
	expires time.Time // its deadline, after which it isn't sent again
}

// recordSent records a request that the connection carries, and drops those that have expired.
func (c *conn) recordSent(h requestHash, deadline time.Time) {
	if h == 0 {
		return
	}
	now := time.Now()
	c.sent = slices.DeleteFunc(c.sent, func(s sentRequest) bool { return now.After(s.expires) })
	c.sent = append(c.sent, sentRequest{hash: h, expires: deadline})
}

// hasCarried reports whether the connection has carried the request. A late copy of the response to that send would pass for the
// response to another send of the request.
func (c *conn) hasCarried(h requestHash) bool {
	return h != 0 && slices.ContainsFunc(c.sent, func(s sentRequest) bool { return s.hash == h })
}
