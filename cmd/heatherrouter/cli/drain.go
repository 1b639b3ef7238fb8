package cli

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
)

// DrainOptions are those of the commands that drain or restore something.
type DrainOptions struct {
	OperatorFlag
	JSON
}

// drained is the outcome as JSON.
type drained struct {
	Kind    admin.DrainKind `json:"kind"`
	Name    string          `json:"name"`
	Rev     uint64          `json:"rev"`
	Changed bool            `json:"changed"`
}

// Drain drains the thing of that kind and name.
func (o *DrainOptions) Drain(e *Env, k admin.DrainKind, name string) error {
	return o.run(e, (*admcli.Client).Drain, "drained", k, name)
}

// Restore undoes the drain of the thing of that kind and name.
func (o *DrainOptions) Restore(e *Env, k admin.DrainKind, name string) error {
	return o.run(e, (*admcli.Client).Restore, "restored", k, name)
}

// drainCall is one of the client's calls Drain and Restore.
type drainCall func(*admcli.Client, context.Context, admin.Drain) (admin.Drained, error)

// run makes the call and prints its outcome; done is the state that the call leads to.
func (o *DrainOptions) run(e *Env, call drainCall, done string, k admin.DrainKind, name string) error {
	c, err := e.Keyed()
	if err != nil {
		return trace.Wrap(err)
	}
	q := admin.Drain{Txn: e.NewTxn(), Kind: k, Name: name, By: o.Operator(e), Since: e.Clock.Now()}
	a, err := call(c, e.Context, q)
	if err != nil {
		return trace.Wrap(err)
	}
	if o.Wanted() {
		return o.Print(e, drained{Kind: k, Name: name, Rev: uint64(a.Rev), Changed: a.Changed})
	}
	if !a.Changed {
		done = "already " + done
	}
	if e.Terminal {
		_, err = fmt.Fprintf(e.Out, "%s %s %s with revision %d\n", k, name, done, a.Rev)
		return trace.Wrap(err)
	}
	t := NewTable("KIND", "NAME", "STATE", "REVISION")
	t.Add(k, name, done, a.Rev)
	return t.Print(e)
}
