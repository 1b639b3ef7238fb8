package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

// Call speaks to a control page of a stand-in in another process: it sends in as JSON, by POST, or nothing, by GET,
// when in is nil, and reads the answer into out unless that is nil.
func Call(ctx context.Context, url string, in, out any) error {
	method, body := http.MethodGet, []byte(nil)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		method, body = http.MethodPost, b
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "control page %s", url)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "control page %s", url)
	}
	if a.StatusCode >= http.StatusBadRequest {
		return trace.BadParameter("control page %s: %s: %s", url, a.Status, strings.TrimSpace(string(b)))
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(b, out))
}
