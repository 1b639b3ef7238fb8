package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// Guards against two coordinators that both have a quorum: a daemon withdraws its support of a term before it knows that the term is
// its own (its transaction, or that of a coordinator that hands over, was applied and it wasn't told), and counts as its own supporter
// once it knows. Its successor's quorum rests on that withdrawal.
func TestCoordinatorThatWithdrewFromItsTermDoesNotSupportItself(t *testing.T) {
	f := newFeed(newMemory(), "d")
	f.promise = elect.Promise{StartedAt: f.o.Clock.SinceBoot() - time.Minute}
	row := func(d string, term uint64, rev store.Rev) []store.Row {
		v, err := proto.Marshal(&wire.CoordinatorRow{Daemon: d, Incarnation: uint64(f.o.Incarnation), Term: term, Clean: true, Voters: []string{"c", "d", "x"}})
		require.NoError(t, err)
		return []store.Row{{Key: CoordinatorRow, Value: v, Rev: rev}}
	}
	f.applyPage(store.Control, store.Page{Rows: row("c", 4, 10), Rev: 10}, false, 0, fromStore)
	require.True(t, f.Withdraw(5), "x asks, which has read that d has term 5")
	f.applyPage(store.Control, store.Page{Rows: row("d", 5, 11), Rev: 11}, false, 0, fromStore)
	require.True(t, f.IsCoordinator())
	f.mu.Lock()
	f.support.Confirm(ident.Daemon("c"), f.o.Clock.SinceBoot(), time.Second)
	f.mu.Unlock()
	require.False(t, f.HoldsTerm(5), "d and x have withdrawn from term 5, so that x may take over as the next coordinator")
}
