package relay

import (
	"context"
	"io"
	"net/netip"
	"runtime"
	"sync"
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
	"heatherrouter/io/peer"
	"heatherrouter/io/send"
	"heatherrouter/io/wire"
)

// answering is a peer that answers each exchange with the head given, or else with the bytes, once it has its whole body.
type answering struct {
	head  *wire.ExchangeAnswer
	bytes string
}

func (answering) Call(context.Context, ident.Daemon, *wire.Call) *wire.Reply { return nil }

func (a answering) Exchange(_ context.Context, _ ident.Daemon, x *peer.Exchange) {
	_, _ = io.ReadAll(x)
	if a.head == nil {
		_ = writeBody(x, []byte(a.bytes))
		return
	}
	_ = x.WriteResponse(a.head)
	_ = writeBody(x, []byte("twelve bytes"))
}

type addrs map[ident.Daemon]netip.AddrPort

func (a addrs) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	x, ok := a[d]
	return x, ok
}

// newClient returns a Client of the peer "b", which the handler serves.
func newClient(t *testing.T, h peer.Handler) *Client {
	a, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	book := addrs{}
	start := func(d ident.Daemon) *peer.Transport {
		f, err := a.IssueCertificate(d)
		require.NoError(t, err)
		l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		k, err := keys.New(f, l)
		require.NoError(t, err)
		p, err := peer.New(t.Context(), peer.Options{
			Self: d, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Resolver: book, TLS: k, Handler: h, Log: l,
		})
		require.NoError(t, err)
		t.Cleanup(p.Stop)
		return p
	}
	book["b"] = start("b").Addr()
	return NewClient(clock.New(), start("a"))
}

func (k *Client) sendTest(t *testing.T) (send.RelayResult, *fasthttp.Response) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetBodyString("body")
	now := k.clock.Now()
	require.Greater(t, now, mono.Time(0))
	return k.Send(t.Context(), "b", &send.Relayed{Request: req, ID: "r", Deadline: now.Add(10 * time.Second)}, resp), resp
}

// Guards against a caller that gets an answer of a peer whose status no response has: fasthttp makes 200 of 0.
func TestStatusOfPeerThatIsNoAnswer(t *testing.T) {
	for _, v := range []uint32{0, 1, 20, 99, 100, 101, 199, 600, 999, 2000, 1 << 31, 1<<32 - 1} {
		k := newClient(t, answering{head: &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: v, BodyFollows: true, BodySize: 12}})
		r, resp := k.sendTest(t)
		require.Equal(t, retry.Unknown, r.Outcome, "status %d, body %q", v, resp.Body())
		require.Empty(t, resp.Body())
	}
	for _, v := range []uint32{200, 299, 404, 503, 599} {
		k := newClient(t, answering{head: &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: v, BodyFollows: true, BodySize: 12}})
		r, resp := k.sendTest(t)
		require.Equal(t, retry.Answered, r.Outcome, "status %d", v)
		require.Equal(t, int(v), resp.StatusCode())
		require.Equal(t, "twelve bytes", string(resp.Body()))
	}
}

// Guards against a request that is promised not to have run, or is run again, although the peer had all of it: what the peer sent is no
// answer.
func TestRequestWithoutAnswerOfPeerMayHaveRun(t *testing.T) {
	for name, v := range map[string]string{
		"nothing": "", "empty frame": "\x00\x00\x00\x00", "reply of another kind": "\x00\x00\x00\x02\x2a\x00", "no message": "\x00\x00\x00\x01\xff",
		"a part of a frame": "\x00\x00\x00\x09\x1a", "frame beyond the limit": "\xff\xff\xff\xff\x1a",
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newClient(t, answering{bytes: v}).sendTest(t)
			require.Equal(t, retry.Unknown, r.Outcome)
			require.False(t, r.Failed)
		})
	}
	for _, size := range []int64{-1, 0, 11, 13, maxBodyBytes + 1} {
		head := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, BodyFollows: true, BodySize: size}
		r, _ := newClient(t, answering{head: head}).sendTest(t)
		require.Equal(t, retry.Unknown, r.Outcome, "body of %d bytes announced", size)
	}
}

// Guards against a daemon that runs out of memory because a faulty peer answers the requests handed to it with heads as large as any message.
func TestLargeHeadsOfPeerTakeLittleMemory(t *testing.T) {
	const requests, most = 40, 64 << 20
	k := newClient(t, answering{bytes: "\x00\xff\xff\xff\x1a"})
	k.sendTest(t) // connects
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before := m.TotalAlloc
	var w sync.WaitGroup
	for range requests {
		w.Go(func() {
			if r, _ := k.sendTest(t); r.Outcome != retry.Unknown || r.Failed {
				t.Errorf("%+v", r)
			}
		})
	}
	w.Wait()
	runtime.ReadMemStats(&m)
	require.Less(t, m.TotalAlloc-before, uint64(most))
}
