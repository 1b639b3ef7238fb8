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
