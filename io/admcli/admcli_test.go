package admcli_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
	"heatherrouter/io/admin/fake"
)

const key = fake.OperatorKey

var file = fake.ServiceFile("a", 8001)

// addrs of the daemons of the tests; they are names on in-memory connections.
var addrs = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")}

func newClient(n *fake.Network, key string) *admcli.Client {
	return admcli.New(admcli.Options{
		Addrs: addrs, Key: key, Dial: n.Dial,
		Sleep: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
}

func newNetwork(t *testing.T) *fake.Network {
	t.Helper()
	n := fake.NewNetwork()
	t.Cleanup(n.Close)
	return n
}

// newHandler returns the handler of a daemon's admin page, and the document behind it.
func newHandler() (fasthttp.RequestHandler, *fake.Docs) {
	d := fake.NewDocs()
	return fake.NewPage(fake.New(d, time.Now), key).Handle, d
}

// newDaemon returns a network on which a daemon answers at the first address, and its document.
func newDaemon(t *testing.T) (*fake.Network, *fake.Docs) {
	t.Helper()
	n := newNetwork(t)
	h, d := newHandler()
	n.Serve(addrs[0].String(), h)
	return n, d
}

// cut answers nothing: the connection ends after the handler has run.
func cut(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		h(c)
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {})
	}
}

func publish(base ident.Rev, txn ident.Txn, body string) admin.Publish {
	return admin.Publish{Txn: txn, BaseRev: base, By: "anna", Files: []admin.File{{Path: "a.toml", Body: body}}}
}

func TestReads(t *testing.T) {
	h, _ := newHandler()
	n := newNetwork(t)
	n.Serve(addrs[1].String(), h)
	c := newClient(n, key)
	_, err := c.Publish(t.Context(), publish(0, "txn-000001", file))
	require.NoError(t, err, "the second daemon takes what the first doesn't answer")

	st, err := c.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), st.ConfigRev)
	sv, err := c.Service(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, file, sv.File)
	for _, name := range []ident.Service{"b", "b/c d?x=1"} {
		_, err = c.Service(t.Context(), name)
		require.True(t, trace.IsNotFound(err), "%v", err)
	}
	_, err = c.Shards(t.Context(), "a")
	require.NoError(t, err)
	f, err := c.InForce(t.Context(), 1)
	require.NoError(t, err)
	require.True(t, f.Everyone)
	l, err := c.Servers(t.Context())
	require.NoError(t, err)
	require.Len(t, l, 1)
	dl, err := c.Domains(t.Context())
	require.NoError(t, err)
	require.Len(t, dl, 1)
	b, err := c.State(t.Context(), addrs[1])
	require.NoError(t, err)
	require.JSONEq(t, `{"config-rev":1}`, string(b))
}

func TestNobodyAnswers(t *testing.T) {
	c := newClient(newNetwork(t), key)
	_, err := c.Status(t.Context())
	require.ErrorAs(t, err, new(*admin.UnavailableError))
	_, err = c.Publish(t.Context(), publish(0, "txn-000001", file))
	require.ErrorAs(t, err, new(*admin.UnavailableError), "nothing was sent: %v", err)
}

func TestRefusals(t *testing.T) {
	n, d := newDaemon(t)
	_, err := newClient(n, "wrong").Publish(t.Context(), publish(0, "txn-000001", file))
	require.True(t, trace.IsAccessDenied(err), "%v", err)

	c := newClient(n, key)
	_, err = c.Publish(t.Context(), publish(0, "txn-000001", "nam = 1"))
	var f check.Findings
	require.ErrorAs(t, err, &f)
	require.Contains(t, f.Error(), "a.toml:1: nam: is no known setting")

	_, err = c.Publish(t.Context(), publish(0, "txn-000002", file))
	require.NoError(t, err)
	_, err = c.Publish(t.Context(), publish(0, "txn-000003", file+"#"))
	var e *admin.ConflictError
	require.ErrorAs(t, err, &e)
	require.Equal(t, admin.ConflictError{Base: 0, Current: 1}, *e)

	d.Fail(fake.FaultOutage)
	_, err = c.Publish(t.Context(), publish(1, "txn-000004", file+"#"))
	var u *admin.UnavailableError
	require.ErrorAs(t, err, &u)
	require.Equal(t, time.Second, u.RetryAfter, "of the second daemon, which nobody listens at")
}

// The daemon commits the publish, and the connection breaks before its answer. The operator must not see an
// error for a configuration that is in force: the client sends the same transaction again, here to the other
// daemon, and gets the revision of the first attempt.
func TestLostReplyOfDaemon(t *testing.T) {
	h, d := newHandler()
	n := newNetwork(t)
	n.Serve(addrs[0].String(), cut(h))
	n.Serve(addrs[1].String(), h)
	got, err := newClient(n, key).Publish(t.Context(), publish(0, "txn-000001", file))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), got.Rev)
	require.Equal(t, []ident.Service{"a"}, got.Changed)
	require.Equal(t, 1, d.Commits())
}

// The table commits, its reply to the daemon is lost, and so are those of the next two attempts.
func TestLostReplyOfTable(t *testing.T) {
	n, d := newDaemon(t)
	d.Fail(fake.FaultLostReply, fake.FaultLostReply, fake.FaultLostReply)
	got, err := newClient(n, key).Publish(t.Context(), publish(0, "txn-000001", file))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), got.Rev)
	require.Equal(t, 1, d.Commits())
}

// The first reply is lost and the table is out from then on. "Unavailable, nothing was changed" would be true
// of every later attempt and false of the first: the whole stays unknown.
func TestOutageAfterLostReply(t *testing.T) {
	n, d := newDaemon(t)
	d.Fail(fake.FaultLostReply)
	for range 50 {
		d.Fail(fake.FaultOutage)
	}
	_, err := newClient(n, key).Publish(t.Context(), publish(0, "txn-000001", file))
	var e *admin.UnknownError
	require.ErrorAs(t, err, &e)
	require.Equal(t, ident.Txn("txn-000001"), e.Txn)
	require.Equal(t, 1, d.Commits())
}

func TestForeignAnswers(t *testing.T) {
	for status, check := range map[int]func(error) bool{
		413: trace.IsBadParameter,
		502: func(err error) bool { _, ok := errors.AsType[*admin.UnknownError](err); return ok },
		200: func(err error) bool { _, ok := errors.AsType[*admin.UnknownError](err); return ok },
	} {
		n := newNetwork(t)
		n.Serve(addrs[0].String(), func(c *fasthttp.RequestCtx) { c.SetStatusCode(status); c.SetBodyString("<html>") })
		_, err := newClient(n, key).Publish(t.Context(), publish(0, "txn-000001", file))
		require.True(t, check(err), "%d: %v", status, err)
		_, err = newClient(n, key).Status(t.Context())
		require.Error(t, err)
	}
}

func TestCancel(t *testing.T) {
	n := newNetwork(t)
	n.Serve(addrs[0].String(), func(c *fasthttp.RequestCtx) { time.Sleep(time.Second) })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := newClient(n, key).Publish(ctx, publish(0, "txn-000001", file))
	require.ErrorAs(t, err, new(*admin.UnknownError))
	require.Less(t, time.Since(start), time.Second)
}

// Another operator publishes between the client's read of the revision and the drain's commit. The operator
// named a domain, not a revision: the drain goes through on the newer one, and the publish stands.
func TestDrainGoesOnAfterConflict(t *testing.T) {
	n, d := newDaemon(t)
	c := newClient(n, key)
	_, err := c.Publish(t.Context(), publish(0, "txn-000001", file))
	require.NoError(t, err)
	d.BeforeCommit(func() {
		_, err := c.Publish(t.Context(), publish(1, "txn-000002", file+"#"))
		require.NoError(t, err)
	})
	got, err := c.Drain(t.Context(), admin.Drain{Txn: "txn-000003", Kind: admin.DrainDomain, Name: "d1", By: "anna"})
	require.NoError(t, err)
	require.Equal(t, admin.Drained{Rev: 3, Changed: true}, got)
	sv, err := c.Service(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, file+"#", sv.File)
}

// The drain's reply is lost, and so the client asks again while the daemon's copy already shows the drain.
func TestDrainLostReply(t *testing.T) {
	n, d := newDaemon(t)
	c := newClient(n, key)
	_, err := c.Publish(t.Context(), publish(0, "txn-000001", file))
	require.NoError(t, err)
	d.Fail(fake.FaultLostReply)
	got, err := c.Drain(t.Context(), admin.Drain{Txn: "txn-000002", Kind: admin.DrainServer, Name: "a/s", By: "anna"})
	require.NoError(t, err)
	require.Equal(t, admin.Drained{Rev: 2, Changed: true}, got)
	require.Equal(t, 2, d.Commits())
}
