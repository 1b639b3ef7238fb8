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
	// minPackSize is the size in bytes from which a value is packed for peers. Most rows, those of servers and daemons, are
	// smaller, and unpacking takes a receiver 20 us for each.
	minPackSize = 1024

	// keptVersions is how many versions of a value are kept, so that a peer that has one of them gets only the difference.
	// At three changes a second, a peer that calls once a second is three versions behind.
	keptVersions = 6
)

// versions holds the latest versions of one value that is sent to all daemons, and the packed forms of the newest. Values
// must not be modified once they are added.
type versions[K comparable] struct {
	list        []versioned[K] // oldest first
	packed      map[K][]byte   // the newest value, packed against the version of the key
	packedAlone []byte         // the newest value, packed without a base
}

type versioned[K comparable] struct {
	version K
	value   []byte
}

func (v *versions[K]) add(version K, value []byte) {
	v.list = append(v.list, versioned[K]{version: version, value: value})
	v.list = v.list[max(0, len(v.list)-keptVersions):]
	v.packed, v.packedAlone = map[K][]byte{}, nil
}

func (v *versions[K]) newest() versioned[K] {
	return v.list[len(v.list)-1]
}

// pack returns the newest value, packed against the newest kept version that the peer has. If the peer has none of them, found
// is false and the value is packed without a base. Results are cached, as most peers are at the same version.
func (v *versions[K]) pack(has func(K) bool) (base K, found bool, packed []byte, err error) {
	for i := len(v.list) - 2; i >= 0; i-- {
		x := v.list[i]
		if !has(x.version) {
			continue
		}
		p, ok := v.packed[x.version]
		if !ok {
			if p, err = delta.Pack(x.value, v.newest().value); err != nil {
				return base, false, nil, err
			}
			v.packed[x.version] = p
		}
		return x.version, true, p, nil
	}
	if v.packedAlone == nil {
		if v.packedAlone, err = delta.Pack(nil, v.newest().value); err != nil {
			return base, false, nil, err
		}
	}
	return base, false, v.packedAlone, nil
}

// packRow returns a row as it is sent to a peer that has it at the revision peer; 0 if the peer has no version of it.
func (t *table) packRow(r store.Row, peer store.Rev) *wire.SyncRow {
	x := &wire.SyncRow{Key: r.Key, Rev: uint64(r.Rev)}
	v := t.large[r.Key]
	if v == nil {
		x.Value = r.Value
		return x
	}
	base, found, packed, err := v.pack(func(rev store.Rev) bool { return rev == peer })
	if err != nil {
		x.Value = r.Value // unpacked, like a small value
		return x
	}
	if x.Packed = packed; found {
		x.Base = uint64(base)
	}
	return x
}

// unpackRow returns the value of a row that a peer sent. It fails if this copy no longer has the version that the value was
// packed against.
func (t *table) unpackRow(r *wire.SyncRow) ([]byte, error) {
	if len(r.GetPacked()) == 0 {
		return r.GetValue(), nil
	}
	if r.GetBase() == 0 {
		return delta.Unpack(nil, r.GetPacked())
	}
	was := t.rows[r.GetKey()]
	if was.Rev != store.Rev(r.GetBase()) {
		return nil, trace.CompareFailed("unpack row %q: packed against revision %d, local copy has %d",
			r.GetKey(), r.GetBase(), was.Rev)
	}
	return delta.Unpack(was.Value, r.GetPacked())
}

// packHolds returns the holds, packed for a peer whose holds have the stamp. The caller must hold f.mu.
func (f *Feed) packHolds(peer hold.Stamp) (*wire.PackedHolds, error) {
	base, found, packed, err := f.encodedHolds.pack(func(s hold.Stamp) bool { return s == peer })
	if err != nil {
		return nil, err
	}
	x := &wire.PackedHolds{Stamp: encodeStamp(f.encodedHolds.newest().version), Packed: packed}
	if found {
		x.Base = encodeStamp(base)
	}
	return x, nil
}

// unpackHolds returns the holds that a peer sent, and their encoding. The caller must hold f.mu.
func (f *Feed) unpackHolds(x *wire.PackedHolds) (*hold.Holds, []byte, error) {
	var base []byte
	if x.GetBase() != nil {
		if len(f.encodedHolds.list) == 0 || f.encodedHolds.newest().version != decodeStamp(x.GetBase()) {
			return nil, nil, trace.CompareFailed("unpack holders of keys: packed against a version other than the local one")
		}
		base = f.encodedHolds.newest().value
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
