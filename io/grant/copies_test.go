package grant

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/conns"
	"heatherrouter/io/group"
)

// copyingServer answers each order with the text that respond returns, and sends it once more when the next order on the connection
// arrives. With busy set it doesn't answer, as work on the keys goes on.
type copyingServer struct {
	respond func(n int, req *fasthttp.Request) string
	busy    atomic.Bool
	orders  atomic.Int32
}

func (s *copyingServer) start(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (s *copyingServer) serve(c net.Conn) {
	defer c.Close()
	r, late := bufio.NewReader(c), ""
	for {
		req := &fasthttp.Request{}
		if req.Read(r) != nil {
			return
		}
		n := int(s.orders.Add(1))
		fmt.Fprint(c, late)
		if s.busy.Load() {
			continue
		}
		late = s.respond(n, req)
		fmt.Fprint(c, late)
	}
}

// Guards against keys that are granted to another server while their holder works on them: a late copy of the response to a release is
// taken for the response to the next release.
func TestLateCopyOfReleaseFreesNothing(t *testing.T) {
	for _, x := range []struct {
		name    string
		respond func(n int, req *fasthttp.Request) string
	}{
		{"the server echoes ids", func(_ int, req *fasthttp.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nOrder-Id: %s\r\nHandover: h\r\nContent-Length: 0\r\n\r\n", req.Header.Peek("Order-Id"))
		}},
		{"it doesn't, handovers differ", func(n int, _ *fasthttp.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nHandover: h%d\r\nContent-Length: 0\r\n\r\n", n)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := &copyingServer{respond: x.respond}
			g := New(Options{OrderCodec: fakeCodec{}, OrderIDHeader: "Order-Id"})
			g.links, g.servers = map[ident.Server]*link{}, map[ident.Server]*site.Server{"a": {ID: "a", Born: 1, Addr: s.start(t)}}
			l := g.link(hold.Incarnation{Server: "a", Born: 1})
			t.Cleanup(l.close)
			release := func() hold.Outcome {
				req, resp := &fasthttp.Request{}, &fasthttp.Response{}
				g.fillOrder(req, l, hold.Release{})
				r := l.releases.Do(t.Context(), conns.Call{Deadline: time.Now().Add(200 * time.Millisecond)}, req, resp)
				return g.result(hold.Release{}, r, resp).Outcome
			}
			require.Equal(t, hold.Accepted, release())
			s.busy.Store(true)
			require.Equal(t, hold.Silent, release(), "only the copy has arrived")
			s.busy.Store(false)
			require.Equal(t, hold.Accepted, release())
			require.EqualValues(t, 3, s.orders.Load())
		})
	}
}

// extraServer answers each order with the text of answer, except for busy ones: it sends extra at the place of their answers, as a late
// response to an earlier order.
type extraServer struct {
	answer, extra string
	busy          atomic.Bool
	orders        atomic.Int32
}

func (s *extraServer) start(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (s *extraServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req := &fasthttp.Request{}
		if req.Read(r) != nil {
			return
		}
		s.orders.Add(1)
		switch {
		case !s.busy.Load():
			fmt.Fprint(c, s.answer)
		case n > 0:
			fmt.Fprint(c, s.extra)
		}
	}
}

// newTestGranter returns a granter that knows one server, a, and its link.
func newTestGranter(t *testing.T, addr netip.AddrPort) (*Granter, *link) {
	g := New(Options{OrderCodec: fakeCodec{}, OrderIDHeader: "Order-Id"})
	g.group = group.New(t.Context())
	g.links, g.servers = map[ident.Server]*link{}, map[ident.Server]*site.Server{"a": {ID: "a", Born: 1, Addr: addr}}
	l := g.link(hold.Incarnation{Server: "a", Born: 1})
	t.Cleanup(func() {
		g.group.Stop()
		l.close()
	})
	return g, l
}

func orderDeadline() conns.Call {
	return conns.Call{Deadline: time.Now().Add(200 * time.Millisecond)}
}

// Guards against keys that are granted to another server while their holder works on them: a late response to an earlier release, which
// differs from it, is taken for the response to the next one.
func TestExtraResponseReleasesNothing(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nHandover: h1\r\nContent-Length: 0\r\n\r\n"
	for name, extra := range map[string]string{
		"empty":            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"another handover": "HTTP/1.1 200 OK\r\nHandover: h2\r\nContent-Length: 0\r\n\r\n",
		"with a body":      "HTTP/1.1 200 OK\r\nHandover: h1\r\nContent-Length: 2\r\n\r\nok",
		"misdirected":      "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"malformed":        "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := &extraServer{answer: first, extra: extra}
			g, l := newTestGranter(t, s.start(t))
			release := func() hold.Outcome {
				req, resp := &fasthttp.Request{}, &fasthttp.Response{}
				g.fillOrder(req, l, hold.Release{})
				r := l.releases.Do(t.Context(), orderDeadline(), req, resp)
				return g.result(hold.Release{}, r, resp).Outcome
			}
			require.Equal(t, hold.Accepted, release())
			s.busy.Store(true)
			require.Equal(t, hold.Silent, release())
			s.busy.Store(false)
			require.Equal(t, hold.Accepted, release())
			require.EqualValues(t, 3, s.orders.Load())
		})
	}
}

// Guards against an incarnation that is taken for ended, and its keys granted to another server, because of a late response to an
// earlier order; a server that has ended is recognised by the next grant.
func TestExtraResponseToGrantEndsNoServer(t *testing.T) {
	const misdirected = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	s := &extraServer{answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", extra: misdirected}
	g, l := newTestGranter(t, s.start(t))
	grant := func() (hold.Outcome, bool) {
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		g.fillOrder(req, l, hold.Grant{})
		r, lost := g.sendGrant(t.Context(), l, orderDeadline(), req, resp)
		return g.result(hold.Grant{}, r, resp).Outcome, lost
	}
	end, lost := grant()
	require.Equal(t, hold.Accepted, end)
	require.False(t, lost)
	s.busy.Store(true)
	end, lost = grant()
	require.Equal(t, hold.Silent, end)
	require.True(t, lost, "the connection must not be used again")

	s.answer = misdirected
	s.busy.Store(false)
	require.Eventually(t, func() bool { // the spare connection may just be opened
		end, _ = grant()
		return end != hold.NotSent
	}, time.Second, 10*time.Millisecond)
	require.Equal(t, hold.Ended, end, "the response on a new connection can't be another order's")
}

// Guards against a renewal that reaches the next incarnation of a server: the connection over which the server accepted the grant is
// lost, and the renewals queued behind the one that finds out must not be sent over the spare connection.
func TestQueuedRenewalIsNotSentOverSpareConnection(t *testing.T) {
	s := &extraServer{answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}
	g, l := newTestGranter(t, s.start(t))
	send := func(o hold.Grant) hold.Result { return sendTestGrant(t, g, l, o) }
	granted := send(hold.Grant{})
	require.Equal(t, hold.Accepted, granted.Outcome)
	require.Eventually(t, l.spare.HasIdle, time.Second, 10*time.Millisecond)
	l.grants.CloseIdle() // as if the server had closed it
	renewal := hold.Grant{Renewal: true, Connection: granted.Connection}
	require.Equal(t, hold.NotSent, send(renewal).Outcome)
	require.Equal(t, hold.NotSent, send(renewal).Outcome)
	require.EqualValues(t, 1, s.orders.Load())

	again := send(hold.Grant{})
	require.Equal(t, hold.Accepted, again.Outcome)
	require.Equal(t, hold.Accepted, send(hold.Grant{Renewal: true, Connection: again.Connection}).Outcome)
}
