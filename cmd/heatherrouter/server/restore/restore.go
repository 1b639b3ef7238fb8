// Package restore is the command "server restore".
package restore

import (
	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Name string `arg:"" help:"Backend server to restore, as SERVICE/NAME."`
	cli.DrainOptions
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `The backend server gets new work again, little at first.

Examples:

    heatherrouter server restore tabelid/ta-03`
}

// Run restores the backend server.
func (o *Options) Run(e *cli.Env) error {
	return o.Restore(e, admin.DrainServer, o.Name)
}
