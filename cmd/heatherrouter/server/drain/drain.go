// Package drain is the command "server drain".
package drain

import (
	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Name string `arg:"" help:"Backend server to drain, as SERVICE/NAME."`
	cli.DrainOptions
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `The backend server gets no new work within seconds, and keeps what it is working on until that has ended.

Examples:

    heatherrouter server drain tabelid/ta-03`
}

// Run drains the backend server.
func (o *Options) Run(e *cli.Env) error {
	return o.Drain(e, admin.DrainServer, o.Name)
}
