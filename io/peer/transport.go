// Package peer carries messages between daemons: protobuf frames on QUIC with mutual TLS.
//
// Calls share a few long-lived streams for each pair of daemons, so that many requests fit in one packet; an exchange
// with large bodies has a stream of its own.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"

	"heatherrouter/core/ident"
	"heatherrouter/io/clock"
	"heatherrouter/io/group"
	"heatherrouter/io/wire"
)

const (
	// idleTimeout is the time without received packets after which a connection is given up. If a middlebox loses its
	// state, the connection stops delivering for good while new ones work. The keep-alives then go unanswered, and
	// the calls on it fail within this time.
	idleTimeout     = 1200 * time.Millisecond
	keepAlivePeriod = 400 * time.Millisecond

	handshakeTimeout = 800 * time.Millisecond
	redialDelay      = 100 * time.Millisecond // between two attempts to connect to an unresponsive peer
	maxStreams       = 1 << 16
)

// Resolver returns the peer address of a daemon, and false if none is known.
type Resolver interface {
	Addr(d ident.Daemon) (netip.AddrPort, bool)
}

// TLS provides the configurations of both sides. It is called for each connection, so that keys can be rotated.
type TLS interface {
	// Server returns the configuration for accepting peers.
	Server() *tls.Config

	// Client returns the configuration for dialling the peer.
	Client(to ident.Daemon) *tls.Config
}

// Options configures a Transport; all fields are required.
type Options struct {
	Self     ident.Daemon
	Listen   netip.AddrPort
	Resolver Resolver
	TLS      TLS
	Handler  Handler
	Clock    *clock.Clock
	Log      *log.Logger
}

// Transport manages the connections of one daemon with its peers.
type Transport struct {
	self     ident.Daemon
	resolver Resolver
	tls      TLS
	handler  Handler
	clock    *clock.Clock
	log      *log.Logger
	socket   *net.UDPConn
	quic     *quic.Transport
	listen   *quic.Listener
	group    *group.Group

	mu            sync.Mutex
	links         map[ident.Daemon]*link
	attempts      map[ident.Daemon]*attempt
	conns         map[*quic.Conn]bool // dialled and accepted connections
	closedTraffic Traffic             // sum over closed connections
}

// New starts to listen for peers; Stop closes all connections.
func New(c context.Context, o Options) (*Transport, error) {
	s, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, trace.Wrap(err, "listen on peer address %v", o.Listen)
	}
	t := &Transport{
		self: o.Self, resolver: o.Resolver, tls: o.TLS, handler: o.Handler, clock: o.Clock, log: o.Log,
		socket:   s,
		quic:     &quic.Transport{Conn: s},
		group:    group.New(c),
		links:    map[ident.Daemon]*link{},
		attempts: map[ident.Daemon]*attempt{},
		conns:    map[*quic.Conn]bool{},
	}
	t.listen, err = t.quic.Listen(o.TLS.Server(), quicConfig())
	if err != nil {
		s.Close()
		return nil, trace.Wrap(err)
	}
	t.group.Go(t.accept)
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     1 << 20,
		InitialConnectionReceiveWindow: 4 << 20,
	}
}

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() netip.AddrPort {
	a, _ := t.socket.LocalAddr().(*net.UDPAddr)
	return a.AddrPort()
}

// Stop closes all connections and waits for their goroutines.
func (t *Transport) Stop() {
	t.mu.Lock()
	for _, l := range t.links {
		l.close("daemon stops")
	}
	t.mu.Unlock()
	t.listen.Close()
	t.quic.Close()
	t.socket.Close()
	t.group.Stop()
}

// Done returns a channel that is closed when the transport has failed or is stopped.
func (t *Transport) Done() <-chan struct{} { return t.group.Context().Done() }

// Err returns why the transport has ended; nil while it runs.
func (t *Transport) Err() error { return context.Cause(t.group.Context()) }

func (t *Transport) accept(c context.Context) error {
	for {
		q, err := t.listen.Accept(c)
		switch {
		case err == nil:
		case c.Err() != nil || errors.Is(err, quic.ErrServerClosed):
			return nil // the transport is being stopped
		default:
			return trace.Wrap(err, "accept connections of peers")
		}
		from, ok := certificateName(q)
		if !ok {
			_ = q.CloseWithError(0, "no name in certificate")
			continue
		}
		t.trackConn(q)
		t.serve(c, q, from)
		t.group.Go(func(c context.Context) error {
			t.useIncoming(c, q, from)
			return nil
		})
	}
}

// certificateName returns the daemon that the verified certificate names.
func certificateName(q *quic.Conn) (ident.Daemon, bool) {
	l := q.ConnectionState().TLS.PeerCertificates
	if len(l) == 0 || len(l[0].DNSNames) == 0 {
		return "", false
	}
	return ident.Daemon(l[0].DNSNames[0]), true
}

// Traffic counts the bytes and packets of all connections of a transport, including QUIC headers but not those of UDP
// and IP.
type Traffic struct {
	Conns      int // connections open now
	BytesOut   uint64
	BytesIn    uint64
	PacketsOut uint64
}

// Traffic returns the sum over all connections, including closed ones.
func (t *Transport) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.closedTraffic
	for q := range t.conns {
		sum.add(q)
	}
	sum.Conns = len(t.conns)
	return sum
}

func (x *Traffic) add(q *quic.Conn) {
	s := q.ConnectionStats()
	x.BytesOut += s.BytesSent
	x.BytesIn += s.BytesReceived
	x.PacketsOut += s.PacketsSent
}

// trackConn counts a connection as open until it is closed, and then adds its traffic to closedTraffic.
func (t *Transport) trackConn(q *quic.Conn) {
	t.mu.Lock()
	t.conns[q] = true
	t.mu.Unlock()
	context.AfterFunc(q.Context(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, q)
		t.closedTraffic.add(q)
	})
}

// Call sends a call to a peer and waits for its reply, at most until the context ends. The durations in m count from now, whenever the peer
// reads them, and those in the reply from its sending: see SentUs of both.
func (t *Transport) Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	asOf := t.clock.SinceBoot()
	l, err := t.link(c, to)
	if err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	if err := l.refreshClock(c); err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	r, err := l.streamFor(m).call(c, m, asOf)
	if err != nil {
		return nil, err
	}
	if x := r.GetRefusal(); x != nil {
		return nil, &Error{Sent: false, Err: trace.AccessDenied("peer %s refused: %s", to, x.GetReason())}
	}
	return r, nil
}
