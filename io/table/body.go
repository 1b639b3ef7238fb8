package table

import (
	"bytes"
	"io"
	"net/http"
)

// bufferedBody is a round tripper that sends each request body from its own in-memory copy.
//
// The SDK may close a body while the transport is still writing it. The write then fails and the transport drops a
// healthy connection: about one in twenty requests opened a new one. The SDK can't close the copy.
type bufferedBody struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (w bufferedBody) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil {
		return w.next.RoundTrip(r)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	c := r.Clone(r.Context())
	c.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b)), nil }
	c.Body, _ = c.GetBody()
	return w.next.RoundTrip(c)
}

// CloseIdleConnections forwards http.Client.CloseIdleConnections to the wrapped round tripper.
func (w bufferedBody) CloseIdleConnections() {
	if c, ok := w.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
