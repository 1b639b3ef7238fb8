package relay

import (
	"errors"
	"io"

	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

// maxBodyBytes bounds a body, which is held in memory.
const maxBodyBytes = 64 << 20

var errBodySize = errors.New("body of another size than announced")

// readBody reads a whole body of the given size.
func readBody(r io.Reader, size int64) ([]byte, error) {
	if size < 0 || size > maxBodyBytes {
		return nil, errBodySize
	}
	b, err := io.ReadAll(io.LimitReader(r, size+1))
	if err == nil && int64(len(b)) != size {
		err = errBodySize
	}
	return b, err
}

// writeBody writes a whole body and ends it.
func writeBody(e *peer.Exchange, b []byte) error {
	if len(b) > 0 {
		if _, err := e.Write(b); err != nil {
			return err
		}
	}
	return e.Close()
}

func encodeHeader(name, value []byte) *wire.Header {
	return &wire.Header{Name: append([]byte(nil), name...), Value: append([]byte(nil), value...)}
}
