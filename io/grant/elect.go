package grant

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// applyDecision carries out an election decision and reports whether this daemon has become the coordinator. The
// coordinator's row must have been read before the snapshot: the transaction then fails if voters were replaced in between.
func (g *Granter) applyDecision(c context.Context, row store.Row, s *site.Snapshot, d elect.Decision) bool {
	switch x := d.(type) {
	case elect.RequestWithdrawals:
		return g.requestWithdrawals(s) && g.takeOver(c, row.Rev, s, elect.TakeOver{Clean: x.Clean})
	case elect.TakeOver:
		clear(g.withdrawnRows)
		return g.takeOver(c, row.Rev, s, x)
	}
	return false
}

func encodeCoordinator(r elect.Row) ([]byte, error) {
	return proto.Marshal(&wire.CoordinatorRow{
		Daemon: string(r.Daemon), Incarnation: uint64(r.Incarnation), Term: uint64(r.Term), Clean: r.Clean,
		WithoutQuorum: r.WithoutQuorum, Voters: daemonNames(r.Voters),
	})
}

// takeOverRetryDelay is the least time between two attempts to become the coordinator. After a conflict with another
// daemon's row, the feed receives that row within this time.
const takeOverRetryDelay = 250 * time.Millisecond

// takeOver writes this daemon to the store as the successor of the coordinator in the row of revision rev.
func (g *Granter) takeOver(c context.Context, rev store.Rev, s *site.Snapshot, t elect.TakeOver) bool {
	now := g.o.Clock.Now()
	if now.Before(g.nextTakeOver) {
		return false
	}
	g.nextTakeOver = now.Add(takeOverRetryDelay)
	prev, next := s.Coordinator, t.Row(g.o.Self, g.o.Incarnation, s)
	v, err := encodeCoordinator(next)
	if err != nil {
		g.o.Log.Error().Err(err).Msg("coordinator's row not encoded")
		return false
	}
	x := store.Txn{
		Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: rev}},
		Put:    []store.Row{{Key: feed.CoordinatorRow, Value: v}},
	}
	for _, d := range s.Voters {
		if r := g.withdrawnRows[d]; r > 0 {
			x.Expect = append(x.Expect, store.Expect{Key: feed.DaemonRow(d), Rev: r})
		}
	}
	requested := g.o.Clock.SinceBoot()
	if rev, err = g.o.Store.Commit(c, x); err != nil {
		g.o.Log.Info().Err(err).Uint64("term", uint64(next.Term)).Msg("did not become the coordinator")
		clear(g.withdrawnRows) // a voter may have restarted
		if errors.Is(err, store.ErrConflict) {
			// The feed's own request for changes may hang since an outage of the store.
			if err = g.o.Feed.ReadControl(c); err != nil {
				g.o.Log.Warn().Err(err).Msg("control table not read after a conflict")
			}
		}
		return false // if the row was written after all, the feed receives it
	}
	g.o.Log.Info().Uint64("term", uint64(next.Term)).Bool("clean", t.Clean).Bool("without-quorum", t.WithoutQuorum).Str("before", string(prev.Daemon)).
		Msg("became the coordinator")
	g.o.Feed.ConfirmControl(requested)
	g.o.Feed.ApplyWritten([]store.Row{{Key: feed.CoordinatorRow, Value: v, Rev: rev}})
	return true
}

// beginTerm resets the state for a term in which this daemon is the coordinator.
func (g *Granter) beginTerm(s *site.Snapshot) {
	now := g.o.Clock.Now()
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	g.term, g.rev, g.sequence = s.Coordinator.Term, row.Rev, 0
	g.services, g.links = map[ident.Service]*service{}, map[ident.Server]*link{}
	g.servers = map[ident.Server]*site.Server{}
	g.earlierOrders.Begin(now, s.Coordinator)
	g.o.Log.Info().Uint64("term", uint64(g.term)).Bool("clean", s.Coordinator.Clean).Bool("without-quorum", s.Coordinator.WithoutQuorum).
		Dur("earlier-orders-end-in", g.earlierOrders.End().Sub(now)).Msg("term began")
	clear(g.unreached)
	g.nextReachCheck = now.Add(minReachInterval)
	g.measurements.reset()
	g.survey.reset(g.term)
	view, age := g.o.Feed.Loads()
	g.bounds = newBounds(now, view, age, g.o.Feed.Holds())
	g.plannedAt = 0
	g.termStarted, g.supportedAt = g.o.Clock.SinceBoot(), g.o.Clock.Now()
}

// earlierOrdersEnded reports whether no coordinator before the current or last term of this daemon sends orders any more.
func (g *Granter) earlierOrdersEnded() bool { return g.earlierOrders.Ended(g.o.Clock.Now()) }

// endTerm closes the connections of the current term, if there is one.
func (g *Granter) endTerm() {
	if g.term == 0 {
		return
	}
	g.o.Log.Info().Uint64("term", uint64(g.term)).Msg("no longer the coordinator")
	g.endedTerm.Store(uint64(g.term))
	for _, l := range g.links {
		g.closeInBackground(l)
	}
	g.term, g.services, g.links = 0, nil, nil
}

// handOver ends the term and clears the coordinator in the store, so that another daemon can take over at once.
//
// The term ends before the transaction: a successor relies on it, and a transaction without an answer may still be applied
// later.
func (g *Granter) handOver(c context.Context) {
	s := g.o.Feed.Snapshot()
	if g.term == 0 || s.Coordinator.Term != g.term {
		return
	}
	g.updateRev()
	term := g.term
	g.endTerm()
	v, err := encodeCoordinator(elect.RowOf(s).Vacate(g.earlierOrdersEnded()))
	if err != nil {
		g.o.Log.Error().Err(err).Msg("coordinator's row not encoded")
		return
	}
	rev, err := g.o.Store.Commit(c, store.Txn{
		Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: g.rev}},
		Put:    []store.Row{{Key: feed.CoordinatorRow, Value: v}},
	})
	if err != nil {
		g.o.Log.Warn().Err(err).Msg("coordinator role not handed over, another daemon takes over later")
		return
	}
	g.o.Feed.ApplyWritten([]store.Row{{Key: feed.CoordinatorRow, Value: v, Rev: rev}})
	g.o.Log.Info().Uint64("term", uint64(term)).Msg("turn handed over")
}

// storeTimeout is the longest response time of a healthy store.
const storeTimeout = 300 * time.Millisecond

// maySendOrder reports whether this daemon may send the order in the term. It is checked right before each order: the process
// may have been paused, and another daemon may be the coordinator by now.
func (g *Granter) maySendOrder(term site.Term, o hold.Order) bool {
	age := g.o.Feed.ControlAge()
	if uint64(term) <= g.endedTerm.Load() || !g.o.Feed.HoldsTerm(term) || age >= elect.AuthorityTTL {
		return false
	}
	x, ok := o.(hold.Grant)
	return !ok || x.Renewal || elect.MayGrantAnew(g.o.Feed.Snapshot().Coordinator, age)
}
