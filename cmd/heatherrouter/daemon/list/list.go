// Package list is the command "daemon list".
package list

import (
	"context"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
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
	l := cli.List[admin.Daemon]{
		Read: func(c *admcli.Client, ctx context.Context) ([]admin.Daemon, error) {
			s, err := c.Status(ctx)
			return s.Daemons, err
		},
		Header: cli.DaemonHeader,
		Row:    cli.DaemonRow,
	}
	return l.Print(e, &o.JSON)
}
