// Package list is the command "domain list".
package list

import (
	"time"

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
	return `Examples:

    heatherrouter domain list
    heatherrouter domain list --json name,state`
}

// Run lists the failure domains.
func (o *Options) Run(e *cli.Env) error {
	l := cli.List[admin.Domain]{
		Read:   (*admcli.Client).Domains,
		Header: []string{"NAME", "STATE", "SERVERS", "DAEMONS", "DRAINED BY", "SINCE"},
		Row: func(d *admin.Domain) []any {
			since := ""
			if d.Since != nil {
				since = d.Since.UTC().Format(time.RFC3339)
			}
			return []any{d.Name, d.State, d.Servers, d.Daemons, d.By, since}
		},
	}
	return l.Print(e, &o.JSON)
}
