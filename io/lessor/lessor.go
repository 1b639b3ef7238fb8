// Package lessor is the witness duty of a daemon: it gives leases from memory, without the table.
package lessor

import (
	"sync"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
	"heatherrouter/io/clock"
	"heatherrouter/io/wire"
)

// Seen is what a home last said of one of its backend servers.
type Seen struct {
	Home   ident.Daemon
	Epoch  ident.Epoch
	Given  bool // the witness gave the home its lease
	At     mono.Time
	Report *wire.ServerReport // nil when the home was not asked for reports
}

// Options are what a Lessor needs.
type Options struct {
	Self  ident.Daemon
	Terms lease.Terms
	Clock *clock.Clock
	Alive func(ident.Daemon) bool
	Heard func(ident.Daemon)
}

// Lessor answers the asks of homes.
type Lessor struct {
	o Options

	mu      sync.Mutex
	witness *lease.Witness
	sets    map[ident.Service]lease.Set
	seen    map[ident.Server]Seen
}

// New returns a lessor that gives nothing until the longest lease of a former life of the process has lapsed.
func New(o Options) *Lessor {
	return &Lessor{
		o:       o,
		witness: lease.NewWitness(o.Self, o.Terms, o.Clock.Now()),
		sets:    map[ident.Service]lease.Set{},
		seen:    map[ident.Server]Seen{},
	}
}

// Serve makes the daemon a witness by the part's row, read at the part's revision. The first part of a service
// must have been read from the table by this process.
func (l *Lessor) Serve(p *part.Part, witnessRev ident.Rev) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := SetOf(p, witnessRev)
	old, known := l.sets[p.Service]
	l.sets[p.Service] = s
	l.witness.Serve(p.Service, s, p.Rev)
	if known && s.Rev <= old.Rev {
		return
	}
	for id, row := range p.Servers {
		l.witness.Assigned(id, row.Epoch)
	}
}

// Serves reports whether the lessor has been told of the service's witnesses.
func (l *Lessor) Serves(s ident.Service) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.sets[s]
	return ok
}

// Retire makes the witness retire for the change of witnesses that the part tells of. It returns the highest epochs
// that the witness has given, and whether it has retired.
func (l *Lessor) Retire(p *part.Part, witnessRev ident.Rev) (map[ident.Server]ident.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.witness.Retire(p.Service, SetOf(p, witnessRev))
	return l.witness.Gave(p.Service), ok
}

// SetOf returns the witnesses of a part in the form of core/lease.
func SetOf(p *part.Part, witnessRev ident.Rev) lease.Set {
	return lease.Set{Rev: witnessRev, Current: p.Witnesses.Current, Next: p.Witnesses.Next}
}

// Coordinates reports whether the daemon is the first living witness of the service, the one that decides.
func (l *Lessor) Coordinates(s ident.Service) bool {
	l.mu.Lock()
	x, ok := l.sets[s]
	l.mu.Unlock()
	return ok && live.Coordinator(x.Current, l.o.Alive) == l.o.Self
}

// Seen returns what was last said of the servers of a service.
func (l *Lessor) Seen(s ident.Service) map[ident.Server]Seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := map[ident.Server]Seen{}
	for k, v := range l.seen {
		if k.Service() == s {
			m[k] = v
		}
	}
	return m
}

// Ask answers a daemon's ask for the leases of its servers, which was sent at the given time.
func (l *Lessor) Ask(sentAt mono.Time, from ident.Daemon, a *wire.LeaseAsk) *wire.LeaseAnswer {
	l.o.Heard(from)
	r := &wire.LeaseAnswer{}
	leads := map[ident.Service]bool{}
	for _, h := range a.GetHolds() {
		s := ident.Server(h.GetServer()).Service()
		if _, ok := leads[s]; !ok {
			leads[s] = l.Coordinates(s)
		}
		g := l.ask(sentAt, from, ident.Incarnation(a.GetIncarnation()), h)
		g.WantReport = leads[s]
		r.Gives = append(r.Gives, g)
	}
	return r
}

func (l *Lessor) ask(sentAt mono.Time, from ident.Daemon, life ident.Incarnation, h *wire.Hold) *wire.LeaseGive {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The lease counts from now: sentAt may be earlier than the ask, from which the holder counts.
	now := l.o.Clock.Now()
	id := ident.Server(h.GetServer())
	g := l.witness.Ask(now, from, lease.Ask{
		Server: id, Epoch: ident.Epoch(h.GetEpoch()), Mode: modeFrom(h.GetMode()),
		Incarnation: life, Rev: ident.Rev(h.GetRev()),
	})
	l.note(sentAt, from, id, h, g.Given)
	return &wire.LeaseGive{
		Server: h.GetServer(), Epoch: h.GetEpoch(), Given: g.Given, Clear: g.Clear, Retired: g.Retired,
		HighestEpoch: uint64(g.Highest), WaitMs: uint32(g.Wait.Milliseconds()), Rev: uint64(g.Rev),
		Set: encodeSet(g.Set),
	}
}

// note remembers what homes said at sentAt, for the coordinator. A daemon that was refused is not the home.
func (l *Lessor) note(sentAt mono.Time, from ident.Daemon, id ident.Server, h *wire.Hold, given bool) {
	old := l.seen[id]
	if !given && (old.Home != from || old.Epoch > ident.Epoch(h.GetEpoch())) {
		return
	}
	x := Seen{Home: from, Epoch: ident.Epoch(h.GetEpoch()), Given: given, At: sentAt, Report: h.GetReport()}
	if x.Report == nil && old.Home == from {
		x.Report = old.Report
	}
	l.seen[id] = x
}

func modeFrom(m wire.AskMode) lease.Mode {
	switch m {
	case wire.AskMode_ASK_MODE_SUPERSEDE:
		return lease.Supersede
	case wire.AskMode_ASK_MODE_STOPPED:
		return lease.Stopped
	default:
		return lease.Renew
	}
}

func encodeSet(s lease.Set) *wire.LeaseSet {
	if s.Rev == 0 {
		return nil
	}
	w := &wire.LeaseSet{Rev: uint64(s.Rev)}
	for _, d := range s.Current {
		w.Current = append(w.Current, string(d))
	}
	for _, d := range s.Next {
		w.Next = append(w.Next, string(d))
	}
	return w
}

// DecodeSet is the reverse of the form in which a set travels.
func DecodeSet(w *wire.LeaseSet) lease.Set {
	s := lease.Set{Rev: ident.Rev(w.GetRev())}
	for _, d := range w.GetCurrent() {
		s.Current = append(s.Current, ident.Daemon(d))
	}
	for _, d := range w.GetNext() {
		s.Next = append(s.Next, ident.Daemon(d))
	}
	return s
}
