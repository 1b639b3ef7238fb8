// Package delta packs values that change little from one version to the next, for receivers that have an earlier one.
package delta

import (
	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
)

// dictionary is the id that both ends give to the earlier version; the format wants one.
const dictionary = 1

// MaxValue bounds an unpacked value in bytes. Configurations with 1,500 routes have 0.3 MB.
const MaxValue = 64 << 20

// Pack compresses a value against an earlier version of it; nil for none. A configuration of 1,500 routes packs from
// 270 KB to 23 KB by itself, and to 114 B against one that differs in a timeout (TestPackConfiguration).
func Pack(base, value []byte) ([]byte, error) {
	o := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(true),
	}
	if len(base) > 0 {
		o = append(o, zstd.WithEncoderDictRaw(dictionary, base))
	}
	e, err := zstd.NewWriter(nil, o...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return e.EncodeAll(value, nil), nil
}

// Unpack is the reverse of Pack. With another base than the one packed against it fails by the checksum.
func Unpack(base, packed []byte) ([]byte, error) {
	o := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxValue),
	}
	if len(base) > 0 {
		o = append(o, zstd.WithDecoderDictRaw(dictionary, base))
	}
	d, err := zstd.NewReader(nil, o...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer d.Close()
	v, err := d.DecodeAll(packed, nil)
	return v, trace.Wrap(err)
}
