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
	"heatherrouter/core/mono"
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
	k := clock.New()
	periods := make(chan time.Duration, 1)
	p := newPeers(t, func(_ context.Context, _ ident.Daemon, x *peer.Exchange) {
		end, err := x.ReadPeriod()
		if err == nil {
			periods <- end - k.SinceBoot()
		}
		x.Abort()
	})
	began := k.Now()
	r := relay.NewClient(k, p).Send(t.Context(), "h02", request(k, 5*time.Second), &fasthttp.Response{})
	require.Equal(t, retry.Unknown, r.Outcome)
	period := <-periods
	require.Positive(t, period)
	require.GreaterOrEqual(t, k.Now().Sub(began), period)
	began = k.Now()
	r = relay.NewClient(k, p).Send(t.Context(), "h02", request(k, period/4), &fasthttp.Response{})
	require.Equal(t, retry.Unknown, r.Outcome)
	require.Less(t, k.Now().Sub(began), period, "the peer's deadline is no later than the caller's")
}

// handedOver is a request as a Handler receives it.
type handedOver struct {
	deadline mono.Time
	sendEnd  time.Duration // since the start of the host
	body     string
}

// sentTimes is a Handler that records until when it may send a request.
type sentTimes struct{ handed chan handedOver }

func (s sentTimes) Priority(*fasthttp.RequestHeader) int { return 0 }

func (s sentTimes) HandleRelayed(_ context.Context, _ ident.Daemon, x *send.Relayed, _ *fasthttp.Response) send.RelayResult {
	s.handed <- handedOver{deadline: x.Deadline, sendEnd: x.SendEnd, body: string(x.Request.Body())}
	return send.RelayResult{Outcome: retry.NotRun}
}

// Guards against a deadline, or a period for sending, that counts from when a paused process reads the request.
func TestTimesOfRequestThatLayUnreadCountFromItsSending(t *testing.T) {
	const unread, remaining, period = 3 * time.Second, 2 * time.Second, 100 * time.Millisecond
	k, h := clock.New(), sentTimes{handed: make(chan handedOver, 1)}
	s := relay.NewServer(k, h, nil, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	p := newPeers(t, func(c context.Context, from ident.Daemon, x *peer.Exchange) {
		time.Sleep(2 * period)
		s.Serve(c, from, x)
	})
	asOf, sentAt := k.SinceBoot()-unread, k.Now().Add(-unread)
	e, err := p.OpenExchange(t.Context(), "h02", &wire.Exchange{
		Method: "GET", Uri: []byte("/"), RemainingUs: uint64(remaining.Microseconds()), BodyFollows: true,
	}, asOf)
	require.NoError(t, err)
	end, err := e.CloseWithPeriod(period)
	require.NoError(t, err)
	x := <-h.handed
	require.LessOrEqual(t, x.deadline, sentAt.Add(remaining+time.Millisecond))
	require.LessOrEqual(t, x.sendEnd, end)
	require.InDelta(t, end.Seconds(), x.sendEnd.Seconds(), 0.05)
	_, err = e.ReadResponse()
	require.NoError(t, err)
}

// Guards against uploads that a peer never sends because their bodies take longer than the period for sending, and against a request that is
// sent although its end has not come.
func TestPeriodForSendingBeginsWithTheEndOfTheBody(t *testing.T) {
	const size, period = 4, 100 * time.Millisecond
	k, h := clock.New(), sentTimes{handed: make(chan handedOver, 1)}
	s := relay.NewServer(k, h, nil, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	p := newPeers(t, s.Serve)
	open := func() *peer.Exchange {
		e, err := p.OpenExchange(t.Context(), "h02", &wire.Exchange{
			Method: "POST", Uri: []byte("/"), RemainingUs: uint64(time.Minute.Microseconds()), BodyFollows: true, BodySize: size,
		}, k.SinceBoot())
		require.NoError(t, err)
		_, err = e.Write([]byte("slow")[:size/2])
		require.NoError(t, err)
		return e
	}
	e := open()
	time.Sleep(2 * period)
	_, err := e.Write([]byte("slow")[size/2:])
	require.NoError(t, err)
	begun := k.SinceBoot()
	_, err = e.CloseWithPeriod(period)
	require.NoError(t, err)
	x := <-h.handed
	require.Equal(t, "slow", x.body)
	require.Greater(t, x.sendEnd, begun)
	for _, end := range []func(*peer.Exchange) error{(*peer.Exchange).Close, func(e *peer.Exchange) error {
		_, err := e.CloseWithPeriod(period) // after half of the body
		return err
	}} {
		e := open()
		require.NoError(t, end(e))
		_, err := e.ReadResponse()
		require.Error(t, err)
		require.Empty(t, h.handed)
	}
}
