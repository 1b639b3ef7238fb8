package node

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/io/store"
)

// silentStore answers nothing.
type silentStore struct{}

func (silentStore) List(c context.Context, _ store.Table) (store.Page, error) {
	<-c.Done()
	return store.Page{}, c.Err()
}

func (silentStore) Follow(c context.Context, _ store.Table, _ store.Rev, _ time.Duration) (store.Page, error) {
	<-c.Done()
	return store.Page{}, c.Err()
}

func (silentStore) Commit(c context.Context, _ store.Txn) (store.Rev, error) {
	<-c.Done()
	return 0, c.Err()
}

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Callers are refused by a daemon for good, though the site is sound. One of the daemon's ports is taken at its start, as
// by somebody's outgoing connection; it gave up starting with its other ports open, and neither served nor ended. It must
// end, so that it is started again, and take no callers meanwhile.
func TestPortTakenAtStart(t *testing.T) {
	for _, name := range []string{"ready", "admin"} {
		t.Run(name, func(t *testing.T) {
			taken, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer taken.Close()
			s := &Settings{Name: "d", Domain: "z", Entry: freePort(t), Ready: freePort(t), Peer: freePort(t), Admin: freePort(t)}
			at := netip.MustParseAddrPort(taken.Addr().String())
			if name == "ready" {
				s.Ready = at
			} else {
				s.Admin = at
			}
			failed := make(chan error, 1)
			go func() {
				_, err := New(t.Context(), Options{
					Settings: s, Platform: Platform{Store: silentStore{}}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
				})
				failed <- err
			}()
			select {
			case err := <-failed:
				require.ErrorContains(t, err, "address for pages")
			case <-time.After(3 * time.Second):
				require.Fail(t, "the start neither succeeds nor fails")
			}
			_, err = net.DialTimeout("tcp", s.Entry.String(), time.Second)
			require.Error(t, err, "the address for callers is still open")
		})
	}
}
