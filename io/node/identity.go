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

// peerProtocol is the name of the daemons' protocol in the TLS handshake.
const peerProtocol = "heatherrouter"

// keyLife is for how long a daemon's certificate is valid. Nobody checks it: a certificate is trusted for as long as its
// fingerprint stands in the daemon's row.
const keyLife = 10 * 365 * 24 * time.Hour

// identity is the key of one life of a daemon.
//
// Hosts have no disk that could keep a key, so each life makes its own and writes the fingerprint into its row. Whoever
// may write rows is trusted with the whole site anyway; a caller or server that reaches the port of peers has no
// fingerprint there, and is turned away.
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
		NotBefore: time.Now().Add(-keyLife), NotAfter: time.Now().Add(keyLife), // clocks of hosts may differ
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
		InsecureSkipVerify: true, // verified below, by the fingerprint
		VerifyConnection:   func(x tls.ConnectionState) error { return i.verify(x, to) },
	}
}

// verify checks that the peer shows the certificate of the daemon's present life.
func (i *identity) verify(x tls.ConnectionState, name ident.Daemon) error {
	if len(x.PeerCertificates) == 0 || len(x.PeerCertificates[0].DNSNames) == 0 {
		return trace.AccessDenied("peer shows no certificate with a name")
	}
	c := x.PeerCertificates[0]
	if name == "" {
		name = ident.Daemon(c.DNSNames[0])
	}
	d := i.snapshot().Daemons[name]
	if d == nil || d.Fingerprint != sha256.Sum256(c.Raw) {
		return trace.AccessDenied("peer %q shows a certificate that isn't written down for it", name)
	}
	return nil
}

// book finds the addresses of peers. It implements peer.Resolver.
type book struct {
	snapshot func() *site.Snapshot
}

// Addr implements peer.Resolver.
func (b book) Addr(d ident.Daemon) (netip.AddrPort, bool) {
	x := b.snapshot().Daemons[d]
	if x == nil {
		return netip.AddrPort{}, false
	}
	return x.Peer, true
}
