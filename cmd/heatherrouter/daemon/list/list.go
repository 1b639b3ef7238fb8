// Package list is the command "daemon list".
package list

import (
	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
)

// Options of the command.
type Options struct {
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Lists the daemons as the one that answers sees them.

Examples:

    heatherrouter daemon list
    heatherrouter daemon list --json name,state`
}

// Run lists the daemons.
func (o *Options) Run(e *cli.Env) error {
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	s, err := c.Status(e.Context)
	if err != nil {
		return trace.Wrap(err)
	}
	return cli.PrintList(e, &o.JSON, s.Daemons, cli.DaemonTable(s.Daemons))
}
