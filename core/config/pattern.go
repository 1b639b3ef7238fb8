package config

import (
	"bytes"
	"strings"
)

const (
	anySegment = "*"
	anyRest    = "**"
)

// Pattern is the compiled path of a kind.
type Pattern struct {
	segments    []string // literal segments, or anySegment, which matches any one segment that isn't empty
	matchesRest bool     // whether any further segments may follow
}

// CompilePattern compiles the path of a kind, which must have been accepted by Parse. A segment "*" matches any one
// segment, and "**" at the end matches any remaining segments.
func CompilePattern(path string) Pattern {
	path = strings.Trim(path, "/")
	if path == "" {
		return Pattern{}
	}
	l := strings.Split(path, "/")
	if n := len(l) - 1; l[n] == anyRest {
		return Pattern{segments: l[:n], matchesRest: true}
	}
	return Pattern{segments: l}
}

// Match reports whether the pattern matches a path below the service's segment. It doesn't allocate.
func (p *Pattern) Match(path []byte) bool {
	if len(path) == 1 {
		path = nil // "/" is equivalent to the empty path
	}
	for _, want := range p.segments {
		if len(path) == 0 {
			return false
		}
		path = path[1:]
		n := bytes.IndexByte(path, '/')
		if n < 0 {
			n = len(path)
		}
		if n == 0 || want != anySegment && want != string(path[:n]) {
			return false
		}
		path = path[n:]
	}
	return len(path) == 0 || p.matchesRest
}
