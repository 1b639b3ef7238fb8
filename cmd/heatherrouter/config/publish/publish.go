// Package publish is the command "config publish".
package publish

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/core/ident"
	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
)

const pollEvery = 250 * time.Millisecond

// Options of the command.
type Options struct {
	Dirs        []string      `arg:"" optional:"" name:"dir" help:"Trees or files to publish."`
	Base        *uint64       `placeholder:"REV" help:"Revision that the files build on; the newest unless given."`
	Remove      []string      `placeholder:"SERVICE" help:"Service to take out of force; may be repeated."`
	Wait        bool          `help:"Return once the revision is in force at every daemon."`
	WaitTimeout time.Duration `default:"30s" help:"How long --wait waits."`
	cli.OperatorFlag
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Collects the files heatherrouter.toml in the trees, checks all, and puts them into force in one transaction. ` +
		`Services that no file names stay as they are. When somebody else publishes meanwhile, nothing is changed and ` +
		`the exit code is 4. A lost reply is settled with the same transaction.

Examples:

    heatherrouter config publish . --wait
    heatherrouter config publish rosters swaps --base 41
    heatherrouter config publish --remove old-rosters`
}

// Run publishes the files.
func (o *Options) Run(e *cli.Env) error {
	if len(o.Dirs) == 0 && len(o.Remove) == 0 {
		return cli.Usagef("config publish needs a DIR to publish or a --remove SERVICE")
	}
	q, err := o.request(e)
	if err != nil {
		return trace.Wrap(err)
	}
	c, err := e.Keyed()
	if err != nil {
		return trace.Wrap(err)
	}
	if q.BaseRev, err = o.base(e.Context, c); err != nil {
		return trace.Wrap(err)
	}
	a, err := c.Publish(e.Context, q)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := o.report(e, a); err != nil {
		return trace.Wrap(err)
	}
	if !o.Wait {
		return nil
	}
	return o.wait(e, c, a.Rev)
}

// request checks the files before any daemon is called.
func (o *Options) request(e *cli.Env) (admin.Publish, error) {
	q := admin.Publish{Txn: e.NewTxn(), By: o.Operator(e)}
	for _, n := range o.Remove {
		q.Remove = append(q.Remove, ident.Service(n))
	}
	if len(o.Dirs) == 0 {
		return q, nil
	}
	files, err := cli.Collect(o.Dirs)
	if err != nil {
		return q, trace.Wrap(err)
	}
	q.Files = files
	_, f := cli.CheckFiles(files)
	return q, f.Err()
}

func (o *Options) base(ctx context.Context, c *admcli.Client) (ident.Rev, error) {
	if o.Base != nil {
		return ident.Rev(*o.Base), nil
	}
	return c.ConfigRev(ctx)
}

func (o *Options) report(e *cli.Env, a admin.Published) error {
	if o.Wanted() {
		return o.Print(e, a)
	}
	if e.Terminal {
		return o.summary(e, a)
	}
	t := cli.NewTable("REVISION", "SERVICE", "CHANGE")
	for _, n := range a.Changed {
		t.Add(a.Rev, n, "changed")
	}
	for _, n := range a.Removed {
		t.Add(a.Rev, n, "removed")
	}
	for _, n := range a.Same {
		t.Add(a.Rev, n, "unchanged")
	}
	return t.Print(e)
}

func (o *Options) summary(e *cli.Env, a admin.Published) error {
	if len(a.Changed)+len(a.Removed) == 0 {
		_, err := fmt.Fprintf(e.Out, "nothing to publish: all %d service(s) are in force at revision %d\n", len(a.Same), a.Rev)
		return err
	}
	_, err := fmt.Fprintf(e.Out, "published as revision %d\n", a.Rev)
	for _, x := range []struct {
		label string
		names []ident.Service
	}{{"changed", a.Changed}, {"removed", a.Removed}, {"unchanged", a.Same}} {
		if err == nil && len(x.names) > 0 {
			_, err = fmt.Fprintf(e.Out, "  %s: %s\n", x.label, cli.Join(x.names))
		}
	}
	return err
}

// wait returns once every daemon holds the revision. The publish itself has been accepted by then, so a
// daemon that doesn't answer meanwhile is asked again.
func (o *Options) wait(e *cli.Env, c *admcli.Client, r ident.Rev) error {
	end := e.Clock.Now().Add(o.WaitTimeout)
	for {
		f, err := c.InForce(e.Context, r)
		if err == nil && f.Everyone {
			if e.Terminal {
				fmt.Fprintf(e.Out, "in force at all %d daemon(s)\n", len(f.Have))
			}
			return nil
		}
		if !e.Clock.Now().Before(end) {
			return late(r, o.WaitTimeout, f, err)
		}
		if err := e.Clock.Sleep(e.Context, pollEvery); err != nil {
			return late(r, o.WaitTimeout, f, err)
		}
	}
}

func late(r ident.Rev, d time.Duration, f admin.InForce, err error) error {
	why := "missing at " + cli.Join(f.Missing)
	if err != nil {
		why = trace.UserMessage(err)
		if errors.Is(err, context.Canceled) {
			why = "interrupted"
		}
	}
	return trace.LimitExceeded("revision %d is accepted, but was not seen in force everywhere within %s: %s. "+
		"It will be: don't publish again, look at `heatherrouter status`.", r, d, why)
}
