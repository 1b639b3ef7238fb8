package table

import (
	"bytes"
	"io"
	"net/http"
)

// wholeBody sends request bodies from a copy of its own.
//
// The SDK closes its body while the transport's writing goroutine may still be at it. The write then ends with an
// error, and a sound connection is given up: about one in twenty requests opened a new one. A copy that nobody else
// closes can't be ended under way.
type wholeBody struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (w wholeBody) RoundTrip(r *http.Request) (*http.Response, error) {
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

// CloseIdleConnections lets http.Client.CloseIdleConnections through.
func (w wholeBody) CloseIdleConnections() {
	if c, ok := w.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
