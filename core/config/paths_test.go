package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an error in covers, which finds unreachable kinds. It would reject valid files, or accept a kind that
// never gets a request.
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
	if rapid.Bool().Draw(t, label+" matches rest") {
		l = append(l, "**")
	}
	return "/" + strings.Join(l, "/")
}

// allPaths returns every path of up to n of the segments a, b and c. The patterns never contain c literally.
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
