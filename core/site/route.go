package site

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// NewConfig checks and builds a configuration. The error holds all findings.
func NewConfig(v Version, services []*Service, routes []*Route, organisations []*Organisation, l Limits) (*Config, error) {
	c := &Config{
		Version: v, Services: map[ident.Service]*Service{}, Limits: l, hosts: map[string][]*Route{},
		organisations: map[ident.Organisation]*Organisation{}, keyOwners: map[KeyDigest]*Organisation{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	var found check.Findings
	for _, r := range routes {
		found = append(found, c.checkRoute(r)...)
		h := HostName(r.Host)
		c.hosts[h] = append(c.hosts[h], r)
	}
	for _, o := range organisations {
		found = append(found, c.addOrganisation(o)...)
	}
	if l.HeaderBytes <= 0 || l.BodyBytes <= 0 || l.HeaderTime <= 0 || l.IdleTime <= 0 {
		found = append(found, check.Finding{Message: "limits must be above zero"})
	}
	if len(found) > 0 {
		return nil, found
	}
	for _, l := range c.hosts {
		slices.SortStableFunc(l, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Config) checkRoute(r *Route) check.Findings {
	var l check.Findings
	add := func(m string) {
		l = append(l, check.Finding{Message: "route " + r.Name + ": " + m})
	}
	if r.Host == "" {
		add("has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("its prefix must begin and end with a slash")
	}
	if r.Timeout <= 0 {
		add("has no timeout")
	}
	if len(r.Parts) == 0 {
		add("names no service")
	}
	for _, p := range r.Parts {
		if c.Services[p.Service] == nil {
			add("names the unknown service " + string(p.Service))
		}
		if p.Weight < 0 || math.IsNaN(p.Weight) {
			add("has a weight below zero")
		}
	}
	return l
}

// HostName returns a host as routes are looked up by: in lower case and without its port.
func HostName(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns how many routes there are.
func (c *Config) Routes() int {
	n := 0
	for _, l := range c.hosts {
		n += len(l)
	}
	return n
}

// Sends reports whether requests on the route may go to the service.
func (r *Route) Sends(n ident.Service) bool {
	return slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service == n && (p.Weight > 0 || len(r.Parts) == 1) })
}

func sortServers(l []*Server) {
	slices.SortFunc(l, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
}
