package grant

import (
	"context"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/site"
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

// members drops the rows of daemons that are gone, has others vote in their place, and begins a term without their support
// when too many are gone; it reports whether the term goes on.
func (g *Granter) members(c context.Context, s *site.Snapshot) bool {
	now := g.o.Clock.Now()
	if copied, _ := g.o.Feed.Ages(); copied > storeSilent {
		return true // nothing can be written
	}
	supported := g.o.Feed.Supported()
	g.replaceVoters(c, s, supported)
	if s.Coordinator.WithoutQuorum || supported {
		g.supported = now
		g.dropGone(c)
		return true
	}
	if now.Sub(g.supported) < elect.NoQuorumAfter {
		return true
	}
	clear(g.given)
	row, _ := g.o.Feed.Row(feed.CoordinatorRow)
	return !g.takeOver(c, row.Rev, s, elect.Take{Clean: true, WithoutQuorum: true}) // it has sent nothing since it lost the support
}

// maxDrops is how many rows one transaction drops at most, each of them expected and dropped: the store takes 100 entries.
const maxDrops = 45

// dropGone drops the rows of daemons that are gone.
func (g *Granter) dropGone(c context.Context) {
	x := store.Txn{Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: g.rev}}}
	for _, d := range g.o.Feed.Silent(g.began, goneAfter) {
		row, ok := g.o.Feed.Row(feed.DaemonRow(d))
		if !ok || len(x.Drop) == maxDrops {
			continue
		}
		x.Expect, x.Drop = append(x.Expect, store.Expect{Key: row.Key, Rev: row.Rev}), append(x.Drop, row.Key)
	}
	if len(x.Drop) == 0 {
		return
	}
	rev, err := g.o.Store.Commit(c, x)
	if err != nil {
		g.o.Log.Info().Err(err).Strs("rows", x.Drop).Msg("rows of daemons not dropped")
		return
	}
	g.o.Log.Info().Strs("rows", x.Drop).Msg("daemons are gone")
	rows := make([]store.Row, 0, len(x.Drop))
	for _, k := range x.Drop {
		rows = append(rows, store.Row{Key: k, Rev: rev, Gone: true})
	}
	g.o.Feed.ApplyWritten(rows)
}
