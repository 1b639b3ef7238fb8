package hold_test

import (
	"fmt"
	"time"

	"heatherrouter/core/ident"
)

func (w *succession) randomHost() *host { return w.hosts[w.rnd.IntN(len(w.hosts))] }

// leader returns the host of a daemon that takes itself for the coordinator, or any.
func (w *succession) leader() *host {
	for _, i := range w.rnd.Perm(len(w.hosts)) {
		if h := w.hosts[i]; h.d != nil && h.d.term != 0 {
			return h
		}
	}
	return w.randomHost()
}

func (w *succession) someHost() *host {
	if w.oneIn(2) {
		return w.leader()
	}
	return w.randomHost()
}

func (w *succession) disturbDaemons() {
	f := w.faults
	if f.storeCuts && w.once(10*time.Second) {
		h := w.someHost()
		w.cutStore(h, w.long(300*ms, 40*time.Second))
	}
	if f.peerCuts && w.once(10*time.Second) {
		w.cutPeers(f.storeCuts && w.oneIn(3))
	}
	if f.serverCuts && w.once(5*time.Second) {
		h, id, d := w.someHost(), w.slots[w.rnd.IntN(len(w.slots))].id, w.long(300*ms, 20*time.Second)
		h.serverCuts[id] = w.now.Add(d)
		w.logf("%s is cut off from %s for %.2f s", h.id, id, d.Seconds())
	}
	if f.lostQuorums && w.once(20*time.Second) && !w.isolating {
		w.isolate()
	}
	if h := w.someHost(); f.freezes && w.once(8*time.Second) && !w.now.Before(h.frozenUntil) {
		d := w.long(100*ms, 20*time.Second)
		h.frozenUntil = w.now.Add(d)
		suspended := w.oneIn(3)
		if suspended {
			h.suspended += time.Duration(float64(d) * h.rate)
		}
		w.logf("%s is frozen for %.2f s, suspended %v", h.id, d.Seconds(), suspended)
	}
	if f.restarts && w.once(10*time.Second) {
		w.kill(w.someHost())
	}
	if f.handOvers && w.once(8*time.Second) {
		if h := w.someHost(); h.d != nil && !h.d.leaving {
			w.after(0, h.d, h.d.shutDown)
		}
	}
	if f.namedHandOvers && w.once(6*time.Second) {
		w.nameAnother()
	}
}

// nameAnother makes the coordinator hand its role to a named daemon.
func (w *succession) nameAnother() {
	d, to := w.leader().d, w.randomHost().id
	if d == nil {
		return
	}
	w.after(0, d, func() {
		d.onRun(func() {
			if !d.leaving && to != d.host.id {
				d.handOverTo(to)
			}
		})
	})
}

func (w *succession) cutStore(h *host, d time.Duration) {
	h.storeCutUntil = w.now.Add(d)
	w.logf("%s is cut off from the store for %.2f s", h.id, d.Seconds())
}

// isolate makes a daemon the coordinator without a quorum and then cuts it off from the store.
func (w *succession) isolate() {
	h, x := w.someHost(), w.slots[w.rnd.IntN(len(w.slots))]
	w.addrs++
	side, d := w.addrs, w.between(25*time.Second, 50*time.Second)
	w.isolating, h.side = true, side
	if w.faults.serverCuts {
		x.side = side
	}
	w.logf("%s is cut off from daemons for %.2f s with %s %v, side %d", h.id, d.Seconds(), x.id, w.faults.serverCuts, side)
	end := w.now.Add(d)
	var watch func()
	watch = func() {
		if w.quiet || !w.now.Before(end) || h.side != side {
			return
		}
		if c := w.store[control].get(coordKey).coord; c.Daemon == h.id && c.WithoutQuorum {
			w.after(w.between(300*ms, 4*time.Second), nil, func() { w.cutStore(h, end.Sub(w.now)) })
			return
		}
		w.after(tick, nil, watch)
	}
	watch()
	w.after(d, nil, func() {
		w.isolating = false
		if h.side == side {
			h.side = 0
		}
		if x.side == side {
			x.side = 0
		}
	})
}

// cutPeers cuts some daemons off from the others, alone or together, and from the store as well if both is set.
func (w *succession) cutPeers(both bool) {
	d := w.long(300*ms, 40*time.Second)
	together := w.oneIn(2)
	w.addrs++
	side := w.addrs
	if together && w.faults.serverCuts {
		x := w.slots[w.rnd.IntN(len(w.slots))]
		x.side = side
		w.logf("%s is cut off for %.2f s, side %d", x.id, d.Seconds(), side)
		w.after(d, nil, func() {
			if x.side == side {
				x.side = 0
			}
		})
	}
	for i := range 1 + w.rnd.IntN(len(w.hosts)-1) {
		h := w.randomHost()
		if i == 0 {
			h = w.someHost()
		}
		if !together {
			w.addrs++
			side = w.addrs
		}
		own := side
		h.side = own
		w.logf("%s is cut off from daemons for %.2f s, side %d", h.id, d.Seconds(), own)
		w.after(d, nil, func() {
			if h.side == own {
				h.side = 0
			}
		})
		if both {
			w.cutStore(h, d)
		}
	}
}

func (w *succession) disturbServers() {
	f, s := w.faults, w.slots[w.rnd.IntN(len(w.slots))].s
	if f.lateOrders && w.once(6*time.Second) {
		s.lateUntil = w.now.Add(3 * time.Second)
	}
	if f.unresponsive && w.once(6*time.Second) {
		s.unresponsiveUntil = w.now.Add(w.long(100*ms, 6*time.Second))
		w.logf("%s is unresponsive for %.2f s", s.name(), s.unresponsiveUntil.Sub(w.now).Seconds())
	}
	if f.slowAnswers && w.once(6*time.Second) {
		s.slowUntil = w.now.Add(w.long(100*ms, 6*time.Second))
	}
	if f.sameAddress && w.once(6*time.Second) {
		w.restartServer(s, s.addr)
	}
	if f.otherAddress && w.once(6*time.Second) {
		w.restartServer(s, w.newAddr())
	}
	if f.entriesRemoved && w.once(8*time.Second) {
		w.announce(s, true)
		w.after(w.long(200*ms, 20*time.Second), nil, func() {
			if !s.dead {
				w.announce(s, false)
			}
		})
	}
}

// restartServer ends a server and starts it again, under its id; it is announced later.
func (w *succession) restartServer(old *server, addr int) {
	for _, x := range w.slots {
		if x.s != old {
			continue
		}
		old.dead = true
		delete(w.listen, old.addr)
		w.logf("%s ends", old.name())
		if addr != old.addr && w.oneIn(2) {
			w.after(w.between(0, time.Second), nil, func() {
				if w.listen[old.addr] == nil {
					w.startServer(ident.Server(fmt.Sprintf("other%d", old.addr)), 1, old.addr)
				}
			})
		}
		born := old.born + 1
		s := w.newServer(old.id, born, addr)
		x.s = s
		w.after(w.between(0, 300*ms), nil, func() {
			if s.dead {
				return // ended before it listened
			}
			w.listen[addr] = s
			w.logf("%s starts", s.name())
			d := w.between(0, 900*ms)
			if w.faults.entriesRemoved && w.oneIn(4) {
				d = w.long(200*ms, 15*time.Second) // cut off from the store
			}
			w.after(d, nil, func() {
				if s.dead {
					return
				}
				w.announce(s, false)
				if w.faults.namedHandOvers && !w.quiet && w.oneIn(4) {
					w.after(w.between(0, 300*ms), nil, w.nameAnother)
				}
			})
		})
	}
}

// endFaults ends all faults.
func (w *succession) endFaults() {
	w.quiet = true
	clear(w.barred)
	w.logf("faults end")
	for _, h := range w.hosts {
		h.storeCutUntil, h.side = 0, 0
		clear(h.serverCuts)
	}
	for _, x := range w.slots {
		x.side = 0
		x.s.unresponsiveUntil, x.s.lateUntil, x.s.slowUntil = 0, 0, 0
	}
}
