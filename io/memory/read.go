// Package memory accounts for the bytes of requests and responses that a daemon holds.
package memory

import (
	"errors"
	"io"

	"github.com/gravitational/trace"
)

// ErrTooLarge is the error of a body that is longer than its limit.
var ErrTooLarge = trace.Errorf("body exceeds its limit")

const (
	// firstBuffer is the capacity in bytes of the buffer for a body of unknown length.
	firstBuffer = 4 << 10

	// step is the number of bytes by which the reservation for a body of unknown length grows at the least.
	step = 64 << 10
)

// ReadAll reads a body of unknown length, which may have up to limit bytes. Before its buffer grows it calls reserve with the
// additional bytes, in steps of 64 KiB, and returns the error of that call.
func ReadAll(r io.Reader, limit int, reserve func(n int) error) ([]byte, error) {
	var b []byte
	reserved := 0
	for {
		if len(b) == cap(b) {
			if len(b) >= limit {
				return b, readEnd(r)
			}
			size := min(limit, max(firstBuffer, 2*cap(b)))
			if n := min(limit, roundUp(size)); n > reserved {
				if err := reserve(n - reserved); err != nil {
					return b, err
				}
				reserved = n
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// readEnd returns nil if the reader has no more bytes.
func readEnd(r io.Reader) error {
	var b [1]byte
	for {
		n, err := r.Read(b[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func roundUp(n int) int { return (n + step - 1) / step * step }
