// Package restore is the command "domain restore".
package restore

import (
	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Name string `arg:"" help:"Failure domain to restore."`
	cli.DrainOptions
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `The failure domain gets new work again, little at first.

Examples:

    heatherrouter domain restore utrecht`
}

// Run restores the failure domain.
func (o *Options) Run(e *cli.Env) error {
	return o.Restore(e, admin.DrainDomain, o.Name)
}
