package coord

import (
	"context"
	"time"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
	"heatherrouter/core/part"
	"heatherrouter/core/place"
	"heatherrouter/io/lessor"
	"heatherrouter/io/view"
	"heatherrouter/io/wire"
)

const retireLimit = 400 * time.Millisecond // for one witness to say that it has retired

// input gathers what a plan rests on.
func (x *Coordinator) input(now mono.Time, d *duty, n *view.Snapshot, s *config.Service, p *part.Part, l []live.Daemon) place.Input {
	in := place.Input{
		Service: s, Drains: drains(n.Config), Part: p, Daemons: l, Memory: d.memory,
		Reports: map[ident.Server]place.Report{}, Holders: map[ident.Server]place.Holder{},
		Released: map[ident.Shard]ident.Epoch{},
	}
	for id, y := range x.o.Lessor.Seen(s.Name) {
		if now.Sub(y.At) > x.o.Terms.Lease {
			continue
		}
		if y.Given {
			in.Holders[id] = place.Holder{Daemon: y.Home, Epoch: y.Epoch}
		}
		if y.Report != nil {
			in.Reports[id] = report(y)
			for _, r := range y.Report.GetReleased() {
				in.Released[ident.Shard(r.GetShard())] = ident.Epoch(r.GetEpoch())
			}
		}
	}
	if p != nil && p.Witnesses.Changing() {
		in.MaySettle = x.retire(now, d, n, p, l)
		x.noteTakeovers(d, p, in.Holders)
	}
	return in
}

// noteTakeovers names the standbys that took over by the word of the old witnesses. The plan then writes them down in
// the transaction that settles the change: the next witnesses know nothing of them.
func (x *Coordinator) noteTakeovers(d *duty, p *part.Part, holders map[ident.Server]place.Holder) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, row := range p.Servers {
		a := lease.Assignment{Home: row.Home, Epoch: row.Epoch, Standby: row.Standby}
		if d.change.TakenOver(id, a) {
			holders[id] = place.Holder{Daemon: row.Standby, Epoch: row.Epoch + 1}
		}
	}
}

func report(y lessor.Seen) place.Report {
	r := place.Report{
		Received: y.At, Down: y.Report.GetDown(), Slow: y.Report.GetSlow(), InFlight: int(y.Report.GetInFlight()),
		Queued: int(y.Report.GetQueued()), OpenSlots: int(y.Report.GetOpenSlots()),
		PerSecond: float64(y.Report.GetServedPerSecond()),
		Latency:   time.Duration(y.Report.GetLatencyUs()) * time.Microsecond,
	}
	for _, h := range y.Report.GetHot() {
		r.Hot = append(r.Hot, place.HotShard{Shard: ident.Shard(h.GetShard()), PerSecond: float64(h.GetPerSecond())})
	}
	return r
}

func drains(c *config.Config) place.Drains {
	d := place.Drains{Domains: map[ident.Domain]bool{}, Servers: map[ident.Server]bool{}, Daemons: map[ident.Daemon]bool{}}
	for n := range c.Domains {
		d.Domains[n] = true
	}
	for n := range c.Servers {
		d.Servers[n] = true
	}
	for n := range c.Daemons {
		d.Daemons[n] = true
	}
	return d
}

// retire tells the old witnesses of the change that is under way, and reports whether it may be settled.
func (x *Coordinator) retire(now mono.Time, d *duty, n *view.Snapshot, p *part.Part, l []live.Daemon) bool {
	rev := n.Docs[p.Service].Rows[part.WitnessesRow].Rev
	x.mu.Lock()
	if d.change == nil || d.changeAt != rev {
		d.change, d.changeAt = lease.NewChange(x.o.Terms, lessor.SetOf(p, rev)), rev
	}
	ask := d.change.Ask()
	x.mu.Unlock()
	for _, w := range ask {
		switch {
		case x.surelyOut(now, w, l):
			x.retired(d, w, nil)
		case w == x.o.Self:
			if gave, ok := x.o.Lessor.Retire(p, rev); ok {
				x.retired(d, w, gave)
			}
		default:
			go x.askRetire(d, w, p.Rev)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := d.change.Settled(now)
	return ok
}

// surelyOut reports whether an old witness can't renew any lease of the old set: it is silent and the host list has
// taken it off. A new life of it is asked to retire like the old one: it may have read the table before the change.
func (x *Coordinator) surelyOut(now mono.Time, w ident.Daemon, l []live.Daemon) bool {
	for _, y := range l {
		if y.Daemon == w {
			return y.Listed == live.ListedGone && now.Sub(y.LastContact) > x.o.Terms.Lapse()
		}
	}
	return false
}

func (x *Coordinator) retired(d *duty, w ident.Daemon, gave map[ident.Server]ident.Epoch) {
	x.mu.Lock()
	defer x.mu.Unlock()
	d.change.Gave(gave)
	d.change.Retired(x.o.Clock.Now(), w)
}

func (x *Coordinator) askRetire(d *duty, w ident.Daemon, rev ident.Rev) {
	c, cancel := context.WithTimeout(context.Background(), retireLimit)
	defer cancel()
	r, err := x.o.Caller.Call(c, w, &wire.Call{Body: &wire.Call_Retire{Retire: &wire.Retire{
		Service: string(d.service), Rev: uint64(rev),
	}}})
	if err != nil || r.GetRetired() == nil {
		return
	}
	gave := map[ident.Server]ident.Epoch{}
	for _, g := range r.GetRetired().GetGave() {
		gave[ident.Server(g.GetServer())] = ident.Epoch(g.GetEpoch())
	}
	x.retired(d, w, gave)
}

// Retire answers a coordinator that tells this daemon's witness of a change; nil when its copy of the document has
// not come as far.
func (x *Coordinator) Retire(m *wire.Retire) *wire.Retired {
	n := x.o.View.Get()
	p := n.Part(ident.Service(m.GetService()))
	if p == nil || p.Rev < ident.Rev(m.GetRev()) {
		return nil
	}
	gave, ok := x.o.Lessor.Retire(p, n.Docs[p.Service].Rows[part.WitnessesRow].Rev)
	if !ok {
		return nil
	}
	r := &wire.Retired{}
	for s, e := range gave {
		r.Gave = append(r.Gave, &wire.ServerEpoch{Server: string(s), Epoch: uint64(e)})
	}
	return r
}
