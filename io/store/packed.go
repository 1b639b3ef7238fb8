package store

import (
	"context"
	"slices"
	"time"

	"heatherrouter/io/delta"
)

const (
	// packFrom is the size in bytes from which a value is packed. Most rows are smaller.
	packFrom = 32 << 10

	// packedMark is the first byte of a packed value. No message begins with it.
	packedMark = 0
)

// packed is a store whose large values of the control table are packed.
type packed struct{ Store }

// Packed returns the store with large values of the control table packed. The service bounds the size of a value, and the
// assignment of a service with over a thousand servers would pass the bound: then no key could change hands any more.
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
		if len(r.Value) < packFrom {
			continue
		}
		v, err := delta.Pack(nil, r.Value)
		if err != nil {
			return 0, ErrNotDone
		}
		x.Put[i].Value = append([]byte{packedMark}, v...)
	}
	return s.Store.Commit(c, x)
}

// unpack returns the page with its values unpacked. One that can't be is left as it is: whoever reads it finds that it is no
// message, as with any other row that can't be read.
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
