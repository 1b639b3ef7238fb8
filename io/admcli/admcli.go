// Package admcli is the operators' side of the daemons' admin pages.
package admcli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
)

const (
	// callTimeout is longer than a daemon's own, so that the daemon's word on the outcome still arrives.
	callTimeout = admin.CallTimeout + 5*time.Second

	maxAnswer = 256 << 20
)

// Options is what a client depends on.
type Options struct {
	Addrs []netip.AddrPort // of admin pages, tried in this order
	Key   string           // operator key, for calls that change something
	Dial  func(addr string) (net.Conn, error)
	Sleep func(context.Context, time.Duration) error
}

// Client calls the first admin page that answers.
type Client struct {
	opts Options
	http fasthttp.Client
}

// New returns a client.
func New(o Options) *Client {
	c := &Client{opts: o}
	c.http = fasthttp.Client{
		Name:                      "heatherrouter",
		Dial:                      c.dial,
		MaxResponseBodySize:       maxAnswer,
		ReadTimeout:               callTimeout,
		WriteTimeout:              callTimeout,
		MaxIdemponentCallAttempts: 1, // this package decides itself what may be sent again
		DisablePathNormalizing:    true,
	}
	return c
}

// dialError says that there was no connection, so that certainly nothing was sent.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

func (c *Client) dial(addr string) (net.Conn, error) {
	n, err := c.opts.Dial(addr)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return n, nil
}

// do sends one request on a connection of its own. A connection kept from an earlier call may have gone
// silent: the call would wait for its timeout and leave a change with an unknown outcome.
func (c *Client) do(ctx context.Context, q *fasthttp.Request) (*fasthttp.Response, error) {
	q.SetConnectionClose()
	r := &fasthttp.Response{}
	done := make(chan error, 1)
	go func() { done <- c.http.DoTimeout(q, r, callTimeout) }()
	select {
	case err := <-done:
		return r, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func makeRequest(method string, addr netip.AddrPort, uri string) *fasthttp.Request {
	q := &fasthttp.Request{}
	q.Header.SetMethod(method)
	q.SetRequestURI("http://" + addr.String() + uri)
	return q
}

// Status returns the status of the first daemon that answers.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	return get[admin.Status](ctx, c, "/v1/status")
}

// Services returns all published services.
func (c *Client) Services(ctx context.Context) ([]admin.Service, error) {
	return get[[]admin.Service](ctx, c, "/v1/services")
}

// Service returns one published service with its file.
func (c *Client) Service(ctx context.Context, n ident.Service) (admin.Service, error) {
	return get[admin.Service](ctx, c, "/v1/services/"+url.PathEscape(string(n)))
}

// Shards returns the shards of a service.
func (c *Client) Shards(ctx context.Context, n ident.Service) ([]admin.Shard, error) {
	return get[[]admin.Shard](ctx, c, "/v1/shards?service="+url.QueryEscape(string(n)))
}

// Servers returns all backend servers.
func (c *Client) Servers(ctx context.Context) ([]admin.Server, error) {
	return get[[]admin.Server](ctx, c, "/v1/servers")
}

// Domains returns all failure domains.
func (c *Client) Domains(ctx context.Context) ([]admin.Domain, error) {
	return get[[]admin.Domain](ctx, c, "/v1/domains")
}

// ConfigRev returns the revision of the configuration that the first daemon that answers holds.
func (c *Client) ConfigRev(ctx context.Context) (ident.Rev, error) {
	r, err := get[admin.ConfigRev](ctx, c, "/v1/config/rev")
	return r.Rev, trace.Wrap(err)
}

// InForce returns which daemons hold the revision.
func (c *Client) InForce(ctx context.Context, r ident.Rev) (admin.InForce, error) {
	return get[admin.InForce](ctx, c, fmt.Sprintf("/v1/in-force?rev=%d", r))
}

// Addrs returns the addresses of the admin pages.
func (c *Client) Addrs() []netip.AddrPort {
	return c.opts.Addrs
}

// State returns the state dump of the daemon at the address, as JSON.
func (c *Client) State(ctx context.Context, a netip.AddrPort) ([]byte, error) {
	b, err := c.getAt(ctx, a, "/state")
	return b, trace.Wrap(err)
}

// get reads a page from the first daemon that answers it.
func get[T any](ctx context.Context, c *Client, uri string) (T, error) {
	var v T
	var failed []error
	for _, a := range c.opts.Addrs {
		b, err := c.getAt(ctx, a, uri)
		if err == nil {
			err = decode(a, b, &v)
		}
		if err == nil || isFinal(err) || ctx.Err() != nil {
			return v, trace.Wrap(err)
		}
		failed = append(failed, err)
	}
	return v, trace.Wrap(c.unavailable(errors.Join(failed...)))
}

func (c *Client) getAt(ctx context.Context, a netip.AddrPort, uri string) ([]byte, error) {
	r, err := c.do(ctx, makeRequest(fasthttp.MethodGet, a, uri))
	if err != nil {
		return nil, fmt.Errorf("the daemon at %s does not answer: %w", a, err)
	}
	if err := checkPeer(a, r); err != nil {
		return nil, err
	}
	if r.StatusCode() != fasthttp.StatusOK {
		return nil, readFailure(a, r)
	}
	return r.Body(), nil
}

// isFinal reports whether another daemon would say the same.
func isFinal(err error) bool {
	return trace.IsNotFound(err) || trace.IsBadParameter(err)
}

// unavailable is the error after all daemons were tried.
func (c *Client) unavailable(err error) error {
	if err == nil {
		return trace.BadParameter("there is no admin address to call")
	}
	if e, ok := errors.AsType[*admin.UnavailableError](err); ok {
		return e
	}
	return &admin.UnavailableError{RetryAfter: time.Second, Cause: strings.ReplaceAll(err.Error(), "\n", "; ")}
}
