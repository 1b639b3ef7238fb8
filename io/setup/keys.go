package setup

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"heatherrouter/core/fields"
)

// minOperatorKeyLen is the minimum length of an operator's key in bytes; a shorter one could be guessed.
const minOperatorKeyLen = 16

func parseKeys(t *fields.Table, dir string) Keys {
	k := Keys{
		CAs:         t.Strings("ca-files"),
		Certificate: t.RequiredString("certificate-file"),
		Key:         t.RequiredString("key-file"),
		OperatorKey: t.RequiredString("operator-key-file"),
	}
	if len(k.CAs) == 0 {
		t.Addf("ca-files", "is missing, must list at least one file")
	}
	for i := range k.CAs {
		k.CAs[i] = resolve(dir, k.CAs[i])
		checkCA(t, k.CAs[i])
	}
	k.Certificate = resolve(dir, k.Certificate)
	k.Key = resolve(dir, k.Key)
	k.OperatorKey = resolve(dir, k.OperatorKey)
	checkPair(t, k)
	if k.OperatorKey != "" {
		if _, err := k.ReadOperatorKey(); err != nil {
			t.Addf("operator-key-file", "%s", trace.UserMessage(err))
		}
	}
	return k
}

// resolve returns the path relative to the folder of the settings file.
func resolve(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

func checkCA(t *fields.Table, path string) {
	b, err := os.ReadFile(path)
	if err != nil {
		t.Addf("ca-files", "can't be read: %v", err)
		return
	}
	if err := checkCertificates(b); err != nil {
		t.Addf("ca-files", "%s: %s", path, trace.UserMessage(err))
	}
}

func checkCertificates(b []byte) error {
	n := 0
	for {
		var p *pem.Block
		if p, b = pem.Decode(b); p == nil {
			break
		}
		if p.Type != "CERTIFICATE" {
			return trace.BadParameter("holds a PEM block %q, must hold only certificates", p.Type)
		}
		if _, err := x509.ParseCertificate(p.Bytes); err != nil {
			return trace.BadParameter("holds a certificate that can't be parsed: %v", err)
		}
		n++
	}
	if n == 0 {
		return trace.BadParameter("holds no certificate in PEM")
	}
	return nil
}

// checkPair reads the certificate and the key. Each unreadable file is a finding of its own; only two readable ones
// are checked as a pair.
func checkPair(t *fields.Table, k Keys) {
	cert, certOK := readPEM(t, "certificate-file", k.Certificate)
	key, keyOK := readPEM(t, "key-file", k.Key)
	if !certOK || !keyOK {
		return
	}
	if _, err := tls.X509KeyPair(cert, key); err != nil {
		t.Addf("key-file", "does not match certificate-file: %v", err)
	}
}

func readPEM(t *fields.Table, setting, path string) ([]byte, bool) {
	if path == "" {
		return nil, false
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Addf(setting, "can't be read: %v", err)
		return nil, false
	}
	if p, _ := pem.Decode(b); p == nil {
		t.Addf(setting, "%s: holds no PEM block", path)
		return nil, false
	}
	return b, true
}

// ReadOperatorKey reads the key that mutating admin calls must carry.
func (k Keys) ReadOperatorKey() (string, error) {
	return ReadOperatorKey(k.OperatorKey)
}

// ReadOperatorKey reads an operator's key from a file and removes surrounding white space.
func ReadOperatorKey(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	s := strings.TrimSpace(string(b))
	if len(s) < minOperatorKeyLen || strings.ContainsAny(s, " \t\r\n") {
		return "", trace.BadParameter("%s: must hold one word of at least %d bytes", path, minOperatorKeyLen)
	}
	return s, nil
}
