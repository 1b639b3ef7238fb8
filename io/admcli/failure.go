package admcli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
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

// decodeWhole is decode for an answer that must have exactly the fields of the struct.
func decodeWhole(a netip.AddrPort, b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var fields map[string]json.RawMessage
	err := json.Unmarshal(b, &fields)
	if err == nil {
		err = d.Decode(v)
	}
	for x := range reflect.TypeOf(v).Elem().Fields() {
		if name := x.Tag.Get("json"); err == nil && fields[name] == nil {
			err = errors.New("it has no field " + name)
		}
	}
	if err != nil {
		return fmt.Errorf("the daemon at %s gave an answer that can't be read: %w", a, err)
	}
	return nil
}

// failure returns the error that an answer other than 200 stands for.
func failure(a netip.AddrPort, r *fasthttp.Response) error {
	if err := checkPeer(a, r); err != nil {
		return unrecognized(r, err.Error())
	}
	var f admin.Failure
	if err := json.Unmarshal(r.Body(), &f); err != nil || f.Reason == "" {
		return unrecognized(r, fmt.Sprintf("%s answered with status %d", a, r.StatusCode()))
	}
	f.Message = fmt.Sprintf("daemon %s at %s: %s", daemonOf(r), a, f.Message)
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
// from another program. With a status of 400 to 499 the call was refused; else nobody knows.
func unrecognized(r *fasthttp.Response, message string) error {
	if n := r.StatusCode(); n >= fasthttp.StatusBadRequest && n < fasthttp.StatusInternalServerError {
		return trace.BadParameter("%s", message)
	}
	return &admin.UnknownError{Cause: message}
}

func retryAfter(r *fasthttp.Response) time.Duration {
	n, err := strconv.Atoi(string(r.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || n < 1 {
		return time.Second
	}
	return time.Duration(n) * time.Second
}
