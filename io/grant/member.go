package grant

import (
	"context"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/pace"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
)

// daemonGoneTimeout is the time without contact after which a daemon's row is deleted. Otherwise rows of lost hosts would
// count for the coordinator's quorum and take shares of the limits of the whole site. A daemon that was only isolated writes
// its row again.
const daemonGoneTimeout = 6 * time.Second

// A daemon without contact stops using its shares of limits before the others divide them among themselves.
const _ = uint(daemonGoneTimeout - pace.ShareLease - 1)

// storeUnresponsiveAge is the age of the copy from which the store counts as unresponsive. While the store answers, the
// coordinator's copy is at most 0.8 s old.
const storeUnresponsiveAge = 1200 * time.Millisecond

// updateMembers deletes the rows of daemons that are gone and replaces them as voters. If too many are gone for a quorum, it
// begins a term without one. It reports whether the current term goes on.
func (g *Granter) updateMembers(c context.Context, s *site.Snapshot) bool {
	now := g.o.Clock.Now()
	if copyAge, _ := g.o.Feed.Ages(); copyAge > storeUnresponsiveAge {
		return true // nothing can be written
	}
	supported := g.o.Feed.Supported()
	g.replaceVoters(c, s, supported)
	if s.Coordinator.WithoutQuorum || supported {
		g.supportedAt = now
		g.deleteGoneDaemons(c)
		return true
	}
	if elect.NeedsNewTerm(now.Sub(g.supportedAt), g.o.Feed.QuorumInContact(elect.ContactTimeout(s))) {
		g.o.Log.Info().Uint64("term", uint64(g.term)).Msg("voters have withdrawn their support, taking a new term")
		g.surrendered = g.term
		g.endTerm()
		return false
	}
	if now.Sub(g.supportedAt) < elect.NoQuorumTimeout {
		return true
	}
	clear(g.withdrawnRows)
	return !g.takeOver(c, g.rev, s, elect.NextTerm(g.earlierOrdersEnded(), true))
}

// maxDeletes bounds the rows that one transaction deletes. Each row takes two entries, and the store accepts 100 entries.
const maxDeletes = 45

// deleteGoneDaemons deletes the rows of daemons without contact for daemonGoneTimeout.
func (g *Granter) deleteGoneDaemons(c context.Context) {
	x := store.Txn{Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: g.rev}}}
	for _, d := range g.o.Feed.Silent(g.termStarted, daemonGoneTimeout) {
		row, ok := g.o.Feed.Row(feed.DaemonRow(d))
		if !ok || len(x.Drop) == maxDeletes {
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
