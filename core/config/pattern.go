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
	segments []string // anySegment stands for any one segment
	open     bool     // ended in anyRest
}

// CompilePattern compiles a path that Parse accepts.
func CompilePattern(path string) Pattern {
	path = strings.Trim(path, "/")
	if path == "" {
		return Pattern{}
	}
	l := strings.Split(path, "/")
	if n := len(l) - 1; l[n] == anyRest {
		return Pattern{segments: l[:n], open: true}
	}
	return Pattern{segments: l}
}

// Match reports whether the pattern takes the path below the service's segment. It allocates nothing.
func (p *Pattern) Match(path []byte) bool {
	if len(path) == 1 {
		path = nil // a lone slash is the service itself
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
	return len(path) == 0 || p.open
}
