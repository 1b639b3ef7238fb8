package config

import (
	"strings"
	"time"

	"heatherrouter/core/ident"
)

// Config is the configuration in force at one revision of the document "config": the published services and the drains.
type Config struct {
	Rev      ident.Rev
	Services map[ident.Service]*Service
	Domains  map[ident.Domain]Drain
	Servers  map[ident.Server]Drain
	Daemons  map[ident.Daemon]Drain
}

// Drain records who drained a failure domain, server or daemon, and when. A drained one gets no new work.
type Drain struct {
	By    string
	Since time.Time // wall-clock time, for display only
}

// New returns a configuration without services and drains.
func New(r ident.Rev) *Config {
	return &Config{
		Rev:      r,
		Services: map[ident.Service]*Service{},
		Domains:  map[ident.Domain]Drain{},
		Servers:  map[ident.Server]Drain{},
		Daemons:  map[ident.Daemon]Drain{},
	}
}

// ServerDrained reports whether the backend server or its failure domain is drained.
func (c *Config) ServerDrained(s *Server) bool {
	_, server := c.Servers[s.ID]
	_, domain := c.Domains[s.Domain]
	return server || domain
}

// DaemonDrained reports whether the daemon or its failure domain is drained. A drained daemon takes no new roles.
func (c *Config) DaemonDrained(n ident.Daemon, d ident.Domain) bool {
	_, daemon := c.Daemons[n]
	_, domain := c.Domains[d]
	return daemon || domain
}

// FindServer returns the backend server with this id, or nil if no published service file lists it.
func (c *Config) FindServer(id ident.Server) *Server {
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

// Target is what a drain applies to: a DomainTarget, ServerTarget or DaemonTarget.
type Target interface {
	// Row returns the name of the drain's row in the document "config".
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

// ServiceRow returns the name of the row that holds a service's file in the document "config".
func ServiceRow(s ident.Service) ident.Row {
	return ident.Row(servicePrefix + string(s))
}

// ParseServiceRow returns the service whose file the row holds, or false if it is another kind of row.
func ParseServiceRow(r ident.Row) (ident.Service, bool) {
	s, ok := strings.CutPrefix(string(r), servicePrefix)
	return ident.Service(s), ok && s != ""
}

// ParseTargetRow returns the target of the drain that the row holds, or false if it is another kind of row.
func ParseTargetRow(r ident.Row) (Target, bool) {
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

// HasDomain reports whether any backend server is in the failure domain.
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
