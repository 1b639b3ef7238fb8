// Package front is the HTTP/1.1 server for callers. It runs pipelined requests concurrently and returns the responses in
// order.
//
// It uses the messages of fasthttp but not its server, which reads the next request only after the previous response: a slow
// response would delay all later requests, and a caller's disconnect would not be detected.
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

	"heatherrouter/core/descr"
	"heatherrouter/core/site"
	"heatherrouter/io/group"
	"heatherrouter/io/listen"
	"heatherrouter/io/memory"
	"heatherrouter/io/socket"
)

// Handler fills resp with the response to one request, and adds its body to the bytes that m holds. The context is cancelled when the
// caller disconnects.
type Handler func(c context.Context, req *fasthttp.Request, resp *fasthttp.Response, m *memory.Reservation)

// Options configure a Frontend.
type Options struct {
	Listen  net.Listener
	Limits  func() site.Limits
	Handler Handler

	// AcceptFailed is called after a failure to accept a connection that later ones may not have; nil for no call.
	AcceptFailed func(error)

	// CloseAfterResponse reports whether callers should use another daemon: responses then close their connections.
	CloseAfterResponse func() bool

	// Sockets bounds the callers' connections; nil for no limit.
	Sockets *socket.Budget

	// Memory accounts for the bodies of requests and responses; nil for no limit. The following fields are used only with a limit.
	Memory *memory.Budget

	// Priority returns the priority of a request.
	Priority func(h *fasthttp.RequestHeader) int

	// RefuseNoMemory fills resp with the refusal of a request whose body is not read for lack of memory.
	RefuseNoMemory Handler
}

// Frontend accepts callers' connections and serves their requests.
type Frontend struct {
	o        Options
	draining atomic.Bool
	stopping atomic.Bool   // idle connections are closed
	open     atomic.Int64  // requests without a response
	accepted chan struct{} // closed when no further connection is accepted

	mu    sync.Mutex
	conns map[*conn]bool
	wait  sync.WaitGroup
}

// New starts to accept connections on the listener until Close or Shutdown. The group ends if the listener fails for good.
func New(g *group.Group, o Options) *Frontend {
	o.Listen = listen.Retry(o.Listen, o.AcceptFailed)
	f := &Frontend{o: o, conns: map[*conn]bool{}, accepted: make(chan struct{})}
	g.Go(f.accept)
	return f
}

// backlogWait is how long a stopping daemon waits for the next connection that callers have opened already.
const backlogWait = 50 * time.Millisecond

func (f *Frontend) accept(context.Context) error {
	defer close(f.accepted)
	for {
		if f.stopping.Load() && !f.limitAccept() {
			return nil
		}
		n, err := f.o.Listen.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return nil
		case f.stopping.Load(): // no connection waits to be accepted
			return nil
		default:
			return trace.Wrap(err, "accept callers")
		}
		if !f.o.Sockets.Acquire(descr.Callers) {
			_ = n.Close() // the caller's request counts as not read, so that another daemon may serve it
			f.evictIdle()
			continue
		}
		f.serve(newConn(f, n))
		if f.o.Sockets.Scarce(descr.Callers) {
			f.evictIdle()
		}
	}
}

// serve serves a connection on a goroutine of its own.
func (f *Frontend) serve(c *conn) {
	f.mu.Lock()
	f.conns[c] = true
	f.mu.Unlock()
	f.wait.Go(func() {
		defer f.o.Sockets.Release(descr.Callers)
		c.serve()
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
	})
}

const (
	// evictionRatio is the part of the idle timeout for which a connection must have waited for a request to be closed for another one.
	// Callers that open their closed connections again at once would otherwise displace each other.
	evictionRatio = 0.2

	// unusedEvictionRatio replaces evictionRatio for connections that haven't carried a request.
	unusedEvictionRatio = evictionRatio / 10
)

// evictIdle closes the connection that has been evictable for longest, to make room for callers that have a request.
func (f *Frontend) evictIdle() {
	timeout := f.o.Limits().IdleTimeout
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldest *conn
	since := time.Now()
	for c := range f.conns {
		if t, ok := c.evictableAt(timeout); ok && t.Before(since) {
			oldest, since = c, t
		}
	}
	if oldest != nil {
		oldest.evict()
	}
}

// limitAccept makes the listener wait no longer than backlogWait for a connection, and reports whether it can do so.
func (f *Frontend) limitAccept() bool {
	l, ok := f.o.Listen.(interface{ SetDeadline(t time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(backlogWait)) == nil
}

// OpenRequests returns how many requests have no response yet.
func (f *Frontend) OpenRequests() int {
	return int(f.open.Load())
}

// OpenConns returns the number of open connections.
func (f *Frontend) OpenConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// closesConns reports whether callers should use another daemon: the response to the last request in progress on a connection closes it.
func (f *Frontend) closesConns() bool {
	return f.draining.Load() || f.o.CloseAfterResponse()
}

// Drain makes callers reconnect to another daemon: each connection is closed after the responses to the requests in progress on it.
func (f *Frontend) Drain() {
	f.draining.Store(true)
}

// Shutdown stops accepting connections, but for those that callers have opened already, closes idle ones and waits for the others until the
// context ends. It may be called again to wait longer.
func (f *Frontend) Shutdown(c context.Context) error {
	f.draining.Store(true)
	if !f.stopping.Swap(true) && f.limitAccept() {
		select {
		case <-f.accepted:
		case <-c.Done():
		}
	}
	err := f.o.Listen.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // closed by an earlier call
	}
	f.mu.Lock()
	for x := range f.conns {
		x.wakeIdle()
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
		return trace.NewAggregate(err, trace.LimitExceeded("shutdown timed out: %d requests without a response", f.OpenRequests()))
	}
}

// Close closes the listener and all connections, and cancels the contexts of their requests.
func (f *Frontend) Close() {
	_ = f.o.Listen.Close() // fails only if already closed
	f.mu.Lock()
	defer f.mu.Unlock()
	for x := range f.conns {
		x.abort()
	}
}
