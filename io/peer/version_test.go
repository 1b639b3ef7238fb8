package peer_test

import (
	"context"
	"encoding/binary"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/ident"
	"heatherrouter/io/clock"
	"heatherrouter/io/keys"
	"heatherrouter/io/keys/keytest"
	"heatherrouter/io/wire"
)

// servePeer answers calls like a daemon of an earlier version, after the delay and with what stamp adds.
func servePeer(t *testing.T, a *keytest.Authority, d ident.Daemon, delay time.Duration, stamp func(*wire.Call, *wire.Reply)) netip.AddrPort {
	f, err := a.IssueCertificate(d)
	require.NoError(t, err)
	k, err := keys.New(f, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	require.NoError(t, err)
	l, err := quic.ListenAddr("127.0.0.1:0", k.Server(), &quic.Config{MaxIncomingStreams: 100})
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(s *quic.Stream) {
		var kind [1]byte
		if _, err := io.ReadFull(s, kind[:]); err != nil {
			return
		}
		for {
			var head [4]byte
			if _, err := io.ReadFull(s, head[:]); err != nil {
				return
			}
			b := make([]byte, binary.BigEndian.Uint32(head[:]))
			if _, err := io.ReadFull(s, b); err != nil {
				return
			}
			m := &wire.Call{}
			if proto.Unmarshal(b, m) != nil {
				return
			}
			r := &wire.Reply{Id: m.GetId(), Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{Reason: "not-served"}}}
			if m.GetSync() != nil {
				r.Body = &wire.Reply_Sync{Sync: &wire.SyncReply{}}
			}
			stamp(m, r)
			time.Sleep(delay)
			b, _ = proto.Marshal(r)
			_, _ = s.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
		}
	}
	go func() {
		for {
			q, err := l.Accept(context.Background())
			if err != nil {
				return
			}
			go func() {
				for {
					s, err := q.AcceptStream(context.Background())
					if err != nil {
						return
					}
					go serve(s)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against daemons of two versions that can't reach each other while one after the other is updated.
func TestPeerOfEarlierVersionIsReached(t *testing.T) {
	a, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	b := &addrBook{addrs: map[ident.Daemon]netip.AddrPort{}}
	p := newTransport(t, a, b, "h01", io.Discard)
	b.set("h02", servePeer(t, a, "h02", 0, func(*wire.Call, *wire.Reply) {}))
	c, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	for range 5 {
		if _, err = p.Call(c, "h02", &wire.Call{Body: &wire.Call_Sync{Sync: &wire.Sync{}}}); err == nil {
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	if n := p.Traffic().Conns; n > 1 {
		t.Errorf("%d connections are open", n)
	}
	require.NoError(t, err)
}

// Guards against connections that pile up at a daemon which is slow to answer, and is reached by none of them.
func TestSlowPeerIsReached(t *testing.T) {
	a, err := keytest.New(t.TempDir(), "authority")
	require.NoError(t, err)
	b := &addrBook{addrs: map[ident.Daemon]netip.AddrPort{}}
	p := newTransport(t, a, b, "h01", io.Discard)
	k := clock.New()
	b.set("h02", servePeer(t, a, "h02", 900*time.Millisecond, func(m *wire.Call, r *wire.Reply) {
		r.ClockUs = uint64(k.SinceBoot().Microseconds()) //nolint:gosec // a time
		if m.GetClock() != nil {
			r.Body = nil
		}
	}))
	c, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	for c.Err() == nil {
		if _, err = p.Call(c, "h02", &wire.Call{Body: &wire.Call_Sync{Sync: &wire.Sync{}}}); err == nil {
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	if n := p.Traffic().Conns; n > 1 {
		t.Errorf("%d connections are open", n)
	}
	require.NoError(t, err)
}
