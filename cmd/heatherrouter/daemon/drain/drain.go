// Package drain is the command "daemon drain".
package drain

import (
	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Name string `arg:"" help:"Daemon to drain."`
	cli.DrainOptions
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `The daemon takes no new duties, hands over those it has, and ends what it is working on.

Examples:

    heatherrouter daemon drain hr-01`
}

// Run drains the daemon.
func (o *Options) Run(e *cli.Env) error {
	return o.Drain(e, admin.DrainDaemon, o.Name)
}
