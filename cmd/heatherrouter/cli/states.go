package cli

import (
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"heatherrouter/io/admin"
)

// ReadStates reads the part T of the state pages at all --admin addresses. It skips daemons that don't answer and fails if
// none does.
func ReadStates[T any](e *Env) ([]T, error) {
	c, err := e.Client()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var failed []error
	var l []T
	for _, a := range c.Addrs() {
		var x T
		b, err := c.State(e.Context, a)
		if err == nil {
			err = json.Unmarshal(b, &x)
		}
		if err != nil {
			failed = append(failed, trace.Wrap(err, "%s", a))
			continue
		}
		l = append(l, x)
	}
	if len(l) == 0 {
		return nil, &admin.UnavailableError{Cause: errors.Join(failed...).Error()}
	}
	return l, nil
}
