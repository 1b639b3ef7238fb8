package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

const (
	// syncLimit is how long an answer may take beyond the wait before another peer is asked.
	syncLimit = 300 * time.Millisecond

	// idlePause is how often a daemon without a peer to ask looks for one.
	idlePause = 500 * time.Millisecond

	// syncPause is between two peers that couldn't be asked, doubled up to maxDoubled times.
	syncPause  = 100 * time.Millisecond
	maxDoubled = 4

	// oldCopy is the age of a copy from which its daemon doesn't seem to reach the store. The copy of a coordinator that
	// does is as old as feedWait and a slow store's answer.
	oldCopy = feedWait + 600*time.Millisecond
)

// follow asks the coordinator, or another peer when that doesn't answer or its copy is old, for what is new.
func (f *Feed) follow(c context.Context) error {
	failed := 0 // calls in a row
	for c.Err() == nil {
		changed := f.Changed()
		to, ok := f.source(failed)
		if !ok {
			awaitChange(c, idlePause, changed)
			failed = 0 // with no other daemon to ask, the coordinator is asked again
			continue
		}
		if f.syncWith(c, to) {
			failed = 0
			continue
		}
		awaitChange(c, f.syncPause(failed), f.Changed())
		failed++
	}
	return nil
}

// syncPause returns the pause after so many failed calls. The coordinator is asked in each second turn, often enough for
// the promises that it needs while the store answers nobody.
func (f *Feed) syncPause(failed int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(syncPause<<min(failed, maxDoubled), elect.SyncWait(f.snapshot, f.o.Self)/2)
}

// awaitChange waits, but not beyond the next change. The channel is taken before what is decided on is looked at, else a change
// in between would be slept through.
func awaitChange(c context.Context, d time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-c.Done():
	}
}

// source returns the peer to ask: the coordinator, and after each failed call a voter, which reads the store while the
// coordinator can't, or any other daemon. A coordinator that didn't answer is left alone for a while.
func (f *Feed) source(failed int) (ident.Daemon, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := f.snapshot, f.o.Clock.Now()
	if f.leads() || !f.read[store.Control] || s.Coordinator.Term == 0 && !f.askedTwice() {
		return "", false
	}
	n := s.Coordinator.Daemon
	if n == "" {
		n = elect.First(s) // it reads the store, and becomes the coordinator
	}
	skip := f.unheard && f.relay != "" && now.Sub(f.probed) < elect.SyncWait(s, f.o.Self)
	if failed%2 == 0 && !skip && n != "" && n != f.o.Self && s.Daemons[n] != nil {
		f.probed = now
		return n, true
	}
	if f.relay != "" && s.Daemons[f.relay] != nil {
		return f.relay, true
	}
	if d, ok := f.other(s.Voters); ok && failed%4 != 3 {
		return d, true
	}
	return f.other(slices.Collect(maps.Keys(s.Daemons)))
}

// other returns a random one of the daemons, neither this one nor the coordinator; the caller holds the lock.
func (f *Feed) other(l []ident.Daemon) (ident.Daemon, bool) {
	l = slices.DeleteFunc(slices.Clone(l), func(d ident.Daemon) bool {
		return d == f.o.Self || d == f.snapshot.Coordinator.Daemon || f.snapshot.Daemons[d] == nil
	})
	if len(l) == 0 {
		return "", false
	}
	return l[rand.IntN(len(l))], true
}

// syncRequest returns a request with the revisions of this copy. The caller must hold f.mu.
func (f *Feed) syncRequest() *wire.Sync {
	x := &wire.Sync{Term: uint64(f.snapshot.Coordinator.Term)}
	for t := range f.tables {
		rev := f.tables[t].rev
		if f.whole[t] {
			rev = 0
		}
		x.Revs = append(x.Revs, uint64(rev))
	}
	if f.holds != nil {
		x.Holds = encodeStamp(f.holds.Stamp)
	}
	return x
}

// Refresh fetches changes from the coordinator without waiting for the next regular exchange, and reports whether the copy may
// have changed. Concurrent calls share one exchange, and at most two are made per regular exchange.
func (f *Feed) Refresh(c context.Context) bool {
	asked := f.o.Clock.Now()
	f.refreshMu.Lock()
	defer f.refreshMu.Unlock()
	f.mu.Lock()
	to, x := f.snapshot.Coordinator.Daemon, f.syncRequest()
	done := f.refreshedAt > asked || asked.Sub(f.refreshedAt) < elect.SyncWait(f.snapshot, f.o.Self)/2
	f.mu.Unlock()
	if done || to == "" || to == f.o.Self {
		return done
	}
	y, cancel := context.WithTimeout(c, syncLimit)
	defer cancel()
	r, err := f.peers.Call(y, to, &wire.Call{Body: &wire.Call_Sync{Sync: x}})
	f.mu.Lock()
	f.refreshedAt = f.o.Clock.Now()
	f.mu.Unlock()
	if err != nil {
		f.o.Log.Debug().Err(err).Str("peer", string(to)).Msg("refresh from coordinator failed")
		return false
	}
	return f.takeReply(to, r.GetSync())
}

// syncWith makes one call; it reports whether the peer answered and its copy is of use.
func (f *Feed) syncWith(c context.Context, to ident.Daemon) bool {
	f.mu.Lock()
	wait := elect.SyncWait(f.snapshot, f.o.Self)
	x := f.syncRequest()
	x.WaitUs = uint64(wait.Microseconds())
	leads := to == f.snapshot.Coordinator.Daemon
	if leads && f.unheard {
		x.WaitUs = 0 // whether it answers again is all that is asked
	}
	if leads && f.stamped == f.snapshot.Coordinator.Term {
		x.Stamp, x.PromiseUs = f.stamp, micros(f.promised)
	}
	f.mu.Unlock()
	asked := f.o.Clock.Now()
	if leads {
		x.Counts, x.Works = f.o.Measures()
		if f.o.Quota != nil {
			x.Quota = f.o.Quota.Ask()
		}
	}
	y, cancel := context.WithTimeout(c, wait+syncLimit)
	defer cancel()
	r, err := f.peers.Call(y, to, &wire.Call{Body: &wire.Call_Sync{Sync: x}})
	if x.GetQuota() != nil {
		f.o.Quota.Answered(asked, x.GetQuota(), r.GetSync().GetQuota())
	}
	if err != nil {
		f.leaveRelay(to)
		if c.Err() == nil && leads {
			f.notHeard(to, err)
		}
		return false
	}
	return f.takeReply(to, r.GetSync())
}

// leaveRelay takes in that a peer doesn't answer, or only with an old copy.
func (f *Feed) leaveRelay(d ident.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relay == d {
		f.o.Log.Info().Str("peer", string(d)).Str("reason", "no-answer").Msg("voter is of no use")
		f.relay = ""
	}
}

// notHeard takes in that the coordinator didn't answer.
func (f *Feed) notHeard(d ident.Daemon, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unheard {
		return
	}
	f.o.Log.Info().Err(err).Str("peer", string(d)).Dur("copy-age", f.age(store.Orders)).Msg("coordinator doesn't answer")
	f.unheard = true
	f.wake()
}

// age returns for how long the copy of the table may be behind; the caller holds the lock.
func (f *Feed) age(t store.Table) time.Duration {
	return f.o.Clock.Now().Sub(f.asOf[t])
}

// takeReply takes in what a peer answered; it reports whether the peer's copy is of use.
func (f *Feed) takeReply(from ident.Daemon, r *wire.SyncReply) bool {
	now := f.o.Clock.Now()
	asOf := now.Add(-duration(r.GetStoreAgeUs()))
	for _, t := range r.GetTables() {
		if t.GetTable() < store.Tables && !f.takeTable(store.Table(t.GetTable()), t, from) {
			return false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for t := range f.asOf {
		f.asOf[t] = max(f.asOf[t], asOf)
	}
	if uint64(f.snapshot.Coordinator.Term) == r.GetTerm() {
		f.heard = max(f.heard, now.Add(-duration(r.GetCoordinatorAgeUs())))
		f.reached = max(f.reached, now.Add(-duration(r.GetReachedAgeUs())))
	}
	f.reach(from)
	f.answered = now
	useful := now.Sub(asOf) < oldCopy
	f.noteSource(from, useful)
	// A coordinator that the store doesn't answer is not supported by a daemon that it does: another has to take over.
	able := now.Sub(asOf) < f.staleAfter() || now.Sub(f.asOf[store.Orders]) > f.staleAfter()
	able = able && f.announced > 0 && f.tables[store.Control].rev >= f.announced
	if t := site.Term(r.GetTerm()); able && r.GetStamp() > 0 && f.promise.Renew(f.o.Clock.Boot(), t, duration(r.GetPromiseUs())) {
		f.stamp, f.stamped, f.promised = r.GetStamp(), t, duration(r.GetPromiseUs())
	}
	if h := r.GetHolds(); h != nil {
		f.takeHolds(h)
	}
	return useful
}

// noteSource takes in that a peer answered with a copy that is new, or old; the caller holds the lock.
func (f *Feed) noteSource(from ident.Daemon, useful bool) {
	switch {
	case from == f.snapshot.Coordinator.Daemon:
		if f.unheard {
			f.o.Log.Info().Str("peer", string(from)).Msg("coordinator answers again")
		}
		f.unheard = false
		if f.behind == useful {
			f.behind = !useful
			f.wake()
		}
		if useful {
			f.relay = ""
		}
	case useful && slices.Contains(voters(f.snapshot), from):
		if f.relay != from {
			f.o.Log.Info().Str("peer", string(from)).Msg("copy taken from a voter")
		}
		f.relay = from // others don't renew their copies either
	case f.relay == from:
		f.o.Log.Info().Str("peer", string(from)).Str("reason", "old-copy").Msg("voter is of no use")
		f.relay = ""
	}
}

// takeTable takes in what a peer told of a table. What can't be unpacked here is left out as a whole, and the next peer is
// asked for the whole table: taken in by halves, the copy would claim to be newer than it is.
func (f *Feed) takeTable(t store.Table, x *wire.SyncTable, from ident.Daemon) bool {
	f.mu.Lock()
	p, err := f.tables[t].page(x)
	if err != nil {
		f.whole[t] = true
	}
	f.mu.Unlock()
	if err != nil {
		f.o.Log.Warn().Err(err).Str("table", t.String()).Msg("rows of a peer not unpacked, the whole table is asked for")
		return false
	}
	f.applied(t, p, x.GetWhole(), 0, string(from))
	return true
}

// takeHolds takes in the holds that a peer told; the caller holds the lock. Those that can't be unpacked have been
// followed by others already, which are packed against what is here now.
func (f *Feed) takeHolds(x *wire.PackedHolds) {
	h, encoded, err := f.unpackHolds(x)
	if err != nil {
		f.o.Log.Warn().Err(err).Msg("holders of keys as told by a peer not unpacked")
		return
	}
	f.publish(h, encoded)
}

// Sync answers a peer.
func (f *Feed) Sync(c context.Context, from ident.Daemon, x *wire.Sync) *wire.SyncReply {
	f.promiseConfirmed(from, x)
	if len(x.GetCounts())+len(x.GetWorks()) > 0 {
		f.o.Measured(x.GetCounts(), x.GetWorks())
	}
	until := f.o.Clock.Now().Add(duration(x.GetWaitUs()))
	for {
		r, changed := f.reply(x)
		// A peer is told in time that this copy isn't renewed any more, and asks another.
		left := min(until.Sub(f.o.Clock.Now()), oldCopy-duration(r.GetStoreAgeUs()))
		if len(r.GetTables()) > 0 || r.GetHolds() != nil || left <= 0 {
			return r
		}
		t := time.NewTimer(left)
		select {
		case <-changed:
		case <-t.C:
		case <-c.Done():
			t.Stop()
			return r
		}
		t.Stop()
	}
}

// promiseConfirmed takes in that a peer lives, and the promise that it confirms.
func (f *Feed) promiseConfirmed(from ident.Daemon, x *wire.Sync) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach(from)
	if x.GetStamp() > 0 && site.Term(x.GetTerm()) == f.snapshot.Coordinator.Term && f.leads() {
		// What was promised is what the answer said, which is the same as now unless the site has just grown or shrunk.
		f.support.Confirmed(from, time.Duration(x.GetStamp()), duration(x.GetPromiseUs())) //nolint:gosec // a time of this process
	}
}

// reply returns what the peer lacks, and the channel that tells of the next change.
func (f *Feed) reply(x *wire.Sync) (*wire.SyncReply, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &wire.SyncReply{Term: uint64(f.snapshot.Coordinator.Term)}
	copied, heard := f.ages()
	r.StoreAgeUs, r.CoordinatorAgeUs = micros(copied), micros(heard)
	for t := range f.tables {
		var rev store.Rev
		if t < len(x.GetRevs()) {
			rev = store.Rev(x.GetRevs()[t])
		}
		if y := f.tables[t].since(store.Table(t), rev); y != nil {
			r.Tables = append(r.Tables, y)
		}
	}
	r.ReachedAgeUs = micros(f.o.Clock.Now().Sub(f.reached))
	if f.leads() {
		if f.supported() {
			r.ReachedAgeUs = 0 // else it may be cut off itself, with the daemons that still ask it
		}
		r.Stamp = uint64(f.o.Clock.Boot()) //nolint:gosec // a time since the host's start
		r.PromiseUs = micros(elect.PromiseTime(f.snapshot))
	}
	if peer := decodeStamp(x.GetHolds()); f.holds != nil && peer.Before(f.holds.Stamp) {
		var err error
		if r.Holds, err = f.packHolds(peer); err != nil {
			f.o.Log.Error().Err(err).Msg("holders of keys not packed")
		}
	}
	return r, f.changed
}

func duration(us uint64) time.Duration {
	return time.Duration(us) * time.Microsecond //nolint:gosec // a time of seconds
}

func micros(d time.Duration) uint64 {
	return uint64(max(0, d.Microseconds()))
}
