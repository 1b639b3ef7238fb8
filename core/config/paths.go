package config

import (
	"slices"
	"strings"

	"heatherrouter/core/fields"
)

const (
	anySegment = "*"
	anyRest    = "**"
)

// Match returns the first kind that takes the method and the path below the service's segment, or nil.
func (s *Service) Match(method, path string) *Kind {
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if slices.Contains(k.Methods, method) && matchPath(k.Path, path) {
			return k
		}
	}
	return nil
}

// HasPath reports whether some kind takes the path, by whatever method; it tells a wrong method from a wrong path.
func (s *Service) HasPath(path string) bool {
	return slices.ContainsFunc(s.Kinds, func(k Kind) bool { return matchPath(k.Path, path) })
}

// matchPath matches a path against a pattern, segment by segment and without allocation.
func matchPath(pattern, path string) bool {
	pattern, path = strings.TrimPrefix(pattern, "/"), strings.TrimPrefix(path, "/")
	for {
		p, prest, pmore := strings.Cut(pattern, "/")
		if p == anyRest {
			return true
		}
		s, srest, smore := strings.Cut(path, "/")
		if p != s && (p != anySegment || s == "") {
			return false
		}
		if pmore != smore {
			return pmore && prest == anyRest
		}
		if !pmore {
			return true
		}
		pattern, path = prest, srest
	}
}

func checkPath(t *fields.Table, path string, key KeySource) {
	if path == "" {
		return
	}
	l, ok := splitPattern(path)
	if !ok {
		t.Addf("path", `is %q, must start with "/" and hold plain segments, "*" for one segment, or a last "**" for any rest`, path)
		return
	}
	p, ok := key.(PathKey)
	if !ok {
		return
	}
	// Without a variable segment there, a request of this kind would have no key, or all would have the same.
	if p.Segment >= len(l) || l[p.Segment] != anySegment {
		t.Addf("path", `is %q, must have "*" as segment %d (counted from 0), where the key is`, path, p.Segment)
	}
}

// splitPattern returns the segments of a pattern.
func splitPattern(path string) ([]string, bool) {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return nil, false
	}
	if rest == "" {
		return []string{""}, true
	}
	l := strings.Split(rest, "/")
	for i, s := range l {
		plain := isSegment(s)
		last := i == len(l)-1
		if !plain && s != anySegment && (s != anyRest || !last) {
			return nil, false
		}
	}
	return l, true
}

func isSegment(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`*?#%"<>\^{|}`+"`", c) >= 0 {
			return false
		}
	}
	return s != "" && s != "." && s != ".."
}

// checkReachable finds the methods of a kind that an earlier kind takes all requests of.
func checkReachable(t *fields.Table, earlier []Kind, k *Kind) {
	for _, m := range k.Methods {
		i := slices.IndexFunc(earlier, func(o Kind) bool {
			return slices.Contains(o.Methods, m) && covers(o.Path, k.Path)
		})
		if i >= 0 {
			t.Addf("path", "is never reached by %s: the earlier kind %q takes every such request", m, earlier[i].Name)
		}
	}
}

// covers reports whether pattern a takes every path that pattern b takes.
func covers(a, b string) bool {
	la, oka := splitPattern(a)
	lb, okb := splitPattern(b)
	if !oka || !okb {
		return false
	}
	for i, x := range la {
		if x == anyRest {
			return true
		}
		if i >= len(lb) || lb[i] == anyRest {
			return false
		}
		if x != lb[i] && (x != anySegment || lb[i] == "") {
			return false
		}
	}
	return len(la) == len(lb)
}
