package config

import (
	"slices"
	"strings"

	"heatherrouter/core/fields"
)

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
