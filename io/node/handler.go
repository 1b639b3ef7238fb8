package node

import (
	"context"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/feed"
	"heatherrouter/io/limit"
	"heatherrouter/io/peer"
	"heatherrouter/io/relay"
	"heatherrouter/io/wire"
)

// tokenClient connects the feed to the limiters, which are created after it.
type tokenClient struct{ n *Node }

// Ask implements feed.TokenClient.
func (t tokenClient) Ask(x *wire.Sync) {
	x.Quota, x.SelfReports = t.n.limiter.Ask(), t.n.reports.Ask()
}

// Answered implements feed.TokenClient.
func (t tokenClient) Answered(asked, sentAt mono.Time, from ident.Daemon, x *wire.Sync, r *wire.SyncReply) {
	if x.GetQuota() != nil {
		t.n.limiter.ApplyAnswer(asked, sentAt, x.GetQuota(), r.GetQuota())
	}
	t.n.reports.ApplyAnswer(asked, sentAt, from, x.GetSelfReports(), r.GetSelfReports())
}

// peerHandler answers the calls of peers.
type peerHandler struct {
	node    *Node
	feed    *feed.Feed
	limiter *limit.Limiter
	servers *limit.Servers
	relay   *relay.Server
}

// Call implements peer.Handler.
func (h peerHandler) Call(c context.Context, from ident.Daemon, m *wire.Call) *wire.Reply {
	sentAt := h.node.clock.SentAt(time.Duration(m.GetSentUs())*time.Microsecond, h.node.clock.Now()) //nolint:gosec // time since the start of the host
	switch x := m.GetBody().(type) {
	case *wire.Call_Sync:
		r := h.sync(c, sentAt, from, x.Sync)
		return &wire.Reply{Body: &wire.Reply_Sync{Sync: r}}
	case *wire.Call_Quota:
		a := h.limiter.ApplyAsk(from, x.Quota)
		return &wire.Reply{Body: &wire.Reply_Quota{Quota: h.limiter.Grant(from, a)}}
	case *wire.Call_SelfReports:
		return &wire.Reply{Body: &wire.Reply_SelfReports{SelfReports: h.servers.Serve(sentAt, from, x.SelfReports)}}
	case *wire.Call_Reach:
		return &wire.Reply{Body: &wire.Reply_Reach{Reach: h.reach(c, x.Reach)}}
	case *wire.Call_Withdraw:
		withdrawn := h.feed.Withdraw(site.Term(x.Withdraw.GetTerm()))
		return &wire.Reply{Body: &wire.Reply_Withdrawn{Withdrawn: &wire.Withdrawn{Given: withdrawn}}}
	}
	return nil
}

// reach answers a ReachAsk.
func (h peerHandler) reach(c context.Context, x *wire.ReachAsk) *wire.ReachAnswer {
	if h.node.leaving.Load() {
		return &wire.ReachAnswer{Leaving: true}
	}
	ids := make([]ident.Server, 0, len(x.GetServers()))
	for _, id := range x.GetServers() {
		ids = append(ids, ident.Server(id))
	}
	a := &wire.ReachAnswer{}
	for _, id := range h.node.paths.Check(c, ids) {
		a.Reached = append(a.Reached, string(id))
	}
	return a
}

// sync answers a Sync that was sent at the given time, with the asks for tokens that it may carry.
func (h peerHandler) sync(c context.Context, sentAt mono.Time, from ident.Daemon, x *wire.Sync) *wire.SyncReply {
	if x.GetQuota() != nil {
		a := h.limiter.ApplyAsk(from, x.GetQuota())
		r := h.syncServers(c, sentAt, from, x)
		r.Quota = h.limiter.Grant(from, a)
		return r
	}
	return h.syncServers(c, sentAt, from, x)
}

// syncServers answers a Sync with its part about limits of servers. It answers at once when daemons must be told of a change.
func (h peerHandler) syncServers(c context.Context, sentAt mono.Time, from ident.Daemon, x *wire.Sync) *wire.SyncReply {
	if x.GetSelfReports() == nil {
		return h.feed.Sync(c, sentAt, from, x)
	}
	changed := h.servers.Changed()
	a := h.servers.ApplyAsk(sentAt, from, x.GetSelfReports())
	c, cancel := context.WithCancel(c)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-c.Done():
		}
	}()
	r := h.feed.Sync(c, sentAt, from, x)
	r.SelfReports = h.servers.Grant(from, a)
	return r
}

// Exchange implements peer.Handler.
func (h peerHandler) Exchange(c context.Context, from ident.Daemon, x *peer.Exchange) {
	h.relay.Serve(c, from, x)
}

// exchanger opens exchanges over the transport, which is created after the sender.
type exchanger struct{ n *Node }

// OpenExchange implements relay.Exchanger.
func (e exchanger) OpenExchange(c context.Context, to ident.Daemon, head *wire.Exchange, asOf time.Duration) (*peer.Exchange, error) {
	return e.n.peers.OpenExchange(c, to, head, asOf)
}
