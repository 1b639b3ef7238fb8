package list_test

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/cmd/heatherrouter/crash/list"
	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
)

// serveState answers all requests with a state page.
func serveState(t *testing.T, page string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: func(x *fasthttp.RequestCtx) {
		admin.Self{Daemon: "d"}.WriteTo(&x.Response.Header)
		x.SetBodyString(page)
	}}
	go func() { _ = s.Serve(l) }() // ends with Shutdown
	t.Cleanup(func() { _ = s.Shutdown() })
	return netip.MustParseAddrPort(l.Addr().String())
}

func run(t *testing.T, addrs ...netip.AddrPort) (string, error) {
	t.Helper()
	var out bytes.Buffer
	e := &cli.Env{Context: t.Context(), Out: &out, Err: &out, Clock: cli.WallClock{}, Client: func() (*admcli.Client, error) {
		return admcli.New(admcli.Options{
			Addrs: addrs, Sleep: cli.WallClock{}.Sleep,
			Dial: func(a string) (net.Conn, error) { return net.DialTimeout("tcp", a, time.Second) },
		}), nil
	}}
	err := (&list.Options{}).Run(e)
	return out.String(), err
}

func TestCrashList(t *testing.T) {
	behind := serveState(t, `{"crashes": [{"fingerprint": "aa", "crashes": 2}]}`)
	newer := serveState(t, `{"crashes": [{"fingerprint": "bb", "crashes": 1}, {"fingerprint": "aa", "crashes": 3, "refused": true}]}`)
	none := serveState(t, `{}`)
	dead := netip.MustParseAddrPort("127.0.0.1:1")

	out, err := run(t, behind, newer, dead)
	require.NoError(t, err)
	require.Equal(t, "aa\t3\ttrue\nbb\t1\tfalse\n", out)

	out, err = run(t, none)
	require.NoError(t, err)
	require.Empty(t, out)

	_, err = run(t, dead)
	var u *admin.UnavailableError
	require.ErrorAs(t, err, &u)
}
