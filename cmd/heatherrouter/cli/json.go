package cli

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// allFields stands for every field.
const allFields = "*"

// JSON is the flag of commands that print JSON instead of a table.
type JSON struct {
	JSON []string `name:"json" placeholder:"FIELDS" help:"Print JSON with these fields, separated by commas; \"*\" for all, an unknown one to see their names."`
}

// Wanted reports whether the flag was given.
func (j *JSON) Wanted() bool {
	return len(j.JSON) > 0
}

// Print writes a struct or a list of structs with the wanted fields.
func (j *JSON) Print(e *Env, v any) error {
	known := fieldsOf(reflect.TypeOf(v))
	for _, f := range j.JSON {
		if f != allFields && !slices.Contains(known, f) {
			return Usagef("--json knows no field %q; there are: %s", f, strings.Join(known, ", "))
		}
	}
	b, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	if !slices.Contains(j.JSON, allFields) {
		if b, err = pick(b, j.JSON); err != nil {
			return trace.Wrap(err)
		}
	}
	if e.Terminal {
		b = indent(b)
	}
	_, err = e.Out.Write(append(b, '\n'))
	return trace.Wrap(err)
}

// fieldsOf returns the names that a struct's fields have in JSON.
func fieldsOf(t reflect.Type) []string {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var l []string
	for f := range t.Fields() {
		if n, _, _ := strings.Cut(f.Tag.Get("json"), ","); n != "" && n != "-" {
			l = append(l, n)
		}
	}
	return l
}

// pick keeps the fields of an object, or of each object in a list.
func pick(b []byte, fields []string) ([]byte, error) {
	if !bytes.HasPrefix(b, []byte("[")) {
		var m map[string]json.RawMessage
		if err := json.Unmarshal(b, &m); err != nil {
			return nil, err
		}
		return json.Marshal(keep(m, fields))
	}
	l := []map[string]json.RawMessage{}
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, err
	}
	for i := range l {
		l[i] = keep(l[i], fields)
	}
	return json.Marshal(l)
}

// keep returns the fields of an object; one left out for being empty reads as null.
func keep(m map[string]json.RawMessage, fields []string) map[string]json.RawMessage {
	r := make(map[string]json.RawMessage, len(fields))
	for _, f := range fields {
		r[f] = m[f]
	}
	return r
}

func indent(b []byte) []byte {
	var o bytes.Buffer
	if err := json.Indent(&o, b, "", "  "); err != nil {
		return b
	}
	return o.Bytes()
}
