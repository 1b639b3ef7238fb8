// Package keytest creates certificates for tests and the demo.
package keytest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/ident"
	"heatherrouter/io/keys"
)

const validity = 24 * time.Hour

// Authority is a certificate authority that signs the certificates of daemons.
type Authority struct {
	File string // PEM file of the authority's own certificate
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// New creates an authority that stores its certificate, and those that it issues, in dir.
func New(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t := template(name)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a := &Authority{File: filepath.Join(dir, name+".pem"), cert: cert, key: key, dir: dir}
	return a, writePEM(a.File, "CERTIFICATE", der)
}

func template(name string) *x509.Certificate {
	n, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: n,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(validity),
	}
}

// IssueCertificate writes a certificate and a key for the daemon, and returns the paths of the files.
func (a *Authority) IssueCertificate(d ident.Daemon) (keys.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keys.Files{}, trace.Wrap(err)
	}
	t := template(string(d))
	t.DNSNames = []string{string(d)}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return keys.Files{}, trace.Wrap(err)
	}
	b, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return keys.Files{}, trace.Wrap(err)
	}
	f := keys.Files{
		Authorities: []string{a.File},
		Certificate: filepath.Join(a.dir, string(d)+".crt"),
		Key:         filepath.Join(a.dir, string(d)+".key"),
	}
	if err := writePEM(f.Certificate, "CERTIFICATE", der); err != nil {
		return keys.Files{}, err
	}
	return f, writePEM(f.Key, "EC PRIVATE KEY", b)
}

func writePEM(file, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return trace.ConvertSystemError(os.WriteFile(file, b, 0o600))
}
