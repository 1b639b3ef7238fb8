// Package fakes holds small stand-ins for the platform, for tests and trials: the table service
// and the host list. Each listens on the loopback interface and has a control page beside it to make it misbehave.
// The backend server stand-in and the relay that can be cut are packages of their own below this one.
package fakes

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// AnyPort is the listening address for callers that don't mind which port they get.
const AnyPort = "127.0.0.1:0"

// Outage says how a stand-in is out.
type Outage string

// Ways of being out.
const (
	UpOutage     Outage = ""       // not out
	RefuseOutage Outage = "refuse" // the port is closed, connections are refused
	ErrorOutage  Outage = "error"  // every request is answered with a server error
	HangOutage   Outage = "hang"   // connections are accepted, nothing is answered or done
)

// endpoint is an HTTP listener that can be closed and opened again on the same port.
type endpoint struct {
	addr    string
	handler http.Handler
	conns   atomic.Int64 // accepted so far

	mu   sync.Mutex
	srv  *http.Server
	done chan struct{} // closed with the endpoint
}

const (
	reopenTries = 100
	reopenPause = 20 * time.Millisecond
	headTimeout = 30 * time.Second
)

// newEndpoint listens on the address, on AnyPort when it is empty.
func newEndpoint(addr string, h http.Handler) (*endpoint, error) {
	addr = cmp.Or(addr, AnyPort)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	e := &endpoint{addr: l.Addr().String(), handler: h, done: make(chan struct{})}
	e.serve(l)
	return e, nil
}

// serve needs e.mu, or an endpoint that nobody else knows yet.
func (e *endpoint) serve(l net.Listener) {
	s := &http.Server{Handler: e.handler, ReadHeaderTimeout: headTimeout}
	s.ConnState = func(_ net.Conn, x http.ConnState) {
		if x == http.StateNew {
			e.conns.Add(1)
		}
	}
	e.srv = s
	go func() { _ = s.Serve(l) }()
}

// URL returns the base URL.
func (e *endpoint) URL() string { return "http://" + e.addr }

// shut closes the port and every connection.
func (e *endpoint) shut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv != nil {
		_ = e.srv.Close()
		e.srv = nil
	}
}

// open listens on the port again, which somebody else may hold for a moment.
func (e *endpoint) open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv != nil {
		return nil
	}
	var err error
	for range reopenTries {
		var l net.Listener
		if l, err = net.Listen("tcp", e.addr); err == nil {
			e.serve(l)
			return nil
		}
		time.Sleep(reopenPause)
	}
	return trace.ConvertSystemError(err)
}

func (e *endpoint) close() {
	e.shut()
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.done:
	default:
		close(e.done)
	}
}

// cutConn closes the request's connection without an answer.
func cutConn(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			c.Close()
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// readJSON reads a control page's body strictly: a misspelt fault that does nothing would make a test pass falsely.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
