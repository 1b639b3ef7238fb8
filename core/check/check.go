// Package check collects findings about input with the place of each, so that all of them are reported together.
package check

import (
	"fmt"
	"strings"
)

// Place tells where in the input a finding was made.
type Place struct {
	File string // path as the operator gave it; empty for input that is no file
	Line int    // counted from 1; 0 when unknown
	Key  string // dotted path of the setting, in kebab case
}

// String formats the place as FILE:LINE: KEY, leaving out what is unknown.
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

// Finding is one thing wrong with the input.
type Finding struct {
	Place   Place
	Message string // says what is wrong and what would be right
}

// String formats the finding for one line of output.
func (f Finding) String() string {
	p := f.Place.String()
	if p == "" {
		return f.Message
	}
	return p + ": " + f.Message
}

// Findings is a list of findings; as an error it prints one a line.
type Findings []Finding

// Addf appends a finding at the place.
func (f *Findings) Addf(p Place, format string, args ...any) {
	*f = append(*f, Finding{Place: p, Message: fmt.Sprintf(format, args...)})
}

// Error implements error.
func (f Findings) Error() string {
	l := make([]string, len(f))
	for i, x := range f {
		l[i] = x.String()
	}
	return strings.Join(l, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
