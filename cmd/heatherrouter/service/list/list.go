// Package list is the command "service list".
package list

import (
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

    heatherrouter service list
    heatherrouter service list --json name,rev`
}

// Run lists the published services.
func (o *Options) Run(e *cli.Env) error {
	l := cli.List[admin.Service]{
		Read:   (*admcli.Client).Services,
		Header: []string{"NAME", "REGION", "KEY", "SHARDS", "SERVERS", "KINDS", "REVISION", "FILE"},
		Row: func(s *admin.Service) []any {
			return []any{s.Name, s.Region, s.Key, s.Shards, s.Servers, len(s.Kinds), s.Rev, s.Path}
		},
	}
	return l.Print(e, &o.JSON)
}
