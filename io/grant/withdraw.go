package grant

import (
	"context"
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

const (
	// withdrawInterval is the time between requests to the voters that haven't withdrawn their support.
	withdrawInterval = 200 * time.Millisecond
	withdrawTimeout  = 250 * time.Millisecond // timeout of one request
)

// withdrawal is a daemon's answer to the request to withdraw its support, for good, from coordinators of terms up to term.
type withdrawal struct {
	term      site.Term
	from      ident.Daemon
	rowRev    store.Rev // revision of the daemon's row when the request was sent
	withdrawn bool
}

// requestWithdrawals asks the voters to withdraw their support of the current coordinator, and reports whether a quorum has.
func (g *Granter) requestWithdrawals(s *site.Snapshot) bool {
	term, now := s.Coordinator.Term, g.o.Clock.Now()
	if g.withdrawTerm != term {
		g.withdrawTerm, g.withdrawnRows, g.withdrawalsRequestedAt = term, map[ident.Daemon]store.Rev{}, 0
	}
	if now.Sub(g.withdrawalsRequestedAt) >= withdrawInterval {
		g.withdrawalsRequestedAt = now
		if slices.Contains(s.Voters, g.o.Self) && g.o.Feed.Withdraw(term) {
			g.handleWithdrawal(withdrawal{term: term, from: g.o.Self, rowRev: g.daemonRev(g.o.Self), withdrawn: true})
		}
		for _, d := range s.Voters {
			if d == g.o.Self || g.withdrawnRows[d] > 0 || s.Daemons[d] == nil {
				continue
			}
			row := g.daemonRev(d) // read before the answer: if the daemon restarts, the revision changes
			g.group.Go(func(c context.Context) error {
				g.requestWithdrawal(c, withdrawal{term: term, from: d, rowRev: row})
				return nil
			})
		}
	}
	n := 0
	for _, d := range s.Voters {
		if g.withdrawnRows[d] > 0 {
			n++
		}
	}
	return elect.IsQuorum(n, len(s.Voters))
}

func (g *Granter) daemonRev(d ident.Daemon) store.Rev {
	r, _ := g.o.Feed.Row(feed.DaemonRow(d))
	return r.Rev
}

func (g *Granter) requestWithdrawal(c context.Context, w withdrawal) {
	x, cancel := context.WithTimeout(c, withdrawTimeout)
	defer cancel()
	r, err := g.peers.Call(x, w.from, &wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Term: uint64(w.term)}}})
	if err != nil {
		return // the request is repeated
	}
	w.withdrawn = r.GetWithdrawn().GetGiven()
	select {
	case g.withdrawals <- w:
	case <-c.Done():
	}
}

func (g *Granter) handleWithdrawal(w withdrawal) {
	if w.term == g.withdrawTerm && w.withdrawn && w.rowRev > 0 {
		g.withdrawnRows[w.from] = w.rowRev
	}
}
