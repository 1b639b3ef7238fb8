package store

import (
	"context"
	"slices"
	"time"

	"heatherrouter/io/delta"
)

const (
	// minPackSize is the size in bytes from which a value is packed. Most rows are smaller.
	minPackSize = 32 << 10

	// packedMark is the first byte of a packed value. No encoded message begins with it.
	packedMark = 0
)

// packed is a Store that packs large values of the control table.
type packed struct{ Store }

// Packed returns a Store that packs large values of the control table. The storage service limits the size of a value, and
// the key assignment of a service with over a thousand servers would exceed it: then no key could be reassigned.
func Packed(s Store) Store { return packed{s} }

// List implements Store.
func (s packed) List(c context.Context, t Table) (Page, error) {
	p, err := s.Store.List(c, t)
	return unpack(t, p), err
}

// Follow implements Store.
func (s packed) Follow(c context.Context, t Table, after Rev, wait time.Duration) (Page, error) {
	p, err := s.Store.Follow(c, t, after, wait)
	return unpack(t, p), err
}

// Commit implements Store.
func (s packed) Commit(c context.Context, x Txn) (Rev, error) {
	x.Put = slices.Clone(x.Put)
	for i, r := range x.Put {
		if len(r.Value) < minPackSize {
			continue
		}
		v, err := delta.Pack(nil, r.Value)
		if err != nil {
			return 0, ErrNotApplied
		}
		x.Put[i].Value = append([]byte{packedMark}, v...)
	}
	return s.Store.Commit(c, x)
}

// unpack returns the page with its values unpacked. A value that can't be unpacked stays as it is: its reader then fails to
// decode it, as with any other malformed row.
func unpack(t Table, p Page) Page {
	if t != Control {
		return p
	}
	for i, r := range p.Rows {
		if len(r.Value) == 0 || r.Value[0] != packedMark {
			continue
		}
		if v, err := delta.Unpack(nil, r.Value[1:]); err == nil {
			p.Rows[i].Value = v
		}
	}
	return p
}
