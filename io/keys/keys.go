// Package keys holds a daemon's certificate and the authorities that it trusts, read again when their files change.
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
	protocol   = "heatherrouter/1" // ALPN name of the protocol between daemons
	reloadTime = time.Second       // between two looks at the files
)

// Files names the PEM files; several authorities are trusted at once, so that keys can be rotated.
type Files struct {
	Authorities []string
	Certificate string
	Key         string
}

// Store gives the TLS configurations of a daemon.
type Store struct {
	files Files
	log   *log.Logger
	now   atomic.Pointer[loaded]
}

type loaded struct {
	roots *x509.CertPool
	cert  tls.Certificate
}

// New reads the files.
func New(f Files, l *log.Logger) (*Store, error) {
	s := &Store{files: f, log: l}
	x, err := load(f)
	if err != nil {
		return nil, err
	}
	s.now.Store(x)
	return s, nil
}

func load(f Files) (*loaded, error) {
	x := &loaded{roots: x509.NewCertPool()}
	for _, a := range f.Authorities {
		b, err := os.ReadFile(a)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		if !x.roots.AppendCertsFromPEM(b) {
			return nil, trace.BadParameter("%s: no certificate in PEM form", a)
		}
	}
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, trace.Wrap(err, "certificate %s with key %s", f.Certificate, f.Key)
	}
	x.cert = cert
	return x, nil
}

// Watch reads the files again when one has changed, until the context ends.
//
// Files that can't be read leave the old keys in use: a half-written pair during a rotation must not cut a
// running daemon off from its peers.
func (s *Store) Watch(c context.Context) error {
	seen := s.stamp()
	t := time.NewTicker(reloadTime)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
		}
		m := s.stamp()
		if m.Equal(seen) {
			continue
		}
		x, err := load(s.files)
		if err != nil {
			s.log.Warn().Err(err).Msg("keys not read again, the old ones stay in use")
			continue
		}
		seen = m
		s.now.Store(x)
		s.log.Info().Time("expires", x.cert.Leaf.NotAfter).Msg("keys read again")
	}
}

// stamp returns when the newest of the files was written.
func (s *Store) stamp() time.Time {
	var newest time.Time
	for _, f := range append([]string{s.files.Certificate, s.files.Key}, s.files.Authorities...) {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(newest) {
			newest = i.ModTime()
		}
	}
	return newest
}

// Expires returns when the daemon's certificate ends.
func (s *Store) Expires() time.Time {
	return s.now.Load().cert.Leaf.NotAfter
}

// Server returns the configuration for accepting peers.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.now.Load().cert, nil
		},
		ClientAuth: tls.RequireAnyClientCert, // verified below, where a refusal can be logged
		VerifyConnection: func(x tls.ConnectionState) error {
			return s.verify(x, "", x509.ExtKeyUsageClientAuth)
		},
	}
}

// Client returns the configuration for calling the peer.
func (s *Store) Client(to ident.Daemon) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ServerName: string(to),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.now.Load().cert, nil
		},
		InsecureSkipVerify: true, // verified below against the authorities in force now
		VerifyConnection: func(x tls.ConnectionState) error {
			return s.verify(x, string(to), x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks the peer's certificate against the authorities, and its name when one is expected.
func (s *Store) verify(x tls.ConnectionState, name string, use x509.ExtKeyUsage) error {
	if len(x.PeerCertificates) == 0 {
		return trace.AccessDenied("peer shows no certificate")
	}
	leaf := x.PeerCertificates[0]
	more := x509.NewCertPool()
	for _, c := range x.PeerCertificates[1:] {
		more.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: s.now.Load().roots, Intermediates: more, DNSName: name, KeyUsages: []x509.ExtKeyUsage{use},
	})
	if err != nil {
		s.log.Warn().Err(err).Strs("names", leaf.DNSNames).Str("issuer", leaf.Issuer.CommonName).
			Str("expected", name).Msg("peer refused: its certificate is not trusted here")
		return trace.AccessDenied("certificate not trusted: %v", err)
	}
	return nil
}
