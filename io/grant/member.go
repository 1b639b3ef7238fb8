package grant

import (
	"context"
	"time"

	"heatherrouter/core/site"
	"heatherrouter/core/turn"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
)

// goneAfter is how long a daemon hasn't been heard of when its row is dropped. Rows of lost hosts would else count among
// those of whom most have to support the coordinator, and in the shares of what is bounded for all. A daemon that was only
// cut off writes its row again.
const goneAfter = 6 * time.Second

// storeSilent is the age of the copy from which the store is taken not to answer. The copy of a coordinator that the
// store answers is 0.8 s old at most.
const storeSilent = 1200 * time.Millisecond

// members drops the rows of daemons that are gone, and begins a term without their support when too many are; it reports
// whether the term goes on.
func (g *Granter) members(c context.Context, s *site.Snapshot) bool {
	now := g.o.Clock.Now()
	if copied, _ := g.o.Feed.Ages(); copied > storeSilent {
		return true // nothing can be written
	}
	if s.Coordinator.Alone || g.o.Feed.Supported() {
		g.supported = now
		g.dropGone(c)
		return true
	}
	if now.Sub(g.supported) < turn.AloneAfter {
		return true
	}
	clear(g.given)
	return !g.takeOver(c, turn.Take{Clean: true, Alone: true}) // it has sent nothing since it lost the support
}

// dropGone drops the row of one daemon that is gone.
func (g *Granter) dropGone(c context.Context) {
	for _, d := range g.o.Feed.Silent(g.began, goneAfter) {
		row, ok := g.o.Feed.Row(feed.DaemonRow(d))
		if !ok {
			continue
		}
		rev, err := g.o.Store.Commit(c, store.Txn{
			Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: g.rev}, {Key: row.Key, Rev: row.Rev}}, Drop: []string{row.Key},
		})
		if err != nil {
			g.o.Log.Info().Err(err).Str("gone", string(d)).Msg("row of a daemon not dropped")
			return
		}
		g.o.Log.Info().Str("gone", string(d)).Msg("daemon is gone")
		g.o.Feed.Learn([]store.Row{{Key: row.Key, Rev: rev, Gone: true}})
		return
	}
}
