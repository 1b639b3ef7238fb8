package feed

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/hold"
	"heatherrouter/io/delta"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

const (
	// packFrom is the size in bytes from which a value is packed for peers: most rows, those of servers and daemons, are
	// smaller, and each would cost its receiver 20 us.
	packFrom = 1024

	// keptVersions is how many versions of a value a peer may be behind and still get the difference only. In a storm of
	// changes, three a second, a peer that asks once a second is three behind.
	keptVersions = 6
)

// versions are the last ones of one value that goes to all daemons, and what was packed of the newest. The values may not
// change afterwards.
type versions[K comparable] struct {
	list   []versioned[K] // the newest last
	packed map[K][]byte   // of the newest, by the version that it is packed against
	alone  []byte         // of the newest, by itself
}

type versioned[K comparable] struct {
	id    K
	value []byte
}

func (v *versions[K]) add(id K, value []byte) {
	v.list = append(v.list, versioned[K]{id: id, value: value})
	v.list = v.list[max(0, len(v.list)-keptVersions):]
	v.packed, v.alone = map[K][]byte{}, nil
}

func (v *versions[K]) newest() versioned[K] {
	return v.list[len(v.list)-1]
}

// pack returns the newest value for a peer, packed against the newest version that the peer has; found is false when it
// has none of those kept. Peers are mostly at the same version, so each result is kept for the next.
func (v *versions[K]) pack(has func(K) bool) (base K, found bool, packed []byte, err error) {
	for i := len(v.list) - 2; i >= 0; i-- {
		x := v.list[i]
		if !has(x.id) {
			continue
		}
		p, ok := v.packed[x.id]
		if !ok {
			if p, err = delta.Pack(x.value, v.newest().value); err != nil {
				return base, false, nil, err
			}
			v.packed[x.id] = p
		}
		return x.id, true, p, nil
	}
	if v.alone == nil {
		if v.alone, err = delta.Pack(nil, v.newest().value); err != nil {
			return base, false, nil, err
		}
	}
	return base, false, v.alone, nil
}

// packRow returns a row as it goes to a peer that has it of a revision; 0 for none.
func (t *table) packRow(r store.Row, peer store.Rev) *wire.SyncRow {
	x := &wire.SyncRow{Key: r.Key, Rev: uint64(r.Rev)}
	v := t.large[r.Key]
	if v == nil {
		x.Value = r.Value
		return x
	}
	base, found, packed, err := v.pack(func(rev store.Rev) bool { return rev == peer })
	if err != nil {
		x.Value = r.Value // whole, as if it were small
		return x
	}
	if x.Packed = packed; found {
		x.Base = uint64(base)
	}
	return x
}

// unpackRow returns the value of a row that a peer sent. It fails when this copy doesn't have the version that the value
// was packed against any more.
func (t *table) unpackRow(r *wire.SyncRow) ([]byte, error) {
	if len(r.GetPacked()) == 0 {
		return r.GetValue(), nil
	}
	if r.GetBase() == 0 {
		return delta.Unpack(nil, r.GetPacked())
	}
	was := t.rows[r.GetKey()]
	if was.Rev != store.Rev(r.GetBase()) {
		return nil, trace.CompareFailed("row %q is packed against revision %d, here it is of %d", r.GetKey(), r.GetBase(), was.Rev)
	}
	return delta.Unpack(was.Value, r.GetPacked())
}

// packHolds returns the holds for a peer that has those of the stamp; the caller holds the lock.
func (f *Feed) packHolds(peer hold.Stamp) (*wire.PackedHolds, error) {
	base, found, packed, err := f.held.pack(func(s hold.Stamp) bool { return s == peer })
	if err != nil {
		return nil, err
	}
	x := &wire.PackedHolds{Stamp: encodeStamp(f.held.newest().id), Packed: packed}
	if found {
		x.Base = encodeStamp(base)
	}
	return x, nil
}

// unpackHolds returns the holds that a peer sent, and their encoding; the caller holds the lock.
func (f *Feed) unpackHolds(x *wire.PackedHolds) (*hold.Holds, []byte, error) {
	var base []byte
	if x.GetBase() != nil {
		if len(f.held.list) == 0 || f.held.newest().id != decodeStamp(x.GetBase()) {
			return nil, nil, trace.CompareFailed("holds are packed against others than those here")
		}
		base = f.held.newest().value
	}
	b, err := delta.Unpack(base, x.GetPacked())
	if err != nil {
		return nil, nil, err
	}
	w := &wire.KeyHolds{}
	if err := proto.Unmarshal(b, w); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return decodeHolds(w), b, nil
}
