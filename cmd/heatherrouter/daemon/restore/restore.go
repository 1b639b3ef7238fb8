// Package restore is the command "daemon restore".
package restore

import (
	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Name string `arg:"" help:"Daemon to restore."`
	cli.DrainOptions
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `The daemon takes duties again.

Examples:

    heatherrouter daemon restore hr-01`
}

// Run restores the daemon.
func (o *Options) Run(e *cli.Env) error {
	return o.Restore(e, admin.DrainDaemon, o.Name)
}
