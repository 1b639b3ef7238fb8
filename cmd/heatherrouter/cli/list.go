package cli

import (
	"context"

	"github.com/gravitational/trace"

	"heatherrouter/io/admcli"
)

// List is a list that a command reads from a daemon and prints.
type List[T any] struct {
	Read   func(*admcli.Client, context.Context) ([]T, error)
	Wants  func(*T) bool // nil for all
	Header []string
	Row    func(*T) []any
}

// Print reads the list and writes it as a table, or as JSON if the flag was given.
func (l *List[T]) Print(e *Env, j *JSON) error {
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	all, err := l.Read(c, e.Context)
	if err != nil {
		return trace.Wrap(err)
	}
	wanted := []T{} // not nil, which JSON would show as null
	t := NewTable(l.Header...)
	for i := range all {
		if l.Wants != nil && !l.Wants(&all[i]) {
			continue
		}
		wanted = append(wanted, all[i])
		t.Add(l.Row(&all[i])...)
	}
	if j.Wanted() {
		return j.Print(e, wanted)
	}
	return t.Print(e)
}
