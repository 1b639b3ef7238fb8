// Package peer carries messages between daemons: protobuf frames on QUIC with mutual TLS.
//
// Calls share a few long-lived streams per pair of daemons, so that many requests travel in one packet;
// an exchange with large bodies has a stream of its own.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"

	"heatherrouter/core/ident"
	"heatherrouter/io/group"
	"heatherrouter/io/wire"
)

const (
	// idleLimit is how long a connection may deliver nothing before it is given up. A connection that
	// something in between has lost track of goes silent for good while new ones work; the keep-alives
	// of keepAlive go unanswered then, and the calls on it fail within this time.
	idleLimit = 1200 * time.Millisecond
	keepAlive = 400 * time.Millisecond

	handshakeLimit = 800 * time.Millisecond
	redialPause    = 100 * time.Millisecond // between two attempts to reach a peer that doesn't answer
	maxStreams     = 1 << 16
)

// Book finds the address of a daemon.
type Book interface {
	Addr(d ident.Daemon) (netip.AddrPort, bool)
}

// TLS gives the configurations of both sides; each connection asks anew, so that keys can be rotated.
type TLS interface {
	// Server returns the configuration for accepting peers.
	Server() *tls.Config

	// Client returns the configuration for calling the peer.
	Client(to ident.Daemon) *tls.Config
}

// Options are what a Transport needs.
type Options struct {
	Self    ident.Daemon
	Listen  netip.AddrPort
	Book    Book
	TLS     TLS
	Handler Handler
	Log     *log.Logger
}

// Transport is one daemon's end of all connections with its peers.
type Transport struct {
	self    ident.Daemon
	book    Book
	tls     TLS
	handler Handler
	log     *log.Logger
	socket  *net.UDPConn
	quic    *quic.Transport
	listen  *quic.Listener
	group   *group.Group

	mu    sync.Mutex
	links map[ident.Daemon]*link
	tries map[ident.Daemon]*try
	conns map[*quic.Conn]bool // of both directions
	past  Traffic             // of closed connections
}

// New listens for peers; Stop ends all connections.
func New(c context.Context, o Options) (*Transport, error) {
	s, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, trace.Wrap(err, "peer address %v", o.Listen)
	}
	t := &Transport{
		self: o.Self, book: o.Book, tls: o.TLS, handler: o.Handler, log: o.Log,
		socket: s,
		quic:   &quic.Transport{Conn: s},
		group:  group.New(c),
		links:  map[ident.Daemon]*link{},
		tries:  map[ident.Daemon]*try{},
		conns:  map[*quic.Conn]bool{},
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
		HandshakeIdleTimeout:           handshakeLimit,
		MaxIdleTimeout:                 idleLimit,
		KeepAlivePeriod:                keepAlive,
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

func (t *Transport) accept(c context.Context) error {
	for {
		q, err := t.listen.Accept(c)
		if err != nil {
			return nil // the transport stops
		}
		from, ok := peerName(q)
		if !ok {
			_ = q.CloseWithError(0, "no name in certificate")
			continue
		}
		t.count(q)
		t.serve(c, q, from)
		t.group.Go(func(c context.Context) error {
			t.adopt(c, q, from)
			return nil
		})
	}
}

// peerName returns the daemon that the verified certificate names.
func peerName(q *quic.Conn) (ident.Daemon, bool) {
	l := q.ConnectionState().TLS.PeerCertificates
	if len(l) == 0 || len(l[0].DNSNames) == 0 {
		return "", false
	}
	return ident.Daemon(l[0].DNSNames[0]), true
}

// Traffic is what all connections of a transport have carried, with the packets' own heads but not those of UDP and IP.
type Traffic struct {
	Conns     int // open now
	BytesOut  uint64
	BytesIn   uint64
	PacketOut uint64
}

// Traffic sums up all connections, closed ones included.
func (t *Transport) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.past
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
	x.PacketOut += s.PacketsSent
}

// count follows a connection until it is closed.
func (t *Transport) count(q *quic.Conn) {
	t.mu.Lock()
	t.conns[q] = true
	t.mu.Unlock()
	context.AfterFunc(q.Context(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, q)
		t.past.add(q)
	})
}

// Call sends a call to a peer and waits for its reply, at most until the context ends.
func (t *Transport) Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	l, err := t.link(c, to)
	if err != nil {
		return nil, &Error{Sent: false, Err: err}
	}
	r, err := l.lane(m).call(c, m)
	if err != nil {
		return nil, err
	}
	if x := r.GetRefusal(); x != nil {
		return nil, &Error{Sent: false, Err: trace.AccessDenied("peer %s refused: %s", to, x.GetReason())}
	}
	return r, nil
}
