package node

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// peerProtocol is the ALPN name of the protocol between daemons.
const peerProtocol = "heatherrouter"

// certValidity is how long before and after its creation a daemon's certificate is valid. Peers don't check the dates: a
// certificate is trusted for as long as its fingerprint is in the daemon's row.
const certValidity = 10 * 365 * 24 * time.Hour

// identity is the key and self-signed certificate of one incarnation of a daemon.
//
// Hosts have no disk that could keep a key, so each incarnation creates its own and writes the fingerprint to its row. A
// process that may write rows is trusted with the whole site anyway. A caller or server that reaches the port for peers has
// no fingerprint in a row and is rejected.
type identity struct {
	cert        tls.Certificate
	fingerprint [sha256.Size]byte
	snapshot    func() *site.Snapshot
}

func newIdentity(n ident.Daemon, snapshot func() *site.Snapshot) (*identity, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{string(n)},
		NotBefore: time.Now().Add(-certValidity), NotAfter: time.Now().Add(certValidity), // clocks of hosts may differ
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &identity{
		cert:        tls.Certificate{Certificate: [][]byte{der}, PrivateKey: k},
		fingerprint: sha256.Sum256(der),
		snapshot:    snapshot,
	}, nil
}

// Server implements peer.TLS.
func (i *identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{peerProtocol}, Certificates: []tls.Certificate{i.cert},
		ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true,
		VerifyConnection: func(x tls.ConnectionState) error { return i.verify(x, "") },
	}
}

// Client implements peer.TLS.
func (i *identity) Client(to ident.Daemon) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{peerProtocol}, Certificates: []tls.Certificate{i.cert},
		ServerName:         string(to),
		InsecureSkipVerify: true, // VerifyConnection checks the fingerprint instead
		VerifyConnection:   func(x tls.ConnectionState) error { return i.verify(x, to) },
	}
}

// verify checks that the peer presents the certificate of the daemon's current incarnation. If name is empty, the certificate
// states it.
func (i *identity) verify(x tls.ConnectionState, name ident.Daemon) error {
	if len(x.PeerCertificates) == 0 || len(x.PeerCertificates[0].DNSNames) == 0 {
		return trace.AccessDenied("peer presents no certificate with a DNS name")
	}
	c := x.PeerCertificates[0]
	if name == "" {
		name = ident.Daemon(c.DNSNames[0])
	}
	d := i.snapshot().Daemons[name]
	if d == nil || d.Fingerprint != sha256.Sum256(c.Raw) {
		return trace.AccessDenied("peer %q presents a certificate whose fingerprint isn't in its row", name)
	}
	return nil
}

// addressBook looks up the addresses of peers in the snapshot. It implements peer.Resolver.
type addressBook struct {
	snapshot func() *site.Snapshot
}

// Addr implements peer.Resolver.
func (b addressBook) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	x := b.snapshot().Daemons[d]
	if x == nil {
		return netip.AddrPort{}, false
	}
	return x.Peer, true
}
