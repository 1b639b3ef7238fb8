package send

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/crash"
	"heatherrouter/core/ident"
	"heatherrouter/core/reach"
	"heatherrouter/core/site"
)

// otherDaemon is a Relay to a daemon in the same process, which may send each request for the given time.
type otherDaemon struct {
	sender *Sender
	period time.Duration
	asked  int
}

func (o *otherDaemon) Send(c context.Context, _ ident.Daemon, x *Relayed, resp *fasthttp.Response) RelayResult {
	o.asked++
	y := *x
	y.SendEnd = o.sender.o.Clock.SinceBoot() + o.period
	y.Deadline = o.sender.o.Clock.Now().Add(5 * time.Second)
	return o.sender.HandleRelayed(c, "self", &y, resp)
}

// unreachablePaths is a Paths of a daemon that reaches no server.
type unreachablePaths struct{ noPaths }

func (unreachablePaths) State(*site.Server) (reach.State, reach.Failure) { return reach.Unreachable, 0 }
func (unreachablePaths) Suspected(ident.Service) bool                    { return true }

// cutOffDaemon returns a daemon that reaches no server and hands its requests to five others, for the given time each.
func cutOffDaemon(t *testing.T, peer *Sender, period time.Duration) (*Sender, *otherDaemon) {
	s := newTestSender(t)
	snap := *peer.o.View.Snapshot()
	snap.Daemons = map[ident.Daemon]*site.Daemon{"self": {}}
	for i := range 5 {
		snap.Daemons[ident.Daemon(fmt.Sprint("p", i))] = &site.Daemon{}
	}
	o := &otherDaemon{sender: peer, period: period}
	s.o.View, s.o.Paths, s.o.Relay = staticView{s: snap.BuildIndex()}, unreachablePaths{}, o
	s.relays = reach.NewRelays("self", nil, rand.IntN)
	return s, o
}

// Guards against a 502 for an idempotent request whose first server fails: another one would serve it.
func TestIdempotentRequestIsRepeatedAfterThePeriod(t *testing.T) {
	for _, period := range []time.Duration{time.Minute, 300 * time.Millisecond} {
		for _, answer := range []string{"", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"} {
			t.Run(fmt.Sprint(period, len(answer)), func(t *testing.T) {
				ill := &site.Server{ID: "a", Addr: listen(t, func(c net.Conn, _ *fasthttp.Request) bool {
					time.Sleep(400 * time.Millisecond)
					_, err := fmt.Fprint(c, answer)
					return err == nil && answer != ""
				})}
				well := &site.Server{ID: "b", Addr: listen(t, func(c net.Conn, _ *fasthttp.Request) bool {
					_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok")
					return err == nil
				})}
				peer := newTestSender(t, ill, well)
				peer.o.Guard = calmGuard{}
				peer.backend(ill, false)
				peer.backend(well, false).load.AvoidUntil = peer.o.Clock.Now().Add(100 * time.Millisecond) // so that the request goes to the other one first
				s, o := cutOffDaemon(t, peer, period)
				resp := &fasthttp.Response{}
				s.Handle(t.Context(), testRequest("/safe/x"), resp, nil)
				t.Logf("%d %s, %d peers asked", resp.StatusCode(), resp.Body(), o.asked)
				require.Equal(t, fasthttp.StatusOK, resp.StatusCode(), string(resp.Body()))
			})
		}
	}
}

// Guards against the refusal of a request that waits at peers for a cold server, long before half of its time is over.
func TestRequestWaitsForColdServerAtPeers(t *testing.T) {
	for _, period := range []time.Duration{time.Minute, 300 * time.Millisecond} {
		t.Run(fmt.Sprint(period), func(t *testing.T) {
			x := &site.Server{ID: "a", Addr: listen(t, func(c net.Conn, _ *fasthttp.Request) bool {
				_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok")
				return err == nil
			})}
			peer := newTestSender(t, x)
			x.ColdUntil = peer.o.Clock.Now().Add(2 * time.Second)
			s, o := cutOffDaemon(t, peer, period)
			resp, began := &fasthttp.Response{}, time.Now()
			s.Handle(t.Context(), testRequest("/x"), resp, nil)
			t.Logf("%d %s after %v, %d peers asked", resp.StatusCode(), resp.Body(), time.Since(began), o.asked)
			require.Equal(t, fasthttp.StatusOK, resp.StatusCode(), string(resp.Body()))
		})
	}
}

// calmGuard is a Guard that blames no request for an interrupted run.
type calmGuard struct{ noGuard }

func (calmGuard) Interrupted(*site.Server, crash.Run) <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
