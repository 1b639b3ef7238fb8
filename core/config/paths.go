package config

import (
	"slices"
	"strings"

	"heatherrouter/core/fields"
)

// checkPath adds a finding if the path of a kind is no valid pattern or doesn't contain the service's key.
func checkPath(t *fields.Table, path string, key KeySource) {
	if path == "" {
		return
	}
	l, ok := splitPattern(path)
	if !ok {
		t.Addf("path", `is %q, must start with "/" and consist of plain segments, "*" for any one segment, or a final "**" for any remaining segments`, path)
		return
	}
	p, ok := key.(PathKey)
	if !ok {
		return
	}
	// Otherwise requests of this kind would have no key, or all of them the same key.
	if p.Segment >= len(l) || l[p.Segment] != anySegment {
		t.Addf("path", `is %q, must have "*" as segment %d (counted from 0), where the key is`, path, p.Segment)
	}
}

// splitPattern returns the segments of a pattern, or false if the pattern is invalid.
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

// isSegment reports whether s is valid as a literal segment: without wildcards, escapes and dot segments.
func isSegment(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`*?#%"<>\^{|}`+"`", c) >= 0 {
			return false
		}
	}
	return s != "" && s != "." && s != ".."
}

// checkReachable adds a finding for each method of a kind whose requests are all matched by an earlier kind.
func checkReachable(t *fields.Table, earlier []Kind, k *Kind) {
	for _, m := range k.Methods {
		i := slices.IndexFunc(earlier, func(o Kind) bool {
			return slices.Contains(o.Methods, m) && covers(o.Path, k.Path)
		})
		if i >= 0 {
			t.Addf("path", "is never reached by %s: the earlier kind %q matches every such request", m, earlier[i].Name)
		}
	}
}

// covers reports whether pattern a matches every path that pattern b matches.
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
