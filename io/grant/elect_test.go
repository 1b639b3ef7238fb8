package grant

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/feed"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// restoredStore is a store that answers again after an outage, but for the requests that were opened before.
type restoredStore struct {
	term atomic.Uint64 // of the coordinator's row
	hung chan struct{} // receives once a request for changes of the control table is open
}

func (s *restoredStore) row() store.Row {
	v, err := proto.Marshal(&wire.CoordinatorRow{Daemon: "other", Incarnation: 1, Term: s.term.Load()})
	if err != nil {
		panic(err)
	}
	return store.Row{Key: feed.CoordinatorRow, Value: v, Rev: store.Rev(s.term.Load())}
}

func (s *restoredStore) List(_ context.Context, t store.Table) (store.Page, error) {
	if t != store.Control {
		return store.Page{Rev: 1}, nil
	}
	r := s.row()
	return store.Page{Rows: []store.Row{r}, Rev: r.Rev}, nil
}

func (s *restoredStore) Follow(c context.Context, t store.Table, after store.Rev, wait time.Duration) (store.Page, error) {
	if r := s.row(); t == store.Control && r.Rev > after {
		return store.Page{Rows: []store.Row{r}, Rev: r.Rev}, nil
	}
	if t == store.Control && wait > 0 {
		select {
		case s.hung <- struct{}{}:
		default:
		}
	}
	clock.Sleep(c, wait)
	return store.Page{}, errors.New("no response")
}

func (s *restoredStore) Commit(context.Context, store.Txn) (store.Rev, error) {
	return 0, store.ErrConflict
}

// noPeers reaches no daemon.
type noPeers struct{}

func (noPeers) Call(context.Context, ident.Daemon, *wire.Call) (*wire.Reply, error) {
	return nil, errors.New("unreachable")
}

// Guards against daemons that try in vain to become the coordinator instead of reading who is.
func TestConflictingTakeOverLearnsOfCoordinator(t *testing.T) {
	s := &restoredStore{hung: make(chan struct{}, 1)}
	s.term.Store(1)
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	f := feed.New(feed.Options{Self: "self", Incarnation: 1, Store: s, Clock: clock.New(), Log: l})
	p := group.New(t.Context())
	t.Cleanup(p.Stop)
	f.Run(p, noPeers{})
	select {
	case <-s.hung:
	case <-time.After(20 * time.Second):
		require.Fail(t, "the control table isn't followed")
	}
	require.Equal(t, site.Term(1), f.Snapshot().Coordinator.Term)
	s.term.Store(2)
	g := New(Options{Self: "self", Incarnation: 1, Feed: f, Store: s, Clock: clock.New(), Log: l})
	require.Eventually(t, func() bool {
		r, _ := f.Row(feed.CoordinatorRow)
		g.takeOver(t.Context(), r.Rev, f.Snapshot(), elect.TakeOver{})
		return f.Snapshot().Coordinator.Term == 2
	}, time.Second, 20*time.Millisecond)
}
