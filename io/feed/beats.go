package feed

import (
	"slices"

	"heatherrouter/core/beat"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// announcements tracks which rows of backend servers are in use. The store may hold an older row than the one in use.
type announcements struct {
	history *beat.History
	inUse   map[ident.Server][]byte // values of the rows in use
}

func newAnnouncements() announcements {
	return announcements{history: beat.NewHistory(), inUse: map[ident.Server][]byte{}}
}

// admit reports whether the server's row, decoded as x, is to be used.
func (a announcements) admit(now mono.Time, x *site.Server, value []byte) bool {
	if !a.history.Admit(now, x.ID, announcementOf(x)) {
		return false
	}
	a.inUse[x.ID] = value
	return true
}

func (a announcements) deleted(now mono.Time, s ident.Server) {
	a.history.Deleted(now, s)
	delete(a.inUse, s)
}

func (a announcements) invalid(s ident.Server) {
	a.history.Invalid(s)
	delete(a.inUse, s)
}

// encode returns the newest announcement of a server for peers; nil if the server's row shows it.
func (a announcements) encode(now mono.Time, s ident.Server) *wire.Announcement {
	n, until, ok := a.history.Superseded(now, s)
	if !ok {
		return nil
	}
	return &wire.Announcement{Born: n.Born, Sequence: n.Sequence, Value: a.inUse[s], LeftUs: micros(until.Sub(now))}
}

func announcementOf(x *site.Server) beat.Announcement {
	return beat.Announcement{Number: beat.Number{Born: x.Born, Sequence: x.Sequence}, Draining: x.Draining}
}

// addAnnouncements adds the newest announcements of servers to the rows for a peer: those of the listed rows or, if the peer asks for
// them, all that its rows don't show. y is nil if the peer lacks no row. The caller must hold f.mu.
func (f *Feed) addAnnouncements(y *wire.SyncTable, all bool) *wire.SyncTable {
	if y == nil && !all {
		return nil
	}
	now, t := f.o.Clock.Now(), &f.tables[store.Servers]
	listed := map[string]bool{}
	for _, r := range y.GetRows() {
		r.Newest = f.announcements.encode(now, ident.Server(r.GetKey()))
		listed[r.GetKey()] = true
	}
	if !all && !y.GetWhole() {
		return y
	}
	add := func(r *wire.SyncRow) {
		if listed[r.GetKey()] {
			return
		}
		if r.Newest = f.announcements.encode(now, ident.Server(r.GetKey())); r.GetNewest() == nil {
			return
		}
		if y == nil {
			y = &wire.SyncTable{Table: uint32(store.Servers), Rev: uint64(t.rev)}
		}
		y.Rows = append(y.Rows, r)
	}
	for _, r := range t.rows {
		add(t.packRow(r, 0))
	}
	for k, rev := range t.tombstones {
		add(&wire.SyncRow{Key: k, Rev: uint64(rev), Gone: true})
	}
	return y
}

// learnAnnouncements applies the newest announcements of servers that a peer has added to its rows. The caller must hold f.mu.
func (f *Feed) learnAnnouncements(rows []*wire.SyncRow, from ident.Daemon) {
	if !slices.ContainsFunc(rows, func(r *wire.SyncRow) bool { return r.GetNewest() != nil }) {
		return
	}
	now, d := f.o.Clock.Now(), f.newBuilder(rowSource{name: string(from)})
	learned := false
	for _, r := range rows {
		if r.GetNewest() != nil {
			learned = d.learn(now, r) || learned
		}
	}
	if learned {
		f.markLeaving(d.s)
		f.snapshot = d.s.BuildIndex()
		f.notifyChanged()
	}
}

// learn applies the newest announcement of the server of a row. It reports false if it is not newer than what is known.
func (d *snapshotBuilder) learn(now mono.Time, r *wire.SyncRow) bool {
	w, id := r.GetNewest(), ident.Server(r.GetKey())
	a := beat.Announcement{Number: beat.Number{Born: w.GetBorn(), Sequence: w.GetSequence()}}
	var x *site.Server
	if len(w.GetValue()) > 0 {
		var err error
		if x, err = d.o.Decoder.Server(r.GetKey(), w.GetValue(), now); err != nil {
			d.o.Log.Warn().Err(err).Str("server", r.GetKey()).Str("from", d.from.name).Msg("announcement of a peer left out")
			return false
		}
		a.Draining = x.Draining
	}
	if !d.announcements.history.Learn(now.Add(duration(w.GetLeftUs())), id, a) {
		return false
	}
	d.o.Log.Info().Str("server", r.GetKey()).Int64("born", a.Born).Int64("sequence", a.Sequence).Bool("in-use", x != nil).
		Str("from", d.from.name).Msg("newer announcement of a server learned")
	if x != nil {
		d.s.Servers[id], d.announcements.inUse[id] = x, w.GetValue()
		return true
	}
	delete(d.s.Servers, id)
	if r.GetGone() {
		d.announcements.deleted(now, id)
	}
	delete(d.announcements.inUse, id)
	return true
}

// LearnIncarnation records that a server has run as the incarnation that was started at born. Rows of earlier incarnations are not used.
func (f *Feed) LearnIncarnation(s ident.Server, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := f.o.Clock.Now().Add(beat.LateWriteLimit)
	if !f.announcements.history.Learn(until, s, beat.Announcement{Number: beat.Number{Born: born}}) || f.snapshot.Servers[s] == nil {
		return
	}
	f.o.Log.Info().Str("server", string(s)).Int64("born", born).Msg("row of an earlier incarnation of a server not used")
	d := f.newBuilder(rowSource{name: fromSelf})
	delete(d.s.Servers, s)
	delete(d.announcements.inUse, s)
	f.snapshot = d.s.BuildIndex()
	f.notifyChanged()
}

// useOlderRows applies the rows of servers that have been older than the newest announcements for too long to be late writes. The caller
// must hold f.mu.
func (f *Feed) useOlderRows() {
	f.announcements.history.Prune(f.o.Clock.Now())
	t := &f.tables[store.Servers]
	var rows []store.Row
	for _, s := range f.announcements.history.Due(f.asOf[store.Servers]) {
		if r, ok := t.rows[string(s)]; ok {
			f.o.Log.Warn().Str("server", r.Key).Uint64("rev", uint64(r.Rev)).Msg("older row of a server used, no newer one was written")
			rows = append(rows, r)
		}
	}
	f.updateSnapshot(store.Servers, rows, rowSource{name: fromSelf})
}

// newBuilder returns a builder of the next snapshot. The caller must hold f.mu.
func (f *Feed) newBuilder(from rowSource) *snapshotBuilder {
	d := newSnapshotBuilder(f.snapshot, f.o, from)
	d.announcements = f.announcements
	return d
}
