package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/io/listen"
)

const (
	// CallTimeout bounds a mutating call: the platform may be slow, and its reply may never come.
	CallTimeout = 15 * time.Second

	maxBody      = 16 << 20
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute

	servicesPath = "/v1/services"
	bearer       = "Bearer "
)

// Page is the admin page of a daemon.
type Page struct {
	self    Self
	backend Backend
	key     func() string
	metrics fasthttp.RequestHandler
	log     *log.Logger
	http    *fasthttp.Server
	routes  map[string]route
}

// route is one path of the page.
type route struct {
	method string
	serve  fasthttp.RequestHandler
}

// takes reports whether the route takes the method; balancers probe pages by HEAD too.
func (r route) takes(method string) bool {
	return method == r.method || (method == fasthttp.MethodHead && r.method == fasthttp.MethodGet)
}

// New returns an admin page. Key returns the operator key that holds at the moment, so that it
// can change without a restart; while it is empty every mutating call is refused.
func New(x Self, b Backend, key func() string, metrics fasthttp.RequestHandler, l *log.Logger) *Page {
	p := &Page{self: x, backend: b, key: key, metrics: metrics, log: l}
	p.routes = p.makeRoutes()
	p.http = &fasthttp.Server{
		Handler:               p.Handle,
		ErrorHandler:          p.unreadable,
		Name:                  "heatherrouterd",
		MaxRequestBodySize:    maxBody,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
		SecureErrorLogMessage: true,
	}
	return p
}

// quiet drops fasthttp's own lines, which are no JSON and tell of broken connections only.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Serve answers on the listener until Shutdown.
func (p *Page) Serve(l net.Listener) error {
	return trace.Wrap(p.http.Serve(listen.Retry(l, nil)))
}

// Shutdown ends Serve once the calls at work are answered or the context is done.
func (p *Page) Shutdown(ctx context.Context) error {
	return trace.Wrap(p.http.ShutdownWithContext(ctx))
}

func (p *Page) makeRoutes() map[string]route {
	get := func(f func() any) route {
		return route{fasthttp.MethodGet, func(c *fasthttp.RequestCtx) { answer(c, f()) }}
	}
	return map[string]route{
		"/ready":         {fasthttp.MethodGet, p.ready},
		"/metrics":       {fasthttp.MethodGet, p.metrics},
		"/state":         get(p.backend.State),
		"/v1/status":     get(func() any { return p.backend.Status() }),
		servicesPath:     get(func() any { return list(p.backend.Services()) }),
		"/v1/servers":    get(func() any { return list(p.backend.Servers()) }),
		"/v1/domains":    get(func() any { return list(p.backend.Domains()) }),
		"/v1/config/rev": get(func() any { return ConfigRev{Rev: p.backend.ConfigRev()} }),
		"/v1/shards":     {fasthttp.MethodGet, p.shards},
		"/v1/in-force":   {fasthttp.MethodGet, p.inForce},

		"/v1/config/publish": {fasthttp.MethodPost, mutate(p, p.backend.Publish)},
		"/v1/drain":          {fasthttp.MethodPost, mutate(p, p.backend.Drain)},
		"/v1/restore":        {fasthttp.MethodPost, mutate(p, p.backend.Restore)},
	}
}

// list makes a list that is empty read as such, and not as null.
func list[T any](l []T) []T {
	if l == nil {
		return []T{}
	}
	return l
}

// unreadable answers a request that can't be read.
func (p *Page) unreadable(c *fasthttp.RequestCtx, err error) {
	p.self.WriteTo(&c.Response.Header)
	status := fasthttp.StatusBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	fail(c, status, Failure{Reason: ReasonBadRequest, Message: "the request can't be read: " + err.Error()})
}

// Handle answers one call.
func (p *Page) Handle(c *fasthttp.RequestCtx) {
	p.self.WriteTo(&c.Response.Header)
	path := string(c.Path())
	r, ok := p.routes[path]
	if name, found := strings.CutPrefix(path, servicesPath+"/"); found && !ok {
		r, ok = route{fasthttp.MethodGet, func(c *fasthttp.RequestCtx) { p.service(c, ident.Service(name)) }}, true
	}
	if !ok {
		fail(c, fasthttp.StatusNotFound, Failure{Reason: ReasonNotFound, Message: "there is no page " + path})
		return
	}
	if !r.takes(string(c.Method())) {
		c.Response.Header.Set(fasthttp.HeaderAllow, r.method)
		fail(c, fasthttp.StatusMethodNotAllowed, Failure{Reason: ReasonMethod, Message: "the page takes " + r.method})
		return
	}
	r.serve(c)
}

func (p *Page) ready(c *fasthttp.RequestCtx) {
	ok, reason := p.backend.Ready()
	if !ok {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString("not ready: " + reason + "\n")
		return
	}
	c.SetBodyString("ready\n")
}

func (p *Page) service(c *fasthttp.RequestCtx, n ident.Service) {
	v, err := p.backend.Service(n)
	p.reply(c, v, err)
}

func (p *Page) shards(c *fasthttp.RequestCtx) {
	n := string(c.QueryArgs().Peek("service"))
	if n == "" {
		badRequest(c, "the query needs service=NAME")
		return
	}
	l, err := p.backend.Shards(ident.Service(n))
	p.reply(c, list(l), err)
}

func (p *Page) inForce(c *fasthttp.RequestCtx) {
	n, err := c.QueryArgs().GetUint("rev")
	if err != nil {
		badRequest(c, "the query needs rev=NUMBER")
		return
	}
	v := p.backend.InForce(ident.Rev(n))
	v.Have, v.Missing = list(v.Have), list(v.Missing)
	answer(c, v)
}

// mutate makes the handler of a call that changes something and therefore needs the operator key.
func mutate[Q interface{ transaction() ident.Txn }, A any](p *Page, call func(context.Context, Q) (A, error)) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		if !p.authorize(c) {
			return
		}
		var q Q
		d := json.NewDecoder(bytes.NewReader(c.PostBody()))
		d.DisallowUnknownFields()
		if err := d.Decode(&q); err != nil {
			badRequest(c, "the body is no such call: "+err.Error())
			return
		}
		c.Response.Header.Set(HeaderTxn, string(q.transaction()))
		// The caller may hang up meanwhile; the call goes on to a certain end, which the same transaction
		// id can ask for again.
		ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
		defer cancel()
		a, err := call(ctx, q)
		p.reply(c, a, err)
	}
}

// authorize checks the operator key. Both sides are hashed first, so that the time of the comparison tells
// neither the length nor a prefix of the key.
func (p *Page) authorize(c *fasthttp.RequestCtx) bool {
	got, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearer)
	if !ok {
		p.refuse(c, ReasonNoKey, "the call needs the header Authorization: Bearer OPERATOR-KEY")
		return false
	}
	want := p.key()
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	if want == "" || subtle.ConstantTimeCompare(a[:], b[:]) != 1 {
		p.refuse(c, ReasonWrongKey, "the operator key is not the daemon's")
		return false
	}
	return true
}

func (p *Page) refuse(c *fasthttp.RequestCtx, r Reason, message string) {
	p.log.Warn().Str("reason", string(r)).Str("path", string(c.Path())).Stringer("remote", c.RemoteAddr()).
		Msg("admin call refused")
	c.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	fail(c, fasthttp.StatusUnauthorized, Failure{Reason: r, Message: message})
}
