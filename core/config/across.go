package config

import (
	"net/netip"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// CheckAll finds what is wrong between services that are each right by themselves.
func CheckAll(l []*Service) check.Findings {
	var f check.Findings
	names := map[ident.Service]*Service{}
	addrs := map[netip.AddrPort]*Server{}
	regions := map[ident.Domain]*Service{}
	for _, s := range l {
		if o, ok := names[s.Name]; ok {
			f.Addf(check.Place{File: s.path, Key: "name"}, "names the service %s, which %s does too", s.Name, o.path)
			continue
		}
		names[s.Name] = s
		checkAddrs(&f, s, addrs)
		checkRegions(&f, s, regions)
	}
	return f
}

// checkAddrs finds a backend server that two services list: each would fill its slots without knowing of the other.
func checkAddrs(f *check.Findings, s *Service, addrs map[netip.AddrPort]*Server) {
	for i := range s.Servers {
		v := &s.Servers[i]
		if o, ok := addrs[v.Addr]; ok {
			p := check.Place{File: s.path, Line: v.line, Key: "servers.address"}
			f.Addf(p, "is %s, the address of %s too", v.Addr, o.ID)
			continue
		}
		addrs[v.Addr] = v
	}
}

// checkRegions finds a failure domain that is said to lie in two regions.
func checkRegions(f *check.Findings, s *Service, regions map[ident.Domain]*Service) {
	for i := range s.Servers {
		v := &s.Servers[i]
		o, ok := regions[v.Domain]
		if ok && o.Region != s.Region {
			p := check.Place{File: s.path, Line: v.line, Key: "servers.domain"}
			f.Addf(p, "is %s, which lies in region %s by service %s, not in %s", v.Domain, o.Region, o.Name, s.Region)
			continue
		}
		if !ok {
			regions[v.Domain] = s
		}
	}
}
