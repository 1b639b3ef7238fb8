package hold_test

import (
	"fmt"
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

const ms = time.Millisecond

// host is a host that runs a daemon. Its clocks go on while the daemon is restarted.
type host struct {
	w             *succession
	index         int
	id            ident.Daemon
	offset        time.Duration
	rate          float64
	suspended     time.Duration // for which the clock without suspensions stood still
	storeCutUntil mono.Time
	frozenUntil   mono.Time
	side          int                        // daemons with the same number reach each other
	serverCuts    map[ident.Server]mono.Time // until when servers aren't reached
	last          ident.Incarnation
	d             *daemon // nil while none runs
}

// daemon is one incarnation of a daemon: its copy of the store, its promise, and what it does as the coordinator.
type daemon struct {
	*feedState
	w         *succession
	host      *host
	inc       ident.Incarnation
	ended     bool
	leaving   bool
	blocked   bool // waits for the store
	inbox     []func()
	steppedAt mono.Time
	woken     bool

	// State of the term, as in io/grant.
	term            site.Term
	endedTerm       site.Term
	surrendered     site.Term
	rev             int // of the coordinator's row
	keys            *keys
	links           map[ident.Server]*link
	entries         map[ident.Server]row
	earlierOrders   elect.EarlierOrders
	connections     hold.Connection // last number of a connection for grants
	plannedAt       mono.Time
	termStarted     time.Duration
	supportedAt     mono.Time
	votersRevisedAt mono.Time
	nextTakeOver    mono.Time

	withdrawnRows map[ident.Daemon]int
	withdrawTerm  site.Term
	withdrawalsAt mono.Time
}

// keys is the assignment of the service in the current term.
type keys struct {
	table          *hold.Table
	rev            int
	stored         []hold.Assignment
	fencesReserved bool
	writing        bool
	writeStartedAt mono.Time
	firstSeenAt    mono.Time
}

func (w *succession) start(h *host) {
	h.last++
	d := &daemon{w: w, host: h, inc: h.last}
	d.feedState = newFeedState(d)
	h.d = d
	w.logf("%s starts", d.name())
	for n := range tables {
		d.poll(n)
	}
	w.after(w.between(0, 400*ms), d, d.announce)
	w.after(w.between(0, 100*ms), d, d.sync)
	w.after(w.between(0, tick), d, d.run)
}

// kill ends the daemon at once. What it has sent still arrives.
func (w *succession) kill(h *host) {
	if h.d == nil {
		return
	}
	w.logf("%s ends", h.d.name())
	h.d.ended, h.d = true, nil
	w.after(w.between(200*ms, 4*time.Second), nil, func() { w.start(h) })
}

func (d *daemon) name() string { return fmt.Sprintf("%s/%d", d.host.id, d.inc) }

// now is the clock that stands still while the host is suspended, and boot the one that doesn't.
func (d *daemon) now() mono.Time { return mono.Time(d.boot() - d.host.suspended) }

func (d *daemon) boot() time.Duration {
	return d.host.offset + time.Duration(float64(d.w.now)*d.host.rate)
}

// until is the time until a moment by the daemon's clock.
func (d *daemon) until(t mono.Time) time.Duration {
	return time.Duration(float64(t.Sub(d.now())) / d.host.rate)
}

// run calls step when something has changed or is due.
func (d *daemon) run() {
	d.w.after(tick, d, d.run)
	if d.blocked {
		return
	}
	for len(d.inbox) > 0 && !d.blocked {
		f := d.inbox[0]
		d.inbox = d.inbox[1:]
		f()
	}
	if d.blocked || !d.leads() && !d.woken && d.now().Sub(d.steppedAt) < pollInterval {
		return
	}
	d.steppedAt, d.woken = d.now(), false
	d.step()
}

// onRun calls f once the daemon isn't waiting for the store.
func (d *daemon) onRun(f func()) {
	if d.blocked {
		d.inbox = append(d.inbox, f)
		return
	}
	f()
}

// step is step in io/grant/grant.go.
func (d *daemon) step() {
	if !d.loaded[control] || !d.loaded[servers] {
		return
	}
	now := d.now()
	if d.loadedAt == 0 {
		d.loadedAt = now
	}
	s := d.snapshot()
	copyAge, contactAge := d.ages()
	st := elect.State{
		Self: d.host.id, Incarnation: d.inc, Leaving: d.leaving, Snapshot: s, CopyAge: copyAge, SinceContact: contactAge, SinceLoaded: now.Sub(d.loadedAt),
	}
	if st.IsCoordinator() && s.Coordinator.Term == d.surrendered && !d.leaving {
		d.takeOver(s, elect.NextTerm(d.earlierOrdersEnded(), false))
		return
	}
	if st.IsCoordinator() && (!d.leaving || d.term != 0) {
		d.coordinate()
		return
	}
	d.endTerm()
	switch x := st.Decide().(type) {
	case elect.RequestWithdrawals:
		if d.requestWithdrawals(s) {
			d.takeOver(s, elect.TakeOver{Clean: x.Clean})
		}
	case elect.TakeOver:
		clear(d.withdrawnRows)
		d.takeOver(s, x)
	}
}

// call commits a transaction while the daemon does nothing else.
func (d *daemon) call(x txn, timeout time.Duration, done func(rev int, err storeError)) {
	d.blocked = true
	d.w.commit(d, x, timeout, func(rev int, err storeError) {
		d.blocked = false
		done(rev, err)
	})
}

// takeOver is takeOver in io/grant/elect.go.
func (d *daemon) takeOver(s *site.Snapshot, t elect.TakeOver) {
	now := d.now()
	if now.Before(d.nextTakeOver) {
		return
	}
	d.nextTakeOver = now.Add(takeOverRetryDelay)
	c := t.Row(d.host.id, d.inc, s)
	x := txn{expect: map[string]int{coordKey: d.row(coordKey).rev}, put: map[string]row{coordKey: {coord: c}}}
	for _, v := range s.Voters {
		if r := d.withdrawnRows[v]; r > 0 {
			x.expect[daemonKey(v)] = r
		}
	}
	requested := d.boot()
	d.call(x, time.Second, func(rev int, err storeError) {
		if err != stored {
			clear(d.withdrawnRows)
			return
		}
		d.confirmed = max(d.confirmed, requested)
		d.applyWritten(map[string]row{coordKey: {rev: rev, coord: c}})
	})
}

// requestWithdrawals is requestWithdrawals in io/grant/withdraw.go.
func (d *daemon) requestWithdrawals(s *site.Snapshot) bool {
	term, now := s.Coordinator.Term, d.now()
	if d.withdrawTerm != term {
		d.withdrawTerm, d.withdrawnRows, d.withdrawalsAt = term, map[ident.Daemon]int{}, 0
	}
	if now.Sub(d.withdrawalsAt) >= withdrawInterval {
		d.withdrawalsAt = now
		if slices.Contains(s.Voters, d.host.id) && d.withdraw(term) {
			d.recordWithdrawal(term, d.host.id, d.row(daemonKey(d.host.id)).rev)
		}
		for _, v := range s.Voters {
			if v == d.host.id || d.withdrawnRows[v] > 0 || s.Daemons[v] == nil {
				continue
			}
			rev := d.row(daemonKey(v)).rev
			var given bool
			d.w.ask(d, v, withdrawTimeout, nil, func(p *daemon) { given = p.withdraw(term) }, func(ok bool) {
				if ok && given {
					d.onRun(func() { d.recordWithdrawal(term, v, rev) })
				}
			})
		}
	}
	n := 0
	for _, v := range s.Voters {
		if d.withdrawnRows[v] > 0 {
			n++
		}
	}
	return elect.IsQuorum(n, len(s.Voters))
}

func (d *daemon) recordWithdrawal(term site.Term, from ident.Daemon, rev int) {
	if term == d.withdrawTerm && rev > 0 {
		d.withdrawnRows[from] = rev
		d.woken = true
	}
}

// beginTerm is beginTerm in io/grant/elect.go.
func (d *daemon) beginTerm(s *site.Snapshot) {
	now := d.now()
	d.term, d.rev, d.keys = s.Coordinator.Term, d.row(coordKey).rev, nil
	d.links, d.entries = map[ident.Server]*link{}, map[ident.Server]row{}
	d.earlierOrders.Begin(now, s.Coordinator)
	d.plannedAt, d.termStarted, d.supportedAt = 0, d.boot(), now
	d.w.logf("%s begins term %d: clean %v without-quorum %v, earlier orders end in %.1f s", d.name(), d.term, s.Coordinator.Clean,
		s.Coordinator.WithoutQuorum, d.earlierOrders.End().Sub(now).Seconds())
}

func (d *daemon) earlierOrdersEnded() bool { return d.earlierOrders.Ended(d.now()) }

func (d *daemon) endTerm() {
	if d.term == 0 {
		return
	}
	d.w.logf("%s ends term %d", d.name(), d.term)
	d.endedTerm = d.term
	for _, l := range d.links {
		l.close()
	}
	d.term, d.keys, d.links = 0, nil, nil
}

// handOver is handOver in io/grant/elect.go.
func (d *daemon) handOver(done func()) {
	s := d.snapshot()
	if d.term == 0 || s.Coordinator.Term != d.term {
		done()
		return
	}
	rev := d.row(coordKey).rev
	d.endTerm()
	c := elect.RowOf(s).Vacate(d.earlierOrdersEnded())
	d.call(txn{expect: map[string]int{coordKey: rev}, put: map[string]row{coordKey: {coord: c}}}, time.Second, func(rev int, err storeError) {
		if err == stored {
			d.applyWritten(map[string]row{coordKey: {rev: rev, coord: c}})
		}
		done()
	})
}

// handOverTo is handOverTo in io/grant/reach.go.
func (d *daemon) handOverTo(to ident.Daemon) {
	s := d.snapshot()
	if d.term == 0 || s.Coordinator.Term != d.term || s.Daemons[to] == nil {
		return
	}
	r, term := d.row(coordKey), d.term
	c := elect.RowOf(s).HandOver(to, s.Daemons, d.earlierOrdersEnded())
	d.endTerm()
	d.surrendered = term
	d.call(txn{expect: map[string]int{coordKey: r.rev}, put: map[string]row{coordKey: {coord: c}}}, storeTimeout, func(rev int, err storeError) {
		if err == stored {
			d.applyWritten(map[string]row{coordKey: {rev: rev, coord: c}})
		}
	})
}

// shutDown is Shutdown in io/node: the daemon hands over its role and ends.
func (d *daemon) shutDown() {
	d.leaving = true
	d.w.logf("%s is leaving", d.name())
	end := func() {
		x := txn{expect: map[string]int{daemonKey(d.host.id): d.row(daemonKey(d.host.id)).rev}, drop: []string{daemonKey(d.host.id)}}
		d.w.commit(d, x, 200*ms, func(int, storeError) { d.w.kill(d.host) })
	}
	var wait func()
	began := d.now()
	wait = func() {
		if !d.leads() || d.now().Sub(began) > 10*time.Second {
			d.onRun(func() { d.handOver(func() { d.w.after(d.w.between(0, 3*time.Second), d, end) }) })
			return
		}
		d.w.read(d, control, 0, func(_ table, ok bool) {
			if ok {
				d.onRun(func() { d.handOver(func() { d.w.after(d.w.between(0, 3*time.Second), d, end) }) })
				return
			}
			d.w.after(pollInterval, d, wait)
		})
	}
	wait()
}

// updateMembers is updateMembers in io/grant/member.go. It reports whether the term goes on.
func (d *daemon) updateMembers(s *site.Snapshot) bool {
	now := d.now()
	if copyAge, _ := d.ages(); copyAge > storeUnresponsiveAge {
		return true
	}
	supported := d.supported()
	d.replaceVoters(s, supported)
	if s.Coordinator.WithoutQuorum || supported {
		d.supportedAt = now
		if !d.blocked {
			d.deleteGone()
		}
		return true
	}
	if d.blocked {
		return true
	}
	if elect.NeedsNewTerm(now.Sub(d.supportedAt), d.quorumInContact(elect.ContactTimeout(s))) {
		d.w.logf("%s takes a new term after %d", d.name(), d.term)
		d.surrendered = d.term
		d.endTerm()
		return false
	}
	if now.Sub(d.supportedAt) < elect.NoQuorumTimeout {
		return true
	}
	clear(d.withdrawnRows)
	d.takeOver(s, elect.NextTerm(d.earlierOrdersEnded(), true))
	return false
}

// replaceVoters is replaceVoters in io/grant/voters.go.
func (d *daemon) replaceVoters(s *site.Snapshot, supported bool) {
	now, next := d.now(), d.proposed
	first := next == nil
	if first {
		var changed bool
		next, changed = elect.ReplaceVoters(d.host.id, s.Voters, s.Daemons)
		if due := changed || elect.RowOf(s).NeedsRevision(supported, d.earlierOrdersEnded()); !due || now.Sub(d.votersRevisedAt) < replaceVotersDelay {
			return
		}
	}
	if d.keys != nil && d.keys.writing {
		return
	}
	d.votersRevisedAt = now
	c := elect.RowOf(s).Revise(next, supported, d.earlierOrdersEnded())
	if !slices.Equal(next, s.Voters) || c.WithoutQuorum != s.Coordinator.WithoutQuorum {
		d.proposed = next
	}
	d.call(txn{expect: map[string]int{coordKey: d.rev}, put: map[string]row{coordKey: {coord: c}}}, storeTimeout, func(rev int, err storeError) {
		if err != stored {
			if first && err == notApplied {
				d.proposed = nil
			}
			return
		}
		d.applyWritten(map[string]row{coordKey: {rev: rev, coord: c}})
		d.updateRev()
	})
}

// deleteGone is deleteGoneDaemons in io/grant/member.go.
func (d *daemon) deleteGone() {
	x := txn{expect: map[string]int{coordKey: d.rev}}
	for _, v := range slices.Sorted(slices.Values(d.support.Unresponsive(d.boot(), d.termStarted, daemonGoneTimeout, d.host.id, d.snapshot().Daemons))) {
		if r := d.row(daemonKey(v)); r.rev > 0 {
			x.expect[daemonKey(v)], x.drop = r.rev, append(x.drop, daemonKey(v))
		}
	}
	if len(x.drop) == 0 {
		return
	}
	d.call(x, time.Second, func(rev int, err storeError) {
		if err != stored {
			return
		}
		d.w.logf("%s deletes %v", d.name(), x.drop)
		m := map[string]row{}
		for _, k := range x.drop {
			m[k] = row{rev: rev, gone: true}
		}
		d.applyWritten(m)
	})
}

func (d *daemon) updateRev() {
	if r := d.row(coordKey); r.coord.Term == d.term {
		d.rev = max(d.rev, r.rev)
	}
}

func daemonKey(d ident.Daemon) string { return "daemon/" + string(d) }
