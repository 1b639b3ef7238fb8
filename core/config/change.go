package config

import (
	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// CheckChange reports changes that are not allowed to a service in force.
func CheckChange(old, s *Service) check.Findings {
	var f check.Findings
	// Ownership is stored by shard number. With another number of shards the same number covers other keys, and a daemon
	// with the older file would send a key to another owner.
	if old.Shards != s.Shards {
		f.Addf(check.Place{File: s.path, Key: "shards"},
			"is %d, must stay %d while the service is in force", s.Shards, old.Shards)
	}
	if old.Keyed() && s.Keyed() {
		checkMoved(&f, old, s)
	}
	return f
}

// checkMoved reports backend servers that keep their name but change their address. Leases and epochs belong to the name:
// while requests run at the old address, requests for the same key would run at the new one under the same epoch.
func checkMoved(f *check.Findings, old, s *Service) {
	previous := map[ident.Server]*Server{}
	for i := range old.Servers {
		previous[old.Servers[i].ID] = &old.Servers[i]
	}
	for i := range s.Servers {
		v := &s.Servers[i]
		if o := previous[v.ID]; o != nil && o.Addr != v.Addr {
			f.Addf(check.Place{File: s.path, Line: v.line, Key: "servers.address"},
				"is %s, must stay %s for %s in a service with a [key]; give the server at the new address a new name",
				v.Addr, o.Addr, v.ID)
		}
	}
}
