// Package node assembles and runs a daemon on a platform's store: the ports for callers and peers, requests to backend
// servers, the copy of the store, and the coordinator's work.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/buffer"
	"heatherrouter/core/crash"
	"heatherrouter/core/descr"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/quota"
	"heatherrouter/core/reach"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/admin"
	"heatherrouter/io/clock"
	"heatherrouter/io/feed"
	"heatherrouter/io/front"
	"heatherrouter/io/grant"
	"heatherrouter/io/group"
	"heatherrouter/io/guard"
	"heatherrouter/io/limit"
	"heatherrouter/io/listen"
	"heatherrouter/io/memory"
	"heatherrouter/io/meter"
	"heatherrouter/io/paths"
	"heatherrouter/io/peer"
	"heatherrouter/io/relay"
	"heatherrouter/io/send"
	"heatherrouter/io/socket"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// Platform holds the parts that depend on the platform: its store, its data formats and its protocol with backend servers.
type Platform struct {
	Store      store.Store
	Decoder    feed.Decoder
	Dialect    send.Dialect
	OrderCodec grant.OrderCodec
}

// Options configure a Node.
type Options struct {
	Settings *Settings
	Platform Platform
	Version  string
	Log      *log.Logger
}

// Node is one running daemon.
type Node struct {
	o            Options
	incarnation  ident.Incarnation
	group        *group.Group
	clock        *clock.Clock
	meter        *meter.Meter
	memory       *memory.Budget // nil for no limit
	sockets      *socket.Budget // nil for no limit
	id           *identity
	feed         *feed.Feed
	granter      *grant.Granter
	sender       *send.Sender
	limiter      *limit.Limiter
	reports      *limit.Servers
	guard        *guard.Guard
	paths        *paths.Tracker
	relay        *relay.Server
	peers        *peer.Transport
	front        *front.Frontend
	statusServer *fasthttp.Server
	leaving      atomic.Bool
}

// softMemoryRatio is the share of the memory limit of the process that is set as the Go runtime's soft limit: from there on it
// collects garbage however busy it is.
const softMemoryRatio = 0.7

// bufferRatio is the part of the memory limit of the process that the bodies of requests and responses may take.
const bufferRatio = 0.25

// New starts a daemon. The caller ends it with Shutdown and Stop, or with Stop alone.
func New(c context.Context, o Options) (*Node, error) {
	o.Platform.Store = store.Packed(o.Platform.Store)
	n := &Node{o: o, incarnation: ident.Incarnation(time.Now().UnixNano()), group: group.New(c), clock: clock.New(), sockets: socket.New(o.Settings.Sockets)} //nolint:gosec // a time after 1970
	if o.Settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(o.Settings.Memory) * softMemoryRatio))
	}
	if err := n.start(); err != nil {
		n.group.Stop()
		return nil, err
	}
	o.Log.Info().Str("version", o.Version).Str("entry", o.Settings.Entry.String()).Str("peer", o.Settings.Peer.String()).
		Str("store", o.Settings.Store.String()).Int("pid", os.Getpid()).Msg("daemon started")
	return n, nil
}

// start creates the components, opens the ports and starts the goroutines.
func (n *Node) start() error {
	s := n.o.Settings
	var err error
	if err = n.startMeter(); err != nil {
		return err
	}
	n.feed = feed.New(feed.Options{
		Self: s.Name, Incarnation: n.incarnation, Store: n.o.Platform.Store, Decoder: n.o.Platform.Decoder, Clock: n.clock, Log: n.o.Log,
		TakeMeasurements: func(x *wire.Sync) { n.sender.TakeMeasurements(x) },
		OnMeasurements:   func(sentAt mono.Time, x *wire.Sync) { n.granter.AddMeasurements(sentAt, x) },
		Tokens:           tokenClient{n},
	})
	n.limiter = limit.New(limit.Options{
		Self: s.Name, Incarnation: n.incarnation, View: n.feed, Clock: n.clock, Log: n.o.Log,
		Policy: quota.Policy{
			Window: s.Limits.QuotaWindow, Overshoot: s.Limits.QuotaOvershoot, Slack: s.Limits.QuotaSlack, ReserveUnreported: true,
		},
	})
	if err := errors.Join(n.trackReports(), n.trackLoads(), n.trackPaths()); err != nil {
		return err
	}
	n.granter = grant.New(grant.Options{
		Self: s.Name, Incarnation: n.incarnation, Feed: n.feed, Store: n.o.Platform.Store, OrderCodec: n.o.Platform.OrderCodec,
		OrderIDHeader: n.o.Platform.Dialect.RequestID,
		Timing:        hold.DefaultTiming(s.Limits.MaxGrantTTL), Clock: n.clock, Paths: n.paths,
		Reports: n.reports, Sockets: n.sockets, Log: n.o.Log, Shares: s.Shares,
	})
	n.guard = guard.New(guard.Options{
		View: n.feed, Store: n.o.Platform.Store, Clock: n.clock, Counter: n.meter, Log: n.o.Log, Dial: guard.Dial,
		Observe: func(c context.Context, x *site.Server) ([]crash.Observation, int) {
			return n.paths.Observe(c, n.peers, s.Name, x)
		},
	})
	n.sender = send.New(send.Options{
		Self: s.Name, Domain: s.Domain, View: n.feed, Dialect: n.o.Platform.Dialect,
		ColdLimit:  pace.ColdLimit{Factor: s.Limits.ColdFactor, Slack: s.Limits.ColdSlack},
		RetryLimit: pace.RetryLimit{Ratio: s.Limits.RetryRatio, Slack: s.Limits.RetrySlack, Window: s.Limits.RetryWindow},
		Clock:      n.clock, Counter: n.meter, Sockets: n.sockets, Log: n.o.Log, Limiter: n.limiter, Reports: n.reports, Guard: n.guard, Paths: n.paths, Health: n.o.Platform.OrderCodec,
		Relays: reach.NewRelays(s.Name, s.Regions, rand.IntN), Relay: relay.NewClient(n.clock, exchanger{n}), MaxCopyAge: s.Limits.MaxCopyAge, Shares: s.Shares,
	})
	n.relay = relay.NewServer(n.clock, n.sender, n.memory, n.o.Log)
	if n.id, err = newIdentity(s.Name, n.feed.Snapshot); err != nil {
		return err
	}
	l, err := n.listen()
	if err != nil {
		return err
	}
	n.peers, err = peer.New(n.group.Context(), peer.Options{
		Self: s.Name, Listen: s.Peer, Resolver: addressBook{n.feed.Snapshot}, TLS: n.id, Clock: n.clock, Log: n.o.Log,
		Handler: peerHandler{n, n.feed, n.limiter, n.reports, n.relay},
	})
	if err != nil {
		l.close()
		return err
	}
	n.serve(l)
	n.run()
	return nil
}

// run starts the goroutines of the components.
func (n *Node) run() {
	n.group.Go(n.announce)
	n.feed.Run(n.group, n.peers)
	n.granter.Run(n.group, n.peers)
	n.limiter.Run(n.group, n.peers)
	n.reports.Run(n.group, n.peers)
	n.guard.Run(n.group)
	n.sender.Run(n.group)
	n.group.Go(n.maintain)
	n.group.Go(n.watchPeers)
}

// watchPeers ends the daemon if its transport fails: it would never again get a change from a peer.
func (n *Node) watchPeers(c context.Context) error {
	select {
	case <-c.Done():
		return nil
	case <-n.peers.Done():
		return trace.Wrap(n.peers.Err())
	}
}

// startMeter creates the metrics and, if the settings name a memory limit, the budget for the bodies of requests and responses.
func (n *Node) startMeter() (err error) {
	if n.meter, err = meter.New(); err != nil {
		return err
	}
	for _, u := range descr.Uses() {
		err := n.meter.Gauge("heatherrouter.sockets."+u.String(), "{socket}", "open sockets for "+u.String()+"; 0 without a limit",
			func() float64 { return float64(n.sockets.Open(u)) })
		if err != nil {
			return err
		}
	}
	if n.o.Settings.Memory <= 0 {
		return nil
	}
	n.memory = memory.New(memory.Options{
		Limit: buffer.Bytes(float64(n.o.Settings.Memory) * bufferRatio), Clock: n.clock, Refused: n.meter.RecordNoMemory,
	})
	return n.meter.Gauge("heatherrouter.buffers.held", "By", "bytes of bodies of requests and responses that this daemon holds",
		func() float64 { return float64(n.memory.State().Held) })
}

// trackReports starts the record of what backend servers say of themselves.
func (n *Node) trackReports() error {
	n.reports = limit.NewServers(limit.ServersOptions{
		Self: n.o.Settings.Name, Incarnation: n.incarnation, View: n.feed, Clock: n.clock, Log: n.o.Log,
	})
	if err := n.meter.Gauge("heatherrouter.servers.limited", "{server}", "backend servers that name a limit on their requests",
		func() float64 { return float64(n.reports.Limited()) }); err != nil {
		return err
	}
	return n.meter.Gauge("heatherrouter.servers.backoff", "{server}", "backend servers to which this daemon sends nothing because they requested backoff",
		func() float64 { return float64(n.reports.BackoffCount()) })
}

// trackPaths starts the record of the servers that the daemon can reach.
func (n *Node) trackPaths() error {
	n.paths = paths.New(n.group, paths.Options{View: n.feed, Clock: n.clock, Log: n.o.Log, Dial: guard.Dial, InBackoff: func(x *site.Server) bool {
		return n.reports.Access(x) == report.Closed
	}})
	return n.meter.Gauge("heatherrouter.servers.unreachable", "{server}", "announced backend servers that this daemon can't reach",
		func() float64 { return float64(n.paths.Count()) })
}

// listeners are the open ports for callers (entry) and for the balancer and operators (status).
type listeners struct {
	entry  net.Listener
	status []net.Listener
}

// listen opens the ports before any component starts. A port may be in use, for example by an outgoing connection that another
// process opened while the daemon was down. If the daemon already accepted callers then, it would have to be shut down again. A
// daemon that neither serves nor ends would refuse callers for good, and they would not reach the daemons that serve.
func (n *Node) listen() (listeners, error) {
	s := n.o.Settings
	var x listeners
	var err error
	if x.entry, err = net.Listen("tcp", s.Entry.String()); err != nil {
		return x, trace.Wrap(err, "listen for callers on %v", s.Entry)
	}
	for _, a := range []netip.AddrPort{s.Ready, s.Admin} {
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			x.close()
			return x, trace.Wrap(err, "listen for status requests on %v", a)
		}
		x.status = append(x.status, l)
	}
	return x, nil
}

func (x listeners) close() {
	x.entry.Close()
	for _, l := range x.status {
		l.Close()
	}
}

// serve starts to accept callers and to answer the balancer and operators.
func (n *Node) serve(x listeners) {
	n.front = front.New(n.group, front.Options{
		Listen: x.entry, AcceptFailed: n.acceptLog("callers"), Limits: n.limits, Handler: n.sender.Handle, CloseAfterResponse: n.isolated,
		Sockets: n.sockets, Memory: n.memory, Priority: n.sender.Priority, RefuseNoMemory: n.sender.RefuseNoMemory,
	})
	n.statusServer = &fasthttp.Server{
		Handler: n.handleStatus, NoDefaultServerHeader: true, Concurrency: maxStatusConns, ReadTimeout: statusReadTimeout,
	}
	for _, l := range x.status {
		l = listen.Retry(l, n.acceptLog("status"))
		n.group.Go(func(context.Context) error { return n.statusServer.Serve(l) })
	}
}

const (
	// maxStatusConns bounds the connections to each port for status requests.
	maxStatusConns = 32

	// statusReadTimeout bounds the time for a status request, and for which a connection waits for one.
	statusReadTimeout = 5 * time.Second
)

// acceptLogInterval is the least time between two log lines about connections that a port doesn't accept.
const acceptLogInterval = time.Second

// acceptLog returns a function that logs failures to accept connections on a port. It must not be called concurrently.
func (n *Node) acceptLog(port string) func(error) {
	var last time.Time
	failures := 0
	return func(err error) {
		failures++
		if time.Since(last) < acceptLogInterval {
			return
		}
		n.o.Log.Warn().Err(err).Str("port", port).Int("failures", failures).Msg("connections not accepted")
		last, failures = time.Now(), 0
	}
}

func (n *Node) limits() site.Limits {
	if c := n.feed.Snapshot().Config; c != nil {
		return c.Limits
	}
	return site.DefaultLimits()
}

// pruneInterval is the time between passes that close connections to servers that are gone.
const pruneInterval = time.Second

// maintain prunes the connections to servers, and passes this daemon's own measurements on while it is the coordinator.
func (n *Node) maintain(c context.Context) error {
	t := time.NewTicker(pruneInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
			n.sender.Prune()
			n.reports.Prune(n.feed.Snapshot())
			if n.feed.IsCoordinator() {
				x := &wire.Sync{}
				n.sender.TakeMeasurements(x)
				n.granter.AddMeasurements(n.clock.Now(), x)
			}
		}
	}
}

// isolatedThreshold is how long a daemon must be isolated before it reports that it isn't ready. One exchange with the
// coordinator may fail, which takes 0.7 s.
const isolatedThreshold = 2 * time.Second

// isolated reports whether the daemon is isolated from the rest of its site. It would refuse most callers, and the balancer
// sends them to daemons that can serve them if this one isn't ready. An outage of the store alone doesn't count.
func (n *Node) isolated() bool {
	return n.feed.IsolatedFor() > isolatedThreshold
}

// Ready reports whether the balancer may send callers to the daemon.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.feed.Loaded() && !n.isolated()
}

// handleStatus answers the balancer and operators. Any path other than /metrics and /state is the readiness check.
func (n *Node) handleStatus(x *fasthttp.RequestCtx) {
	switch string(x.Path()) {
	case "/metrics":
		n.meter.Page()(x)
	case "/state":
		admin.Self{Daemon: n.o.Settings.Name, Incarnation: n.incarnation}.WriteTo(&x.Response.Header)
		n.handleState(x)
	default:
		if !n.Ready() {
			x.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
}

// Wait waits until a component has failed or the parent context has ended, and returns the cause. The other components run until Stop.
func (n *Node) Wait() error { return n.group.Wait() }

// GracePeriod returns the time after which the platform kills the process once it has asked it to stop.
func (n *Node) GracePeriod() time.Duration { return n.o.Settings.Limits.GracePeriod }

// Done returns a channel that is closed when the daemon ends.
func (n *Node) Done() <-chan struct{} { return n.group.Context().Done() }

const (
	// outOfRotationDelay is how long the daemon still accepts connections after it reports that it isn't ready: balancers
	// check once a second and act on the second failed check.
	outOfRotationDelay = 3 * time.Second

	// exitMargin is the part of the grace period that is left for the exit of the process.
	exitMargin = 500 * time.Millisecond

	// abortTimeout bounds the time to write the responses to aborted requests.
	abortTimeout = 150 * time.Millisecond

	// deleteRowTimeout bounds the deletion of the daemon's row. A row that stays takes a share of the site's limits from the
	// other daemons.
	deleteRowTimeout = 200 * time.Millisecond
)

// Shutdown stops the daemon without cutting off requests. It reports that it isn't ready, hands over the coordinator role, serves the requests
// that still arrive, and returns after the last response or at the end of the grace period. Stop must follow.
func (n *Node) Shutdown(c context.Context) {
	started := time.Now()
	n.o.Log.Info().Int("open", n.front.OpenRequests()).Int("connections", n.front.OpenConns()).Msg("daemon is leaving")
	n.leaving.Store(true)
	n.front.Drain()
	end := started.Add(n.o.Settings.Limits.GracePeriod - exitMargin)
	n.sender.StopAt(n.clock.Now().Add(time.Until(end)))
	x, cancel := context.WithDeadline(c, end)
	defer cancel()
	var duties sync.WaitGroup // that others rely on
	duties.Go(func() { n.granter.StepDown(x) })
	duties.Go(func() { n.relay.Drain(x) })
	t := time.NewTimer(time.Until(started.Add(outOfRotationDelay)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-x.Done():
	}
	if err := n.front.Shutdown(x); err != nil {
		n.o.Log.Warn().Err(err).Msg("grace period over, requests aborted")
		n.sender.AbortAll()
		y, cancel := context.WithTimeout(c, abortTimeout)
		defer cancel()
		if err := n.front.Shutdown(y); err != nil {
			n.o.Log.Warn().Err(err).Msg("callers received no response")
		}
	}
	duties.Wait()
	n.deleteRow(c)
	n.o.Log.Info().Dur("took", time.Since(started)).Msg("daemon has left")
}

// deleteRow deletes the daemon's row, so that the other daemons get its share of the site's limits.
func (n *Node) deleteRow(c context.Context) {
	x, cancel := context.WithTimeout(c, deleteRowTimeout)
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

// EndRequests accepts no more callers and returns when the requests in progress are answered, or when the context ends. It is for a daemon
// of which a component has failed. Stop must follow.
func (n *Node) EndRequests(c context.Context) {
	n.leaving.Store(true)
	if err := n.front.Shutdown(c); err != nil {
		n.o.Log.Warn().Err(err).Msg("callers received no response")
	}
}

// statusStopTimeout bounds the wait for connections on which a status request has begun.
const statusStopTimeout = 100 * time.Millisecond

// Stop ends all components at once.
func (n *Node) Stop() {
	n.front.Close()
	x, cancel := context.WithTimeout(context.Background(), statusStopTimeout)
	defer cancel()
	_ = n.statusServer.ShutdownWithContext(x) // connections that are left end with the process
	n.group.Stop()                            // before the peers, which its goroutines call
	n.peers.Stop()
}

// IsCoordinator reports whether the daemon is the coordinator of its site, as far as it knows.
func (n *Node) IsCoordinator() bool { return n.feed.IsCoordinator() }
