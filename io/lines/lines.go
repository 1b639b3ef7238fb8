// Package lines writes log lines without blocking the code that logs them.
//
// Otherwise a slow reader of standard output would block requests, and a burst of refused requests would flood the output.
// Lines are queued in a bounded ring. Lines that exceed its capacity or the rate limit are dropped, and their number is logged.
package lines

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"heatherrouter/io/ring"
)

const (
	// ringSize is the maximum number of queued lines, which is about two seconds of logging at maxRate.
	ringSize = 1024

	// maxRate is the maximum number of lines per second, so that logging a burst of refusals doesn't use the CPU time that
	// requests need.
	maxRate = 500

	reportInterval = time.Second // between two log lines that report dropped lines
)

// Writer writes the log of a process. It is safe for concurrent use until Close is called.
type Writer struct {
	out     io.Writer
	ring    *ring.Queue[[]byte]
	dropped atomic.Int64

	mu          sync.Mutex
	windowStart time.Time
	windowCount int

	stop chan struct{}
	done chan struct{}
}

// New starts a Writer on out. The caller must call Close to write the remaining lines.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, ring: ring.New[[]byte](ringSize), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run()
	}()
	return w
}

// Write queues a line, or drops and counts it. It never fails and never blocks on the output.
func (w *Writer) Write(b []byte) (int, error) {
	if !w.allow(time.Now()) || !w.ring.TryPut(bytes.Clone(b)) {
		w.dropped.Add(1)
	}
	return len(b), nil
}

// allow counts a line and reports whether it is within the rate limit.
func (w *Writer) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.windowCount = now, 0
	}
	w.windowCount++
	return w.windowCount <= maxRate
}

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() error {
	close(w.stop)
	<-w.done
	return nil
}

func (w *Writer) run() {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case b := <-w.ring.Chan():
			w.write(b)
		case <-t.C:
			w.reportDropped()
		case <-w.stop:
			w.drain()
			w.reportDropped()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		b, ok := w.ring.TryTake()
		if !ok {
			return
		}
		w.write(b)
	}
}

// write writes a line. An error is not returned because it could not be logged either; the line counts as dropped.
func (w *Writer) write(b []byte) {
	if _, err := w.out.Write(b); err != nil {
		w.dropped.Add(1)
	}
}

// reportDropped logs how many lines were dropped since its last call.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.write([]byte(fmt.Sprintf(`{"time":%q,"level":"warn","lines":%d,"message":"log lines left out"}`+"\n",
			time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), n)))
	}
}
