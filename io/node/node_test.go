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

// unresponsiveStore answers no call before its context ends.
type unresponsiveStore struct{}

func (unresponsiveStore) List(c context.Context, _ store.Table) (store.Page, error) {
	<-c.Done()
	return store.Page{}, c.Err()
}

func (unresponsiveStore) Follow(c context.Context, _ store.Table, _ store.Rev, _ time.Duration) (store.Page, error) {
	<-c.Done()
	return store.Page{}, c.Err()
}

func (unresponsiveStore) Commit(c context.Context, _ store.Txn) (store.Rev, error) {
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

// Guards against a daemon that refuses callers for good although the site is healthy. One of its ports was in use at its start,
// for example by another process's outgoing connection, and New failed with the other ports left open: the daemon neither served
// nor ended. It must end, so that it is restarted, and accept no callers until then.
func TestPortInUseAtStart(t *testing.T) {
	for _, name := range []string{"ready", "admin"} {
		t.Run(name, func(t *testing.T) {
			inUse, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer inUse.Close()
			s := &Settings{Name: "d", Domain: "z", Entry: freePort(t), Ready: freePort(t), Peer: freePort(t), Admin: freePort(t)}
			at := netip.MustParseAddrPort(inUse.Addr().String())
			if name == "ready" {
				s.Ready = at
			} else {
				s.Admin = at
			}
			failed := make(chan error, 1)
			go func() {
				_, err := New(t.Context(), Options{
					Settings: s, Platform: Platform{Store: unresponsiveStore{}}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
				})
				failed <- err
			}()
			select {
			case err := <-failed:
				require.ErrorContains(t, err, "listen for status requests on")
			case <-time.After(3 * time.Second):
				require.Fail(t, "New neither succeeds nor fails")
			}
			_, err = net.DialTimeout("tcp", s.Entry.String(), time.Second)
			require.Error(t, err, "the port for callers is still open")
		})
	}
}
