package config

import (
	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// CheckChange finds what must not change in a service while it is in force.
func CheckChange(old, s *Service) check.Findings {
	var f check.Findings
	// Shards are numbered ranges of the hash space, and ownership is kept by number: under another count the
	// same number means other keys, and a daemon with the older file would send a key to another owner.
	if old.Shards != s.Shards {
		f.Addf(check.Place{File: s.path, Key: "shards"},
			"is %d, must stay %d while the service is in force", s.Shards, old.Shards)
	}
	if old.Keyed() && s.Keyed() {
		checkMoved(&f, old, s)
	}
	return f
}

// checkMoved finds backend servers that keep their name at another address. Leases and epochs go by the name:
// while work is in flight at the older address, the same key would run at the newer one under the same epoch.
func checkMoved(f *check.Findings, old, s *Service) {
	was := map[ident.Server]*Server{}
	for i := range old.Servers {
		was[old.Servers[i].ID] = &old.Servers[i]
	}
	for i := range s.Servers {
		v := &s.Servers[i]
		if o := was[v.ID]; o != nil && o.Addr != v.Addr {
			f.Addf(check.Place{File: s.path, Line: v.line, Key: "servers.address"},
				"is %s, must stay %s for %s in a service with a [key]; give the server at the new address a new name",
				v.Addr, o.Addr, v.ID)
		}
	}
}
