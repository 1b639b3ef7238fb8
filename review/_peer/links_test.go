// Package peer shows what happens to calls between two daemons that dial each other at the same moment.
package peer

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
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

const (
	rounds     = 6
	pairs      = 100 // pairs of daemons in a round
	callers    = 2   // on each side of a pair
	serverTime = 100 * time.Millisecond
	duration   = 4 * time.Second // past the 3 s after which a replaced connection is closed
)

// TestCallsSurviveReplacedConnections guards against both connections of a pair being closed as replaced: both sides
// must keep the same one, so that no call is cut off while both daemons run.
func TestCallsSurviveReplacedConnections(t *testing.T) {
	for i := range rounds {
		t.Run(fmt.Sprint(i), callPairs)
	}
}

func callPairs(t *testing.T) {
	var group sync.WaitGroup
	for i := range pairs {
		p, q := newPair(t)
		end := time.Now().Add(duration)
		for range callers {
			group.Go(func() { callUntil(t, end, p, "h02", i) })
			group.Go(func() { callUntil(t, end, q, "h01", i) })
		}
	}
	group.Wait()
}

// callUntil makes one call after the other and reports those that were cut off. A call that wasn't sent, as after a
// handshake that took too long, is repeated.
func callUntil(t *testing.T, end time.Time, from *peer.Transport, to ident.Daemon, pair int) {
	for begun := time.Now(); time.Now().Before(end); {
		c, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		_, err := from.Call(c, to, &wire.Call{Body: &wire.Call_Exchange{Exchange: &wire.Exchange{}}})
		cancel()
		switch {
		case err == nil:
		case peer.MaybeSent(err):
			t.Errorf("pair %d, call to %s, %v after the first: %v", pair, to, time.Since(begun).Round(time.Millisecond), err)
		default:
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// server responds to each call after serverTime.
type server struct{}

func (server) Call(context.Context, ident.Daemon, *wire.Call) *wire.Reply {
	time.Sleep(serverTime)
	return &wire.Reply{Body: &wire.Reply_Exchange{Exchange: &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_ANSWERED}}}
}

func (server) Exchange(context.Context, ident.Daemon, *peer.Exchange) {}

// addresses holds the peer addresses of a pair.
type addresses struct {
	mu sync.Mutex
	of map[ident.Daemon]netip.AddrPort
}

func (a *addresses) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.of[d]
	return p, ok
}

func newPair(t *testing.T) (p, q *peer.Transport) {
	t.Helper()
	authority, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	a := &addresses{of: map[ident.Daemon]netip.AddrPort{}}
	start := func(self ident.Daemon) *peer.Transport {
		f, err := authority.IssueCertificate(self)
		require.NoError(t, err)
		l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		k, err := keys.New(f, l)
		require.NoError(t, err)
		x, err := peer.New(context.Background(), peer.Options{
			Self: self, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Resolver: a, TLS: k, Handler: server{}, Clock: clock.New(), Log: l,
		})
		require.NoError(t, err)
		t.Cleanup(x.Stop)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.of[self] = x.Addr()
		return x
	}
	return start("h01"), start("h02")
}
