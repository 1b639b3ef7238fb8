// Package front takes callers' connections: it reads their requests, several at a time where callers send them behind
// one another, and returns the answers in their order.
//
// It stands on the messages of fasthttp but not on its server, which reads the next request only after the answer to
// the last: a slow answer would hold up all behind it, and a caller that has left would go unnoticed.
package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/site"
	"heatherrouter/io/group"
)

// Handler answers one request. The context ends when the caller has left.
type Handler func(c context.Context, req *fasthttp.Request, resp *fasthttp.Response)

// Options are what a Front needs.
type Options struct {
	Listen  net.Listener
	Limits  func() site.Limits
	Handler Handler

	// Away says that callers are better served elsewhere: answers close their connections.
	Away func() bool
}

// Front is the listener for callers with all their connections.
type Front struct {
	o       Options
	leaving atomic.Bool
	open    atomic.Int64 // requests without an answer

	mu    sync.Mutex
	conns map[*conn]bool
	wait  sync.WaitGroup
}

// New starts to take callers on the listener; Close ends all of it.
func New(g *group.Group, o Options) *Front {
	f := &Front{o: o, conns: map[*conn]bool{}}
	g.Go(f.accept)
	return f
}

// acceptPause is waited after the listener failed for want of descriptors, which others give back soon.
const acceptPause = 20 * time.Millisecond

func (f *Front) accept(context.Context) error {
	for {
		n, err := f.o.Listen.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(f, n)
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		f.wait.Go(func() {
			c.serve()
			f.mu.Lock()
			delete(f.conns, c)
			f.mu.Unlock()
		})
	}
}

// Open returns how many requests have no answer yet.
func (f *Front) Open() int {
	return int(f.open.Load())
}

// Conns returns how many connections callers have open.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Leave asks callers to go elsewhere: each answer from now on is the last of its connection.
func (f *Front) Leave() {
	f.leaving.Store(true)
}

// Shutdown takes no further connections, closes those on which nothing is under way, and waits for the others, at most
// until the context ends.
func (f *Front) Shutdown(c context.Context) error {
	f.leaving.Store(true)
	err := f.o.Listen.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // it is called again to wait longer
	}
	f.mu.Lock()
	for x := range f.conns {
		x.closeIdle()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return trace.Wrap(err)
	case <-c.Done():
		return trace.NewAggregate(err, trace.LimitExceeded("%d requests without an answer", f.Open()))
	}
}

// Close cuts off what is left.
func (f *Front) Close() {
	_ = f.o.Listen.Close() // fails only when closed before
	f.mu.Lock()
	defer f.mu.Unlock()
	for x := range f.conns {
		x.cut()
	}
}
