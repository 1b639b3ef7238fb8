package hold_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// link is link in io/grant/link.go: connections for orders to one incarnation of a server.
type link struct {
	entry          row
	queue          []hold.Grant
	busy           bool
	grants, spare  *conn
	spareCheckedAt mono.Time
	releases       []*conn // idle ones
}

// conn is a connection to one incarnation of a server.
type conn struct {
	to     *server
	number hold.Connection
	closed bool
	last   *response // to the last order on it; nil if it is new
}

func (c *conn) alive() bool { return c != nil && !c.closed && !c.to.dead }

func (l *link) close() {
	for _, c := range append(slices.Clone(l.releases), l.grants, l.spare) {
		if c != nil {
			c.closed = true
		}
	}
}

// coordinate is coordinate in io/grant/grant.go.
func (d *daemon) coordinate() {
	s := d.snapshot()
	if s.Coordinator.Term != d.term {
		d.endTerm()
		d.beginTerm(s)
	}
	d.updateRev()
	now := d.now()
	for id, r := range d.copies[servers].rows {
		if !r.gone {
			d.entries[ident.Server(id)] = r
		}
	}
	due := now.Sub(d.plannedAt) >= planInterval
	if due && !d.updateMembers(s) {
		return
	}
	if d.keys == nil {
		d.loadKeys(now)
	}
	d.updateKeys(d.keys, due)
	if due {
		d.plannedAt = now
	}
}

// loadKeys is loadService in io/grant/service.go.
func (d *daemon) loadKeys(now mono.Time) {
	r := d.row(keysKey)
	res := r.reservation
	res.MaxTTL = max(d.w.timing.TTL, res.MaxTTL)
	d.keys = &keys{
		rev: r.rev, stored: r.assignments,
		table: hold.New(now, d.w.timing, r.assignments, res, inheritedExpire(d.w.timing, d.earlierOrders.End(), res)),
	}
	d.keys.table.DelayReleases(d.earlierOrders.RenewOnly())
}

// updateKeys is updateService in io/grant/service.go.
func (d *daemon) updateKeys(x *keys, due bool) {
	now := d.now()
	x.table.UpdateIncarnations(now, func(id ident.Server) (int64, bool) {
		r := d.copies[servers].get(string(id))
		return r.born, r.rev > 0
	})
	if x.rev == 0 {
		if x.firstSeenAt == 0 {
			x.firstSeenAt = now
		}
		if now.Sub(x.firstSeenAt) < settleDelay {
			return
		}
	}
	if !x.writing && (due || d.mustMove(x)) {
		d.plan(x, now)
	}
	if x.rev == 0 {
		return
	}
	if !x.fencesReserved || !x.table.HasFences() {
		if !x.writing {
			d.write(x, x.table.Assignments())
		}
		return
	}
	orders, _ := x.table.Orders(d.now())
	for _, f := range x.table.TakeFreed() {
		d.w.logKeys(f.Range, "", "%s (term %d) frees %v of %s/%d for %s: %v", d.name(), d.term, f.Range, f.Previous.Server, f.Previous.Born, f.Owner.Server, f.Reason)
	}
	for _, o := range orders {
		d.send(o)
	}
}

func (d *daemon) mayHold(id ident.Server) bool {
	return d.copies[servers].get(string(id)).rev > 0 && !d.w.barred[id]
}

func (d *daemon) mustMove(x *keys) bool {
	return slices.ContainsFunc(x.table.Assignments(), func(p hold.Assignment) bool {
		return (!d.mayHold(p.Owner.Server) || x.table.HasEnded(p.Owner)) && p.Previous == hold.Incarnation{}
	})
}

func (d *daemon) plan(x *keys, now mono.Time) {
	var l []hold.Target
	for i, s := range d.w.slots {
		inc := hold.Incarnation{Server: s.id, Born: d.copies[servers].get(string(s.id)).born}
		if d.mayHold(s.id) && !x.table.HasEnded(inc) {
			l = append(l, hold.Target{Incarnation: inc, Slots: 3, ServiceTime: time.Duration(80+20*i) * ms})
		}
	}
	pieces := x.table.Assignments()
	next, changed := hold.Plan(pieces, l, d.w.rates)
	if changed || now.Sub(x.writeStartedAt) >= settledWriteDelay && previousOwnersCleared(x.stored, pieces) {
		x.writeStartedAt = now
		d.write(x, next)
	}
}

// write is write, commit and handleWriteResult in io/grant/write.go.
func (d *daemon) write(x *keys, l []hold.Assignment) {
	r := x.table.Reserve(d.now(), len(l))
	if d.w.faults.sharedCoordinator && d.w.oneIn(3) {
		r = x.table.Reserve(d.now(), 1000)
	}
	t := txn{expect: map[string]int{coordKey: d.rev, keysKey: x.rev}, put: map[string]row{keysKey: {assignments: l, reservation: r}}}
	x.writing = true
	term := d.term
	finish := func(f func()) {
		d.onRun(func() {
			if term == d.term && d.keys != nil {
				f()
			}
		})
	}
	d.w.commit(d, t, time.Second, func(rev int, err storeError) {
		if err == stored {
			finish(func() { d.written(rev, l, r) })
			return
		}
		if err == notApplied {
			finish(func() { d.keys.writing = false })
			return
		}
		d.w.read(d, control, 0, func(t table, ok bool) {
			finish(func() { d.notWritten(t, ok) })
		})
	})
}

func (d *daemon) written(rev int, l []hold.Assignment, r hold.Reservation) {
	x := d.keys
	d.applyWritten(map[string]row{keysKey: {rev: rev, assignments: l, reservation: r}})
	for _, p := range l {
		if (p.Previous != hold.Incarnation{}) {
			d.w.logKeys(p.Range, "", "%s (term %d) has written %v: owner %s/%d previous %s/%d", d.name(), d.term, p.Range, p.Owner.Server, p.Owner.Born, p.Previous.Server, p.Previous.Born)
		}
	}
	x.writing, x.rev, x.stored, x.fencesReserved = false, rev, l, true
	x.table.Committed(d.now(), l, r)
}

func (d *daemon) notWritten(t table, ok bool) {
	x := d.keys
	x.writing = false
	if !ok {
		return
	}
	d.applyWritten(t.rows)
	if r := t.get(keysKey); r.rev != x.rev {
		// adoptRow
		d.w.logf("%s reads the assignment again", d.name())
		now := d.now()
		d.earlierOrders.SentUntil(now)
		was := d.keys.table
		d.loadKeys(now)
		d.keys.table.Adopt(now, was)
	}
}

// maySend is the guard of an order.
func (d *daemon) maySend(term site.Term) bool {
	holds := mayHoldTerm(d.row(coordKey).coord.Coordinator, term, d.leads(), d.proposed != nil, d.supported())
	return maySendOrder(term, d.endedTerm, holds, d.boot()-d.confirmed)
}

func (d *daemon) link(to hold.Incarnation) *link {
	e, ok := d.entries[to.Server]
	if !ok || e.born != to.Born {
		return nil
	}
	if l := d.links[to.Server]; l != nil {
		if l.entry.born == e.born && l.entry.addr == e.addr {
			return l
		}
		l.close()
	}
	l := &link{entry: e}
	d.links[to.Server] = l
	return l
}

// send is sendOrder in io/grant/link.go.
func (d *daemon) send(o hold.Order) {
	l := d.link(recipient(o))
	if l == nil {
		d.keys.table.Done(d.now(), o, hold.Result{Outcome: hold.NotSent})
		return
	}
	switch x := o.(type) {
	case hold.Grant:
		l.queue = append(l.queue, x)
		d.nextGrant(l, d.term)
	case hold.Release:
		d.sendRelease(l, x, d.term)
	}
}

// finish is handleResult in io/grant/grant.go.
func (d *daemon) finish(term site.Term, o hold.Order, r hold.Result, lost bool) {
	d.onRun(func() {
		if term != d.term || d.keys == nil {
			return
		}
		d.keys.table.Done(d.now(), o, r)
		if lost {
			d.keys.table.ConnectionLost(d.now(), recipient(o).Server)
		}
		d.logResult(o, r)
		d.woken = true
	})
}

func (d *daemon) logResult(o hold.Order, r hold.Result) {
	switch x := o.(type) {
	case hold.Grant:
		if r.Outcome != hold.Accepted {
			d.w.logKeys(x.Range, "", "%s (term %d): grant %v fence %d to %s/%d: %v", d.name(), d.term, x.Range, x.Fence, x.To.Server, x.To.Born, r.Outcome)
		}
	case hold.Release:
		d.w.logKeys(x.Range, "", "%s (term %d): release %v fence %d of %s/%d: %v", d.name(), d.term, x.Range, x.Fence, x.From.Server, x.From.Born, r.Outcome)
	}
}

// reaches reports whether the network between the daemon and a server is up.
func (d *daemon) reaches(s *server) bool {
	for _, x := range d.w.slots {
		if x.s == s {
			return x.side == d.host.side && !d.w.now.Before(d.host.serverCuts[x.id])
		}
	}
	return true
}

// dial connects to whichever server listens at the address; nil if none answers.
func (d *daemon) dial(l *link) *conn {
	s := d.w.listen[l.entry.addr]
	if s == nil || s.dead || !d.reaches(s) || d.w.now.Before(s.unresponsiveUntil) && d.w.oneIn(2) {
		return nil
	}
	d.connections++
	return &conn{to: s, number: d.connections}
}

// nextGrant sends the next grant of the queue, over the connection for grants.
func (d *daemon) nextGrant(l *link, term site.Term) {
	if l.busy || len(l.queue) == 0 {
		return
	}
	l.busy = true
	o := l.queue[0]
	l.queue = l.queue[1:]
	done := func(r hold.Result, lost bool) {
		if l.grants != nil {
			r.Connection = l.grants.number
		}
		if lost {
			l.grants, l.spare, l.spareCheckedAt = l.spare, l.grants, 0
		}
		d.refreshSpare(l)
		l.busy = false
		d.finish(term, o, r, lost)
		d.nextGrant(l, term)
	}
	if o.Renewal && (!l.grants.alive() || l.grants.number != o.Connection) {
		done(hold.Result{Outcome: hold.NotSent}, !l.grants.alive())
		return
	}
	if !l.grants.alive() {
		l.grants = nil
		if l.grants = d.dial(l); l.grants == nil {
			d.w.after(d.w.between(ms, min(300*ms, max(2*ms, d.until(o.Ends)))), d, func() { done(hold.Result{Outcome: hold.NotSent}, false) })
			return
		}
	}
	if !d.maySend(term) || !d.now().Before(o.Ends) || !o.Renewal && !elect.MayGrantAnew(d.snapshot().Coordinator, d.boot()-d.confirmed) {
		done(hold.Result{Outcome: hold.NotSent}, false)
		return
	}
	d.exchange(l.grants, o, d.until(o.Ends), done)
}

// refreshSpare opens the spare connections.
func (d *daemon) refreshSpare(l *link) {
	if d.now().Sub(l.spareCheckedAt) < time.Second {
		return
	}
	l.spareCheckedAt = d.now()
	d.w.after(d.w.between(ms, 50*ms), d, func() {
		if !l.spare.alive() {
			l.spare = d.dial(l)
		}
		if len(l.releases) == 0 {
			if c := d.dial(l); c != nil {
				l.releases = append(l.releases, c)
			}
		}
	})
}

// sendRelease sends a release over an idle connection or a new one.
func (d *daemon) sendRelease(l *link, o hold.Release, term site.Term) {
	end := releaseDeadline(d.now(), d.w.timing, o.Until)
	var c *conn
	for len(l.releases) > 0 && c == nil {
		n := len(l.releases) - 1
		if x := l.releases[n]; x.alive() {
			c = x
		}
		l.releases = l.releases[:n]
	}
	if c == nil {
		c = d.dial(l)
	}
	if c == nil {
		d.w.after(d.w.between(ms, 300*ms), d, func() { d.finish(term, o, hold.Result{Outcome: hold.NotSent}, false) })
		return
	}
	if !d.maySend(term) || !d.now().Before(end) {
		l.releases = append(l.releases, c)
		d.finish(term, o, hold.Result{Outcome: hold.NotSent}, false)
		return
	}
	d.exchange(c, o, d.until(end), func(r hold.Result, _ bool) {
		c.closed = true // the server echoes no ids
		d.finish(term, o, r, false)
	})
}

// exchange sends an order over a connection and waits for a response.
func (d *daemon) exchange(c *conn, o hold.Order, timeout time.Duration, done func(r hold.Result, lost bool)) {
	w := d.w
	id := strings.TrimPrefix(fmt.Sprintf("%T", o), "hold.")
	w.logKeys(rangeOf(o), fmt.Sprint(d.name(), d.term, id, rangeOf(o), fenceOf(o), c.to.name()), "%s (term %d) sends %s %v fence %d for %s/%d to %s", d.name(), d.term, id,
		rangeOf(o), fenceOf(o), recipient(o).Server, recipient(o).Born, c.to.name())
	finished := false
	finish := func(r hold.Result, lost, closed bool) {
		if !finished {
			finished = true
			c.closed = c.closed || closed
			done(r, lost)
		}
	}
	w.after(timeout, d, func() { finish(hold.Result{Outcome: hold.Silent}, false, true) })
	if x := c.last; x != nil && w.faults.extraResponses && !w.quiet && w.oneIn(40) {
		w.after(w.between(0, 5*ms), d, func() {
			if !finished {
				w.logKeys(rangeOf(o), "", "%s takes a late response (%v) for that to %s %v fence %d", d.name(), x.outcome, id, rangeOf(o), fenceOf(o))
			}
			if x.outcome == hold.Ended {
				finish(hold.Result{Outcome: hold.Silent}, true, true) // may be another order's
				return
			}
			finish(hold.Result{Outcome: x.outcome, Handover: x.handover}, false, true)
		})
	}
	delay := w.between(ms, 10*ms)
	if w.faults.orderDelays && !w.quiet && w.oneIn(8) {
		delay = w.between(ms, max(ms, timeout))
	}
	if delay >= timeout {
		return
	}
	w.after(delay, nil, func() {
		if !d.reaches(c.to) {
			return
		}
		if c.to.dead {
			w.after(w.between(ms, 10*ms), d, func() { finish(hold.Result{Outcome: hold.Silent}, true, true) })
			return
		}
		c.to.receive(o, func(r response) {
			if w.faults.lostAnswers && !w.quiet && w.oneIn(20) {
				return
			}
			back := w.between(ms, 10*ms)
			if w.now.Before(c.to.slowUntil) {
				back = w.between(20*ms, 450*ms)
			}
			w.after(back, d, func() {
				if !d.reaches(c.to) {
					return
				}
				if r.outcome == hold.Ended && c.last != nil {
					finish(hold.Result{Outcome: hold.Silent}, true, true) // may be another order's
					return
				}
				c.last = &r
				finish(hold.Result{Outcome: r.outcome, Handover: r.handover}, false, false)
			})
		})
	})
}

func rangeOf(o hold.Order) hold.Range {
	switch x := o.(type) {
	case hold.Grant:
		return x.Range
	case hold.Release:
		return x.Range
	}
	return hold.Range{}
}

func fenceOf(o hold.Order) hold.Fence {
	switch x := o.(type) {
	case hold.Grant:
		return x.Fence
	case hold.Release:
		return x.Fence
	}
	return 0
}
