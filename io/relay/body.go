package relay

import (
	"errors"
	"io"
	"time"

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

// readRequestBody reads the whole body of a request, and until when the request may be sent to servers.
func readRequestBody(e *peer.Exchange) (body []byte, sendEnd time.Duration, err error) {
	size := e.Head.GetBodySize()
	if size < 0 || size > maxBodyBytes {
		return nil, 0, errBodySize
	}
	body, err = io.ReadAll(io.LimitReader(e, size))
	if err == nil && int64(len(body)) != size {
		err = errBodySize
	}
	if err == nil {
		sendEnd, err = e.ReadPeriod()
	}
	return body, sendEnd, err
}

// writeRequestBody writes the whole body of a request. It returns until when the peer may send the request to servers, as the time since the
// start of the host. The period begins with the end of the body, which may be long in sending.
func writeRequestBody(e *peer.Exchange, b []byte) (sendEnd time.Duration, err error) {
	if len(b) > 0 {
		if _, err := e.Write(b); err != nil {
			return 0, err
		}
	}
	return e.CloseWithPeriod(sendPeriod)
}

func encodeHeader(name, value []byte) *wire.Header {
	return &wire.Header{Name: append([]byte(nil), name...), Value: append([]byte(nil), value...)}
}
