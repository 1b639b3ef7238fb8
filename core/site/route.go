package site

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// NewConfig validates and builds a configuration. Routes and services that can't be used are kept, marked as unsupported and listed in
// Findings. The error is a check.Findings that lists what is wrong with the organisations and limits.
func NewConfig(v Version, services []*Service, routes []*Route, organisations []*Organisation, l Limits) (*Config, error) {
	c := &Config{
		Version: v, Services: map[ident.Service]*Service{}, Limits: l, hosts: map[string][]*Route{},
		organisations: map[ident.Organisation]*Organisation{}, keyOwners: map[KeyDigest]*Organisation{}, mixed: map[ident.Service]bool{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
		if s.Unsupported != "" {
			c.Findings.Addf(check.Place{}, "service %s: %s; its requests are refused", s.Name, s.Unsupported)
		}
	}
	c.addRoutes(routes)
	var found check.Findings
	for _, o := range organisations {
		found = append(found, c.addOrganisation(o)...)
	}
	if l.MaxHeaderBytes <= 0 || l.MaxBodyBytes <= 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		found = append(found, check.Finding{Message: "limits must be positive"})
	}
	if len(found) > 0 {
		return nil, found
	}
	c.findMixed()
	return c, nil
}

// addRoutes adds the routes to the table. One that can't be used stays there: without it, its requests would match a shorter prefix and
// go to another service.
func (c *Config) addRoutes(routes []*Route) {
	var undefined []ident.Service
	for _, r := range routes {
		if l := c.faults(r); len(l) > 0 {
			r.Unsupported = strings.Join(l, ", ")
			c.Findings.Addf(check.Place{}, "route %s: %s; its requests are refused", r.Name, r.Unsupported)
		} else {
			for _, n := range c.undefinedParts(r) {
				undefined = append(undefined, n)
				c.Findings.Addf(check.Place{}, "route %s: refers to the unknown service %s; requests for that part are refused", r.Name, n)
			}
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			r.Prefix = "/" + r.Prefix // as paths begin with a slash, it would match no request
		}
		h := NormalizeHost(r.Host)
		c.hosts[h] = append(c.hosts[h], r)
	}
	for _, n := range undefined {
		c.Services[n] = &Service{Name: n, Unsupported: "is not defined"}
	}
	for _, l := range c.hosts {
		slices.SortStableFunc(l, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// faults returns the reasons why the route can't be used.
func (c *Config) faults(r *Route) []string {
	var l []string
	if r.Unsupported != "" {
		l = append(l, r.Unsupported)
	}
	if r.Host == "" {
		l = append(l, "has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		l = append(l, "its prefix must begin and end with a slash")
	}
	if r.Timeout <= 0 {
		l = append(l, "has no timeout")
	}
	if len(r.Parts) == 0 {
		l = append(l, "names no service")
	}
	if undefined := c.undefinedParts(r); len(undefined) == len(r.Parts) {
		for _, n := range undefined {
			l = append(l, "refers to the unknown service "+string(n))
		}
	}
	if slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Weight < 0 || math.IsNaN(p.Weight) }) {
		l = append(l, "has a weight that is negative or not a number")
	}
	return l
}

// undefinedParts returns the services of the route that are not defined.
func (c *Config) undefinedParts(r *Route) []ident.Service {
	var l []ident.Service
	for _, p := range r.Parts {
		if c.Services[p.Service] == nil {
			l = append(l, p.Service)
		}
	}
	return l
}

// NormalizeHost returns a host in the form in which routes are looked up: in lower case and without its port.
func NormalizeHost(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// Route returns the route of the host with the longest prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, l := range c.hosts {
		n += len(l)
	}
	return n
}

// MixesPriorities reports whether requests of different priorities may go to the service: of several routes, or of organisations whose
// priority differs from their routes'.
func (c *Config) MixesPriorities(n ident.Service) bool { return c.mixed[n] }

// findMixed finds the services to which requests of different priorities may go.
func (c *Config) findMixed() {
	found := map[ident.Service]map[int]bool{}
	for _, l := range c.hosts {
		for _, r := range l {
			for _, p := range r.Parts {
				if !r.RoutesTo(p.Service) {
					continue
				}
				if found[p.Service] == nil {
					found[p.Service] = map[int]bool{}
				}
				found[p.Service][r.Priority] = true
			}
		}
	}
	for n, l := range found {
		for _, o := range c.organisations {
			if o.HasPriority {
				l[o.Priority] = true
			}
		}
		c.mixed[n] = len(l) > 1
	}
}

// TargetLatency returns the shortest desired response time of the routes to a service; 0 if none has one.
func (c *Config) TargetLatency(n ident.Service) time.Duration {
	var shortest time.Duration
	for _, l := range c.hosts {
		for _, r := range l {
			if r.RoutesTo(n) && r.TargetLatency > 0 && (shortest == 0 || r.TargetLatency < shortest) {
				shortest = r.TargetLatency
			}
		}
	}
	return shortest
}

// RoutesTo reports whether requests on the route may go to the service: its part has a weight, or is the only one.
func (r *Route) RoutesTo(n ident.Service) bool {
	return slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service == n && (p.Weight > 0 || len(r.Parts) == 1) })
}

func sortServers(l []*Server) {
	slices.SortFunc(l, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
}
