package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/admin/fake"
)

const key = fake.OperatorKey

var file = fake.ServiceFile("a", 8001)

func newPage() (*admin.Page, *fake.Backend, *fake.Docs) {
	d := fake.NewDocs()
	b := fake.New(d, time.Now)
	return fake.NewPage(b, key), b, d
}

// call sends one request through the page without a network.
func call(p *admin.Page, method, uri, auth, body string) *fasthttp.Response {
	var c fasthttp.RequestCtx
	c.Init(&fasthttp.Request{}, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, nil)
	c.Request.Header.SetMethod(method)
	c.Request.SetRequestURI(uri)
	if auth != "" {
		c.Request.Header.Set("Authorization", auth)
	}
	c.Request.SetBodyString(body)
	p.Handle(&c)
	var r fasthttp.Response
	c.Response.CopyTo(&r)
	return &r
}

func publish(t *testing.T, base ident.Rev, txn ident.Txn, body string) string {
	t.Helper()
	b, err := json.Marshal(admin.Publish{
		Txn: txn, BaseRev: base, By: "anna", Files: []admin.File{{Path: "a/heatherrouter.toml", Body: body}},
	})
	require.NoError(t, err)
	return string(b)
}

func TestPages(t *testing.T) {
	p, b, _ := newPage()
	r := call(p, "POST", "/v1/config/publish", "Bearer "+key, publish(t, 0, "txn-000001", file))
	require.Equal(t, 200, r.StatusCode(), string(r.Body()))

	tests := []struct {
		method, uri string
		status      int
		want        string
	}{
		{"GET", "/ready", 200, "ready\n"},
		{"HEAD", "/ready", 200, ""},
		{"GET", "/metrics", 200, fake.Metrics},
		{"GET", "/state", 200, `{"config-rev":1}`},
		{"GET", "/v1/status", 200, `"config-rev":1`},
		{"GET", "/v1/services", 200, `"name":"a"`},
		{"GET", "/v1/services/a", 200, `"may-wait":false`},
		{"GET", "/v1/services/b", 404, `"reason":"not-found"`},
		{"GET", "/v1/shards?service=a", 200, `[]`},
		{"GET", "/v1/shards?service=b", 404, `"reason":"not-found"`},
		{"GET", "/v1/shards", 400, `"reason":"bad-request"`},
		{"GET", "/v1/servers", 200, `"in-flight":0`},
		{"GET", "/v1/domains", 200, `"state":"active"`},
		{"GET", "/v1/config/rev", 200, `{"rev":1}`},
		{"GET", "/v1/in-force?rev=1", 200, `"everyone":true`},
		{"GET", "/v1/in-force?rev=2", 200, `"everyone":false`},
		{"GET", "/v1/in-force?rev=x", 400, `"reason":"bad-request"`},
		{"GET", "/v2/status", 404, `"reason":"not-found"`},
		{"POST", "/v1/status", 405, `"reason":"method-not-allowed"`},
		{"GET", "/v1/drain", 405, `the page takes POST`},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.uri, func(t *testing.T) {
			r := call(p, tt.method, tt.uri, "", "")
			require.Equal(t, tt.status, r.StatusCode())
			require.Contains(t, string(r.Body()), tt.want)
		})
	}

	b.SetReason("no-config")
	r = call(p, "GET", "/ready", "", "")
	require.Equal(t, 503, r.StatusCode())
	require.Equal(t, "not ready: no-config\n", string(r.Body()))
}

func TestMutatingCalls(t *testing.T) {
	p, _, d := newPage()
	body := publish(t, 0, "txn-000001", file)
	auth := "Bearer " + key
	tests := []struct {
		name            string
		uri, auth, body string
		faults          []fake.Fault
		status          int
		want            string
	}{
		{"no key", "/v1/config/publish", "", body, nil, 401, `"operator-key-missing"`},
		{"other scheme", "/v1/config/publish", "Basic x", body, nil, 401, `"operator-key-missing"`},
		{"wrong key", "/v1/config/publish", "Bearer 0123456789abcdeF", body, nil, 401, `"operator-key-wrong"`},
		{"empty key", "/v1/drain", "Bearer ", "{}", nil, 401, `"operator-key-wrong"`},
		{"no JSON", "/v1/config/publish", auth, "{", nil, 400, `"bad-request"`},
		{"unknown field", "/v1/config/publish", auth, `{"force":true}`, nil, 400, `"bad-request"`},
		{"no txn", "/v1/config/publish", auth, `{"by":"anna"}`, nil, 400, `txn must be`},
		{"outage", "/v1/config/publish", auth, body, []fake.Fault{fake.FaultOutage}, 503, `"unavailable"`},
		{"lost reply", "/v1/config/publish", auth, body, []fake.Fault{fake.FaultLostReply}, 504, `"outcome-unknown"`},
		{"settled", "/v1/config/publish", auth, strings.Replace(body, "{", `{"again":true,`, 1), nil, 200, `"rev":1,"changed":["a"]`},
		{"conflict", "/v1/config/publish", auth, publish(t, 0, "txn-000002", file+"#"), nil, 409, `"base-rev":0,"current-rev":1`},
		{"findings", "/v1/config/publish", auth, publish(t, 1, "txn-000003", "nam = 1"), nil, 422, `"line":1,"key":"nam"`},
		{"drain unknown", "/v1/drain", auth, `{"txn":"txn-000004","base-rev":1,"kind":"domain","name":"d2","by":"anna"}`, nil, 404, `there is no domain`},
		{"drain", "/v1/drain", auth, `{"txn":"txn-000005","base-rev":1,"kind":"domain","name":"d1","by":"anna"}`, nil, 200, `{"rev":2,"changed":true}`},
		{"restore", "/v1/restore", auth, `{"txn":"txn-000006","base-rev":2,"kind":"domain","name":"d1","by":"anna"}`, nil, 200, `{"rev":3,"changed":true}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d.Fail(tt.faults...)
			r := call(p, "POST", tt.uri, tt.auth, tt.body)
			require.Contains(t, string(r.Body()), tt.want)
			require.Equal(t, tt.status, r.StatusCode())
			if tt.status == 503 {
				require.Equal(t, "2", string(r.Header.Peek("Retry-After")))
			}
		})
	}
	require.Equal(t, 3, d.Commits())
}

func TestEmptyOperatorKeyRefuses(t *testing.T) {
	p := fake.NewPage(fake.New(fake.NewDocs(), time.Now), "")
	r := call(p, "POST", "/v1/drain", "Bearer ", "{}")
	require.Equal(t, 401, r.StatusCode())
}

func TestServe(t *testing.T) {
	p, _, _ := newPage()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- p.Serve(l) }()
	status, body, err := fasthttp.Get(nil, "http://"+l.Addr().String()+"/ready")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "ready\n", string(body))
	require.NoError(t, p.Shutdown(context.Background()))
	require.NoError(t, <-done)
}

func TestFindingsRoundTrip(t *testing.T) {
	f := check.Findings{{Place: check.Place{File: "x", Line: 2, Key: "k"}, Message: "m"}}
	require.Equal(t, f, admin.ToFindings(admin.FromFindings(f)))
	_, ok := errors.AsType[check.Findings](f.Err())
	require.True(t, ok)
}
