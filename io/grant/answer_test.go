package grant

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
)

// noAnswers are bytes that are no response to an order.
func noAnswers() map[string]string {
	m := map[string]string{
		"nothing behind 100": "HTTP/1.1 100 Continue\r\n\r\n",
		"nothing behind 103": "HTTP/1.1 103 Early Hints\r\n\r\n",
		"000 before 200":     "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"101 before 200":     "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	for _, v := range []string{"000", "20", "2000", "099", "600", "999", "2 0", "abc", ""} {
		m["status "+v] = "HTTP/1.1 " + v + " OK\r\nHandover: h\r\nContent-Length: 0\r\n\r\n"
	}
	return m
}

// Guards against keys that are taken for granted or free because of bytes that are no response: the first ones of a connection, or those
// to a later order.
func TestNoAnswerIsNoResultOfOrder(t *testing.T) {
	for name, v := range noAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, first := range []bool{true, false} {
				s := &extraServer{answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", extra: v}
				if first {
					s.answer = v
				}
				g, l := newTestGranter(t, s.start(t))
				g.o.OrderIDHeader = "" // so that the connection for releases is used again
				orders := map[string]func() hold.Result{
					"grant": func() hold.Result { return sendTestGrant(t, g, l, hold.Grant{}) },
					"release": func() hold.Result {
						req, resp := &fasthttp.Request{}, &fasthttp.Response{}
						g.fillOrder(req, l, hold.Release{})
						return g.result(hold.Release{}, l.releases.Do(t.Context(), orderDeadline(), req, resp), resp)
					},
				}
				for order, send := range orders {
					s.busy.Store(false)
					if !first {
						require.Equal(t, hold.Accepted, send().Outcome)
						s.busy.Store(true)
					}
					r := send()
					require.Equal(t, hold.Silent, r.Outcome, order)
					require.Empty(t, r.Handover, order)
				}
			}
		})
	}
}

// endless sends the start and then more until its connection ends.
type endless struct{ start, more string }

func (e endless) listen(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4<<10))
				_, err := fmt.Fprint(c, e.start)
				for err == nil {
					_, err = fmt.Fprint(c, e.more)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// heapPeak returns the largest heap during f, beyond that before it.
func heapPeak(f func()) uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, m.HeapAlloc
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
		}
	}()
	f()
	close(stop)
	<-stopped
	return peak - before
}

// Guards against a coordinator that runs out of memory because some hundred servers answer orders and health checks without end.
func TestEndlessResponsesToOrdersTakeLittleMemory(t *testing.T) {
	const servers, most = 200, 48 << 20
	filler := strings.Repeat("a", 16<<10)
	for name, e := range map[string]endless{
		"header":        {"HTTP/1.1 200 OK\r\nA: ", filler},
		"stated length": {"HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", filler},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(Options{OrderCodec: healthCodec{}, Clock: clock.New()})
			g.group = group.New(t.Context())
			g.links, g.servers = map[ident.Server]*link{}, map[ident.Server]*site.Server{}
			var links []*link
			for i := range servers {
				id := ident.Server(fmt.Sprint(i))
				g.servers[id] = &site.Server{ID: id, Born: 1, Addr: e.listen(t)}
				links = append(links, g.link(hold.Incarnation{Server: id, Born: 1}))
			}
			t.Cleanup(func() {
				g.group.Stop()
				for _, l := range links {
					l.close()
				}
			})
			peak := heapPeak(func() {
				var w sync.WaitGroup
				for _, l := range links {
					w.Go(func() {
						req, resp := &fasthttp.Request{}, &fasthttp.Response{}
						g.fillOrder(req, l, hold.Release{})
						call := orderDeadline()
						call.Deadline = call.Deadline.Add(time.Second)
						r := l.releases.Do(t.Context(), call, req, resp)
						if o := g.result(hold.Release{}, r, resp).Outcome; o != hold.Silent && o != hold.NotSent {
							t.Errorf("outcome %v", o)
						}
					})
					w.Go(func() {
						if o := sendTestGrant(t, g, l, hold.Grant{}).Outcome; o != hold.Silent && o != hold.NotSent {
							t.Errorf("outcome %v", o)
						}
					})
					w.Go(func() { g.probe(t.Context(), l, "/health") })
				}
				w.Wait()
			})
			t.Logf("peak %d MiB", peak>>20)
			require.Less(t, peak, uint64(most))
			require.Zero(t, g.survey.Slowdown(g.o.Clock.Now(), report.TargetOf(g.servers["0"])))
		})
	}
}
