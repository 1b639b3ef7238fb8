package config

import (
	"strings"
	"time"

	"heatherrouter/core/ident"
)

// Config is everything that operators have put into force, at one revision of the document "config".
type Config struct {
	Rev      ident.Rev
	Services map[ident.Service]*Service
	Domains  map[ident.Domain]Drain
	Servers  map[ident.Server]Drain
	Daemons  map[ident.Daemon]Drain
}

// Drain says who asked for no new work, and when.
type Drain struct {
	By    string
	Since time.Time // wall clock, for people to read
}

// New returns a configuration without services.
func New(r ident.Rev) *Config {
	return &Config{
		Rev:      r,
		Services: map[ident.Service]*Service{},
		Domains:  map[ident.Domain]Drain{},
		Servers:  map[ident.Server]Drain{},
		Daemons:  map[ident.Daemon]Drain{},
	}
}

// ServerDrained reports whether the backend server shall get no new work, for its own sake or its domain's.
func (c *Config) ServerDrained(s *Server) bool {
	_, server := c.Servers[s.ID]
	_, domain := c.Domains[s.Domain]
	return server || domain
}

// DaemonDrained reports whether the daemon in the domain shall take no new duties.
func (c *Config) DaemonDrained(n ident.Daemon, d ident.Domain) bool {
	_, daemon := c.Daemons[n]
	_, domain := c.Domains[d]
	return daemon || domain
}

// Find returns a backend server, or nil when no published file names it.
func (c *Config) Find(id ident.Server) *Server {
	s := c.Services[id.Service()]
	if s == nil {
		return nil
	}
	for i := range s.Servers {
		if s.Servers[i].ID == id {
			return &s.Servers[i]
		}
	}
	return nil
}

// Target is what a drain applies to.
type Target interface {
	// Row names the drain's row in the document "config".
	Row() ident.Row
	target()
}

type (
	// DomainTarget drains a failure domain.
	DomainTarget struct{ Name ident.Domain }

	// ServerTarget drains one backend server.
	ServerTarget struct{ Name ident.Server }

	// DaemonTarget drains one daemon.
	DaemonTarget struct{ Name ident.Daemon }
)

const (
	servicePrefix = "service/"
	domainPrefix  = "drain/domain/"
	serverPrefix  = "drain/server/"
	daemonPrefix  = "drain/daemon/"
)

// Row implements Target.
func (t DomainTarget) Row() ident.Row { return ident.Row(domainPrefix + string(t.Name)) }

// Row implements Target.
func (t ServerTarget) Row() ident.Row { return ident.Row(serverPrefix + string(t.Name)) }

// Row implements Target.
func (t DaemonTarget) Row() ident.Row { return ident.Row(daemonPrefix + string(t.Name)) }

func (DomainTarget) target() {}
func (ServerTarget) target() {}
func (DaemonTarget) target() {}

// ServiceRow names the row of a service's file in the document "config".
func ServiceRow(s ident.Service) ident.Row {
	return ident.Row(servicePrefix + string(s))
}

// RowService returns the service whose file the row holds.
func RowService(r ident.Row) (ident.Service, bool) {
	s, ok := strings.CutPrefix(string(r), servicePrefix)
	return ident.Service(s), ok && s != ""
}

// RowTarget returns what the row drains.
func RowTarget(r ident.Row) (Target, bool) {
	if n, ok := strings.CutPrefix(string(r), domainPrefix); ok && n != "" {
		return DomainTarget{Name: ident.Domain(n)}, true
	}
	if n, ok := strings.CutPrefix(string(r), serverPrefix); ok && n != "" {
		return ServerTarget{Name: ident.Server(n)}, true
	}
	if n, ok := strings.CutPrefix(string(r), daemonPrefix); ok && n != "" {
		return DaemonTarget{Name: ident.Daemon(n)}, true
	}
	return nil, false
}

// HasDomain reports whether some backend server is in the failure domain.
func (c *Config) HasDomain(d ident.Domain) bool {
	for _, s := range c.Services {
		for i := range s.Servers {
			if s.Servers[i].Domain == d {
				return true
			}
		}
	}
	return false
}
