package hold_test

import (
	"fmt"
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/core/source"
)

// feedState is a daemon's copy of the store and what it knows of the others, as in io/feed.
type feedState struct {
	d            *daemon
	copies       [tables]table
	cached       *site.Snapshot
	asOf         [tables]mono.Time
	loaded       [tables]bool
	loadedAt     mono.Time
	seen         mono.Time // coordinatorSeen
	answeredAt   mono.Time // by any peer
	announcedRev int

	promise      elect.Promise
	support      elect.Support
	proposed     []ident.Daemon
	syncedAt     map[ident.Daemon]mono.Time
	greeted      map[ident.Daemon]bool
	stamp        time.Duration
	stampTerm    site.Term
	stampPromise time.Duration
	confirmed    time.Duration // when the store last confirmed the control table
}

func newFeedState(d *daemon) *feedState {
	f := &feedState{d: d, seen: d.now(), promise: elect.Promise{StartedAt: d.boot()}, syncedAt: map[ident.Daemon]mono.Time{}, greeted: map[ident.Daemon]bool{}}
	for n := range f.copies {
		f.copies[n] = newTable()
	}
	return f
}

func (f *feedState) row(k string) row { return f.copies[control].get(k) }

func (f *feedState) leads() bool {
	c := f.row(coordKey).coord
	return c.Daemon == f.d.host.id && c.Incarnation == f.d.inc
}

func (f *feedState) snapshot() *site.Snapshot {
	if f.cached != nil {
		return f.cached
	}
	c := f.row(coordKey).coord
	s := &site.Snapshot{Daemons: map[ident.Daemon]*site.Daemon{}, Coordinator: c.Coordinator, Voters: c.Voters}
	for _, h := range f.d.w.hosts {
		if r := f.row(daemonKey(h.id)); r.rev > 0 {
			s.Daemons[h.id] = &site.Daemon{Name: h.id, Domain: ident.Domain(fmt.Sprint(h.index % 3)), Incarnation: r.incarnation, Capacity: 1000 + h.index}
		}
	}
	f.cached = s
	return s
}

func (f *feedState) ages() (copied, coordinator time.Duration) {
	now := f.d.now()
	copied = now.Sub(f.asOf[servers])
	switch {
	case !f.leads():
		coordinator = now.Sub(f.seen)
	case copied > f.staleAfter():
		coordinator = copied
	}
	return copied, coordinator
}

func (f *feedState) staleAfter() time.Duration { return source.StaleAge(f.snapshot(), f.d.host.id) }

func (f *feedState) supported() bool {
	return f.support.HasQuorum(f.d.boot(), f.d.host.id, f.voters(), f.proposed)
}

func (f *feedState) voters() []ident.Daemon { return f.row(coordKey).coord.Voters }

func (f *feedState) quorumInContact(x time.Duration) bool {
	n, l := 0, f.voters()
	for _, v := range l {
		if at, ok := f.syncedAt[v]; v == f.d.host.id || ok && f.d.now().Sub(at) < x {
			n++
		}
	}
	return elect.IsQuorum(n, len(l))
}

func (f *feedState) withdraw(t site.Term) bool {
	return !f.leads() && f.promise.Withdraw(f.d.boot(), t)
}

// update takes newer rows into the copy.
func (f *feedState) update(n int, rows map[string]row) {
	was := f.row(coordKey).coord.Coordinator
	for k, r := range rows {
		if r.rev <= f.copies[n].rows[k].rev {
			continue
		}
		f.copies[n].rows[k], f.cached = r, nil
		if k == coordKey {
			f.proposed = nil
		}
		f.d.woken = true
	}
	if c := f.row(coordKey).coord; c.Term != was.Term || c.Daemon != was.Daemon || c.Incarnation != was.Incarnation {
		f.seen = f.d.now()
		f.support.Reset()
		clear(f.syncedAt)
		clear(f.greeted)
	}
}

func (f *feedState) applyWritten(rows map[string]row) { f.update(control, rows) }

func (f *feedState) applyPage(n int, t table, asOf mono.Time) {
	f.update(n, t.rows)
	f.copies[n].rev, f.asOf[n], f.loaded[n] = max(f.copies[n].rev, t.rev), max(f.asOf[n], asOf), true
}

// poll follows a table in the store while the daemon is the coordinator or its copy is old.
func (d *daemon) poll(n int) {
	w := d.w
	again := func(x time.Duration) { w.after(x, d, func() { d.poll(n) }) }
	age := d.now().Sub(d.asOf[n])
	unresponsive := n == control && d.now().Sub(d.answeredAt) > 500*ms
	if d.loaded[n] && !d.leads() && age < d.staleAfter() && !unresponsive {
		again(50 * ms)
		return
	}
	asked, boot := d.now(), d.boot()
	hold := w.between(0, 300*ms)
	if !d.loaded[n] || !d.leads() {
		hold = 0
	}
	first := !d.loaded[n]
	w.read(d, n, hold, func(t table, ok bool) {
		if !ok {
			again(w.between(50*ms, 800*ms))
			return
		}
		d.applyPage(n, t, asked)
		if n == control && !first {
			d.confirmed = max(d.confirmed, boot)
		}
		again(w.between(50*ms, 250*ms))
	})
}

// announce writes the daemon's row, and again whenever it was deleted.
func (d *daemon) announce() {
	r := row{incarnation: d.inc}
	d.w.commit(d, txn{put: map[string]row{daemonKey(d.host.id): r}}, time.Second, func(rev int, err storeError) {
		if err != stored {
			d.w.after(d.w.between(250*ms, 750*ms), d, d.announce)
			return
		}
		r.rev, d.announcedRev = rev, rev
		d.applyWritten(map[string]row{daemonKey(d.host.id): r})
		var watch func()
		watch = func() {
			if d.row(daemonKey(d.host.id)).rev == 0 && !d.leaving {
				d.announce()
				return
			}
			d.w.after(100*ms, d, watch)
		}
		watch()
	})
}

// ask sends a request to a peer, which answers once ready reports true, if it isn't nil. The answer is made by answer.
func (w *succession) ask(d *daemon, to ident.Daemon, timeout time.Duration, ready func(p *daemon) bool, answer func(p *daemon), done func(ok bool)) {
	finished := false
	finish := func(ok bool) {
		if !finished {
			finished = true
			done(ok)
		}
	}
	w.after(timeout, d, func() { finish(false) })
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.id == to })
	h := w.hosts[i]
	cut := func() bool { return h.side != d.host.side || w.faults.peerLosses && !w.quiet && w.oneIn(12) }
	p := h.d
	if p == nil || cut() {
		return
	}
	var try func()
	try = func() {
		if ready != nil && !ready(p) {
			w.after(tick, p, try)
			return
		}
		answer(p)
		if cut() {
			return
		}
		delay := w.between(ms, 15*ms)
		if w.faults.peerLosses && !w.quiet && w.oneIn(10) {
			delay = w.between(0, 300*ms)
		}
		w.after(delay, d, func() { finish(true) })
	}
	w.after(w.between(ms, 15*ms), p, try)
}

// syncReply is a peer's answer to sync.
type syncReply struct {
	term              site.Term
	copyAge, coordAge time.Duration
	stamp, promise    time.Duration
	copies            [tables]table
}

// sync gets changes from the coordinator, or from another peer if that doesn't answer.
func (d *daemon) sync() {
	w, c := d.w, d.row(coordKey).coord
	again := func(x time.Duration) { w.after(x, d, d.sync) }
	if d.leads() || !d.loaded[control] || c.Term == 0 {
		again(100 * ms)
		return
	}
	to := c.Daemon
	if l := d.peers(); len(l) > 0 && (to == "" || to == d.host.id || d.now().Sub(d.answeredAt) > 500*ms && w.oneIn(2)) {
		to = l[w.rnd.IntN(len(l))]
	}
	if to == "" || to == d.host.id {
		again(100 * ms)
		return
	}
	var stamp, promised time.Duration
	if to == c.Daemon && d.stampTerm == c.Term {
		stamp, promised = d.stamp, d.stampPromise
	}
	var r syncReply
	var until mono.Time // when the peer answers also without changes; 0 before it has the request
	revs := [tables]int{d.copies[control].rev, d.copies[servers].rev}
	wait := elect.SyncWait(d.snapshot(), d.host.id)
	w.ask(d, to, wait+source.ResponseTimeout, func(p *daemon) bool {
		if until == 0 {
			until = p.now().Add(wait)
			if p.receiveSync(d.host.id, c.Term, stamp, promised) {
				return true
			}
		}
		copied, _ := p.ages()
		return p.copies[control].rev > revs[control] || p.copies[servers].rev > revs[servers] || copied >= source.OutdatedAge || !p.now().Before(until)
	}, func(p *daemon) { r = p.reply() }, func(ok bool) {
		if !ok {
			again(w.between(50*ms, 200*ms))
			return
		}
		d.applyReply(r)
		again(0)
	})
}

// peers returns the other daemons that the daemon knows.
func (d *daemon) peers() []ident.Daemon {
	var l []ident.Daemon
	for _, h := range d.w.hosts {
		if h != d.host && d.row(daemonKey(h.id)).rev > 0 {
			l = append(l, h.id)
		}
	}
	return l
}

// receiveSync is recordRequest and greet in io/feed/sync.go. It reports whether the request is answered at once.
func (d *daemon) receiveSync(from ident.Daemon, term site.Term, stamp, promised time.Duration) bool {
	t := d.row(coordKey).coord.Term
	if d.leads() && term == t {
		d.syncedAt[from] = d.now()
		if stamp > 0 {
			d.support.Confirm(from, stamp, promised)
		}
		if stamp == 0 && !d.greeted[from] {
			d.greeted[from] = true
			return true
		}
	}
	return false
}

func (d *daemon) reply() syncReply {
	r := syncReply{term: d.row(coordKey).coord.Term}
	r.copyAge, r.coordAge = d.ages()
	if d.leads() {
		r.stamp, r.promise = d.boot(), elect.PromiseDuration(d.snapshot())
	}
	for n := range tables {
		r.copies[n] = d.copies[n].clone()
	}
	return r
}

// applyReply is applyReply in io/feed/sync.go.
func (d *daemon) applyReply(r syncReply) {
	now := d.now()
	asOf := now.Add(-r.copyAge)
	for n := range tables {
		d.update(n, r.copies[n].rows)
		d.copies[n].rev, d.asOf[n] = max(d.copies[n].rev, r.copies[n].rev), max(d.asOf[n], asOf)
	}
	if d.row(coordKey).coord.Term == r.term {
		d.seen = max(d.seen, now.Add(-r.coordAge))
	}
	if r.stamp > 0 {
		d.answeredAt = now
	}
	able := r.copyAge < d.staleAfter() || now.Sub(d.asOf[servers]) > d.staleAfter()
	able = able && d.announcedRev > 0 && d.copies[control].rev >= d.announcedRev
	if able && r.stamp > 0 && d.promise.Renew(d.boot(), r.term, r.promise) {
		d.stamp, d.stampTerm, d.stampPromise = r.stamp, r.term, r.promise
	}
}
