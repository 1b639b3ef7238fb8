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

// idlePause is the interval at which a daemon without a peer to call looks for one.
const idlePause = 500 * time.Millisecond

// followPeers requests changes from the coordinator, or from another peer if the coordinator doesn't answer or its copy is
// old.
func (f *Feed) followPeers(c context.Context) error {
	for c.Err() == nil {
		changed := f.Changed()
		x, ok := f.nextCall()
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

// nextCall returns the next call to a peer; false when there is no peer to call.
func (f *Feed) nextCall() (source.Call, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leads() || !f.loaded[store.Control] || f.snapshot.Coordinator.Term == 0 && !f.rereadAtStart() {
		f.sources.NoPeers()
		return source.Call{}, false
	}
	x, ok := f.sources.Next(f.o.Clock.Now(), f.snapshot)
	if !ok {
		f.sources.NoPeers()
	}
	return x, ok
}

// pauseUntil returns the earliest start of the next call after a failed one that started at asked.
func (f *Feed) pauseUntil(asked mono.Time) mono.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return asked.Add(f.sources.Pause(f.snapshot))
}

// awaitChange waits for the duration or until the next change. Callers must fetch the channel before they read the state that
// they decide on; otherwise a change in between is missed.
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
	x := &wire.Sync{Term: uint64(f.snapshot.Coordinator.Term), Announcements: f.needsAnnouncements}
	for t := range f.tables {
		rev := f.tables[t].rev
		if f.needsFull[t] {
			rev = 0
		}
		x.Revs = append(x.Revs, uint64(rev))
		if f.needsFull[t] {
			continue
		}
		for k, r := range f.tables[t].packableRevs() {
			x.Rows = append(x.Rows, &wire.RowRev{Table: uint32(t), Key: k, Rev: uint64(r)}) //nolint:gosec // of few tables
		}
	}
	if f.holds != nil {
		x.Holds = encodeStamp(f.holds.Stamp)
	}
	x.Loads = f.loads.stamp()
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
	y, cancel := context.WithTimeout(c, source.ResponseTimeout)
	defer cancel()
	called := f.o.Clock.Now()
	r, err := f.peers.Call(y, to, &wire.Call{Body: &wire.Call_Sync{Sync: x}})
	f.mu.Lock()
	f.refreshedAt = f.o.Clock.Now()
	f.mu.Unlock()
	if err != nil {
		f.o.Log.Debug().Err(err).Str("peer", string(to)).Msg("refresh from coordinator failed")
		return false
	}
	return f.applyReply(f.sentAt(r, called), to, x, r.GetSync())
}

// syncWith makes one call. It reports whether the peer answered with a usable copy.
func (f *Feed) syncWith(c context.Context, k source.Call) bool {
	f.mu.Lock()
	x := f.syncRequest()
	x.WaitUs = micros(k.Wait)
	leads := k.Peer == f.snapshot.Coordinator.Daemon
	if leads && f.promiseTerm == f.snapshot.Coordinator.Term {
		x.Stamp, x.PromiseUs = f.promiseStamp, micros(f.promiseDuration)
	}
	f.mu.Unlock()
	asked := f.o.Clock.Now()
	if leads {
		f.o.TakeMeasurements(x)
		if f.o.Tokens != nil {
			f.o.Tokens.Ask(x)
		}
	}
	y, cancel := context.WithTimeout(c, k.Deadline.Sub(asked))
	defer cancel()
	r, err := f.peers.Call(y, k.Peer, &wire.Call{Body: &wire.Call_Sync{Sync: x}})
	sentAt := f.sentAt(r, asked)
	if leads && f.o.Tokens != nil {
		f.o.Tokens.Answered(asked, sentAt, k.Peer, x, r.GetSync())
	}
	if c.Err() != nil {
		return false
	}
	if err != nil {
		f.callFailed(k, err)
		return false
	}
	return f.applyReply(sentAt, k.Peer, x, r.GetSync())
}

// sentAt returns when the reply to a call that was made at the time asked was sent, at the earliest.
func (f *Feed) sentAt(r *wire.Reply, asked mono.Time) mono.Time {
	return f.o.Clock.SentAt(duration(r.GetSentUs()), asked)
}

// callFailed records that a peer didn't answer.
func (f *Feed) callFailed(k source.Call, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := f.sources.CoordinatorUnresponsive()
	f.sources.Failed(f.o.Clock.Now(), f.snapshot, k)
	switch {
	case !silent && f.sources.CoordinatorUnresponsive():
		f.o.Log.Info().Err(err).Str("peer", string(k.Peer)).Dur("copy-age", f.age(store.Orders)).Msg("coordinator doesn't answer")
		f.notifyChanged()
	case k.Peer != f.snapshot.Coordinator.Daemon:
		f.o.Log.Info().Err(err).Str("peer", string(k.Peer)).Dur("copy-age", f.age(store.Orders)).Msg("peer doesn't answer")
	}
}

// age returns for how long the copy of the table may be out of date. The caller must hold f.mu.
func (f *Feed) age(t store.Table) time.Duration {
	return f.o.Clock.Now().Sub(f.asOf[t])
}

// applyReply applies the answer of a peer, which was sent at sentAt, to a request. It reports whether the peer's copy was usable by then.
func (f *Feed) applyReply(sentAt mono.Time, from ident.Daemon, x *wire.Sync, r *wire.SyncReply) bool {
	peerAge := duration(r.GetStoreAgeUs())
	asOf := sentAt.Add(-peerAge)
	for _, t := range r.GetTables() {
		if t.GetTable() < store.Tables && !f.applyTable(store.Table(t.GetTable()), t, from) {
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
	f.needsAnnouncements = f.needsAnnouncements && !x.GetAnnouncements()
	f.useOlderRows()
	if uint64(f.snapshot.Coordinator.Term) == r.GetTerm() {
		f.coordinatorSeen = max(f.coordinatorSeen, sentAt.Add(-duration(r.GetCoordinatorAgeUs())))
		f.siteSeen = max(f.siteSeen, sentAt.Add(-duration(r.GetReachedAgeUs())))
	}
	f.noteContact(sentAt, from)
	useful := f.recordAnswer(sentAt, from, peerAge)
	// A daemon with access to the store doesn't support a coordinator without it: another daemon has to take over.
	able := peerAge < f.staleAfter() || f.age(store.Orders) > f.staleAfter()
	able = able && f.announcedRev > 0 && f.tables[store.Control].rev >= f.announcedRev
	// The promise counts from now: sentAt may be earlier than the stamp, from which the coordinator counts.
	if t := site.Term(r.GetTerm()); able && r.GetStamp() > 0 && f.promise.Renew(f.o.Clock.SinceBoot(), t, duration(r.GetPromiseUs())) {
		f.promiseStamp, f.promiseTerm, f.promiseDuration = r.GetStamp(), t, duration(r.GetPromiseUs())
	}
	if h := r.GetHolds(); h != nil {
		f.applyHolds(h)
	}
	f.applyLoads(sentAt, x, r)
	return useful
}

// recordAnswer records that a peer answered at the given time with a copy of the age, and reports whether that copy was usable. The caller
// must hold f.mu.
func (f *Feed) recordAnswer(at mono.Time, from ident.Daemon, age time.Duration) bool {
	silent, behind, relay := f.sources.CoordinatorUnresponsive(), f.sources.CoordinatorOutdated(), f.sources.Relay()
	useful := f.sources.Answered(at, f.snapshot, from, age)
	if behind != f.sources.CoordinatorOutdated() {
		f.notifyChanged()
	}
	if silent && !f.sources.CoordinatorUnresponsive() {
		f.o.Log.Info().Str("peer", string(from)).Dur("peer-copy-age", age).Msg("coordinator answers again")
	}
	if r := f.sources.Relay(); r != relay && r != "" {
		f.o.Log.Info().Str("peer", string(r)).Dur("peer-copy-age", age).Msg("copy taken from a voter")
	}
	return useful
}

// applyTable applies the part of a peer's answer for one table. If a row can't be unpacked, nothing is applied and the next
// request asks for the full table: a copy with only some of the rows would claim a newer revision than it has.
func (f *Feed) applyTable(t store.Table, x *wire.SyncTable, from ident.Daemon) bool {
	f.mu.Lock()
	p, err := f.tables[t].decodePage(x)
	switch {
	case err != nil:
		f.needsFull[t] = true
	case t == store.Servers:
		f.learnAnnouncements(x.GetRows(), from)
	}
	f.mu.Unlock()
	if err != nil {
		f.o.Log.Warn().Err(err).Str("table", t.String()).Msg("rows of a peer not unpacked, the whole table is asked for")
		return false
	}
	f.applyPage(t, p, x.GetWhole(), 0, string(from))
	return true
}

// applyHolds applies the holds that a peer sent. The caller must hold f.mu. Holds that can't be unpacked are skipped: newer
// ones already exist, and the peer packs those against the holds that are current here.
func (f *Feed) applyHolds(x *wire.PackedHolds) {
	h, encoded, err := f.unpackHolds(x)
	if err != nil {
		f.o.Log.Warn().Err(err).Msg("holders of keys as told by a peer not unpacked")
		return
	}
	f.publish(h, encoded)
}

// Sync answers a request that a peer sent at the given time. It waits up to the time that the peer allows for a change that the peer lacks.
func (f *Feed) Sync(c context.Context, sentAt mono.Time, from ident.Daemon, x *wire.Sync) *wire.SyncReply {
	f.recordRequest(sentAt, from, x)
	if len(x.GetCounts())+len(x.GetWorks())+len(x.GetDemands()) > 0 {
		f.o.OnMeasurements(sentAt, x)
	}
	until := sentAt.Add(duration(x.GetWaitUs()))
	for {
		r, first, changed := f.reply(from, x)
		// Answer before this copy becomes too old, so that the peer can call another daemon in time.
		left := min(until.Sub(f.o.Clock.Now()), source.OutdatedAge-duration(r.GetStoreAgeUs()))
		if first || len(r.GetTables()) > 0 || r.GetHolds() != nil || left <= 0 {
			f.addLoads(r, x)
			return r
		}
		t := time.NewTimer(left)
		select {
		case <-changed:
		case <-t.C:
		case <-c.Done():
			until = 0 // the ages in r are as of the beginning of the wait
		}
		t.Stop()
	}
}

// greet reports whether the request is the first of a daemon that has promised nothing in this coordinator's term. The sooner it is
// answered, the sooner the coordinator may send orders. The caller must hold f.mu.
func (f *Feed) greet(from ident.Daemon, x *wire.Sync) bool {
	if !f.leads() || x.GetStamp() > 0 || f.greeted[from] || site.Term(x.GetTerm()) != f.snapshot.Coordinator.Term {
		return false
	}
	f.greeted[from] = true
	return true
}

// recordRequest records that a peer sent a request at the given time, and the promise that the request confirms.
func (f *Feed) recordRequest(sentAt mono.Time, from ident.Daemon, x *wire.Sync) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteContact(sentAt, from)
	if f.leads() && site.Term(x.GetTerm()) == f.snapshot.Coordinator.Term {
		f.syncedAt[from] = max(f.syncedAt[from], sentAt)
	}
	if x.GetStamp() > 0 && site.Term(x.GetTerm()) == f.snapshot.Coordinator.Term && f.leads() {
		// The peer promised the duration in the earlier answer. It differs from the current one only after the site has just grown
		// or shrunk.
		f.support.Confirm(from, time.Duration(x.GetStamp()), duration(x.GetPromiseUs())) //nolint:gosec // a stamp of this process
	}
}

// reply returns the changes that the peer lacks, whether the answer has to be sent at once because the peer has promised
// nothing in this coordinator's term, and the channel that is closed at the next change.
func (f *Feed) reply(from ident.Daemon, x *wire.Sync) (r *wire.SyncReply, first bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r = &wire.SyncReply{Term: uint64(f.snapshot.Coordinator.Term)}
	copied, coordinator := f.ages()
	r.StoreAgeUs, r.CoordinatorAgeUs = micros(copied), micros(coordinator)
	rows := rowRevs(x)
	for t := range f.tables {
		var rev store.Rev
		if t < len(x.GetRevs()) {
			rev = store.Rev(x.GetRevs()[t])
		}
		y := f.tables[t].changesSince(store.Table(t), rev, rows[t])
		if t == int(store.Servers) {
			y = f.addAnnouncements(y, x.GetAnnouncements())
		}
		if y != nil {
			r.Tables = append(r.Tables, y)
		}
	}
	r.ReachedAgeUs = micros(f.o.Clock.Now().Sub(f.siteSeen))
	if f.leads() {
		if f.supported() {
			r.ReachedAgeUs = 0 // without a quorum this coordinator may be isolated together with the daemons that still call it
		}
		r.Stamp = uint64(f.o.Clock.SinceBoot()) //nolint:gosec // time since the start of the host
		r.PromiseUs = micros(elect.PromiseDuration(f.snapshot))
	}
	if peer := decodeStamp(x.GetHolds()); f.holds != nil && peer.Before(f.holds.Stamp) {
		var err error
		if r.Holds, err = f.packHolds(peer); err != nil {
			f.o.Log.Error().Err(err).Msg("failed to pack holders of keys")
		}
	}
	return r, f.greet(from, x), f.changed
}

// rowRevs returns the revisions of the packable rows that a peer has, by table and key.
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
