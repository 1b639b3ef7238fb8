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
	"heatherrouter/io/clock"
	"heatherrouter/io/keys"
	"heatherrouter/io/keys/keytest"
	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

type addrBook struct {
	mu    sync.Mutex
	addrs map[ident.Daemon]netip.AddrPort
}

func (b *addrBook) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.addrs[d]
	return a, ok
}

func (b *addrBook) set(d ident.Daemon, a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[d] = a
}

// echo responds to exchanges with their own body. It never responds to kind "hang", responds to kind "slow" after answerDelay, and truncates
// the body for kind "truncate".
type echo struct{}

const answerDelay = 100 * time.Millisecond

func (echo) Call(c context.Context, _ ident.Daemon, m *wire.Call) *wire.Reply {
	x := m.GetExchange()
	if x.GetKind() == "hang" {
		<-c.Done()
	}
	if x.GetKind() == "slow" {
		time.Sleep(answerDelay)
	}
	a := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, Body: x.GetBody()}
	return &wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}}
}

func (echo) Exchange(_ context.Context, _ ident.Daemon, x *peer.Exchange) {
	b, err := io.ReadAll(x)
	if err != nil {
		x.Abort()
		return
	}
	a := &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: 200, BodyFollows: true}
	if x.Head.GetKind() == "age" {
		a.Status = uint32(x.SentAt.Milliseconds()) //nolint:gosec // a time
	}
	_ = x.WriteResponse(a)
	if x.Head.GetKind() == "truncate" {
		_, _ = x.Write(b[:len(b)/2])
		x.Abort()
		return
	}
	_, _ = x.Write(b)
	_ = x.Close()
}

func newTransport(t testing.TB, a *keytest.Authority, b *addrBook, d ident.Daemon, w io.Writer) *peer.Transport {
	f, err := a.IssueCertificate(d)
	require.NoError(t, err)
	l := &log.Logger{Writer: &log.IOWriter{Writer: w}}
	k, err := keys.New(f, l)
	require.NoError(t, err)
	p, err := peer.New(context.Background(), peer.Options{
		Self: d, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Resolver: b, TLS: k, Handler: echo{}, Clock: clock.New(), Log: l,
	})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	b.set(d, p.Addr())
	return p
}

func pair(t testing.TB) (*peer.Transport, *peer.Transport) {
	a, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	b := &addrBook{addrs: map[ident.Daemon]netip.AddrPort{}}
	return newTransport(t, a, b, "h01", io.Discard), newTransport(t, a, b, "h02", io.Discard)
}

// Guards against times in messages that count from when they are read: both sides tell when a message was sent, by the clock of its
// receiver.
func TestMessagesTellWhenTheyWereSent(t *testing.T) {
	k := clock.New()
	begun := k.SinceBoot()
	p, q := pair(t)
	for range 3 {
		before := k.SinceBoot()
		r, err := p.Call(t.Context(), "h02", exchange("slow", nil))
		require.NoError(t, err)
		sent := time.Duration(r.GetSentUs()) * time.Microsecond //nolint:gosec // a time
		require.GreaterOrEqual(t, sent, before+answerDelay-answerDelay/50-time.Millisecond, "but for the drift of the clocks")
		require.LessOrEqual(t, sent, k.SinceBoot())
	}
	const age = 3 * time.Second
	asOf := k.SinceBoot() - age
	x, err := q.OpenExchange(t.Context(), "h01", &wire.Exchange{Kind: "age"}, asOf)
	require.NoError(t, err)
	require.NoError(t, x.Close())
	a, err := x.ReadResponse()
	require.NoError(t, err)
	require.LessOrEqual(t, time.Duration(a.GetStatus())*time.Millisecond, asOf, "both ends have the clock of this host")
	longestDelay := k.SinceBoot() - begun // of a reading of the other end's clock
	require.GreaterOrEqual(t, time.Duration(a.GetStatus()+1)*time.Millisecond, asOf-longestDelay)
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
				t.Errorf("call %d: %v, or the reply of another call", i, err)
			}
		})
	}
	w.Wait()
}

// A call that fails because no address is known or no daemon listens there returns at once and is certainly not sent,
// so even a request that must not run twice may go elsewhere.
func TestCallNotSent(t *testing.T) {
	p, q := pair(t)
	_, err := p.Call(t.Context(), "h09", exchange("echo", nil))
	require.False(t, peer.MaybeSent(err))
	q.Stop()
	_, err = p.Call(t.Context(), "h02", exchange("echo", nil))
	require.Error(t, err)
	require.False(t, peer.MaybeSent(err), "%v", err)
}

// Guards against reporting a call as not run that may have run: the peer receives it and does not reply before the
// caller's deadline.
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
	x, err := p.OpenExchange(t.Context(), "h02", &wire.Exchange{Kind: "echo", BodyFollows: true}, clock.New().SinceBoot())
	require.NoError(t, err)
	go func() {
		_, _ = x.Write(body)
		_ = x.Close()
	}()
	_, err = x.ReadResponse()
	require.NoError(t, err)
	got, err := io.ReadAll(x)
	require.NoError(t, err)
	require.True(t, bytes.Equal(body, got))
}

// Guards against a truncated download that looks whole. The home loses the backend server in the middle of the body;
// the entry daemon must get an error instead of the end of the body.
func TestExchangeTruncated(t *testing.T) {
	p, _ := pair(t)
	x, err := p.OpenExchange(t.Context(), "h02", &wire.Exchange{Kind: "truncate", BodyFollows: true}, clock.New().SinceBoot())
	require.NoError(t, err)
	_, err = x.Write(make([]byte, 1000))
	require.NoError(t, err)
	require.NoError(t, x.Close())
	_, err = x.ReadResponse()
	if err == nil {
		_, err = io.ReadAll(x)
	}
	require.Error(t, err)
}

// Guards against accepting a daemon with a certificate of another authority. The handshake must fail in both
// directions, and the refusing daemon logs whose certificate it was.
func TestUntrustedAuthority(t *testing.T) {
	good, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	bad, err := keytest.New(t.TempDir(), "stranger")
	require.NoError(t, err)
	b := &addrBook{addrs: map[ident.Daemon]netip.AddrPort{}}
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
			before := cpuTime(b)
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
			b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the CPU time that this process has used; it includes both ends of the calls.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSlopeConns measures the memory of connections to other daemons; all ends are in this process.
func BenchmarkSlopeConns(b *testing.B) {
	for _, n := range []int{10, 50, 150} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			a, err := keytest.New(b.TempDir(), "authority")
			require.NoError(b, err)
			k := &addrBook{addrs: map[ident.Daemon]netip.AddrPort{}}
			p := newTransport(b, a, k, "h0", io.Discard)
			for i := range n {
				newTransport(b, a, k, ident.Daemon(fmt.Sprintf("p%d", i)), io.Discard)
			}
			before := memoryInUse()
			for range b.N {
				for i := range n {
					_, err := p.Call(context.Background(), ident.Daemon(fmt.Sprintf("p%d", i)), exchange("echo", nil))
					require.NoError(b, err)
				}
			}
			b.ReportMetric(float64(memoryInUse()-before)/float64(n), "B/connection-both-ends")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
