package home

import (
	"sync"
	"sync/atomic"
	"time"

	"heatherrouter/core/admit"
	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/core/owner"
	"heatherrouter/core/part"
	"heatherrouter/core/topk"
	"heatherrouter/io/conns"
	"heatherrouter/io/lessor"
	"heatherrouter/io/view"
	"heatherrouter/io/wire"
)

const (
	probeLimit  = 250 * time.Millisecond // for one probe of the server
	askPause    = 100 * time.Millisecond // between two asks while there is no lease
	sketchSize  = 64                     // shards whose rates are followed
	sketchHalf  = 5 * time.Second
	hotReported = 8
	keyedDrain  = 2 * time.Second // of a drain, until the shards that have not moved are refused
	spareConns  = 2               // beyond the slots: probes, and connections that are being replaced
)

// Home is this daemon's side of one backend server. Its lock guards the decisions of core, which are short; no I/O
// happens under it.
type Home struct {
	o    *Options
	id   ident.Server
	pool *conns.Pool

	connLost atomic.Bool // an idle connection was closed by the server

	mu        sync.Mutex
	service   *config.Service
	server    config.Server
	row       part.Server
	epoch     ident.Epoch // that this daemon may ask under; 0 when it is neither home nor standby
	rev       ident.Rev   // of the part that row is from
	set       lease.Set
	holder    *lease.Holder // nil before the first epoch
	asked     mono.Time     // when the lease was last asked for
	held      bool          // as of the last look, to see a lease come and go
	granted   ident.Epoch   // that a server which checks grants has taken
	granting  bool          // a grant is on its way
	grantAt   mono.Time     // of the next try
	stopped   bool          // the daemon hands back its lease and wants no other
	returned  bool          // the witnesses have been told that it stopped
	admit     *admit.Server
	gate      *owner.Gate
	waits     map[admit.Ticket]chan admit.Decision
	hot       *topk.Sketch[ident.Shard]
	released  map[ident.Shard]ident.Epoch
	open      int // exchanges under way, streamed ones included
	compare   mono.Time
	takeUntil mono.Time // as a standby: until when to ask for the lease, though the home is heard again
	closeAt   mono.Time // when the drained server gets no new work any more; Never while it isn't drained
}

func newHome(o *Options, c *config.Service, v config.Server) *Home {
	now := o.Clock.Now()
	h := &Home{
		o: o, id: v.ID, service: c, server: v,
		admit:    admit.New(now, admit.Options{Slots: v.Slots}),
		gate:     owner.NewGate(v.ID),
		waits:    map[admit.Ticket]chan admit.Decision{},
		hot:      topk.New[ident.Shard](now, sketchSize, sketchHalf),
		released: map[ident.Shard]ident.Epoch{},
		closeAt:  mono.Never,
	}
	h.pool = h.newPool(v)
	return h
}

func (h *Home) newPool(v config.Server) *conns.Pool {
	return conns.New(conns.Options{
		Addr: v.Addr, MaxConns: min(v.Conns, v.Slots*2+spareConns),
		OnIdleClosed: func() { h.connLost.Store(true) }, // without the lock: the pool is closed under it, and waits for its probes
	})
}

// noteLost tells admission of connections that the server closed while they were idle.
func (h *Home) noteLost(now mono.Time) {
	if h.connLost.Swap(false) {
		h.admit.SuspectRestart(now)
	}
}

// update takes in the server's row and settings from a snapshot.
func (h *Home) update(n *view.Snapshot, c *config.Service, v config.Server, p *part.Part, row part.Server, e ident.Epoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	if v.Addr != h.server.Addr {
		_ = h.pool.Close() // never fails
		h.pool = h.newPool(v)
	}
	h.service, h.server, h.row, h.rev = c, v, row, p.Rev
	if d := n.Docs[c.Name]; d != nil {
		h.set = lessor.SetOf(p, d.Rows[part.WitnessesRow].Rev)
	}
	h.setEpoch(now, e)
	if h.holder != nil {
		h.holder.SetWitnesses(h.set)
	}
	h.drain(now, row.State == part.Draining || n.Config.ServerDrained(&v))
	if c.Keyed() {
		h.takeShards(now, p)
	}
}

// drain ends new work at a server that leaves.
//
// The work of a keyed server ends shard by shard as they move. Were it refused as soon as the drain is heard of, its
// keys would go unserved until they have moved. Shards that have not moved by keyedDrain, such as in an outage of the
// table, are refused all the same: a server that leaves gets no new work.
func (h *Home) drain(now mono.Time, on bool) {
	switch {
	case !on:
		h.closeAt = mono.Never
	case h.closeAt != mono.Never:
	case h.service.Keyed():
		h.closeAt = now.Add(keyedDrain)
	default:
		h.closeAt = now
	}
	h.deliver(h.admit.Drain(now, !now.Before(h.closeAt)))
}

// settings returns the server's settings as last published.
func (h *Home) settings() config.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server
}

// setEpoch ends the holder of an older epoch and makes one for the new.
func (h *Home) setEpoch(now mono.Time, e ident.Epoch) {
	if e == h.epoch {
		return
	}
	held := h.holder != nil && h.holder.Holds(now)
	if h.holder != nil {
		h.holder.Stop(now)
		h.returned = false
	}
	h.epoch = e
	if e == 0 || h.stopped {
		return
	}
	// The former epoch is not handed back: with it the witnesses could give the lease to another home at once, while
	// requests of that epoch are in flight. They give this process a higher epoch without a wait.
	if !held {
		// Nobody else can have sent while this daemon held the lease. Were it to start the ramp anew with each
		// epoch, callers would be refused whenever only the standby is replaced.
		h.admit.TakeOver(now, h.o.Proven(h.id))
	}
	h.holder = lease.NewHolder(h.o.Terms, h.id, e, h.o.Life)
	h.gate.SetHolder(h.holder)
	h.asked, h.takeUntil = 0, 0
}

// takeShards hands the gate the shards that concern this server, and the queued work of lost ones back.
func (h *Home) takeShards(now mono.Time, p *part.Part) {
	rows := map[ident.Shard]owner.Row{}
	for i, o := range p.Shards {
		if o.Server == h.id || o.Previous == h.id {
			rows[ident.Shard(i)] = owner.Row{Owner: o.Server, Epoch: o.Epoch, Previous: o.Previous}
		}
	}
	h.gate.SetRows(p.Rev, rows)
	for s, e := range h.released {
		if r := rows[s]; r.Owner != h.id || r.Epoch != e || r.Previous == "" {
			delete(h.released, s)
		}
	}
	h.deliver(h.admit.Release(now, func(s ident.Shard) bool { return rows[s].Owner == h.id }))
}

// deliver hands decisions about queued work to the goroutines that wait for them.
func (h *Home) deliver(l []admit.Decision) {
	for _, d := range l {
		t := admit.TicketOf(d)
		if w := h.waits[t]; w != nil {
			delete(h.waits, t)
			w <- d // has room for its one decision
		}
	}
}

func (h *Home) holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder != nil && h.holder.Holds(h.o.Clock.Now())
}

// stop hands back the lease for good, for a daemon that leaves.
func (h *Home) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.holder != nil {
		h.holder.Stop(h.o.Clock.Now())
	}
}

// retire ends the home of a server that is in no configuration, when nothing is in flight.
func (h *Home) retire() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != nil {
		h.holder.Stop(h.o.Clock.Now())
	}
	if h.open > 0 {
		return false
	}
	_ = h.pool.Close() // never fails
	return true
}

// tick lets time pass for the decisions; it reports whether the lease has just come.
func (h *Home) tick(now mono.Time) (came bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteLost(now)
	if !now.Before(h.admit.NextTick()) {
		h.deliver(h.admit.Tick(now))
	}
	held := h.held
	h.noteLease(now)
	if !now.Before(h.closeAt) {
		h.deliver(h.admit.Drain(now, true))
	}
	if h.epoch == 0 || !h.held {
		return false
	}
	h.offerGrant(now)
	if !now.Before(h.compare) {
		h.compare = now.Add(peerEvery)
		h.admit.SetPeerLatencies(now, h.o.Latencies(h.service.Name, h.id))
	}
	if h.admit.StartProbe(now) {
		go h.probe(h.pool, now)
	}
	return !held
}

// noteLease logs leases as they come and go.
func (h *Home) noteLease(now mono.Time) {
	holds := h.holder != nil && h.holder.Holds(now)
	if holds == h.held {
		return
	}
	h.held = holds
	e := h.o.Log.Info()
	if !holds && !h.stopped && h.epoch != 0 {
		e = h.o.Log.Warn()
	}
	e.Str("server", string(h.id)).Uint64("epoch", uint64(h.epoch)).Bool("held", holds).Msg("lease of a backend server")
}

func (h *Home) probe(p *conns.Pool, asked mono.Time) {
	x, err := p.Probe(h.o.Clock.StdTime(asked.Add(probeLimit)))
	if err != nil {
		x = admit.ProbeResult{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.admit.Report(asked).Down
	now := h.o.Clock.Now()
	h.deliver(h.admit.ProbeDone(now, asked, x))
	if is := h.admit.Report(now).Down; is != was {
		h.asked = 0 // tells the coordinator with a renewal at once, since the keys wait for it
		h.o.Log.Warn().Str("server", string(h.id)).Bool("down", is).AnErr("probe", err).Msg("backend server")
	}
}

// report returns what the home sees of its server.
func (h *Home) report(now mono.Time, full bool) *wire.ServerReport {
	r := h.admit.Report(now)
	w := &wire.ServerReport{
		Down: r.Down, Slow: r.Slow, InFlight: uint32(r.InFlight), Queued: uint32(r.Queued),
		OpenSlots: uint32(r.OpenSlots), ServedPerSecond: uint32(r.ServedPerSecond),
		LatencyUs: uint32(r.Latency.Microseconds()), Incarnation: uint64(r.Incarnation),
	}
	if !full {
		return w
	}
	for _, x := range h.hot.Top(now, hotReported) {
		w.Hot = append(w.Hot, &wire.HotShard{Shard: uint32(x.Key), PerSecond: uint32(x.PerSecond)})
	}
	for s, e := range h.released {
		w.Released = append(w.Released, &wire.ShardRelease{Shard: uint32(s), Epoch: uint64(e)})
	}
	return w
}

// State is a home in the state dump.
type State struct {
	Role      string        `json:"role"` // home, standby or none
	Epoch     ident.Epoch   `json:"epoch"`
	Holds     bool          `json:"holds-lease"`
	LeaseLeft time.Duration `json:"lease-left-ns"`
	Down      bool          `json:"down"`
	Slow      bool          `json:"slow"`
	Draining  bool          `json:"draining"`
	InFlight  int           `json:"in-flight"`
	Queued    int           `json:"queued"`
	OpenSlots int           `json:"open-slots"`
	PerSecond int           `json:"served-per-second"`
	LatencyUs int64         `json:"latency-us"`
	Conns     conns.Stats   `json:"connections"`
	Exchanges int           `json:"exchanges"`
}

func (h *Home) state() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	r := h.admit.Report(now)
	s := State{
		Role: h.role(), Epoch: h.epoch, Down: r.Down, Slow: r.Slow, Draining: r.Draining, InFlight: r.InFlight,
		Queued: r.Queued, OpenSlots: r.OpenSlots, PerSecond: r.ServedPerSecond, LatencyUs: r.Latency.Microseconds(),
		Conns: h.pool.Stats(), Exchanges: h.open,
	}
	if h.holder != nil && h.holder.Holds(now) {
		s.Holds, s.LeaseLeft = true, h.holder.Until().Sub(now)
	}
	return s
}

func (h *Home) role() string {
	switch {
	case h.epoch == 0:
		return "none"
	case h.row.Home == h.o.Self:
		return "home"
	}
	return "standby"
}
