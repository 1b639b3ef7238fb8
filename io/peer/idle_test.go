package peer

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/clock"
	"heatherrouter/io/keys"
	"heatherrouter/io/keys/keytest"
	"heatherrouter/io/wire"
)

// addresses are the peer addresses of daemons.
type addresses map[ident.Daemon]netip.AddrPort

// Addr implements Resolver.
func (a addresses) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	x, ok := a[d]
	return x, ok
}

// calls passes calls on.
type calls chan *wire.Call

func (c calls) Call(_ context.Context, _ ident.Daemon, m *wire.Call) *wire.Reply {
	c <- m
	return &wire.Reply{}
}

func (calls) Exchange(context.Context, ident.Daemon, *Exchange) {}

// Guards against calls that seem seconds old, and whose deadlines seem over, after a link was without calls for an hour.
func TestCallOnIdleLinkIsNotOld(t *testing.T) {
	a, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	l, known, served := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, addresses{}, make(calls, 2)
	start := func(d ident.Daemon) *Transport {
		f, err := a.IssueCertificate(d)
		require.NoError(t, err)
		k, err := keys.New(f, l)
		require.NoError(t, err)
		p, err := New(t.Context(), Options{
			Self: d, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Resolver: known, TLS: k, Handler: served, Clock: clock.New(), Log: l,
		})
		require.NoError(t, err)
		t.Cleanup(p.Stop)
		return p
	}
	known["h02"] = start("h02").Addr()
	p := start("h01")
	x, err := p.link(t.Context(), "h02")
	require.NoError(t, err)
	require.NoError(t, x.readClock(t.Context()))
	const idle = time.Hour
	x.peerClock.mu.Lock()
	x.peerClock.readAt -= maxReadingAge
	x.peerClock.setAt -= idle
	x.peerClock.mu.Unlock()
	before := p.clock.SinceBoot()
	_, err = p.Call(t.Context(), "h02", &wire.Call{Body: &wire.Call_Exchange{Exchange: &wire.Exchange{}}})
	require.NoError(t, err)
	sent := fromMicros((<-served).GetSentUs())
	require.Less(t, before-sent, idle/clockDriftDivisor, "both have the clock of this host")
}
