// Package drain is the command "domain drain".
package drain

import (
	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Name string `arg:"" help:"Failure domain to drain."`
	cli.DrainOptions
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `The failure domain gets no new work within seconds, and keeps what it is working on until that has ended.

Examples:

    heatherrouter domain drain utrecht`
}

// Run drains the failure domain.
func (o *Options) Run(e *cli.Env) error {
	return o.Drain(e, admin.DrainDomain, o.Name)
}
