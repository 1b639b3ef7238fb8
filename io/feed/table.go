package feed

import (
	"cmp"
	"maps"
	"slices"

	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// maxMarks is how many marks of dropped rows a copy keeps for its peers. Each is under 100 bytes; a peer that is further
// behind gets the whole table.
const maxMarks = 1024

// table is the copy of one table: its rows as of a revision, and marks of rows dropped since another.
type table struct {
	rev   store.Rev
	floor store.Rev // marks of drops up to here are forgotten
	rows  map[string]store.Row
	marks map[string]store.Rev
	large map[string]*versions[store.Rev] // of the rows that are packed for peers
}

func newTable() table {
	return table{rows: map[string]store.Row{}, marks: map[string]store.Rev{}, large: map[string]*versions[store.Rev]{}}
}

// apply takes in what has changed up to the page's revision, and returns the rows that are news here.
func (t *table) apply(p store.Page) []store.Row {
	var news []store.Row
	for _, r := range p.Rows {
		if r.Rev <= max(t.rows[r.Key].Rev, t.marks[r.Key]) {
			continue
		}
		if _, known := t.rows[r.Key]; r.Gone && !known {
			continue
		}
		t.set(r)
		news = append(news, r)
	}
	t.rev = max(t.rev, p.Rev)
	t.prune()
	return news
}

// replace takes in the whole table as of the page's revision; what isn't in it is gone.
func (t *table) replace(p store.Page) []store.Row {
	if p.Rev < t.rev {
		return nil // older than what is known here
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
	return t.apply(p)
}

func (t *table) set(r store.Row) {
	if r.Gone {
		delete(t.rows, r.Key)
		delete(t.large, r.Key)
		t.marks[r.Key] = r.Rev
		return
	}
	delete(t.marks, r.Key)
	t.rows[r.Key] = r
	if len(r.Value) < packFrom {
		delete(t.large, r.Key)
		return
	}
	if t.large[r.Key] == nil {
		t.large[r.Key] = &versions[store.Rev]{}
	}
	t.large[r.Key].add(r.Rev, r.Value)
}

func (t *table) prune() {
	if len(t.marks) <= maxMarks {
		return
	}
	revs := slices.Sorted(maps.Values(t.marks))
	t.floor = revs[len(revs)/2]
	maps.DeleteFunc(t.marks, func(_ string, r store.Rev) bool { return r <= t.floor })
}

// packable returns the revisions of the rows that peers may pack.
func (t *table) packable() map[string]store.Rev {
	m := make(map[string]store.Rev, len(t.large))
	for k := range t.large {
		m[k] = t.rows[k].Rev
	}
	return m
}

// since returns what a peer lacks whose copy is as of the revision, or nil. The peer has the rows of the revisions in has;
// others that may be packed, it has not.
func (t *table) since(n store.Table, rev store.Rev, has map[string]store.Rev) *wire.SyncTable {
	if rev >= t.rev {
		return nil
	}
	x := &wire.SyncTable{Table: uint32(n), Rev: uint64(t.rev), Whole: rev < t.floor || rev == 0}
	for _, r := range t.rows {
		if x.Whole || r.Rev > rev {
			x.Rows = append(x.Rows, t.packRow(r, has[r.Key]))
		}
	}
	if !x.Whole {
		for k, r := range t.marks {
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

// page decodes a table as a peer sent it. Rows that are known in that version or a newer one, from another peer or the
// store, are listed without their values: in a whole table what isn't listed is gone.
func (t *table) page(x *wire.SyncTable) (store.Page, error) {
	p := store.Page{Rev: store.Rev(x.GetRev())}
	for _, r := range x.GetRows() {
		y := store.Row{Key: r.GetKey(), Rev: store.Rev(r.GetRev()), Gone: r.GetGone()}
		known := max(t.rows[y.Key].Rev, t.marks[y.Key]) >= y.Rev
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
