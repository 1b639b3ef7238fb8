// Package node puts the duties of a daemon together that runs against a platform's store: callers, backend servers,
// peers, the copy of the store, and the coordinator's turn.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/quota"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/feed"
	"heatherrouter/io/front"
	"heatherrouter/io/grant"
	"heatherrouter/io/group"
	"heatherrouter/io/guard"
	"heatherrouter/io/limit"
	"heatherrouter/io/meter"
	"heatherrouter/io/peer"
	"heatherrouter/io/send"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// Platform is everything that is spoken in words of a platform's own.
type Platform struct {
	Store   store.Store
	Decoder feed.Decoder
	Dialect send.Dialect
	Speaker grant.Speaker
}

// Options are what a Node needs.
type Options struct {
	Settings *Settings
	Platform Platform
	Version  string
	Log      *log.Logger
}

// Node is one running daemon.
type Node struct {
	o       Options
	life    ident.Incarnation
	group   *group.Group
	clock   *clock.Clock
	meter   *meter.Meter
	id      *identity
	feed    *feed.Feed
	granter *grant.Granter
	sender  *send.Sender
	limiter *limit.Limiter
	guard   *guard.Guard
	peers   *peer.Transport
	front   *front.Front
	pages   *fasthttp.Server
	leaving atomic.Bool
}

// memoryShare is the part of its memory limit at which the process collects garbage however busy it is.
const memoryShare = 0.7

// New starts a daemon.
func New(c context.Context, o Options) (*Node, error) {
	o.Platform.Store = store.Packed(o.Platform.Store)
	n := &Node{o: o, life: ident.Incarnation(time.Now().UnixNano()), group: group.New(c), clock: clock.New()} //nolint:gosec // a time after 1970
	if o.Settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(o.Settings.Memory) * memoryShare))
	}
	if err := n.build(); err != nil {
		n.group.Stop()
		return nil, err
	}
	o.Log.Info().Str("version", o.Version).Str("entry", o.Settings.Entry.String()).Str("peer", o.Settings.Peer.String()).
		Str("store", o.Settings.Store.String()).Int("pid", os.Getpid()).Msg("daemon started")
	return n, nil
}

func (n *Node) build() error {
	s := n.o.Settings
	var err error
	if n.meter, err = meter.New(); err != nil {
		return err
	}
	n.feed = feed.New(feed.Options{
		Self: s.Name, Incarnation: n.life, Store: n.o.Platform.Store, Decoder: n.o.Platform.Decoder, Clock: n.clock, Log: n.o.Log,
		TakeMeasurements: func() ([]*wire.KeyCount, []*wire.ServerWork) { return n.sender.Measures() },
		OnMeasurements:   func(l []*wire.KeyCount, w []*wire.ServerWork) { n.granter.Measured(l, w) },
		Quota:            quotaClient{n},
	})
	n.limiter = limit.New(limit.Options{
		Self: s.Name, Life: n.life, View: n.feed, Clock: n.clock, Log: n.o.Log,
		Terms: quota.Policy{Window: s.Limits.QuotaWindow, Overshoot: s.Limits.QuotaOvershoot, Slack: s.Limits.QuotaSlack},
	})
	n.granter = grant.New(grant.Options{
		Self: s.Name, Life: n.life, Feed: n.feed, Store: n.o.Platform.Store, Speaker: n.o.Platform.Speaker,
		Terms: hold.DefaultTiming(s.Limits.MaxHold), Clock: n.clock, Log: n.o.Log,
	})
	n.guard = guard.New(guard.Options{
		View: n.feed, Store: n.o.Platform.Store, Clock: n.clock, Counter: n.meter, Log: n.o.Log, Dial: guard.Dial,
	})
	n.sender = send.New(send.Options{
		Self: s.Name, Domain: s.Domain, View: n.feed, Dialect: n.o.Platform.Dialect,
		Cold:   pace.ColdLimit{Factor: s.Limits.ColdFactor, Slack: s.Limits.ColdSlack},
		Budget: pace.BudgetLimit{Ratio: s.Limits.RetryRatio, Slack: s.Limits.RetrySlack, Window: s.Limits.RetryWindow},
		Clock:  n.clock, Counter: n.meter, Log: n.o.Log, Limiter: n.limiter, Guard: n.guard, MaxCopyAge: s.Limits.MaxCopyAge,
	})
	if n.id, err = newIdentity(s.Name, n.feed.Snapshot); err != nil {
		return err
	}
	l, err := n.listen()
	if err != nil {
		return err
	}
	n.peers, err = peer.New(n.group.Context(), peer.Options{
		Self: s.Name, Listen: s.Peer, Resolver: book{n.feed.Snapshot}, TLS: n.id, Handler: handler{n.feed, n.limiter}, Log: n.o.Log,
	})
	if err != nil {
		l.close()
		return err
	}
	n.serve(l)
	n.group.Go(n.announce)
	n.feed.Run(n.group, n.peers)
	n.granter.Run(n.group, n.peers)
	n.limiter.Run(n.group, n.peers)
	n.guard.Run(n.group)
	n.group.Go(n.follow)
	return nil
}

// listeners are the open ports for callers, the balancer and operators.
type listeners struct {
	entry net.Listener
	pages []net.Listener
}

// listen opens the ports before any duty starts. With one of them taken, as by somebody's outgoing connection while the
// daemon was down, a daemon that has begun to take callers would have to be taken down again; refused for good by one that
// neither serves nor ends, they would not reach those that do.
func (n *Node) listen() (listeners, error) {
	s := n.o.Settings
	var x listeners
	var err error
	if x.entry, err = net.Listen("tcp", s.Entry.String()); err != nil {
		return x, trace.Wrap(err, "address for callers %v", s.Entry)
	}
	for _, a := range []netip.AddrPort{s.Ready, s.Admin} {
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			x.close()
			return x, trace.Wrap(err, "address for pages %v", a)
		}
		x.pages = append(x.pages, l)
	}
	return x, nil
}

func (x listeners) close() {
	x.entry.Close()
	for _, l := range x.pages {
		l.Close()
	}
}

// serve starts to take callers and to answer the balancer and operators.
func (n *Node) serve(x listeners) {
	n.front = front.New(n.group, front.Options{Listen: x.entry, Limits: n.limits, Handler: n.sender.Handle, Away: n.isolated})
	n.pages = &fasthttp.Server{Handler: n.page, NoDefaultServerHeader: true}
	for _, l := range x.pages {
		n.group.Go(func(context.Context) error { return n.pages.Serve(l) })
	}
}

func (n *Node) limits() site.Limits {
	if c := n.feed.Snapshot().Config; c != nil {
		return c.Limits
	}
	return site.DefaultLimits()
}

// announcePause is between two tries to write the daemon's row, half as much more or less: the rows of all daemons lie in
// one part, and hundreds that start together write more than it takes at once.
const announcePause = 500 * time.Millisecond

// announce writes the daemon's row, by which peers find it, and again when somebody has dropped it: the coordinator takes
// a daemon for gone that it hasn't heard of for a while.
func (n *Node) announce(c context.Context) error {
	s := n.o.Settings
	v, err := proto.Marshal(&wire.DaemonRow{
		Domain: string(s.Domain), Peer: s.Peer.String(), Incarnation: uint64(n.life), Fingerprint: n.id.fingerprint[:],
		Capacity: uint32(max(0, s.Capacity)), //nolint:gosec // thousandths of a host's cores
	})
	if err != nil {
		return trace.Wrap(err)
	}
	row := store.Row{Key: feed.DaemonRow(s.Name), Value: v}
	clock.Sleep(c, n.announceDelay(c))
	for c.Err() == nil {
		rev, err := n.o.Platform.Store.Commit(c, store.Txn{Put: []store.Row{row}})
		if err != nil {
			n.o.Log.Warn().Err(err).Msg("daemon not announced")
			clock.Sleep(c, announcePause/2+rand.N(announcePause))
			continue
		}
		row.Rev = rev
		n.feed.SetAnnounced(rev)
		n.feed.Learn([]store.Row{row})
		n.whileAnnounced(c)
	}
	return nil
}

// announceDelay returns how long the daemon waits before it writes its row first. Rows of a whole site that starts again
// would else hold up the transaction of whoever becomes its coordinator, which waits in line behind them: voters write at
// once, the others spread over a time that grows with the site.
func (n *Node) announceDelay(c context.Context) time.Duration {
	limit := time.Now().Add(readLimit)
	for !n.feed.ControlLoaded() && time.Now().Before(limit) && c.Err() == nil {
		clock.Sleep(c, readLimit/20)
	}
	s := n.feed.Snapshot()
	switch {
	case slices.Contains(s.Voters, n.o.Settings.Name):
		return 0
	case s.Coordinator.Term == 0:
		return rand.N(firstSpread)
	default:
		return rand.N(time.Duration(max(1, len(s.Daemons))) * announceSpread)
	}
}

const (
	readLimit      = 400 * time.Millisecond // for the control table at the start
	firstSpread    = 400 * time.Millisecond // at the first start of a site, of a size that isn't known yet
	announceSpread = 3 * time.Millisecond   // for each daemon of the site
)

// whileAnnounced returns when the daemon's row is gone.
func (n *Node) whileAnnounced(c context.Context) {
	for c.Err() == nil {
		changed := n.feed.Changed()
		if _, ok := n.feed.Row(feed.DaemonRow(n.o.Settings.Name)); !ok && !n.leaving.Load() {
			n.o.Log.Warn().Msg("daemon's row was dropped")
			return
		}
		select {
		case <-changed:
		case <-c.Done():
		}
	}
}

// pruneEvery is how often connections to servers that are gone are closed.
const pruneEvery = time.Second

func (n *Node) follow(c context.Context) error {
	t := time.NewTicker(pruneEvery)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
			n.sender.Prune()
			if n.feed.Leads() {
				n.granter.Measured(n.sender.Measures())
			}
		}
	}
}

// isolatedAfter is for how long a daemon is cut off when it sends callers elsewhere. An exchange with the coordinator may
// fail once, and takes 0.7 s then.
const isolatedAfter = 2 * time.Second

// isolated reports whether the daemon is cut off from the rest of its site. It would refuse most callers, while others,
// where the balancer sends them when a daemon isn't ready, can serve them. An outage of the store alone is no such reason.
func (n *Node) isolated() bool {
	return n.feed.Cut() > isolatedAfter
}

// Ready reports whether the daemon takes callers.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.feed.Loaded() && !n.isolated()
}

// page answers the balancer and operators.
func (n *Node) page(x *fasthttp.RequestCtx) {
	switch string(x.Path()) {
	case "/metrics":
		n.meter.Page()(x)
	case "/state":
		n.state(x)
	default:
		if !n.Ready() {
			x.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
}

// Wait waits until a duty has failed or the parent context has ended.
func (n *Node) Wait() error { return n.group.Wait() }

// Done ends when the daemon does.
func (n *Node) Done() <-chan struct{} { return n.group.Context().Done() }

const (
	// outOfRotation is how long after the daemon has called itself not ready it still takes connections: balancers ask
	// once a second and believe the second answer.
	outOfRotation = 3 * time.Second

	// leaveMargin is left of the grace for the end of the process itself.
	leaveMargin = 500 * time.Millisecond

	// giveUpTime is for the last answers to be written.
	giveUpTime = 150 * time.Millisecond

	// withdrawLimit is for dropping the daemon's row; one that stays costs the others a share of what is bounded for all.
	withdrawLimit = 200 * time.Millisecond
)

// Leave stops the daemon without cutting off a request: it calls itself not ready, hands over the coordinator's turn,
// answers what callers still send, and ends when the last answer is out or the grace is over.
func (n *Node) Leave(c context.Context) {
	started := time.Now()
	n.o.Log.Info().Int("open", n.front.Open()).Int("connections", n.front.Conns()).Msg("daemon is leaving")
	n.leaving.Store(true)
	n.front.Leave()
	x, cancel := context.WithDeadline(c, started.Add(n.o.Settings.Limits.Grace-leaveMargin))
	defer cancel()
	var hand sync.WaitGroup
	hand.Go(func() { n.granter.Leave(x) })
	t := time.NewTimer(time.Until(started.Add(outOfRotation)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-x.Done():
	}
	if err := n.front.Shutdown(x); err != nil {
		n.o.Log.Warn().Err(err).Msg("requests given up")
		n.sender.GiveUp()
		y, cancel := context.WithTimeout(c, giveUpTime)
		defer cancel()
		if err := n.front.Shutdown(y); err != nil {
			n.o.Log.Warn().Err(err).Msg("callers left without an answer")
		}
	}
	hand.Wait()
	n.withdraw(c)
	n.o.Log.Info().Dur("took", time.Since(started)).Msg("daemon has left")
}

// withdraw drops the daemon's row, so that its share of what is bounded for all falls to the others.
func (n *Node) withdraw(c context.Context) {
	x, cancel := context.WithTimeout(c, withdrawLimit)
	defer cancel()
	row, ok := n.feed.Row(feed.DaemonRow(n.o.Settings.Name))
	if !ok {
		return
	}
	_, err := n.o.Platform.Store.Commit(x, store.Txn{
		Expect: []store.Expect{{Key: row.Key, Rev: row.Rev}}, Drop: []string{row.Key},
	})
	if err != nil {
		n.o.Log.Info().Err(err).Msg("daemon's row not dropped")
	}
}

// Stop ends all duties at once.
func (n *Node) Stop() {
	n.front.Close()
	_ = n.pages.Shutdown() // fails only when closed before
	n.group.Stop()         // before the peers, which its duties call
	n.peers.Stop()
}

// quotaClient connects the feed to the limiter, which is created after it.
type quotaClient struct{ n *Node }

// Ask implements feed.QuotaClient.
func (q quotaClient) Ask() *wire.QuotaAsk { return q.n.limiter.Ask() }

// Answered implements feed.QuotaClient.
func (q quotaClient) Answered(asked mono.Time, a *wire.QuotaAsk, r *wire.QuotaAnswer) {
	q.n.limiter.Answered(asked, a, r)
}

// handler answers peers.
type handler struct {
	feed    *feed.Feed
	limiter *limit.Limiter
}

// Call implements peer.Handler.
func (h handler) Call(c context.Context, from ident.Daemon, m *wire.Call) *wire.Reply {
	switch x := m.GetBody().(type) {
	case *wire.Call_Sync:
		r := h.sync(c, from, x.Sync)
		return &wire.Reply{Body: &wire.Reply_Sync{Sync: r}}
	case *wire.Call_Quota:
		a := h.limiter.Report(from, x.Quota)
		return &wire.Reply{Body: &wire.Reply_Quota{Quota: h.limiter.Grant(from, a)}}
	case *wire.Call_Withdraw:
		given := h.feed.Withdraw(site.Term(x.Withdraw.GetTerm()))
		return &wire.Reply{Body: &wire.Reply_Withdrawn{Withdrawn: &wire.Withdrawn{Given: given}}}
	}
	return nil
}

// sync answers a Sync, including any quota ask that it carries.
func (h handler) sync(c context.Context, from ident.Daemon, x *wire.Sync) *wire.SyncReply {
	if x.GetQuota() == nil {
		return h.feed.Sync(c, from, x)
	}
	a := h.limiter.Report(from, x.GetQuota())
	r := h.feed.Sync(c, from, x)
	r.Quota = h.limiter.Grant(from, a)
	return r
}

// Exchange implements peer.Handler.
func (handler) Exchange(_ context.Context, _ ident.Daemon, x *peer.Exchange) { x.Abort() }

// Leads reports whether the daemon is the coordinator of its site, as far as it knows.
func (n *Node) Leads() bool { return n.feed.Leads() }
