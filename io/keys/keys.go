// Package keys loads a daemon's certificate and trusted authorities, and reloads them when their files change.
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"heatherrouter/core/ident"
)

const (
	protocol       = "heatherrouter/1" // ALPN ID of the protocol between daemons
	reloadInterval = time.Second       // between two checks for changed files
)

// Files holds the paths of the PEM files. It may list several authorities, which are all trusted, so that keys can be rotated.
type Files struct {
	Authorities []string
	Certificate string
	Key         string
}

// Store provides the TLS configurations of a daemon. They always use the credentials loaded last. It is safe for concurrent use.
type Store struct {
	files   Files
	log     *log.Logger
	current atomic.Pointer[credentials]
}

type credentials struct {
	roots *x509.CertPool
	cert  tls.Certificate
}

// New returns a Store with the credentials loaded from the files.
func New(f Files, l *log.Logger) (*Store, error) {
	s := &Store{files: f, log: l}
	x, err := load(f)
	if err != nil {
		return nil, err
	}
	s.current.Store(x)
	return s, nil
}

func load(f Files) (*credentials, error) {
	x := &credentials{roots: x509.NewCertPool()}
	for _, a := range f.Authorities {
		b, err := os.ReadFile(a)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		if !x.roots.AppendCertsFromPEM(b) {
			return nil, trace.BadParameter("load authority %s: no certificate in PEM format", a)
		}
	}
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, trace.Wrap(err, "load certificate %s and key %s", f.Certificate, f.Key)
	}
	x.cert = cert
	return x, nil
}

// Watch reloads the files when one of them has changed, until the context is done.
//
// If loading fails, the current credentials stay in use. Otherwise a partly written key pair during a rotation would disconnect
// a running daemon from its peers.
func (s *Store) Watch(c context.Context) error {
	seen := s.lastModified()
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
		}
		m := s.lastModified()
		if m.Equal(seen) {
			continue
		}
		x, err := load(s.files)
		if err != nil {
			s.log.Warn().Err(err).Msg("keys not read again, the old ones stay in use")
			continue
		}
		seen = m
		s.current.Store(x)
		s.log.Info().Time("expires", x.cert.Leaf.NotAfter).Msg("keys read again")
	}
}

// lastModified returns the latest modification time of the files. Files that can't be examined are ignored.
func (s *Store) lastModified() time.Time {
	var newest time.Time
	for _, f := range append([]string{s.files.Certificate, s.files.Key}, s.files.Authorities...) {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(newest) {
			newest = i.ModTime()
		}
	}
	return newest
}

// Expires returns when the daemon's certificate expires.
func (s *Store) Expires() time.Time {
	return s.current.Load().cert.Leaf.NotAfter
}

// Server returns the TLS configuration for connections from peers.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		ClientAuth: tls.RequireAnyClientCert, // VerifyConnection verifies it and can log a refusal
		VerifyConnection: func(x tls.ConnectionState) error {
			return s.verify(x, "", x509.ExtKeyUsageClientAuth)
		},
	}
}

// Client returns the TLS configuration for connections to the peer.
func (s *Store) Client(to ident.Daemon) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ServerName: string(to),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		InsecureSkipVerify: true, // VerifyConnection uses the authorities loaded last
		VerifyConnection: func(x tls.ConnectionState) error {
			return s.verify(x, string(to), x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify verifies the peer's certificate for the given usage, and its name unless the expected name is empty.
func (s *Store) verify(x tls.ConnectionState, name string, usage x509.ExtKeyUsage) error {
	if len(x.PeerCertificates) == 0 {
		return trace.AccessDenied("peer presented no certificate")
	}
	leaf := x.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range x.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: s.current.Load().roots, Intermediates: intermediates, DNSName: name, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		s.log.Warn().Err(err).Strs("names", leaf.DNSNames).Str("issuer", leaf.Issuer.CommonName).
			Str("expected", name).Msg("peer refused: its certificate is not trusted here")
		return trace.AccessDenied("verify peer certificate: %v", err)
	}
	return nil
}
