package grant

import (
	"context"
	"errors"
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
)

// replaceVotersInterval is the least time between replacements of voters. In a rolling restart, each daemon is away for
// seconds.
const replaceVotersInterval = 3 * time.Second

func daemonNames(l []ident.Daemon) []string {
	s := make([]string, 0, len(l))
	for _, d := range l {
		s = append(s, string(d))
	}
	return s
}

// replaceVoters replaces voters that are gone. It clears the term's WithoutQuorum flag once a quorum supports it again, and sets its
// Clean flag once earlier coordinators send no more orders.
//
// The outcome of the transaction may be unknown, and it may be applied later. Until a newer revision of the row is known, the
// same voters are proposed again, and the coordinator needs a quorum of both sets.
func (g *Granter) replaceVoters(c context.Context, s *site.Snapshot, supported bool) {
	now := g.o.Clock.Now()
	next := g.o.Feed.ProposedVoters()
	first := next == nil
	if first {
		var changed bool
		next, changed = elect.ReplaceVoters(g.o.Self, s.Voters, s.Daemons)
		due := changed || elect.RowOf(s).NeedsRevision(supported, g.earlierOrdersEnded())
		if !due || now.Sub(g.votersRevisedAt) < replaceVotersInterval {
			return
		}
	}
	if g.anyWriting() {
		return // that transaction expects the current revision of the coordinator's row
	}
	g.votersRevisedAt = now
	row := elect.RowOf(s).Revise(next, supported, g.earlierOrdersEnded())
	v, err := encodeCoordinator(row)
	if err != nil {
		g.o.Log.Error().Err(err).Msg("coordinator's row not encoded")
		return
	}
	x, cancel := context.WithTimeout(c, storeTimeout)
	defer cancel()
	if !slices.Equal(next, s.Voters) || row.WithoutQuorum != s.Coordinator.WithoutQuorum {
		g.o.Feed.ProposeVoters(next)
	}
	rev, err := g.o.Store.Commit(x, store.Txn{
		Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: g.rev}},
		Put:    []store.Row{{Key: feed.CoordinatorRow, Value: v}},
	})
	if err != nil {
		g.o.Log.Info().Err(err).Strs("voters", daemonNames(next)).Msg("voters not replaced")
		if first && errors.Is(err, store.ErrNotApplied) {
			g.o.Feed.ProposeVoters(nil) // only on the first attempt: an earlier one may have been applied, or may yet be
		}
		return
	}
	g.o.Log.Info().Strs("voters", daemonNames(next)).Bool("clean", row.Clean).Bool("without-quorum", row.WithoutQuorum).Msg("voters replaced")
	g.o.Feed.ApplyWritten([]store.Row{{Key: feed.CoordinatorRow, Value: v, Rev: rev}})
	g.updateRev()
}

// anyWriting reports whether the transaction of any assignment is in progress.
func (g *Granter) anyWriting() bool {
	for _, x := range g.services {
		if x.writing {
			return true
		}
	}
	return false
}

// updateRev takes the revision of the coordinator's row from the feed: in its term, only this incarnation writes the row.
func (g *Granter) updateRev() {
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	if g.o.Feed.Snapshot().Coordinator.Term == g.term {
		g.rev = max(g.rev, row.Rev)
	}
}
