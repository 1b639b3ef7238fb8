package admcli

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
)

const (
	// maxDrains is how many revisions a drain is tried on while other operators change the configuration.
	maxDrains = 5

	// maxRounds is how often a change of unknown outcome is sent to every daemon. With the waits after the
	// rounds, which double from firstWait to longWait, that is 36 s at least.
	maxRounds = 12
	firstWait = 100 * time.Millisecond
	longWait  = 5 * time.Second
)

// Publish puts service files into force.
func (c *Client) Publish(ctx context.Context, q admin.Publish) (admin.Published, error) {
	return change[admin.Published](ctx, c, "/v1/config/publish", q.Txn, func(again bool) any {
		q.Again = again
		return q
	})
}

// Drain drains a failure domain, a backend server or a daemon.
func (c *Client) Drain(ctx context.Context, q admin.Drain) (admin.Drained, error) {
	return c.drain(ctx, "/v1/drain", q)
}

// Restore undoes a drain.
func (c *Client) Restore(ctx context.Context, q admin.Drain) (admin.Drained, error) {
	return c.drain(ctx, "/v1/restore", q)
}

// drain sends a drain on the newest revision. A change by somebody else in between is no conflict for the
// operator, who named a target and not a revision: the drain goes on to the next revision. That is safe with
// the same transaction id, since a conflict is certain: the older attempt will never take effect.
func (c *Client) drain(ctx context.Context, uri string, q admin.Drain) (admin.Drained, error) {
	if q.Since.IsZero() {
		q.Since = time.Now()
	}
	var newest ident.Rev
	for i := 1; ; i++ {
		rev, err := c.ConfigRev(ctx)
		if err != nil {
			return admin.Drained{}, trace.Wrap(err)
		}
		q.BaseRev = max(rev, newest)
		a, err := change[admin.Drained](ctx, c, uri, q.Txn, func(again bool) any {
			q.Again = again
			return q
		})
		e, conflict := errors.AsType[*admin.ConflictError](err)
		if !conflict || i == maxDrains {
			return a, trace.Wrap(err)
		}
		newest = max(newest, e.Current)
	}
}

// settlement is what is known of one change over all its attempts.
type settlement struct {
	txn     ident.Txn
	unknown *admin.UnknownError // of an attempt that may have taken effect
	refused error               // of the last attempt that certainly did not
}

// change sends a change until its outcome is certain.
//
// Where a reply is lost, the change may be in force although the operator saw an error. The same transaction
// id sent again, also to another daemon, gives the outcome of the first: it can only land on the same revision,
// and the table knows who wrote the next one.
func change[A any](ctx context.Context, c *Client, uri string, txn ident.Txn, call func(again bool) any) (A, error) {
	var none A
	s := settlement{txn: txn}
	wait := firstWait
	for range maxRounds {
		for _, a := range c.opts.Addrs {
			v, err := changeAt[A](ctx, c, a, uri, txn, call(s.unknown != nil))
			if s.settles(err) {
				return v, trace.Wrap(err)
			}
			if ctx.Err() != nil {
				return none, trace.Wrap(s.unsettled(c))
			}
		}
		if s.unknown == nil || c.opts.Sleep(ctx, wait) != nil {
			break
		}
		wait = min(2*wait, longWait)
	}
	return none, trace.Wrap(s.unsettled(c))
}

// settles notes the outcome of an attempt and reports whether the whole is certain by it.
//
// Once an attempt may have taken effect, a refusal of a later one tells nothing of the first. Only success
// and a conflict do: the table gives a conflict only to a transaction id that it does not hold, and the
// first attempt builds on the same revision, which has passed.
func (s *settlement) settles(err error) bool {
	if err == nil {
		return true
	}
	if _, ok := errors.AsType[*admin.ConflictError](err); ok {
		return true
	}
	if e, ok := errors.AsType[*admin.UnknownError](err); ok {
		s.unknown = e
		return false
	}
	s.refused = err
	_, outage := errors.AsType[*admin.UnavailableError](err)
	return !outage && s.unknown == nil
}

// unsettled returns the error of a change that no attempt has settled.
func (s *settlement) unsettled(c *Client) error {
	if s.unknown == nil {
		return c.unavailable(s.refused)
	}
	return &admin.UnknownError{Txn: s.txn, Cause: s.unknown.Cause}
}

// changeAt sends the change to one daemon. An error that says nothing else means an unknown outcome.
func changeAt[A any](ctx context.Context, c *Client, a netip.AddrPort, uri string, txn ident.Txn, call any) (A, error) {
	var v A
	body, err := json.Marshal(call)
	if err != nil {
		return v, trace.Wrap(err)
	}
	q := makeRequest(fasthttp.MethodPost, a, uri)
	q.Header.Set("Authorization", "Bearer "+c.opts.Key)
	q.Header.SetContentType("application/json")
	q.SetBody(body)
	r, err := c.do(ctx, q)
	if e, ok := errors.AsType[*dialError](err); ok {
		return v, &admin.UnavailableError{RetryAfter: time.Second, Cause: "no daemon listens at " + a.String() + ": " + e.Error()}
	}
	if err != nil {
		return v, &admin.UnknownError{Cause: "the daemon at " + a.String() + " gave no answer: " + err.Error()}
	}
	if r.StatusCode() != fasthttp.StatusOK {
		return v, failure(a, r)
	}
	err = checkPeer(a, r)
	if err == nil {
		err = checkTxn(a, r, txn)
	}
	if err == nil {
		err = decodeWhole(a, r.Body(), &v)
	}
	if err != nil {
		return v, &admin.UnknownError{Cause: err.Error()}
	}
	return v, nil
}
