package grant

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/paths"
	"heatherrouter/io/store"
)

const (
	// minReachInterval is the time between two checks of which servers daemons reach, and the least time of a term before the first.
	minReachInterval = 500 * time.Millisecond

	// unreachedTimeout is how long orders must fail to reach a single server before daemons are asked. If several servers fail at
	// once, they are asked at once.
	unreachedTimeout = 300 * time.Millisecond

	// reachAskTimeout bounds one question, in which a daemon connects to servers.
	reachAskTimeout = 400 * time.Millisecond

	// maxUnreachedAsked and maxReachedAsked bound the servers that daemons are asked for: some that orders don't reach, and some that
	// they do, which the successor must reach as well.
	maxUnreachedAsked = 5
	maxReachedAsked   = 3
)

// recordReach records whether an order has reached its server.
func (g *Granter) recordReach(now mono.Time, x orderResult) {
	switch _, known := g.unreached[x.server]; {
	case x.result.Outcome != hold.NotSent && x.result.Outcome != hold.Silent:
		delete(g.unreached, x.server)
	case x.lostPath && !known:
		g.unreached[x.server] = now
	}
}

// reachCheck is the result of asking daemons which servers they reach.
type reachCheck struct {
	term  site.Term
	own   int           // servers that this daemon reaches
	asked int           // servers that the daemons were asked for
	peers []elect.Reach // those of the daemons that have answered

	storeAnswers bool // without the store, the role can be neither handed over nor taken back
}

// checkReach asks other daemons which servers they reach if orders of this daemon don't reach some. A coordinator that can't reach
// the servers would let all grants expire, while other daemons could renew them.
func (g *Granter) checkReach(s *site.Snapshot) {
	now := g.o.Clock.Now()
	var lost, reached []ident.Server
	due := false
	for _, id := range g.keyedServers(s) {
		since, ok := g.unreached[id]
		if !ok {
			reached = append(reached, id)
			continue
		}
		lost = append(lost, id)
		due = due || now.Sub(since) >= unreachedTimeout
	}
	if g.checkingReach || now.Before(g.nextReachCheck) || len(lost) < 2 && !due {
		return
	}
	g.checkingReach, g.nextReachCheck = true, now.Add(minReachInterval)
	ids := slices.Concat(lost[:min(len(lost), maxUnreachedAsked)], reached[:min(len(reached), maxReachedAsked)])
	x := reachCheck{term: g.term, asked: len(ids)}
	daemons := elect.AskForReach(s, g.o.Self)
	g.group.Go(func(c context.Context) error {
		g.askForReach(c, daemons, ids, &x)
		select {
		case g.reachChecks <- x:
		case <-c.Done():
		}
		return nil
	})
}

// keyedServers returns the servers of keyed services to which this daemon has sent orders.
func (g *Granter) keyedServers(s *site.Snapshot) []ident.Server {
	var l []ident.Server
	for id := range g.links {
		if x := s.Servers[id]; x != nil && s.Accepts(x) {
			l = append(l, id)
		}
	}
	return l
}

// askForReach compares which of the servers this daemon and the others reach, and asks the store for an answer.
func (g *Granter) askForReach(c context.Context, daemons []ident.Daemon, ids []ident.Server, x *reachCheck) {
	var w sync.WaitGroup
	w.Go(func() {
		c, cancel := context.WithTimeout(c, reachAskTimeout)
		defer cancel()
		x.storeAnswers = g.storeAnswers(c)
	})
	x.own, x.peers = g.compareReach(c, daemons, ids)
	w.Wait()
}

// compareReach connects to the servers and has the daemons do the same. It returns how many of the servers this daemon and each of
// those that answer reach.
//
// This daemon connects again to the servers that only others reached: servers that restart in that moment accept the connections that
// come a little later, which says nothing about paths.
func (g *Granter) compareReach(c context.Context, daemons []ident.Daemon, ids []ident.Server) (own int, peers []elect.Reach) {
	x, cancel := context.WithTimeout(c, reachAskTimeout)
	defer cancel()
	var w sync.WaitGroup
	var mu sync.Mutex
	onlyOthers := map[ident.Server]bool{}
	for _, d := range daemons {
		w.Go(func() {
			l, err := paths.AskPeer(x, g.peers, d, ids)
			if err != nil {
				return // it can't be the successor
			}
			mu.Lock()
			defer mu.Unlock()
			peers = append(peers, elect.Reach{Daemon: d, Reached: len(l)})
			for _, id := range l {
				onlyOthers[id] = true
			}
		})
	}
	reached := g.o.Paths.Check(x, ids)
	w.Wait()
	for _, id := range reached {
		delete(onlyOthers, id)
	}
	own = len(reached)
	if len(onlyOthers) > 0 {
		y, cancel := context.WithTimeout(c, reachAskTimeout)
		defer cancel()
		own += len(g.o.Paths.Check(y, slices.Collect(maps.Keys(onlyOthers))))
	}
	return own, peers
}

// handleReachCheck hands the role to a daemon that reaches more servers than this one.
func (g *Granter) handleReachCheck(c context.Context, x reachCheck) {
	g.checkingReach = false
	if x.term != g.term || g.leaving.Load() {
		return
	}
	s := g.o.Feed.Snapshot()
	d := elect.Successor(s, x.own, x.peers)
	g.o.Log.Info().Uint64("term", uint64(x.term)).Int("asked", x.asked).Int("reached", x.own).Int("answers", len(x.peers)).Str("successor", string(d)).
		Msg("orders don't reach servers")
	if d == "" || !x.storeAnswers {
		return
	}
	g.handOverTo(c, s, d)
}

// handOverTo ends the term and makes another daemon the coordinator. The term ends before the transaction: the successor relies on it,
// and a transaction without an answer may still be applied later.
func (g *Granter) handOverTo(c context.Context, s *site.Snapshot, d ident.Daemon) {
	if g.term == 0 || s.Coordinator.Term != g.term || s.Daemons[d] == nil {
		return
	}
	g.updateRev()
	term := g.term
	v, err := encodeCoordinator(elect.RowOf(s).HandOver(d, s.Daemons, g.earlierOrdersEnded()))
	if err != nil {
		g.o.Log.Error().Err(err).Msg("coordinator's row not encoded")
		return
	}
	g.endTerm()
	g.surrendered = term
	x, cancel := context.WithTimeout(c, storeTimeout)
	defer cancel()
	rev, err := g.o.Store.Commit(x, store.Txn{
		Expect: []store.Expect{{Key: feed.CoordinatorRow, Rev: g.rev}},
		Put:    []store.Row{{Key: feed.CoordinatorRow, Value: v}},
	})
	if err != nil {
		g.o.Log.Warn().Err(err).Str("successor", string(d)).Msg("coordinator role not handed over")
		return
	}
	g.o.Feed.ApplyWritten([]store.Row{{Key: feed.CoordinatorRow, Value: v, Rev: rev}})
	g.o.Log.Info().Uint64("term", uint64(term)).Str("successor", string(d)).Msg("coordinator role handed over")
}
