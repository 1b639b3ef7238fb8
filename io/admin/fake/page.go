package fake

import (
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"heatherrouter/io/admin"
)

const (
	// OperatorKey is a key that mutating calls may carry in tests.
	OperatorKey = "0123456789abcdef"

	// Metrics is the metrics page of NewPage.
	Metrics = "# metrics\n"
)

// NewPage returns an admin page over the backend that takes the operator key and logs nothing.
func NewPage(b *Backend, key string) *admin.Page {
	metrics := func(c *fasthttp.RequestCtx) { c.SetBodyString(Metrics) }
	l := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	return admin.New(admin.Self{Daemon: Daemon, Incarnation: 1}, b, func() string { return key }, metrics, l)
}

// ServiceFile returns the file of an unkeyed service with the backend server "s" in domain d1 at the port, and a
// kind "read" for every path.
func ServiceFile(name string, port int) string {
	return fmt.Sprintf(`name = %q
region = "north"

[[servers]]
name = "s"
address = "127.0.0.1:%d"
domain = "d1"

[[kinds]]
name = "read"
methods = ["GET"]
path = "/**"
timeout = "1s"
`, name, port)
}

// Network is a set of in-memory listeners by address; an address without one refuses connections.
type Network struct {
	listeners map[string]*fasthttputil.InmemoryListener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*fasthttputil.InmemoryListener{}}
}

// Serve answers calls to the address until Close. It is not to be called while Dial may run.
func (n *Network) Serve(addr string, h fasthttp.RequestHandler) {
	l := fasthttputil.NewInmemoryListener()
	n.listeners[addr] = l
	go func() { _ = fasthttp.Serve(l, h) }()
}

// Dial connects to the address.
func (n *Network) Dial(addr string) (net.Conn, error) {
	l, ok := n.listeners[addr]
	if !ok {
		return nil, errors.New("connection refused")
	}
	return l.Dial()
}

// Close closes all listeners.
func (n *Network) Close() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}
