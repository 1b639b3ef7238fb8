package admcli_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
	"heatherrouter/io/admin/fake"
)

// Ways to change the answers of a daemon.

func lacking(header string) func(fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(h fasthttp.RequestHandler) fasthttp.RequestHandler {
		return func(c *fasthttp.RequestCtx) {
			h(c)
			c.Response.Header.Del(header)
		}
	}
}

func setting(header, value string) func(fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(h fasthttp.RequestHandler) fasthttp.RequestHandler {
		return func(c *fasthttp.RequestCtx) {
			h(c)
			c.Response.Header.Set(header, value)
		}
	}
}

func answering(change func(body []byte) []byte) func(fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(h fasthttp.RequestHandler) fasthttp.RequestHandler {
		return func(c *fasthttp.RequestCtx) {
			h(c)
			c.Response.SetBody(change(c.Response.Body()))
		}
	}
}

// another answers every call alike, as another program does.
func another(status int, body string) func(fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(fasthttp.RequestHandler) fasthttp.RequestHandler {
		return func(c *fasthttp.RequestCtx) {
			c.Response.Header.SetServer("other/1.2")
			c.SetStatusCode(status)
			c.SetBodyString(body)
		}
	}
}

// withField sets a field of the body, or deletes it if the value is nil.
func withField(field string, value any) func(fasthttp.RequestHandler) fasthttp.RequestHandler {
	return answering(func(b []byte) []byte {
		m := map[string]any{}
		if json.Unmarshal(b, &m) != nil {
			return b
		}
		m[field] = value
		if value == nil {
			delete(m, field)
		}
		b, _ = json.Marshal(m)
		return b
	})
}

func halve(b []byte) []byte { return b[:len(b)/2] }

// Guards against taking the answer of a program that is no daemon for the outcome of a change.
func TestPeerOfChange(t *testing.T) {
	for _, x := range []struct {
		name string
		h    func(daemon fasthttp.RequestHandler) fasthttp.RequestHandler
		says string
	}{
		{"another program, empty object", another(200, "{}"), `127.0.0.1:1 answered with status 200 as "other/1.2"`},
		{"another program, page", another(200, "<html></html>"), `as "other/1.2"`},
		{"another program, null", another(200, "null"), `as "other/1.2"`},
		{"another program, no content", another(204, ""), "status 204"},
		{"another program, redirect", another(302, ""), "status 302"},
		{"older daemon", lacking(admin.HeaderProtocol), "not a daemon that this client knows"},
		{"answer to no transaction", lacking(admin.HeaderTxn), `to transaction ""`},
		{"answer to another transaction", setting(admin.HeaderTxn, "txn-000009"), "txn-000009"},
		{"newer daemon", setting(admin.HeaderProtocol, "2"), "admin protocol 2"},
		{"truncated body", answering(halve), "can't be read"},
		{"two bodies", answering(func(b []byte) []byte { return append(b, b...) }), "can't be read"},
		{"null of a daemon", answering(func([]byte) []byte { return []byte("null") }), "can't be read"},
		{"missing field", withField("rev", nil), "rev"},
		{"unknown field", withField("planned", 3), "planned"},
	} {
		t.Run(x.name, func(t *testing.T) {
			n := newNetwork(t)
			h, _ := newHandler()
			n.Serve(addrs[0].String(), x.h(h))
			_, err := newClient(n, key).Publish(t.Context(), publish(0, "txn-000001", file))
			var e *admin.UnknownError
			require.ErrorAs(t, err, &e)
			require.Contains(t, e.Cause, x.says)
		})
	}
}

// Guards against reading the page of a program that is no daemon.
func TestPeerOfRead(t *testing.T) {
	h, _ := newHandler()
	for _, x := range []struct {
		name string
		h    func(daemon fasthttp.RequestHandler) fasthttp.RequestHandler
		says string
	}{
		{"another program, empty object", another(200, "{}"), `127.0.0.1:1 answered with status 200 as "other/1.2"`},
		{"another program, no content", another(204, ""), "status 204"},
		{"another program, not found", another(404, ""), "status 404"},
		{"older daemon", lacking(admin.HeaderProtocol), "not a daemon that this client knows"},
		{"truncated body", answering(halve), "can't be read"},
	} {
		t.Run(x.name, func(t *testing.T) {
			n := newNetwork(t)
			n.Serve(addrs[0].String(), x.h(h))
			_, err := newClient(n, key).InForce(t.Context(), 1)
			require.ErrorContains(t, err, x.says)
			_, err = newClient(n, key).State(t.Context(), addrs[0])
			if x.name != "truncated body" { // the state is passed on as it is
				require.ErrorContains(t, err, x.says)
			}

			n = newNetwork(t)
			n.Serve(addrs[0].String(), x.h(h))
			n.Serve(addrs[1].String(), h)
			_, err = newClient(n, key).InForce(t.Context(), 0)
			require.NoError(t, err, "the daemon at the next address answers")
		})
	}
}

// Guards against a change that another program's answer keeps from the daemons at the other addresses.
func TestChangePassesOtherProgram(t *testing.T) {
	h, d := newHandler()
	n := newNetwork(t)
	n.Serve(addrs[0].String(), another(200, "{}")(nil))
	n.Serve(addrs[1].String(), h)
	got, err := newClient(n, key).Publish(t.Context(), publish(0, "txn-000001", file))
	require.NoError(t, err)
	require.EqualValues(t, 1, got.Rev)
	require.Equal(t, 1, d.Commits())
}

// Guards against telling the operator less than which daemon refused the key, as one of another site does.
func TestRefusalNamesDaemon(t *testing.T) {
	h, _ := newHandler()
	n := newNetwork(t)
	n.Serve(addrs[0].String(), h)
	_, err := newClient(n, "key-of-another-site").Publish(t.Context(), publish(0, "txn-000001", file))
	require.ErrorContains(t, err, "daemon "+string(fake.Daemon)+" at 127.0.0.1:1")
	var e *admcli.PeerError
	_, err = newClient(n, key).Status(t.Context())
	require.NotErrorAs(t, err, &e)
}
