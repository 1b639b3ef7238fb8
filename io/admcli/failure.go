package admcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/io/admin"
)

func decode(a netip.AddrPort, b []byte, v any) error {
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("the daemon at %s gave an answer that can't be read: %w", a, err)
	}
	return nil
}

// failure returns the error that an answer other than 200 stands for.
func failure(a netip.AddrPort, r *fasthttp.Response) error {
	var f admin.Failure
	if err := json.Unmarshal(r.Body(), &f); err != nil || f.Reason == "" {
		return unrecognized(a, r)
	}
	switch f.Reason {
	case admin.ReasonConflict:
		if f.Conflict != nil {
			return f.Conflict
		}
		return &admin.ConflictError{}
	case admin.ReasonFindings:
		return admin.ToFindings(f.Findings)
	case admin.ReasonUnavailable:
		return &admin.UnavailableError{RetryAfter: retryAfter(r), Cause: f.Message}
	case admin.ReasonNoKey, admin.ReasonWrongKey:
		return trace.AccessDenied("%s", f.Message)
	case admin.ReasonNotFound:
		return trace.NotFound("%s", f.Message)
	case admin.ReasonBadRequest, admin.ReasonMethod:
		return trace.BadParameter("%s", f.Message)
	default:
		return &admin.UnknownError{Cause: f.Message}
	}
}

// readFailure is failure for a call that changes nothing, whose outcome is of no interest.
func readFailure(a netip.AddrPort, r *fasthttp.Response) error {
	err := failure(a, r)
	if e, ok := errors.AsType[*admin.UnknownError](err); ok {
		return fmt.Errorf("the daemon at %s failed: %s", a, e.Cause)
	}
	return err
}

// unrecognized is the error of an answer that is no Failure of an admin page, from something between the client and the daemon or
// from the HTTP library. Below 500 it was refused; from there on nobody knows.
func unrecognized(a netip.AddrPort, r *fasthttp.Response) error {
	m := fmt.Sprintf("%s answered with status %d", a, r.StatusCode())
	if r.StatusCode() < fasthttp.StatusInternalServerError {
		return trace.BadParameter("%s", m)
	}
	return &admin.UnknownError{Cause: m}
}

func retryAfter(r *fasthttp.Response) time.Duration {
	n, err := strconv.Atoi(string(r.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || n < 1 {
		return time.Second
	}
	return time.Duration(n) * time.Second
}
