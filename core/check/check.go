// Package check collects errors in input, with the place of each, so that all of them are reported together.
package check

import (
	"fmt"
	"strings"
)

// Place is the place in the input that a finding is about.
type Place struct {
	File string // path as the operator gave it; empty for input that isn't a file
	Line int    // counted from 1; 0 if unknown
	Key  string // dotted path of the setting in kebab case; empty if unknown
}

// String formats the place as FILE:LINE: KEY, without the parts that are unknown.
func (p Place) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(p.Key)
	}
	return b.String()
}

// Finding is one error in the input.
type Finding struct {
	Place   Place
	Message string // what is wrong and what would be valid
}

// String formats the finding as PLACE: MESSAGE.
func (f Finding) String() string {
	p := f.Place.String()
	if p == "" {
		return f.Message
	}
	return p + ": " + f.Message
}

// Findings is a list of findings. Use Err to return it as an error.
type Findings []Finding

// Addf appends a finding about the place.
func (f *Findings) Addf(p Place, format string, args ...any) {
	*f = append(*f, Finding{Place: p, Message: fmt.Sprintf(format, args...)})
}

// Texts returns the findings as texts; an empty list, not nil, if there are none.
func (f Findings) Texts() []string {
	l := make([]string, len(f))
	for i, x := range f {
		l[i] = x.String()
	}
	return l
}

// Error returns all findings, one a line.
func (f Findings) Error() string { return strings.Join(f.Texts(), "\n") }

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
