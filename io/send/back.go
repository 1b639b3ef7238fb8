package send

import (
	"context"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"heatherrouter/core/choice"
	"heatherrouter/core/descr"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/misdir"
	"heatherrouter/core/mono"
	"heatherrouter/core/pace"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/conns"
	"heatherrouter/io/wire"
)

// backendKey identifies one incarnation of a backend server at one address.
type backendKey struct {
	id   ident.Server
	born int64
	addr netip.AddrPort
}

func backendKeyOf(x *site.Server) backendKey {
	return backendKey{id: x.ID, born: x.Born, addr: x.Addr}
}

// backend is this daemon's state of one incarnation of a backend server.
type backend struct {
	server *site.Server
	pool   *conns.Pool
	health *conns.Pool // for health checks, whose responses have no request id

	mu             sync.Mutex
	load           choice.Load
	misdirected    *misdir.Server
	cold           pace.ColdServer
	keyed          bool
	cancels        map[*request]context.CancelCauseFunc // of the exchanges that may be repeated at another server
	waitingSince   mono.Time                            // if requests are in flight: since when the server has sent nothing
	samples        []uint32                             // service times without interference since the last report to the coordinator, in units of choice.SampleUnit
	lowestSlowdown float64                              // lowest slowdown that the server reported since then; 0 for no report
	work           workCounts                           // since then
	lastLoad       int                                  // requests running and waiting at the server, by its last report

	findingsLoggedAt mono.Time // when values that the server sent were last logged because they aren't taken as they are

	restartSuspectedUntil mono.Time          // until then the server may have restarted, and be cold, without having announced it
	restartWindow         pace.SlidingWindow // requests sent in that time
}

const (
	dialTimeout = 250 * time.Millisecond

	// maxResponseBytes bounds the body of a response, which is held in memory.
	maxResponseBytes = 32 << 20

	// maxHealthBytes bounds the body of a response to a health check, of which only the header is read. Many servers may be asked at once.
	maxHealthBytes = 16 << 10

	// maxConns bounds the connections to one server, which accepts a limited total from all daemons.
	maxConns = 64
)

// backend returns the state of a server's incarnation, which it creates on first use. The service is that of the server.
func (s *Sender) backend(x *site.Server, keyed bool) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := backendKeyOf(x)
	b := s.backends[k]
	if b == nil {
		b = &backend{server: x, load: choice.Load{Slots: x.Slots}, misdirected: misdir.New(keyed)}
		b.pool = conns.New(conns.Options{
			Addr: x.Addr, MaxConns: maxConns, DialTimeout: dialTimeout, ProbeInterval: conns.NoProbes, MaxBody: maxResponseBytes,
			Names: s.names, CloseDelimited: true, ReuseIdentified: true, Sockets: s.o.Sockets, SocketUse: descr.Requests,
		})
		b.health = conns.New(conns.Options{
			Addr: x.Addr, MaxConns: 1, DialTimeout: dialTimeout, ProbeInterval: conns.NoProbes, MaxBody: maxHealthBytes,
			Sockets: s.o.Sockets, SocketUse: descr.Requests,
		})
		s.backends[k] = b
	}
	return b
}

// unusedAge is for how long a connection to a server has been idle when it is closed because sockets are scarce.
const unusedAge = time.Second

// Prune discards the state of server incarnations that are no longer in the snapshot and closes their idle connections, and unused ones of
// all servers while sockets are scarce.
func (s *Sender) Prune() {
	snap := s.o.View.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays.Retain(snap)
	s.fleet.Prune(s.o.Clock.Now(), s.o.RetryLimit.Window)
	maps.DeleteFunc(s.backends, func(k backendKey, b *backend) bool {
		x := snap.Servers[k.id]
		if x != nil && backendKeyOf(x) == k {
			return false
		}
		_ = b.health.Close()
		_ = b.pool.Close() // closes idle connections; those in use are closed after their requests
		return true
	})
	if !s.o.Sockets.Scarce(descr.Requests) {
		return
	}
	for _, b := range s.backends {
		b.pool.CloseUnused(time.Now().Add(-unusedAge))
		b.health.CloseUnused(time.Now().Add(-unusedAge))
	}
}

// daemonNames returns the sorted names of the daemons, which share the limits that apply to all daemons together.
func (s *Sender) daemonNames(snap *site.Snapshot) []ident.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.daemonsOf != snap {
		s.daemons, s.daemonsOf = slices.Sorted(maps.Keys(snap.Daemons)), snap
	}
	return s.daemons
}

// keyBucket identifies a range of hold.BucketKeys keys of a service that are counted together.
type keyBucket struct {
	service ident.Service
	index   uint32
}

// recordArrival counts the request for its key, and for its service and priority.
func (s *Sender) recordArrival(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demands[demandClass{service: r.service.Name, priority: r.priority()}]++
	if r.service.Keyed && r.hasKey {
		s.counts[keyBucket{service: r.service.Name, index: uint32(r.key) / hold.BucketKeys}]++
	}
}

// TakeMeasurements adds the measurements that the coordinator plans by to a message, and resets them: requests by key, by service
// and priority, and the speed and load of servers.
func (s *Sender) TakeMeasurements(x *wire.Sync) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b, n := range s.counts {
		x.Counts = append(x.Counts, &wire.KeyCount{Service: string(b.service), Bucket: b.index, Requests: n})
	}
	clear(s.counts)
	for d, n := range s.demands {
		x.Demands = append(x.Demands, &wire.ServiceDemand{Service: string(d.service), Priority: d.priority, Requests: n})
	}
	clear(s.demands)
	for _, b := range s.backends {
		if w := b.takeMeasurement(); w != nil {
			x.Works = append(x.Works, w)
		}
	}
}

// takeMeasurement returns and resets the measurements of the server's speed and load, or returns nil if there are none.
func (b *backend) takeMeasurement() *wire.ServerWork {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lowestSlowdown == 0 && b.work == (workCounts{}) {
		return nil
	}
	w := &wire.ServerWork{
		Service: string(b.server.Service), Server: string(b.server.ID), PacePercent: uint32(math.Round(100 * b.lowestSlowdown)),
		Took_100Us: b.samples, Sent: b.work.sent, Full: b.work.full, Reports: b.work.reports, LoadSum: b.work.loadSum,
	}
	b.samples, b.lowestSlowdown, b.work = nil, 0, workCounts{}
	return w
}

// observeLoad records a server's load report. The caller holds b.mu.
func (b *backend) observeLoad(now mono.Time, r report.Load) {
	b.countReport(r)
	b.load.ApplyReport(now, r.Running, r.Waiting, r.Slowdown)
	if b.lowestSlowdown == 0 || r.Slowdown < b.lowestSlowdown {
		b.lowestSlowdown = r.Slowdown
	}
}

// findingsLogInterval is the least time between two log lines about values of one server that aren't taken as they are.
const findingsLogInterval = 10 * time.Second

// logsFindings reports whether findings about the server's responses may be logged now.
func (b *backend) logsFindings(now mono.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.findingsLoggedAt > 0 && now.Sub(b.findingsLoggedAt) < findingsLogInterval {
		return false
	}
	b.findingsLoggedAt = now
	return true
}

// maxSamples bounds the samples of a server while the coordinator doesn't collect them.
const maxSamples = 64

// addSample records the service time of a request at a server with slowdown 1. The caller holds b.mu.
func (b *backend) addSample(d time.Duration) {
	if len(b.samples) < maxSamples {
		b.samples = append(b.samples, uint32(min(d/choice.SampleUnit, math.MaxUint32))) //nolint:gosec // bounded
	}
}

// serviceTime returns the service time of the service's requests at a server with slowdown 1; 0 while unknown.
func (s *Sender) serviceTime(n ident.Service) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.serviceTimes[n]; q != nil {
		return time.Duration(q.Estimate)
	}
	return 0
}

func (s *Sender) observeServiceTime(n ident.Service, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.serviceTimes[n]
	if q == nil {
		q = &choice.Quantile{P: choice.ServiceTimeQuantile}
		s.serviceTimes[n] = q
	}
	q.Add(float64(d))
}
