// Package lines writes log lines without ever blocking the one who logs.
//
// A reader of standard output that falls behind would else hold up requests, and a flood of refusals would fill it. Lines
// wait in a bounded ring; what finds no room there, or is over the rate of a second, is left out and counted, and the
// count is written in its place.
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
	// ringSize is how many lines may wait: what a daemon logs in about two seconds of a flood.
	ringSize = 1024

	// maxRate is the most lines written in a second: a flood of refusals must not take the processor from requests.
	maxRate = 500

	flushEvery = time.Second // for the count of what was left out
)

// Writer is the writer of one process's log.
type Writer struct {
	out     io.Writer
	ring    *ring.Queue[[]byte]
	dropped atomic.Int64

	mu     sync.Mutex
	second time.Time
	count  int

	stop chan struct{}
	done chan struct{}
}

// New starts a writer; Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, ring: ring.New[[]byte](ringSize), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run()
	}()
	return w
}

// Write takes a line, or counts it as left out. It never fails and never waits.
func (w *Writer) Write(b []byte) (int, error) {
	if !w.allow(time.Now()) || !w.ring.TryPut(bytes.Clone(b)) {
		w.dropped.Add(1)
	}
	return len(b), nil
}

// allow counts a line against the rate.
func (w *Writer) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.second) >= time.Second {
		w.second, w.count = now, 0
	}
	w.count++
	return w.count <= maxRate
}

// Close writes what waits.
func (w *Writer) Close() error {
	close(w.stop)
	<-w.done
	return nil
}

func (w *Writer) run() {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case b := <-w.ring.Chan():
			w.write(b)
		case <-t.C:
			w.tell()
		case <-w.stop:
			w.drain()
			w.tell()
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

// write writes a line. Where the log goes nobody could be told of an error; the line counts as left out.
func (w *Writer) write(b []byte) {
	if _, err := w.out.Write(b); err != nil {
		w.dropped.Add(1)
	}
}

// tell writes how many lines were left out since it last did.
func (w *Writer) tell() {
	if n := w.dropped.Swap(0); n > 0 {
		w.write([]byte(fmt.Sprintf(`{"time":%q,"level":"warn","lines":%d,"message":"log lines left out"}`+"\n",
			time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), n)))
	}
}
