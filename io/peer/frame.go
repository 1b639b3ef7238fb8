package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// maxFrame bounds one message, so that a broken peer can't make us allocate without limit.
const maxFrame = 16 << 20

const frameHead = 4 // bytes of the length in front of each message

var framePool = sync.Pool{New: func() any { b := make([]byte, frameHead, 2048); return &b }}

// encodeFrame returns the message with its length in front, in a buffer for freeFrame.
func encodeFrame(m proto.Message) (*[]byte, error) {
	p, _ := framePool.Get().(*[]byte)
	b := (*p)[:frameHead]
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(b)-frameHead > maxFrame {
		return nil, trace.LimitExceeded("message of %d bytes is over the frame limit", len(b))
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHead))
	*p = b
	return p, nil
}

func freeFrame(p *[]byte) {
	if cap(*p) <= 64<<10 {
		framePool.Put(p)
	}
}

// readFrame reads one message into m.
func readFrame(r *bufio.Reader, m proto.Message) error {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > maxFrame {
		return trace.LimitExceeded("peer sent a message of %d bytes", n)
	}
	p, _ := framePool.Get().(*[]byte)
	defer freeFrame(p)
	if cap(*p) < n {
		*p = make([]byte, n)
	}
	b := (*p)[:n]
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return trace.Wrap(proto.Unmarshal(b, m))
}
