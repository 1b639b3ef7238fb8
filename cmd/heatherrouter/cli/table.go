package cli

import (
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"
)

const columnGap = 2

// Table is a list to print: with a header and aligned at a terminal, as lines of tab-separated fields in a
// pipe, where other programs read it.
type Table struct {
	header []string
	rows   [][]string
}

// NewTable returns an empty table.
func NewTable(header ...string) *Table {
	return &Table{header: header}
}

// Add appends a row.
func (t *Table) Add(cells ...any) {
	r := make([]string, len(cells))
	for i, c := range cells {
		r[i] = clean(fmt.Sprint(c))
	}
	t.rows = append(t.rows, r)
}

// clean takes control characters out of a cell: a tab or a newline would shift the fields of a script, and an
// escape sequence from a name would reach the operator's terminal.
func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, s)
}

// Print writes the table.
func (t *Table) Print(e *Env) error {
	if e.Terminal {
		return t.aligned(e.Out)
	}
	for _, r := range t.rows {
		if _, err := fmt.Fprintln(e.Out, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) aligned(w io.Writer) error {
	widths := make([]int, len(t.header))
	all := append([][]string{t.header}, t.rows...)
	for _, r := range all {
		for i, c := range r {
			widths[i] = max(widths[i], utf8.RuneCountInString(c))
		}
	}
	for _, r := range all {
		var b strings.Builder
		for i, c := range r {
			b.WriteString(c)
			b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c)+columnGap))
		}
		if _, err := fmt.Fprintln(w, strings.TrimRight(b.String(), " ")); err != nil {
			return err
		}
	}
	return nil
}

// Join returns the names as one text, separated by commas.
func Join[T ~string](l []T) string {
	s := make([]string, len(l))
	for i, x := range l {
		s[i] = string(x)
	}
	return strings.Join(s, ", ")
}
