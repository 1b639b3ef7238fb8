package relay_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/retry"
	"heatherrouter/io/clock"
	"heatherrouter/io/keys"
	"heatherrouter/io/keys/keytest"
	"heatherrouter/io/memory"
	"heatherrouter/io/peer"
	"heatherrouter/io/relay"
	"heatherrouter/io/send"
	"heatherrouter/io/wire"
)

// addresses are the peer addresses of daemons.
type addresses map[ident.Daemon]netip.AddrPort

// Addr implements peer.Resolver.
func (a addresses) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	x, ok := a[d]
	return x, ok
}

// exchanges passes exchanges to a function and serves no calls.
type exchanges func(c context.Context, from ident.Daemon, x *peer.Exchange)

func (exchanges) Call(context.Context, ident.Daemon, *wire.Call) *wire.Reply { return nil }

func (f exchanges) Exchange(c context.Context, from ident.Daemon, x *peer.Exchange) { f(c, from, x) }

// newPeers returns the transport of daemon h01 whose peer h02 serves exchanges by the function.
func newPeers(t *testing.T, serve exchanges) *peer.Transport {
	t.Helper()
	a, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	known := addresses{}
	start := func(d ident.Daemon) *peer.Transport {
		f, err := a.IssueCertificate(d)
		require.NoError(t, err)
		k, err := keys.New(f, l)
		require.NoError(t, err)
		p, err := peer.New(t.Context(), peer.Options{
			Self: d, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Resolver: known, TLS: k, Handler: serve, Clock: clock.New(), Log: l,
		})
		require.NoError(t, err)
		t.Cleanup(p.Stop)
		return p
	}
	known["h02"] = start("h02").Addr()
	return start("h01")
}

func request(k *clock.Clock, remaining time.Duration) *send.Relayed {
	return &send.Relayed{Request: &fasthttp.Request{}, ID: "a", Service: "s", Deadline: k.Now().Add(remaining), Memory: &memory.Reservation{}}
}

// Guards against a request that is sent again, or whose caller is answered, while a peer that hasn't answered may still send it.
func TestUnansweredRequestWaitsForTheEndOfItsPeriod(t *testing.T) {
	var head *wire.Exchange
	p := newPeers(t, func(_ context.Context, _ ident.Daemon, x *peer.Exchange) {
		head = x.Head
		x.Abort()
	})
	k := clock.New()
	began := k.Now()
	r := relay.NewClient(k, p).Send(t.Context(), "h02", request(k, 5*time.Second), &fasthttp.Response{})
	require.Equal(t, retry.Unknown, r.Outcome)
	period := time.Duration(head.GetValidUs()) * time.Microsecond //nolint:gosec // a time
	require.Positive(t, period)
	require.GreaterOrEqual(t, k.Now().Sub(began), period)
	began = k.Now()
	r = relay.NewClient(k, p).Send(t.Context(), "h02", request(k, period/4), &fasthttp.Response{})
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Less(t, k.Now().Sub(began), period, "the peer's deadline is no later than the caller's")
}

// sentTimes is a Handler that records until when it may send a request.
type sentTimes struct{ handed chan *send.Relayed }

func (s sentTimes) Priority(*fasthttp.RequestHeader) int { return 0 }

func (s sentTimes) HandleRelayed(_ context.Context, _ ident.Daemon, x *send.Relayed, _ *fasthttp.Response) send.RelayResult {
	s.handed <- x
	return send.RelayResult{Outcome: retry.NotRun}
}

// Guards against a deadline that counts from when a paused process reads the request.
func TestTimesOfRequestThatLayUnreadCountFromItsSending(t *testing.T) {
	const unread = 3 * time.Second
	k, h := clock.New(), sentTimes{handed: make(chan *send.Relayed, 1)}
	s := relay.NewServer(k, h, nil, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	p := newPeers(t, s.Serve)
	asOf, sentAt := k.SinceBoot()-unread, k.Now().Add(-unread)
	e, err := p.OpenExchange(t.Context(), "h02", &wire.Exchange{
		Method: "GET", Uri: []byte("/"), RemainingUs: uint64((2 * time.Second).Microseconds()), ValidUs: 1000, BodyFollows: true,
	}, asOf)
	require.NoError(t, err)
	require.NoError(t, e.Close())
	x := <-h.handed
	require.LessOrEqual(t, x.Deadline, sentAt.Add(2*time.Second+time.Millisecond))
	require.LessOrEqual(t, x.SendEnd, asOf+time.Millisecond)
	_, err = e.ReadResponse()
	require.NoError(t, err)
}
