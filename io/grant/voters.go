package grant

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// reviseEvery is how often voters are replaced at most. Daemons restarted in turn are away for seconds each.
const reviseEvery = 3 * time.Second

func names(l []ident.Daemon) []string {
	s := make([]string, 0, len(l))
	for _, d := range l {
		s = append(s, string(d))
	}
	return s
}

// replaceVoters writes down others in place of voters that are gone, and ends a term's standing without support once a
// quorum supports it again.
//
// The transaction's end may be unknown, and it may be carried out later. Until the row is known in a newer revision the
// same voters are proposed again, and the coordinator needs a quorum of both sets.
func (g *Granter) replaceVoters(c context.Context, s *site.Snapshot, supported bool) {
	now := g.o.Clock.Now()
	next := g.o.Feed.Proposed()
	first := next == nil
	if first {
		var changed bool
		next, changed = elect.ReplaceVoters(g.o.Self, s.Voters, s.Daemons)
		due := changed || s.Coordinator.WithoutQuorum && supported
		if !due || now.Sub(g.revised) < reviseEvery {
			return
		}
	}
	if g.writing() {
		return // its transaction expects the row's present revision
	}
	g.revised = now
	v, err := proto.Marshal(&wire.CoordinatorRow{
		Daemon: string(g.o.Self), Incarnation: uint64(g.o.Life), Term: uint64(g.term), Clean: s.Coordinator.Clean,
		WithoutQuorum: s.Coordinator.WithoutQuorum && !supported, Voters: names(next),
	})
	if err != nil {
		g.o.Log.Error().Err(err).Msg("coordinator's row not encoded")
		return
	}
	x, cancel := context.WithTimeout(c, storeLimit)
	defer cancel()
	g.o.Feed.Propose(next)
	rev, err := g.o.Store.Commit(x, store.Txn{
		Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: g.rev}},
		Put:    []store.Row{{Key: feed.CoordinatorRow, Value: v}},
	})
	if err != nil {
		g.o.Log.Info().Err(err).Strs("voters", names(next)).Msg("voters not replaced")
		if first && errors.Is(err, store.ErrNotDone) {
			g.o.Feed.Propose(nil) // an earlier try may have succeeded, or yet succeed
		}
		return
	}
	g.o.Log.Info().Strs("voters", names(next)).Bool("without-quorum", s.Coordinator.WithoutQuorum && !supported).Msg("voters replaced")
	g.o.Feed.ApplyWritten([]store.Row{{Key: feed.CoordinatorRow, Value: v, Rev: rev}})
	g.followRow()
}

// writing reports whether the transaction of some assignment is under way.
func (g *Granter) writing() bool {
	for _, x := range g.services {
		if x.writing {
			return true
		}
	}
	return false
}

// followRow takes in the revision of the coordinator's row: only this life writes it in its term.
func (g *Granter) followRow() {
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	if g.o.Feed.Snapshot().Coordinator.Term == g.term {
		g.rev = max(g.rev, row.Rev)
	}
}
