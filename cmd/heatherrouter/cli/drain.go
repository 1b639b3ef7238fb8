package cli

import (
	"fmt"

	"github.com/gravitational/trace"

	"heatherrouter/io/admin"
)

// DrainOptions are those of the commands that drain or restore something.
type DrainOptions struct {
	By string `placeholder:"NAME" help:"Who does it, for other operators to read; the login name unless given."`
	JSON
}

// drained is what the commands print as JSON.
type drained struct {
	Kind    admin.DrainKind `json:"kind"`
	Name    string          `json:"name"`
	Rev     uint64          `json:"rev"`
	Changed bool            `json:"changed"`
}

// Drain drains one thing, or restores it.
func (o *DrainOptions) Drain(e *Env, k admin.DrainKind, name string, on bool) error {
	c, err := e.Keyed()
	if err != nil {
		return trace.Wrap(err)
	}
	q := admin.Drain{Txn: e.NewTxn(), Kind: k, Name: name, By: o.By, Since: e.Clock.Now()}
	if q.By == "" {
		q.By = e.Operator
	}
	call, verb := c.Restore, "restored"
	if on {
		call, verb = c.Drain, "drained"
	}
	a, err := call(e.Context, q)
	if err != nil {
		return trace.Wrap(err)
	}
	if o.Wanted() {
		return o.Print(e, drained{Kind: k, Name: name, Rev: uint64(a.Rev), Changed: a.Changed})
	}
	if !a.Changed {
		verb = "already " + verb
	}
	t := NewTable("KIND", "NAME", "STATE", "REVISION")
	t.Add(k, name, verb, a.Rev)
	if e.Terminal {
		_, err = fmt.Fprintf(e.Out, "%s %s %s with revision %d\n", k, name, verb, a.Rev)
		return trace.Wrap(err)
	}
	return t.Print(e)
}
