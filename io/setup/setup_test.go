package setup_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
	"heatherrouter/io/setup"
)

const good = `name = "hr-01"
domain = "d1"
region = "north"
log-level = "warn"

[addresses]
entry = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
admin = "127.0.0.1:8082"

[table]
endpoint = "http://127.0.0.1:8000"
region = "north"
name = "heatherrouter"
access-key = "a"
secret-key = "s"

[hosts]
url = "http://127.0.0.1:8002/hosts"

[[peers]]
name = "hr-02"
address = "127.0.0.1:8181"

[keys]
ca-files = ["ca.pem", "ca.pem"]
certificate-file = "cert.pem"
key-file = "key.pem"
operator-key-file = "operator.key"
`

// writeKeys writes a certificate, its key, an operator's key and invalid files into a new folder.
func writeKeys(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "hr-01"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)

	write := func(name string, b []byte) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), b, 0o600))
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
	write("ca.pem", certPEM)
	write("cert.pem", certPEM)
	write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
	write("operator.key", []byte("0123456789abcdef\n"))
	write("short.key", []byte("short\n"))
	write("text", []byte("no PEM"))
	return dir
}

func TestLoad(t *testing.T) {
	dir := writeKeys(t)
	p := filepath.Join(dir, "hr.toml")
	require.NoError(t, os.WriteFile(p, []byte(good), 0o600))
	s, err := setup.Load(p)
	require.NoError(t, err)
	require.Equal(t, ident.Daemon("hr-01"), s.Name)
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:8081"), s.Peer)
	require.Equal(t, "http://127.0.0.1:8002/hosts", s.Hosts.URL)
	require.Equal(t, log.WarnLevel, s.LogLevel)
	require.Equal(t, []setup.Peer{{Name: "hr-02", Addr: netip.MustParseAddrPort("127.0.0.1:8181")}}, s.Peers)
	require.Equal(t, filepath.Join(dir, "cert.pem"), s.Keys.Certificate)
	k, err := s.Keys.ReadOperatorKey()
	require.NoError(t, err)
	require.Equal(t, "0123456789abcdef", k)
}

func TestLoadErrors(t *testing.T) {
	dir := writeKeys(t)
	_, err := setup.Load(filepath.Join(dir, "none.toml"))
	require.Error(t, err)

	p := filepath.Join(dir, "hr.toml")
	require.NoError(t, os.WriteFile(p, []byte("name = \"-\"\nnam = 1\n"), 0o600))
	_, err = setup.Load(p)
	var f check.Findings
	require.ErrorAs(t, err, &f, "the wrapped error still contains the findings")
	require.Contains(t, f.Error(), p+":1: name: ")
	require.Contains(t, f.Error(), p+":2: nam: is no known setting")
	require.Contains(t, f.Error(), "keys.ca-files: is missing")
	require.Contains(t, f.Error(), "table.endpoint: is missing")
}

func TestFindings(t *testing.T) {
	dir := writeKeys(t)
	swap := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	tests := []struct {
		name string
		body string
		want string
	}{
		{"not TOML", "[", ":1: is no valid TOML"},
		{"unknown key", swap("log-level", "log_level"), ":4: log_level: is no known setting"},
		{"unknown table", good + "[extra]\n", ":30: extra: is no known setting"},
		{"unknown level", swap(`"warn"`, `"loud"`), `:4: log-level: is "loud"`},
		{"same address", swap("8082", "8080"), ":9: addresses.admin: is 127.0.0.1:8080, the address of entry too"},
		{"host name in address", swap("127.0.0.1:8080", "localhost:8080"), `:7: addresses.entry: is "localhost:8080"`},
		{"not a URL", swap("http://127.0.0.1:8000", "127.0.0.1"), ":12: table.endpoint: "},
		{"URL with host name", swap("http://127.0.0.1:8000", "http://table:8000"), `:12: table.endpoint: has the host "table"`},
		{"duplicate peer", swap("[keys]", "[[peers]]\nname = \"hr-02\"\naddress = \"127.0.0.1:1\"\n[keys]"), ":26: peers[1].name: names the peer hr-02 twice"},
		{"no CA", swap(`"ca.pem", "ca.pem"`, ""), ":26: keys.ca-files: is missing"},
		{"CA file missing", swap("ca.pem", "none.pem"), ":26: keys.ca-files: can't be read"},
		{"CA not PEM", swap("ca.pem", "text"), "holds no certificate in PEM"},
		{"CA file contains a key", swap("ca.pem", "key.pem"), `holds a PEM block "PRIVATE KEY"`},
		{"certificate not PEM", swap("cert.pem", "text"), ":27: keys.certificate-file: "},
		{"key file missing", swap("key.pem", "none.pem"), ":28: keys.key-file: can't be read"},
		{"key does not match", swap(`"key.pem"`, `"cert.pem"`), ":28: keys.key-file: does not match certificate-file"},
		{"operator key too short", swap("operator.key", "short.key"), ":29: keys.operator-key-file: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, f := setup.Parse(filepath.Join(dir, "hr.toml"), []byte(tt.body))
			require.Nil(t, s)
			require.Len(t, f, 1, f.Error())
			require.Contains(t, f.Error(), tt.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	dir := writeKeys(f)
	f.Add([]byte(good))
	f.Add([]byte("keys = { ca-files = [1] }\npeers = 1\n"))
	f.Add([]byte("[[keys]]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, found := setup.Parse(filepath.Join(dir, "x.toml"), b)
		require.Equal(t, s == nil, len(found) > 0)
	})
}
