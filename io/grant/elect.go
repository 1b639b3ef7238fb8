package grant

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// takeTurn does what was decided about the turn; it reports whether this daemon has become the coordinator. The row of the
// present coordinator was read before the snapshot: were its voters replaced in between, the transaction would fail.
func (g *Granter) takeTurn(c context.Context, row store.Row, s *site.Snapshot, d elect.Decision) bool {
	switch x := d.(type) {
	case elect.Ask:
		return g.askWithdrawals(s) && g.takeOver(c, row.Rev, s, elect.Take{Clean: x.Clean})
	case elect.Take:
		clear(g.given)
		return g.takeOver(c, row.Rev, s, x)
	}
	return false
}

// retryTurn is between two tries to become the coordinator: one that met another's row learns of it within that time.
const retryTurn = 250 * time.Millisecond

// takeOver writes this daemon down as the coordinator that follows the one of the row's revision.
func (g *Granter) takeOver(c context.Context, rev store.Rev, s *site.Snapshot, t elect.Take) bool {
	now := g.o.Clock.Now()
	if now.Before(g.nextTry) {
		return false
	}
	g.nextTry = now.Add(retryTurn)
	was := s.Coordinator
	v, err := proto.Marshal(&wire.CoordinatorRow{
		Daemon: string(g.o.Self), Incarnation: uint64(g.o.Life), Term: uint64(was.Term) + 1, Clean: t.Clean,
		WithoutQuorum: t.WithoutQuorum, Voters: names(elect.Voters(g.o.Self, s.Daemons)),
	})
	if err != nil {
		g.o.Log.Error().Err(err).Msg("coordinator's row not encoded")
		return false
	}
	x := store.Txn{
		Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: rev}},
		Put:    []store.Row{{Key: feed.CoordinatorRow, Value: v}},
	}
	for _, d := range s.Voters {
		if r := g.given[d]; r > 0 {
			x.Expect = append(x.Expect, store.Expect{Key: feed.DaemonRow(d), Rev: r})
		}
	}
	asked := g.o.Clock.SinceBoot()
	if rev, err = g.o.Store.Commit(c, x); err != nil {
		g.o.Log.Info().Err(err).Uint64("term", uint64(was.Term)+1).Msg("did not become the coordinator")
		clear(g.given) // one of them may have started again
		return false   // if it was written all the same, the feed tells
	}
	g.o.Log.Info().Uint64("term", uint64(was.Term)+1).Bool("clean", t.Clean).Bool("without-quorum", t.WithoutQuorum).Str("before", string(was.Daemon)).
		Msg("became the coordinator")
	g.o.Feed.ConfirmControl(asked)
	g.o.Feed.Learn([]store.Row{{Key: feed.CoordinatorRow, Value: v, Rev: rev}})
	return true
}

// begin starts a term.
func (g *Granter) begin(s *site.Snapshot) {
	now := g.o.Clock.Now()
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	g.term, g.rev, g.sequence = s.Coordinator.Term, row.Rev, 0
	g.services, g.links = map[ident.Service]*service{}, map[ident.Server]*link{}
	g.lives = map[ident.Server]*site.Server{}
	g.orderedUntil = now
	if !s.Coordinator.Clean {
		g.orderedUntil = now.Add(right + right/50)
	}
	g.rates.reset()
	g.planned = 0
	g.began, g.supported = g.o.Clock.SinceBoot(), g.o.Clock.Now()
}

// stop ends a term.
func (g *Granter) stop() {
	if g.term == 0 {
		return
	}
	g.o.Log.Info().Uint64("term", uint64(g.term)).Msg("no longer the coordinator")
	for _, l := range g.links {
		l.close()
	}
	g.term, g.services, g.links = 0, nil, nil
}

// handOver ends the term so that any other daemon may begin the next at once.
//
// The term ends before it is written down: its successor counts on that, and a transaction without an answer may be
// carried out later.
func (g *Granter) handOver(c context.Context) {
	s := g.o.Feed.Snapshot()
	if g.term == 0 || s.Coordinator.Term != g.term {
		return
	}
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	term := g.term
	g.stop()
	voters := slices.DeleteFunc(slices.Clone(s.Voters), func(d ident.Daemon) bool { return d == g.o.Self })
	v, err := proto.Marshal(&wire.CoordinatorRow{Term: uint64(term), Clean: true, Voters: names(voters)})
	if err != nil {
		g.o.Log.Error().Err(err).Msg("coordinator's row not encoded")
		return
	}
	rev, err := g.o.Store.Commit(c, store.Txn{
		Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: row.Rev}},
		Put:    []store.Row{{Key: feed.CoordinatorRow, Value: v}},
	})
	if err != nil {
		g.o.Log.Warn().Err(err).Msg("turn not handed over, another daemon takes it later")
		return
	}
	g.o.Feed.Learn([]store.Row{{Key: feed.CoordinatorRow, Value: v, Rev: rev}})
	g.o.Log.Info().Uint64("term", uint64(term)).Msg("turn handed over")
}

// storeLimit is how long the answer of a store that is well takes at most.
const storeLimit = 300 * time.Millisecond

// mayOrder is asked right before each order: the process may have stood still, and another may lead by now.
func (g *Granter) mayOrder(term site.Term) bool {
	return g.o.Feed.HasTurn(term) && g.o.Feed.ControlAge() < right
}
