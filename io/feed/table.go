package feed

import (
	"cmp"
	"maps"
	"slices"

	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// maxTombstones is how many tombstones a copy keeps for its peers. Each takes under 100 bytes. A peer that is further behind
// gets the full table.
const maxTombstones = 1024

// table is the copy of one table: its rows as of rev, and tombstones of the rows deleted after tombstoneFloor.
type table struct {
	rev            store.Rev
	tombstoneFloor store.Rev // tombstones up to this revision have been discarded
	rows           map[string]store.Row
	tombstones     map[string]store.Rev
	large          map[string]*versions[store.Rev] // versions of the rows that are packed for peers
}

func newTable() table {
	return table{rows: map[string]store.Row{}, tombstones: map[string]store.Rev{}, large: map[string]*versions[store.Rev]{}}
}

// apply applies the changes up to the page's revision, and returns the rows that this copy didn't have.
func (t *table) apply(p store.Page) []store.Row {
	var changes []store.Row
	for _, r := range p.Rows {
		if r.Rev <= max(t.rows[r.Key].Rev, t.tombstones[r.Key]) {
			continue
		}
		if _, known := t.rows[r.Key]; r.Gone && !known {
			continue
		}
		t.set(r)
		changes = append(changes, r)
	}
	t.rev = max(t.rev, p.Rev)
	t.pruneTombstones()
	return changes
}

// replace applies the full table as of the page's revision, and returns the changed rows. Rows that aren't in the page are
// deleted.
func (t *table) replace(p store.Page) []store.Row {
	if p.Rev < t.rev {
		return nil // older than this copy
	}
	listed := map[string]bool{}
	for _, r := range p.Rows {
		listed[r.Key] = true
	}
	for k := range t.rows {
		if !listed[k] {
			p.Rows = append(p.Rows, store.Row{Key: k, Rev: p.Rev, Gone: true})
		}
	}
	// Peers may have rows that were deleted before this copy knew of them.
	t.tombstoneFloor = max(t.tombstoneFloor, p.Rev)
	return t.apply(p)
}

func (t *table) set(r store.Row) {
	if r.Gone {
		delete(t.rows, r.Key)
		delete(t.large, r.Key)
		t.tombstones[r.Key] = r.Rev
		return
	}
	delete(t.tombstones, r.Key)
	t.rows[r.Key] = r
	if len(r.Value) < minPackSize {
		delete(t.large, r.Key)
		return
	}
	if t.large[r.Key] == nil {
		t.large[r.Key] = &versions[store.Rev]{}
	}
	t.large[r.Key].add(r.Rev, r.Value)
}

func (t *table) pruneTombstones() {
	if len(t.tombstones) <= maxTombstones {
		return
	}
	revs := slices.Sorted(maps.Values(t.tombstones))
	t.tombstoneFloor = revs[len(revs)/2]
	maps.DeleteFunc(t.tombstones, func(_ string, r store.Rev) bool { return r <= t.tombstoneFloor })
}

// packableRevs returns the revisions of the rows that peers may send packed.
func (t *table) packableRevs() map[string]store.Rev {
	m := make(map[string]store.Rev, len(t.large))
	for k := range t.large {
		m[k] = t.rows[k].Rev
	}
	return m
}

// changesSince returns the changes for a peer whose copy is as of rev; nil for none. has lists the revisions of the packable
// rows that the peer has.
func (t *table) changesSince(n store.Table, rev store.Rev, has map[string]store.Rev) *wire.SyncTable {
	if rev >= t.rev {
		return nil
	}
	x := &wire.SyncTable{Table: uint32(n), Rev: uint64(t.rev), Whole: rev < t.tombstoneFloor || rev == 0}
	for _, r := range t.rows {
		if x.Whole || r.Rev > rev {
			x.Rows = append(x.Rows, t.packRow(r, has[r.Key]))
		}
	}
	if !x.Whole {
		for k, r := range t.tombstones {
			if r > rev {
				x.Rows = append(x.Rows, &wire.SyncRow{Key: k, Rev: uint64(r), Gone: true})
			}
		}
	}
	slices.SortFunc(x.Rows, func(a, b *wire.SyncRow) int {
		return cmp.Or(cmp.Compare(a.GetRev(), b.GetRev()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	return x
}

// decodePage decodes a table that a peer sent. Rows that this copy has at the same or a newer revision, from another peer or
// the store, are listed without their values: a row that isn't listed in a full table counts as deleted.
func (t *table) decodePage(x *wire.SyncTable) (store.Page, error) {
	p := store.Page{Rev: store.Rev(x.GetRev())}
	for _, r := range x.GetRows() {
		y := store.Row{Key: r.GetKey(), Rev: store.Rev(r.GetRev()), Gone: r.GetGone()}
		known := max(t.rows[y.Key].Rev, t.tombstones[y.Key]) >= y.Rev
		if !y.Gone && !known {
			var err error
			if y.Value, err = t.unpackRow(r); err != nil {
				return p, err
			}
		}
		p.Rows = append(p.Rows, y)
	}
	return p, nil
}
