package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A kind is reported as unreachable when an earlier pattern covers its own. A wrong "covers" would refuse
// files that are right, or let a kind stand that never gets a request.
func TestCoversAgreesWithMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "*"})
		a, b := drawPattern(t, segment, "a"), drawPattern(t, segment, "b")
		paths := allPaths(4)
		pa, pb := CompilePattern(a), CompilePattern(b)
		all := true
		for _, p := range paths {
			if pb.Match([]byte(p)) && !pa.Match([]byte(p)) {
				all = false
			}
		}
		require.Equal(t, all, covers(a, b), "%s covers %s", a, b)
	})
}

func drawPattern(t *rapid.T, segment *rapid.Generator[string], label string) string {
	l := rapid.SliceOfN(segment, 0, 3).Draw(t, label)
	if rapid.Bool().Draw(t, label+" open") {
		l = append(l, "**")
	}
	return "/" + strings.Join(l, "/")
}

// allPaths returns every path of up to n segments out of three, one of which no pattern names.
func allPaths(n int) []string {
	last := []string{""}
	all := []string{"/"}
	for range n {
		var next []string
		for _, p := range last {
			for _, s := range []string{"a", "b", "c"} {
				next = append(next, p+"/"+s)
			}
		}
		all = append(all, next...)
		last = next
	}
	return all
}

func TestSplitPattern(t *testing.T) {
	for _, p := range []string{"/", "/a", "/a/*", "/**", "/a/**", "/a-b_c.d/~x"} {
		_, ok := splitPattern(p)
		require.True(t, ok, p)
	}
	for _, p := range []string{"", "a", "/a/", "//", "/**/a", "/a*", "/a b", "/.", "/a/..", "/ä", "/a?b", "/a#b", "/%41"} {
		_, ok := splitPattern(p)
		require.False(t, ok, p)
	}
}
