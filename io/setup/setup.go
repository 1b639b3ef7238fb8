// Package setup reads the settings file of a daemon and reports all its errors together.
package setup

import (
	"net/netip"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"heatherrouter/core/check"
	"heatherrouter/core/config"
	"heatherrouter/core/fields"
	"heatherrouter/core/ident"
)

// Settings are the settings of a daemon: its identity, its addresses and how it reaches the platform.
type Settings struct {
	Name     ident.Daemon
	Domain   ident.Domain
	Region   ident.Region
	Entry    netip.AddrPort // TCP, for callers
	Peer     netip.AddrPort // UDP, for the other daemons
	Admin    netip.AddrPort // TCP, for operators and the balancer
	Table    Table
	Hosts    Hosts
	Peers    []Peer
	Keys     Keys
	LogLevel log.Level
}

// Table is the location of the platform's table service and the credentials for it.
type Table struct {
	Endpoint  string
	Region    string
	Name      string
	AccessKey string
	SecretKey string
}

// Hosts is the location of the platform's list of hosts.
type Hosts struct {
	URL string
}

// Peer is a daemon to contact first after a start.
type Peer struct {
	Name ident.Daemon
	Addr netip.AddrPort
}

// Keys holds the paths of key and certificate files; relative paths start at the folder of the settings file.
type Keys struct {
	CAs         []string // all are trusted, so that the old and the new one overlap during a change
	Certificate string
	Key         string
	OperatorKey string // file with the key for mutating admin calls
}

// Load reads a settings file. Its error contains all findings, each with file, line and key.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, f := Parse(path, body)
	if err := f.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// Parse parses the body of the settings file at path and reads the key files that it names. The settings are nil if
// there are findings.
func Parse(path string, body []byte) (*Settings, check.Findings) {
	t := fields.Parse(path, body)
	if !t.Valid() {
		return nil, t.Findings()
	}
	s := &Settings{
		Name:     ident.Daemon(config.RequiredName(t, "name")),
		Domain:   ident.Domain(config.RequiredName(t, "domain")),
		Region:   ident.Region(config.RequiredName(t, "region")),
		LogLevel: parseLevel(t, "log-level"),
	}
	s.parseAddrs(t)
	s.Table = parseTable(t.Table("table"))
	s.Hosts = Hosts{URL: requiredURL(t.Table("hosts"), "url")}
	s.Peers = parsePeers(t)
	s.Keys = parseKeys(t.Table("keys"), filepath.Dir(path))
	if f := t.Findings(); len(f) > 0 {
		return nil, f
	}
	return s, nil
}

func (s *Settings) parseAddrs(t *fields.Table) {
	a := t.Table("addresses")
	s.Entry = config.ParseAddr(a, "entry")
	s.Peer = config.ParseAddr(a, "peer")
	s.Admin = config.ParseAddr(a, "admin")
	if s.Entry.IsValid() && s.Entry == s.Admin {
		a.Addf("admin", "is %s, the address of entry too", s.Admin)
	}
}

func parseTable(t *fields.Table) Table {
	return Table{
		Endpoint:  requiredURL(t, "endpoint"),
		Region:    t.RequiredString("region"),
		Name:      t.RequiredString("name"),
		AccessKey: t.RequiredString("access-key"),
		SecretKey: t.RequiredString("secret-key"),
	}
}

func parsePeers(t *fields.Table) []Peer {
	var l []Peer
	seen := map[ident.Daemon]bool{}
	for _, x := range t.Tables("peers") {
		p := Peer{
			Name: ident.Daemon(config.RequiredName(x, "name")),
			Addr: config.ParseAddr(x, "address"),
		}
		if seen[p.Name] && p.Name != "" {
			x.Addf("name", "names the peer %s twice", p.Name)
		}
		seen[p.Name] = true
		l = append(l, p)
	}
	return l
}
