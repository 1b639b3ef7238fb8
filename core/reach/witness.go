package reach

import (
	"maps"
	"slices"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

// Witnesses returns up to n other daemons to ask whether they reach a server, of different failure domains as far as possible. The
// function intN returns a random number below n.
func Witnesses(s *site.Snapshot, self ident.Daemon, n int, intN func(n int) int) []ident.Daemon {
	all := slices.Sorted(maps.Keys(s.Daemons))
	all = slices.DeleteFunc(all, func(d ident.Daemon) bool { return d == self })
	for i := range all {
		j := i + intN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	var l, rest []ident.Daemon
	seen := map[ident.Domain]bool{}
	for _, d := range all {
		if x := s.Daemons[d].Domain; !seen[x] {
			seen[x], l = true, append(l, d)
			continue
		}
		rest = append(rest, d)
	}
	l = append(l, rest...)
	return l[:min(n, len(l))]
}

// Others returns up to n other servers of the server's service that take requests, those of its failure domain first.
func Others(s *site.Snapshot, x *site.Server, n int, intN func(n int) int) []ident.Server {
	var near, far []ident.Server
	for _, y := range s.ServersOf(x.Service) {
		switch {
		case y.ID == x.ID || !s.Accepts(y):
		case y.Domain == x.Domain:
			near = append(near, y.ID)
		default:
			far = append(far, y.ID)
		}
	}
	var l []ident.Server
	for len(l) < n && len(near)+len(far) > 0 {
		k := &near
		if len(near) == 0 || len(l) > 0 && len(far) > 0 {
			k = &far
		}
		i := intN(len(*k))
		l = append(l, (*k)[i])
		*k = slices.Delete(*k, i, i+1)
	}
	return l
}
