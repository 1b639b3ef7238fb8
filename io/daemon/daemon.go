// Package daemon puts the roles of heatherrouterd together: entry, home, coordinator and witness in one process.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"heatherrouter/core/admit"
	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/live"
	"heatherrouter/io/admin"
	"heatherrouter/io/clock"
	"heatherrouter/io/coord"
	"heatherrouter/io/entry"
	"heatherrouter/io/group"
	"heatherrouter/io/home"
	"heatherrouter/io/hosts"
	"heatherrouter/io/keys"
	"heatherrouter/io/lessor"
	"heatherrouter/io/member"
	"heatherrouter/io/meter"
	"heatherrouter/io/peer"
	"heatherrouter/io/publ"
	"heatherrouter/io/setup"
	"heatherrouter/io/spread"
	"heatherrouter/io/table"
	"heatherrouter/io/view"
)

const (
	listTimeout = 2 * time.Second // for one reading of the host list

	// balancerGrace is how long callers are still taken after the daemon calls itself not ready, so that the
	// balancer has looked before connections are refused.
	balancerGrace = 3 * time.Second
	handLimit     = 15 * time.Second // for handing over homes
	leaveLimit    = 15 * time.Minute // for the downloads under way at a stop
	leavePoll     = 20 * time.Millisecond
	lastAsk       = 300 * time.Millisecond // for the witnesses to hear that the leases are handed back
)

// Daemon is one running heatherrouterd.
type Daemon struct {
	settings *setup.Settings
	version  string
	log      *log.Logger
	clock    *clock.Clock
	started  time.Time
	group    *group.Group
	keys     *keys.Store
	opkey    *keys.Secret
	meter    *meter.Meter
	members  *member.Members
	peers    *peer.Transport
	table    *table.Store
	store    *spread.Store
	view     *view.View
	lessor   *lessor.Lessor
	homes    *home.Homes
	coord    *coord.Coordinator
	entry    *entry.Entry
	publ     *publ.Publisher
	page     *admin.Page
	running  atomic.Bool // all parts are there
	leaving  atomic.Bool
}

// Options are what a Daemon needs.
type Options struct {
	Settings *setup.Settings
	Version  string
	Log      *log.Logger
}

// New starts a daemon. Everything that can fail for a wrong setting fails before the first port is open to callers.
func New(c context.Context, o Options) (*Daemon, error) {
	d := &Daemon{
		settings: o.Settings, version: o.Version, log: o.Log, clock: clock.New(), started: time.Now(),
		group: group.New(c),
	}
	if err := d.build(); err != nil {
		d.group.Stop()
		return nil, err
	}
	d.running.Store(true)
	d.members.Run(d.group)
	d.group.Go(d.keys.Watch)
	d.group.Go(d.opkey.Watch)
	d.group.Go(d.entry.Serve)
	d.log.Info().Str("daemon", string(o.Settings.Name)).Str("entry", o.Settings.Entry.String()).
		Str("peer", o.Settings.Peer.String()).Str("admin", o.Settings.Admin.String()).Msg("daemon started")
	return d, nil
}

func (d *Daemon) build() error {
	var err error
	s := d.settings
	f := keys.Files{Authorities: s.Keys.CAs, Certificate: s.Keys.Certificate, Key: s.Keys.Key}
	if d.keys, err = keys.New(f, d.log); err != nil {
		return err
	}
	if d.opkey, err = keys.NewSecret(s.Keys.OperatorKey, d.log); err != nil {
		return err
	}
	if d.meter, err = meter.New(); err != nil {
		return err
	}
	if err := d.buildDocs(); err != nil {
		return err
	}
	if err := d.buildPeers(); err != nil {
		return err
	}
	d.buildDuties()
	if err := d.buildEntry(); err != nil {
		return err
	}
	if err := d.buildGauges(); err != nil {
		return err
	}
	return d.buildAdmin()
}

func (d *Daemon) buildDocs() error {
	t := d.settings.Table
	var err error
	d.table = table.New(table.Options{
		Endpoint: t.Endpoint, Region: t.Region, Table: t.Name, AccessKey: t.AccessKey, SecretKey: t.SecretKey, Log: d.log,
	})
	d.view = view.New(d.log)
	d.store = spread.New(d.table, d, func() spread.Peers { return d.members }, d.log)
	d.store.OnChange(d.view.Take)
	return err
}

func (d *Daemon) buildPeers() error {
	s := d.settings
	self := member.Host{Peer: s.Peer, Word: live.Heartbeat{
		Daemon: s.Name, Domain: s.Domain, Region: s.Region, Incarnation: ident.Incarnation(d.started.UnixNano()),
	}}
	var seeds []member.Host
	for _, p := range s.Peers {
		seeds = append(seeds, member.Host{Peer: p.Addr, Word: live.Heartbeat{Daemon: p.Name}})
	}
	d.members = member.New(member.Options{
		Self: self, Seeds: seeds, Clock: d.clock, Caller: d, Docs: d.store, Log: d.log,
		List: hosts.New(s.Hosts.URL, &http.Client{Timeout: listTimeout}),
	})
	var err error
	d.peers, err = peer.New(d.group.Context(), peer.Options{
		Self: s.Name, Listen: s.Peer, Resolver: d.members, TLS: d.keys, Handler: d.handler(), Clock: d.clock, Log: d.log,
	})
	return err
}

func (d *Daemon) buildDuties() {
	s := d.settings
	terms := lease.DefaultTerms()
	d.lessor = lessor.New(lessor.Options{
		Self: s.Name, Terms: terms, Clock: d.clock, Alive: d.members.Alive, Heard: d.members.Heard,
	})
	d.homes = home.New(d.group, home.Options{
		Self: s.Name, Life: ident.Incarnation(d.started.UnixNano()), Terms: terms, Clock: d.clock, View: d.view,
		Caller: d, Witness: d.lessor, Alive: d.members.Alive, Heard: d.members.Heard, Latencies: d.latencies, Proven: d.proven, Log: d.log,
	})
	d.coord = coord.New(d.group, coord.Options{
		Self: s.Name, Region: s.Region, Terms: terms, Clock: d.clock, View: d.view, Store: d.store,
		Members: d.members, Lessor: d.lessor, Caller: d, Log: d.log,
	})
}

func (d *Daemon) buildEntry() error {
	l, err := net.Listen("tcp", d.settings.Entry.String())
	if err != nil {
		return trace.Wrap(err, "address for callers %v", d.settings.Entry)
	}
	d.entry = entry.New(entry.Options{
		Self: d.settings.Name, Listen: l, View: d.view, Homes: entryHomes{d.homes}, Peers: d.peers, Clock: d.clock,
		Counter: d.meter, Log: d.log,
	})
	return nil
}

// latencies returns how long the other servers of a service take, as their homes last told this daemon's entry.
func (d *Daemon) latencies(s ident.Service, without ident.Server) []time.Duration {
	if !d.running.Load() {
		return nil
	}
	return d.entry.Latencies(s, without)
}

// proven returns what the last home of a server reported to this daemon's entry.
func (d *Daemon) proven(s ident.Server) admit.ProvenSlots {
	if !d.running.Load() {
		return admit.ProvenSlots{}
	}
	return d.entry.Proven(s)
}

func (d *Daemon) buildGauges() error {
	g := []struct {
		name, unit, what string
		read             func() float64
	}{
		{"heatherrouter.homes", "", "backend servers whose lease this daemon holds", func() float64 { return float64(len(d.homes.Held())) }},
		{"heatherrouter.requests.open", "", "requests without a final answer", func() float64 { return float64(d.entry.Open()) }},
		{"heatherrouter.requests.waiting", "", "requests held until there is room", func() float64 { return float64(d.entry.Waiting()) }},
		{"heatherrouter.config.rev", "", "revision of the configuration in force", func() float64 { return float64(d.view.Get().Config.Rev) }},
		{"heatherrouter.services.led", "", "services that this daemon coordinates", func() float64 { return float64(len(d.coord.Leads())) }},
		{"heatherrouter.peer.connections", "", "open connections with other daemons", func() float64 { return float64(d.peers.Traffic().Conns) }},
		{"heatherrouter.peer.sent", "By", "bytes sent to other daemons", func() float64 { return float64(d.peers.Traffic().BytesOut) }},
		{"heatherrouter.peer.received", "By", "bytes received from other daemons", func() float64 { return float64(d.peers.Traffic().BytesIn) }},
		{"heatherrouter.certificate.left", "s", "until this daemon's certificate expires", func() float64 { return time.Until(d.keys.Expires()).Seconds() }},
	}
	for _, x := range g {
		if err := d.meter.Gauge(x.name, x.unit, x.what, x.read); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) buildAdmin() error {
	d.publ = publ.New(configDocs{d}, d, time.Now)
	l, err := net.Listen("tcp", d.settings.Admin.String())
	if err != nil {
		return trace.Wrap(err, "admin address %v", d.settings.Admin)
	}
	self := admin.Self{Daemon: d.settings.Name, Incarnation: ident.Incarnation(d.started.UnixNano())}
	d.page = admin.New(self, d, d.opkey.Get, d.meter.Page(), d.log)
	d.group.Go(func(context.Context) error { return d.page.Serve(l) })
	return nil
}

// Wait waits until a duty has failed or the parent context has ended, and returns the cause. Stop must follow.
func (d *Daemon) Wait() error {
	return d.group.Wait()
}

// Done ends when the daemon does.
func (d *Daemon) Done() <-chan struct{} {
	return d.group.Context().Done()
}

// Leave stops the daemon without cutting off a request: it calls itself not ready, hands over its homes, and ends
// when the last answer is out. A second signal, by the context, ends it at once.
func (d *Daemon) Leave(c context.Context) {
	d.log.Info().Msg("daemon is leaving")
	d.leaving.Store(true)
	d.members.Leave()
	d.entry.Leave()
	x, cancel := context.WithTimeout(c, leaveLimit)
	defer cancel()
	grace := time.Now().Add(balancerGrace)
	limit := time.Now().Add(handLimit)
	for x.Err() == nil && (time.Now().Before(grace) || len(d.homes.Held()) > 0 && time.Now().Before(limit)) {
		time.Sleep(leavePoll)
	}
	if err := d.entry.Shutdown(x); err != nil {
		d.log.Warn().Err(err).Msg("callers left unanswered")
	}
	for x.Err() == nil && d.homes.Open() > 0 {
		time.Sleep(leavePoll)
	}
	d.homes.Stop()
	time.Sleep(lastAsk)
	d.log.Info().Msg("daemon has left")
}

// Stop ends all duties at once.
func (d *Daemon) Stop() {
	x, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = d.entry.Shutdown(x) // what is still open is cut off, as Stop says
	_ = d.page.Shutdown(x)
	d.peers.Stop()
	d.group.Stop()
	_ = d.meter.Stop(x)
}
