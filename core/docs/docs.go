// Package docs implements the replicated document: rows with revisions, of which every daemon holds a copy.
//
// A document changes only in the table, by one transaction per revision. Copies only move forward: applying
// a delta of an older revision has no effect, so deltas may arrive late, twice or out of order.
package docs

import (
	"maps"
	"slices"

	"heatherrouter/core/ident"
)

// Row is one row at the revision that last changed it; an empty Body marks a deleted row.
type Row struct {
	Rev  ident.Rev
	Body []byte
}

// Doc is one copy of a document.
type Doc struct {
	Name ident.Doc
	Rev  ident.Rev
	Rows map[ident.Row]Row
}

// Change is one row of a transaction; an empty Body deletes the row.
type Change struct {
	Row  ident.Row
	Body []byte
}

// Delta holds the rows that changed after revision From, up to and including Rev.
type Delta struct {
	Name ident.Doc
	From ident.Rev
	Rev  ident.Rev
	Rows map[ident.Row]Row
}

// New returns an empty document at revision 0.
func New(n ident.Doc) *Doc {
	return &Doc{Name: n, Rows: map[ident.Row]Row{}}
}

// Since returns the rows that changed after revision r.
func (d *Doc) Since(r ident.Rev) Delta {
	x := Delta{Name: d.Name, From: r, Rev: d.Rev, Rows: map[ident.Row]Row{}}
	for k, v := range d.Rows {
		if v.Rev > r {
			x.Rows[k] = v
		}
	}
	return x
}

// Apply returns the document after the delta, leaving d unchanged, and whether anything changed.
//
// A delta that starts after d.Rev is refused: rows that changed in between would be lost undetected,
// and the copy would then claim a revision that it doesn't hold.
func (d *Doc) Apply(x Delta) (*Doc, bool) {
	if x.Name != d.Name || x.Rev <= d.Rev || x.From > d.Rev {
		return d, false
	}
	n := &Doc{Name: d.Name, Rev: x.Rev, Rows: maps.Clone(d.Rows)}
	for k, v := range x.Rows {
		if v.Rev > n.Rows[k].Rev {
			n.Rows[k] = v
		}
	}
	return n, true
}

// Body returns the body of a row, or nil if there is none.
func (d *Doc) Body(r ident.Row) []byte {
	return d.Rows[r].Body
}

// Names returns the sorted names of the rows that have a body and the prefix.
func (d *Doc) Names(prefix string) []ident.Row {
	var l []ident.Row
	for k, v := range d.Rows {
		if len(v.Body) > 0 && len(k) >= len(prefix) && string(k[:len(prefix)]) == prefix {
			l = append(l, k)
		}
	}
	slices.Sort(l)
	return l
}
