package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// maxFrameSize limits the bytes of one message, so that a faulty peer cannot cause unbounded allocations.
const maxFrameSize = 16 << 20

// maxAnswerHead limits the bytes of the head of an answer, of which many may be read at once. Its headers take 16 KiB at a backend server.
const maxAnswerHead = 256 << 10

const frameHeaderSize = 4 // bytes of the length prefix

var framePool = sync.Pool{New: func() any { b := make([]byte, frameHeaderSize, 2048); return &b }}

// encodeFrame returns the message with its length prefix, in a pooled buffer that freeFrame returns.
func encodeFrame(m proto.Message) (*[]byte, error) {
	p, _ := framePool.Get().(*[]byte)
	b := (*p)[:frameHeaderSize]
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(b)-frameHeaderSize > maxFrameSize {
		return nil, trace.LimitExceeded("encode frame: message of %d bytes exceeds the frame limit", len(b))
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHeaderSize))
	*p = b
	return p, nil
}

func freeFrame(p *[]byte) {
	if cap(*p) <= 64<<10 {
		framePool.Put(p)
	}
}

// readFrame reads one message of at most limit bytes into m.
func readFrame(r *bufio.Reader, m proto.Message, limit int) error {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > limit {
		return trace.LimitExceeded("read frame: message of %d bytes exceeds the frame limit", n)
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
