// Package fake has what tests of commands that read the daemons' state pages need.
package fake

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
)

// ServeState answers all requests with a state page until the test ends.
func ServeState(t *testing.T, page string) netip.AddrPort {
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

// Env returns the environment of a command that calls the daemons at the addresses and writes to out.
func Env(t *testing.T, out io.Writer, addrs ...netip.AddrPort) *cli.Env {
	t.Helper()
	return &cli.Env{Context: t.Context(), Out: out, Err: out, Clock: cli.WallClock{}, Client: func() (*admcli.Client, error) {
		return admcli.New(admcli.Options{
			Addrs: addrs, Sleep: cli.WallClock{}.Sleep,
			Dial: func(a string) (net.Conn, error) { return net.DialTimeout("tcp", a, time.Second) },
		}), nil
	}}
}
