// Package fields reads the settings of a TOML file into typed values and collects every finding with its line and key.
package fields

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"heatherrouter/core/check"
)

// Table is one table of a TOML file. Its methods read settings by key. A setting that has the wrong type or is out of
// range adds a finding and yields its default, so that all settings are checked in one pass.
type Table struct {
	doc    *document
	path   string          // dotted path of the table; empty for the root
	line   int             // line of the table's header, or that of the parent if it is missing; 0 for the root
	values map[string]any  // nil if the file could not be parsed
	read   map[string]bool // keys that have been read
	tables []*Table        // tables below this one that have been read
}

// document is the state that all tables of one file share.
type document struct {
	file     string
	lines    map[string]int // line of each key, by dotted path
	findings check.Findings
}

// Parse returns the root table of a file. If the file is not valid TOML, the table has no settings and one finding.
func Parse(file string, body []byte) *Table {
	d := &document{file: file}
	t := &Table{doc: d, values: map[string]any{}, read: map[string]bool{}}
	if err := toml.Unmarshal(body, &t.values); err != nil {
		d.findings.Addf(syntaxPlace(file, err), "is no valid TOML: %s", syntaxMessage(err))
		t.values = nil
		return t
	}
	d.lines = keyLines(body)
	return t
}

func syntaxPlace(file string, err error) check.Place {
	p := check.Place{File: file}
	if e, ok := errors.AsType[*toml.DecodeError](err); ok {
		p.Line, _ = e.Position()
	}
	return p
}

func syntaxMessage(err error) string {
	if e, ok := errors.AsType[*toml.DecodeError](err); ok {
		return e.Error()
	}
	return err.Error()
}

// Valid reports whether the file is valid TOML.
func (t *Table) Valid() bool {
	return t.values != nil
}

// Addf adds a finding about a setting of the table. An empty key means the table itself.
func (t *Table) Addf(key, format string, args ...any) {
	t.doc.findings.Addf(t.Place(key), format, args...)
}

// Place returns the place of a setting. If the setting is missing, the line is that of the table.
func (t *Table) Place(key string) check.Place {
	p := check.Place{File: t.doc.file, Line: t.line, Key: join(t.path, key)}
	if l := t.doc.lines[p.Key]; l > 0 {
		p.Line = l
	}
	return p
}

// Has reports whether the setting is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// String returns a string setting, or "" when it is missing.
func (t *Table) String(key string) string {
	s, _ := get[string](t, key, "a string")
	return s
}

// RequiredString returns a string setting. It adds a finding if the setting is missing or empty.
func (t *Table) RequiredString(key string) string {
	s, ok := get[string](t, key, "a string")
	if t.Valid() && s == "" && (ok || !t.Has(key)) {
		t.Addf(key, "is missing")
	}
	return s
}

// Int returns an integer setting, or def when it is missing. The value must be from lo to hi, both included.
func (t *Table) Int(key string, def, lo, hi int) int {
	n, ok := get[int64](t, key, "a whole number")
	if !ok {
		return def
	}
	if n < int64(lo) || n > int64(hi) {
		t.Addf(key, "is %d, must be from %d to %d", n, lo, hi)
		return def
	}
	return int(n)
}

// Bool returns a boolean setting, or false when it is missing.
func (t *Table) Bool(key string) bool {
	b, _ := get[bool](t, key, "true or false")
	return b
}

// Duration returns a setting such as "1.5s", in the format of time.ParseDuration, or def when it is missing.
func (t *Table) Duration(key string, def time.Duration) time.Duration {
	s, ok := get[string](t, key, `a duration such as "500ms"`)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Addf(key, `is %q, must be a duration such as "500ms" or "1m30s"`, s)
		return def
	}
	return d
}

// Strings returns a list of strings, or nil when the setting is missing.
func (t *Table) Strings(key string) []string {
	l, ok := get[[]any](t, key, "a list of strings")
	if !ok {
		return nil
	}
	r := make([]string, 0, len(l))
	for _, x := range l {
		s, ok := x.(string)
		if !ok {
			t.Addf(key, "must be a list of strings")
			return nil
		}
		r = append(r, s)
	}
	return r
}

// Table returns a table below t. If it is missing, the result is an empty table.
func (t *Table) Table(key string) *Table {
	m, _ := get[map[string]any](t, key, "a table")
	if m == nil && t.Valid() {
		m = map[string]any{}
	}
	return t.child(join(t.path, key), m)
}

// Tables returns the elements of an array of tables, or nil when the setting is missing.
func (t *Table) Tables(key string) []*Table {
	l, ok := get[[]any](t, key, "a list of tables")
	if !ok {
		return nil
	}
	r := make([]*Table, 0, len(l))
	for i, x := range l {
		m, ok := x.(map[string]any)
		if !ok {
			t.Addf(key, "must be a list of tables")
			return nil
		}
		r = append(r, t.child(fmt.Sprintf("%s[%d]", join(t.path, key), i), m))
	}
	return r
}

func (t *Table) child(path string, m map[string]any) *Table {
	line := t.doc.lines[path]
	if line == 0 {
		line = t.line
	}
	c := &Table{doc: t.doc, path: path, line: line, values: m, read: map[string]bool{}}
	t.tables = append(t.tables, c)
	return c
}

// Findings adds a finding for each setting that has not been read and returns all findings in the order of the file.
// Without that check a misspelt key would silently leave its setting at the default.
func (t *Table) Findings() check.Findings {
	t.addUnknown()
	f := t.doc.findings
	slices.SortStableFunc(f, func(a, b check.Finding) int {
		return a.Place.Line - b.Place.Line
	})
	return f
}

// addUnknown adds a finding for each setting that has not been read, in this table and those below it.
func (t *Table) addUnknown() {
	for _, k := range sortedKeys(t.values) {
		if !t.read[k] {
			t.Addf(k, "is no known setting")
			t.read[k] = true
		}
	}
	for _, c := range t.tables {
		c.addUnknown()
	}
}

func sortedKeys(m map[string]any) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

// get reads one setting and records its key as read. It returns false if the setting is missing or has another type.
func get[T any](t *Table, key, want string) (T, bool) {
	t.read[key] = true
	v, ok := t.values[key]
	if !ok {
		var zero T
		return zero, false
	}
	x, ok := v.(T)
	if !ok {
		t.Addf(key, "must be %s", want)
	}
	return x, ok
}

// join joins a dotted path and a key. Either may be empty.
func join(path, key string) string {
	switch {
	case path == "":
		return key
	case key == "":
		return path
	default:
		return path + "." + key
	}
}
