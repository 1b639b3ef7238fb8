package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/keys"
	"heatherrouter/io/keys/keytest"
	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

type book struct {
	mu    sync.Mutex
	addrs map[ident.Daemon]netip.AddrPort
}

func (b *book) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.addrs[d]
	return a, ok
}

func (b *book) set(d ident.Daemon, a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[d] = a
}

// echo answers exchanges with their own body; the kind "hang" is never answered, "cut" is cut in its body.
type echo struct{}

func (echo) Call(c context.Context, _ ident.Daemon, m *wire.Call) *wire.Reply {
	x := m.GetExchange()
	if x.GetKind() == "hang" {
		<-c.Done()
	}
	a := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, Body: x.GetBody()}
	return &wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}}
}

func (echo) Exchange(_ context.Context, _ ident.Daemon, x *peer.Exchange) {
	b, err := io.ReadAll(x)
	if err != nil {
		x.Cut()
		return
	}
	_ = x.Answer(&wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, BodyFollows: true})
	if x.Head.GetKind() == "cut" {
		_, _ = x.Write(b[:len(b)/2])
		x.Cut()
		return
	}
	_, _ = x.Write(b)
	_ = x.Close()
}

func newTransport(t testing.TB, a *keytest.Authority, b *book, d ident.Daemon, w io.Writer) *peer.Transport {
	f, err := a.IssueCertificate(d)
	require.NoError(t, err)
	l := &log.Logger{Writer: &log.IOWriter{Writer: w}}
	k, err := keys.New(f, l)
	require.NoError(t, err)
	p, err := peer.New(context.Background(), peer.Options{
		Self: d, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Book: b, TLS: k, Handler: echo{}, Log: l,
	})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	b.set(d, p.Addr())
	return p
}

func pair(t testing.TB) (*peer.Transport, *peer.Transport) {
	a, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	b := &book{addrs: map[ident.Daemon]netip.AddrPort{}}
	return newTransport(t, a, b, "h01", io.Discard), newTransport(t, a, b, "h02", io.Discard)
}

func exchange(kind string, body []byte) *wire.Call {
	return &wire.Call{Body: &wire.Call_Exchange{Exchange: &wire.Exchange{Kind: kind, Body: body}}}
}

func TestCall(t *testing.T) {
	p, _ := pair(t)
	var w sync.WaitGroup
	for i := range 200 {
		w.Go(func() {
			body := bytes.Repeat([]byte{byte(i)}, 100+i)
			r, err := p.Call(t.Context(), "h02", exchange("echo", body))
			if err != nil || !bytes.Equal(body, r.GetExchange().GetBody()) {
				t.Errorf("call %d: %v, or another call's answer", i, err)
			}
		})
	}
	w.Wait()
}

// The caller gets its error at once and knows that nothing was sent, since no address is known or nobody
// listens there: so even a request that must not run twice may go elsewhere.
func TestCallNotSent(t *testing.T) {
	p, q := pair(t)
	_, err := p.Call(t.Context(), "h09", exchange("echo", nil))
	require.False(t, peer.MaybeSent(err))
	q.Stop()
	_, err = p.Call(t.Context(), "h02", exchange("echo", nil))
	require.Error(t, err)
	require.False(t, peer.MaybeSent(err), "%v", err)
}

// The peer takes the call and never answers; the caller's deadline passes. The caller must not believe
// that the call did not run.
func TestCallUnknown(t *testing.T) {
	p, _ := pair(t)
	c, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := p.Call(c, "h02", exchange("hang", nil))
	require.Error(t, err)
	require.True(t, peer.MaybeSent(err))
}

func TestExchange(t *testing.T) {
	p, _ := pair(t)
	body := bytes.Repeat([]byte("0123456789"), 1<<20)
	x, err := p.Open(t.Context(), "h02", &wire.Exchange{Kind: "echo", BodyFollows: true})
	require.NoError(t, err)
	go func() {
		_, _ = x.Write(body)
		_ = x.Close()
	}()
	_, err = x.ReadAnswer()
	require.NoError(t, err)
	got, err := io.ReadAll(x)
	require.NoError(t, err)
	require.True(t, bytes.Equal(body, got))
}

// The home loses the backend server in the middle of a download. The entry must see an error and not the
// end of the body, or the caller would take half a volume for a whole one.
func TestExchangeCut(t *testing.T) {
	p, _ := pair(t)
	x, err := p.Open(t.Context(), "h02", &wire.Exchange{Kind: "cut", BodyFollows: true})
	require.NoError(t, err)
	_, err = x.Write(make([]byte, 1000))
	require.NoError(t, err)
	require.NoError(t, x.Close())
	_, err = x.ReadAnswer()
	if err == nil {
		_, err = io.ReadAll(x)
	}
	require.Error(t, err)
}

// A daemon with a key of another authority calls. It is refused in the handshake, in both directions, and the
// daemon that refuses logs whose certificate it was.
func TestWrongKey(t *testing.T) {
	good, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	bad, err := keytest.New(t.TempDir(), "stranger")
	require.NoError(t, err)
	b := &book{addrs: map[ident.Daemon]netip.AddrPort{}}
	var l syncBuffer
	p := newTransport(t, good, b, "h01", &l)
	q := newTransport(t, bad, b, "h02", io.Discard)

	_, err = p.Call(t.Context(), "h02", exchange("echo", nil))
	require.Error(t, err)
	_, err = q.Call(t.Context(), "h01", exchange("echo", nil))
	require.Error(t, err)
	require.Contains(t, l.String(), "not trusted here")
	require.Contains(t, l.String(), "h02")
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func BenchmarkCall(b *testing.B) {
	p, _ := pair(b)
	body := make([]byte, 512)
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", n), func(b *testing.B) {
			before := processorTime(b)
			var w sync.WaitGroup
			for range n {
				w.Go(func() {
					for range b.N / n {
						if _, err := p.Call(context.Background(), "h02", exchange("echo", body)); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			w.Wait()
			b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns what this process has used, both ends of the calls included.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSlopeConns measures what connections to other daemons hold in memory; all ends are in this process.
func BenchmarkSlopeConns(b *testing.B) {
	for _, n := range []int{10, 50, 150} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			a, err := keytest.New(b.TempDir(), "authority")
			require.NoError(b, err)
			k := &book{addrs: map[ident.Daemon]netip.AddrPort{}}
			p := newTransport(b, a, k, "h0", io.Discard)
			for i := range n {
				newTransport(b, a, k, ident.Daemon(fmt.Sprintf("p%d", i)), io.Discard)
			}
			before := inUse()
			for range b.N {
				for i := range n {
					_, err := p.Call(context.Background(), ident.Daemon(fmt.Sprintf("p%d", i)), exchange("echo", nil))
					require.NoError(b, err)
				}
			}
			b.ReportMetric(float64(inUse()-before)/float64(n), "B/connection-both-ends")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// inUse returns the bytes of heap and stacks in use.
func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
