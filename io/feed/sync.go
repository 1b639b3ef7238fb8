package feed

import (
	"context"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/core/source"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// idlePause is how often a daemon without a peer to ask looks for one.
const idlePause = 500 * time.Millisecond

// follow asks the coordinator, or another peer when that doesn't answer or its copy is old, for what is new.
func (f *Feed) follow(c context.Context) error {
	for c.Err() == nil {
		changed := f.Changed()
		x, ok := f.next()
		if !ok {
			awaitChange(c, idlePause, changed)
			continue
		}
		asked := f.o.Clock.Now()
		if f.syncWith(c, x) {
			continue
		}
		awaitChange(c, f.pauseUntil(asked).Sub(f.o.Clock.Now()), f.Changed())
	}
	return nil
}

// next returns the next call to a peer; false when there is none to ask.
func (f *Feed) next() (source.Call, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leads() || !f.read[store.Control] || f.snapshot.Coordinator.Term == 0 && !f.askedTwice() {
		f.sources.Rested()
		return source.Call{}, false
	}
	x, ok := f.sources.Next(f.o.Clock.Now(), f.snapshot)
	if !ok {
		f.sources.Rested()
	}
	return x, ok
}

// pauseUntil returns when the next call may start after one that failed.
func (f *Feed) pauseUntil(asked mono.Time) mono.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return asked.Add(f.sources.Pause(f.snapshot))
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

// syncRequest returns a request with the revisions of this copy. The caller must hold f.mu.
func (f *Feed) syncRequest() *wire.Sync {
	x := &wire.Sync{Term: uint64(f.snapshot.Coordinator.Term)}
	for t := range f.tables {
		rev := f.tables[t].rev
		if f.whole[t] {
			rev = 0
		}
		x.Revs = append(x.Revs, uint64(rev))
		if f.whole[t] {
			continue
		}
		for k, r := range f.tables[t].packable() {
			x.Rows = append(x.Rows, &wire.RowRev{Table: uint32(t), Key: k, Rev: uint64(r)}) //nolint:gosec // of few tables
		}
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
	y, cancel := context.WithTimeout(c, source.AnswerTime)
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
func (f *Feed) syncWith(c context.Context, k source.Call) bool {
	f.mu.Lock()
	x := f.syncRequest()
	x.WaitUs = micros(k.Wait)
	leads := k.Peer == f.snapshot.Coordinator.Daemon
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
	y, cancel := context.WithTimeout(c, k.Until.Sub(asked))
	defer cancel()
	r, err := f.peers.Call(y, k.Peer, &wire.Call{Body: &wire.Call_Sync{Sync: x}})
	if x.GetQuota() != nil {
		f.o.Quota.Answered(asked, x.GetQuota(), r.GetSync().GetQuota())
	}
	if c.Err() != nil {
		return false
	}
	if err != nil {
		f.notAnswered(k, err)
		return false
	}
	return f.takeReply(k.Peer, r.GetSync())
}

// notAnswered takes in that a peer didn't answer.
func (f *Feed) notAnswered(k source.Call, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := f.sources.Silent()
	f.sources.Failed(f.o.Clock.Now(), f.snapshot, k)
	switch {
	case !silent && f.sources.Silent():
		f.o.Log.Info().Err(err).Str("peer", string(k.Peer)).Dur("copy-age", f.age(store.Orders)).Msg("coordinator doesn't answer")
		f.wake()
	case k.Peer != f.snapshot.Coordinator.Daemon:
		f.o.Log.Info().Err(err).Str("peer", string(k.Peer)).Dur("copy-age", f.age(store.Orders)).Msg("peer doesn't answer")
	}
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
			f.mu.Lock()
			defer f.mu.Unlock()
			f.sources.Unusable(from)
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
	useful := f.noteAnswer(now, from, now.Sub(asOf))
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

// noteAnswer takes in that a peer answered with a copy of the age, and reports whether it is of use; the caller holds the lock.
func (f *Feed) noteAnswer(now mono.Time, from ident.Daemon, age time.Duration) bool {
	silent, behind, relay := f.sources.Silent(), f.sources.Behind(), f.sources.Relay()
	useful := f.sources.Answered(now, f.snapshot, from, age)
	if behind != f.sources.Behind() {
		f.wake()
	}
	if silent && !f.sources.Silent() {
		f.o.Log.Info().Str("peer", string(from)).Dur("peer-copy-age", age).Msg("coordinator answers again")
	}
	if r := f.sources.Relay(); r != relay && r != "" {
		f.o.Log.Info().Str("peer", string(r)).Dur("peer-copy-age", age).Msg("copy taken from a voter")
	}
	return useful
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
		left := min(until.Sub(f.o.Clock.Now()), source.OldCopy-duration(r.GetStoreAgeUs()))
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
		f.support.Confirm(from, time.Duration(x.GetStamp()), duration(x.GetPromiseUs())) //nolint:gosec // a time of this process
	}
}

// reply returns what the peer lacks, and the channel that tells of the next change.
func (f *Feed) reply(x *wire.Sync) (*wire.SyncReply, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &wire.SyncReply{Term: uint64(f.snapshot.Coordinator.Term)}
	copied, heard := f.ages()
	r.StoreAgeUs, r.CoordinatorAgeUs = micros(copied), micros(heard)
	rows := rowRevs(x)
	for t := range f.tables {
		var rev store.Rev
		if t < len(x.GetRevs()) {
			rev = store.Rev(x.GetRevs()[t])
		}
		if y := f.tables[t].since(store.Table(t), rev, rows[t]); y != nil {
			r.Tables = append(r.Tables, y)
		}
	}
	r.ReachedAgeUs = micros(f.o.Clock.Now().Sub(f.reached))
	if f.leads() {
		if f.supported() {
			r.ReachedAgeUs = 0 // else it may be cut off itself, with the daemons that still ask it
		}
		r.Stamp = uint64(f.o.Clock.Boot()) //nolint:gosec // a time since the host's start
		r.PromiseUs = micros(elect.PromiseDuration(f.snapshot))
	}
	if peer := decodeStamp(x.GetHolds()); f.holds != nil && peer.Before(f.holds.Stamp) {
		var err error
		if r.Holds, err = f.packHolds(peer); err != nil {
			f.o.Log.Error().Err(err).Msg("holders of keys not packed")
		}
	}
	return r, f.changed
}

// rowRevs returns the revisions of rows that a peer states, by table.
func rowRevs(x *wire.Sync) [store.Tables]map[string]store.Rev {
	var l [store.Tables]map[string]store.Rev
	for _, r := range x.GetRows() {
		if r.GetTable() >= store.Tables {
			continue
		}
		m := &l[r.GetTable()]
		if *m == nil {
			*m = map[string]store.Rev{}
		}
		(*m)[r.GetKey()] = store.Rev(r.GetRev())
	}
	return l
}

func duration(us uint64) time.Duration {
	return time.Duration(us) * time.Microsecond //nolint:gosec // a time of seconds
}

func micros(d time.Duration) uint64 {
	return uint64(max(0, d.Microseconds()))
}
