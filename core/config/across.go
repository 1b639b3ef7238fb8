package config

import (
	"net/netip"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// CheckAll reports conflicts between services that Parse has accepted one by one.
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

// checkAddrs reports a backend server that two services list. Each service would use all of its slots, so together they
// would overload it.
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

// checkRegions reports a failure domain that two services assign to different regions.
func checkRegions(f *check.Findings, s *Service, regions map[ident.Domain]*Service) {
	for i := range s.Servers {
		v := &s.Servers[i]
		o, ok := regions[v.Domain]
		if ok && o.Region != s.Region {
			p := check.Place{File: s.path, Line: v.line, Key: "servers.domain"}
			f.Addf(p, "is %s, which belongs to region %s according to service %s, not to %s", v.Domain, o.Region, o.Name, s.Region)
			continue
		}
		if !ok {
			regions[v.Domain] = s
		}
	}
}
