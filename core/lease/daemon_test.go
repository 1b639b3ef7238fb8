package lease_test

import (
	"slices"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/core/owner"
)

// daemon drives the state machines as the real daemon does, with the model's network and clocks.
type daemon struct {
	proc
	w       *world
	id      int
	name    ident.Daemon
	copy    *snapshot // nil until it has one
	witness *lease.Witness
	serves  bool // the witness has read the table
	homes   []*home
	change  *lease.Change
	trying  instant // one try at the table until then
	jumpy   instant // takes every home for lost until then
	deaf    instant // learns of no newer document until then
}

// home is what a daemon keeps of one server.
type home struct {
	gate   *owner.Gate
	holder *lease.Holder
	ending []*lease.Holder // stopped, the witnesses not told yet
	next   mono.Time       // when to ask the witnesses again
	lost   mono.Time       // since when a newer epoch has stopped it
	anchor owner.ClockSample
	born   int // life of the server that the anchor is of; 0 without an anchor
	pinged mono.Time
	freed  map[ident.Shard]ident.Epoch
}

func (d *daemon) boot() {
	d.begin()
	d.copy, d.serves, d.change, d.trying, d.jumpy, d.deaf = nil, false, nil, 0, 0, 0
	d.witness = lease.NewWitness(d.name, d.w.witnessTerms(), d.clock())
	d.homes = nil
	for i := range d.w.servers {
		d.homes = append(d.homes, &home{gate: owner.NewGate(serverName(i)), freed: map[ident.Shard]ident.Epoch{}, lost: mono.Never})
	}
	d.later(time.Duration(d.between(ms, 100*ms)), d.tick)
}

// tick is what the daemon does by itself, ten times a second.
func (d *daemon) tick() {
	d.later(100*time.Millisecond, d.tick)
	if !d.serves || d.chance(0.1) {
		d.w.read(d, d.serve)
	}
	if d.copy == nil {
		return
	}
	if x := d.w.daemons[d.IntN(nDaemons)]; x != d {
		s := d.copy
		d.w.send(d, x, func() { x.install(s) })
	}
	for i := range d.homes {
		d.upkeep(i)
		d.askReleases(i)
	}
	d.coordinate()
}

// serve takes a copy read from the table after the start.
func (d *daemon) serve(s *snapshot) {
	first := !d.serves
	d.serves = true
	d.witness.Serve("svc", s.set, s.rev)
	if first || s.set.Rev > d.copy.set.Rev {
		d.assigned(s)
	}
	if first && d.w.off[startRetired] {
		d.witness.ForgetChange("svc")
	}
	d.install(s)
}

// assigned tells the witness which epochs the table gave.
func (d *daemon) assigned(s *snapshot) {
	for i, a := range s.homes {
		if !d.w.off[tableEpochs] {
			d.witness.Assigned(serverName(i), a.Epoch)
		}
	}
}

func (d *daemon) install(s *snapshot) {
	if !d.serves && d.w.off[startRead] {
		d.serve(s)
		return
	}
	if d.copy != nil && (s.rev <= d.copy.rev || d.now < d.deaf && d.w.healed == 0) {
		return
	}
	old := d.copy
	d.copy = s
	if d.serves {
		d.witness.Serve("svc", s.set, s.rev)
		if old == nil || s.set.Rev > old.set.Rev {
			d.assigned(s)
		}
	}
	for i, h := range d.homes {
		h.gate.SetRows(s.rev, s.shards)
		h.next = 0
		d.upkeep(i)
	}
}

// upkeep keeps the holder of one server in line with the row, and asks for the lease when it is time.
func (d *daemon) upkeep(i int) {
	h, a := d.homes[i], d.copy.homes[i]
	e := a.EpochOf(d.name)
	now := d.clock()
	if h.holder != nil && h.holder.Epoch() != e {
		if e == 0 {
			h.holder.Stop(now)
			h.ending = append(h.ending, h.holder)
		}
		h.holder = nil
		h.gate.SetHolder(nil)
	}
	d.giveBack(i)
	if e == 0 {
		return
	}
	if h.holder == nil {
		h.holder = lease.NewHolder(d.w.holderTerms(), serverName(i), e, ident.Incarnation(d.life))
		h.gate.SetHolder(h.holder)
		h.next, h.lost = 0, mono.Never
		d.workSoon(i, h.holder)
	}
	if e != a.Epoch && !h.holder.Holds(now) && !d.homeLost(i) {
		return
	}
	if !h.holder.Lost(now) {
		h.lost = mono.Never
	} else if h.lost == mono.Never {
		h.lost = now
	}
	if !now.Before(h.next) && !h.holder.Lost(now) {
		h.next = now.Add(lease.DefaultTerms().Renew)
		mode := lease.Renew
		if e == a.Epoch && d.copy.rev > 1 {
			mode = lease.Supersede
		}
		d.ask(h.holder, mode, d.witnesses(h.holder)...)
	}
}

// homeLost reports whether the standby should try: nobody reaches the home, or it says itself that it lost the lease
// that the row gives it. Without a look at the epoch the standby would compete with a home that is still to hear of
// its new one: each gets some of the witnesses, and the server has no home for a lease time.
func (d *daemon) homeLost(i int) bool {
	n := d.copy.homes[i].Home
	if d.w.suspects(d, n) || d.now < d.jumpy {
		return true
	}
	h := d.w.byName(n).homes[i].holder
	return h != nil && h.Epoch() == d.copy.homes[i].Epoch && h.Lost(d.w.byName(n).clock())
}

// giveBack tells the witnesses of leases that ended, once nothing is in flight.
func (d *daemon) giveBack(i int) {
	h := d.homes[i]
	if len(h.ending) == 0 || !d.w.off[idleFirst] && !h.gate.Idle(d.clock()) {
		return
	}
	for _, x := range h.ending {
		d.ask(x, lease.Stopped, x.Witnesses()...)
	}
	h.ending = nil
}

// witnesses returns whom to ask, after the holder has learnt the set from the daemon's copy.
func (d *daemon) witnesses(h *lease.Holder) []ident.Daemon {
	x := d.copy.set
	if len(x.Next) > 0 && d.w.off[bothMajorities] {
		x = lease.Set{Rev: x.Rev, Current: x.Next}
	}
	h.SetWitnesses(x)
	return h.Witnesses()
}

func (d *daemon) ask(h *lease.Holder, m lease.Mode, l ...ident.Daemon) {
	sent, a, life := d.clock(), h.Ask(m, d.copy.rev), d.life
	for _, n := range l {
		x := d.w.byName(n)
		if x == d {
			d.answered(h, sent, x, d.answer(d, a), nil)
			continue
		}
		d.w.send(d, x, func() {
			g := x.answer(d, a)
			var s *snapshot
			if x.copy != nil && (g.Retired || g.Rev > a.Rev || g.Highest > a.Epoch) {
				s = x.copy
			}
			d.w.reply(x, d, life, func() { d.answered(h, sent, x, g, s) })
		})
	}
}

func (d *daemon) answer(from *daemon, a lease.Ask) lease.Give {
	for r, off := range d.w.off {
		if !off {
			continue
		}
		if w, ok := rule(r).witness(); ok {
			return d.witness.AskWithout(w, d.clock(), from.name, a)
		}
	}
	return d.witness.Ask(d.clock(), from.name, a)
}

func (d *daemon) answered(h *lease.Holder, sent mono.Time, x *daemon, g lease.Give, s *snapshot) {
	if d.w.off[fromSent] {
		sent = d.clock()
	}
	if d.w.off[floor] {
		g.Rev = min(g.Rev, d.copy.rev)
	}
	h.Answered(sent, x.name, g)
	if s != nil {
		d.install(s)
	}
	if !g.Given && !g.Clear && g.Wait > 0 && g.Wait < lease.DefaultTerms().Renew && g.Highest <= h.Epoch() {
		d.later(g.Wait+time.Millisecond, func() {
			if !h.Lost(d.clock()) {
				d.ask(h, lease.Renew, x.name)
			}
		})
	}
}

// askReleases asks the home of each previous owner, and its standby, for what the gate wants.
func (d *daemon) askReleases(i int) {
	h := d.homes[i]
	for _, want := range h.gate.ReleaseRequests() {
		if d.w.off[release] {
			d.released(i, want)
			continue
		}
		p := serverIndex(want.Previous)
		a := d.copy.homes[p]
		for _, n := range []ident.Daemon{a.Home, a.Standby} {
			x, life := d.w.byName(n), d.life
			if x == nil {
				continue
			}
			ask := want
			if d.w.off[recorded] {
				ask.Rev = 0
			}
			d.w.send(d, x, func() {
				if x.homes[p].gate.MayRelease(x.clock(), ask) {
					d.w.reply(x, d, life, func() { d.released(i, want) })
				}
			})
		}
	}
}

func (d *daemon) released(i int, w owner.ReleaseRequest) {
	d.homes[i].gate.SetReleased(w.Shard, w.Epoch)
	d.homes[i].freed[w.Shard] = max(d.homes[i].freed[w.Shard], w.Epoch)
}

// workSoon sends work to the server for as long as the holder is in use.
func (d *daemon) workSoon(i int, h *lease.Holder) {
	d.later(time.Duration(d.between(5*ms, 55*ms)), func() {
		if d.homes[i].holder == h {
			d.work(i)
			d.workSoon(i, h)
		}
	})
}

func (d *daemon) work(i int) {
	h, now := d.homes[i], d.clock()
	if now.Sub(h.pinged) > 300*time.Millisecond {
		h.pinged = now
		d.ping(i)
	}
	s := ident.Shard(d.IntN(len(d.copy.shards)))
	for range d.copy.shards {
		if d.copy.shards[s].Owner == serverName(i) {
			break
		}
		s = (s + 1) % ident.Shard(len(d.copy.shards))
	}
	until := now.Add(time.Duration(d.between(20*ms, 1400*ms)))
	st, no := h.gate.Start(now, s, d.copy.shards[s].Epoch, until)
	if no != owner.NotRefused {
		return
	}
	if d.w.off[withinLease] {
		st.Deadline = until
	}
	owned := d.copy.shards[s].Epoch
	if !d.chance(0.1) {
		d.dispatch(i, st, s, owned)
		return
	}
	// The request waits in a queue, or the process is paused, between admission and sending.
	wait := d.between(0, 50*ms)
	if d.chance(0.2) {
		wait = d.between(0, 2*sec)
	}
	d.later(time.Duration(wait), func() { d.dispatch(i, st, s, owned) })
}

func (d *daemon) dispatch(i int, st owner.Start, s ident.Shard, owned ident.Epoch) {
	h := d.homes[i]
	if !d.w.off[recheck] && !h.gate.Send(d.clock(), st.Token) {
		return
	}
	if h.born == 0 {
		h.gate.Answered(st.Token)
		return
	}
	o := order{
		home: d.id, life: d.life, epoch: st.Epoch, shard: s, owned: owned, born: h.born,
		deadline:  h.anchor.Deadline(st.Deadline, lease.DefaultTerms().Drift),
		wall:      d.now + instant(st.Deadline.Sub(d.clock())),
		remaining: owner.ServerTime(st.Deadline.Sub(d.clock())),
	}
	if d.w.off[inFlight] {
		h.gate.Answered(st.Token)
	}
	x := d.w.servers[i]
	d.w.call(d, x, func(answer func(func())) {
		x.take(o, func() {
			stamp, born, seen := x.stamp(), x.life, x.highest
			answer(func() {
				h.gate.Answered(st.Token)
				if h.holder != nil && x.checks {
					h.holder.Refused(seen)
				}
				d.anchored(h, stamp, born)
			})
		})
	})
}

func (d *daemon) ping(i int) {
	x, h := d.w.servers[i], d.homes[i]
	d.w.call(d, x, func(answer func(func())) {
		stamp, born := x.stamp(), x.life
		answer(func() { d.anchored(h, stamp, born) })
	})
}

// anchored takes a reading of the server's clock; a late one of an earlier life is left out.
func (d *daemon) anchored(h *home, stamp owner.ServerTime, born int) {
	if born >= h.born {
		h.anchor, h.born = owner.ClockSample{Stamp: stamp, At: d.clock()}, born
	}
}

func (d *daemon) others(l ...ident.Daemon) []ident.Daemon {
	var r []ident.Daemon
	for _, x := range d.w.daemons {
		if !slices.Contains(l, x.name) && !d.w.suspects(d, x.name) {
			r = append(r, x.name)
		}
	}
	d.Shuffle(len(r), func(i, j int) { r[i], r[j] = r[j], r[i] })
	return r
}
