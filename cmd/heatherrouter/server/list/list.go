// Package list is the command "server list".
package list

import (
	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Service string `placeholder:"NAME" help:"Only the backend servers of this service."`
	Domain  string `placeholder:"NAME" help:"Only the backend servers in this failure domain."`
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Examples:

    heatherrouter server list --domain utrecht
    heatherrouter server list --service tabelid --json name,state,home`
}

// Run lists the backend servers.
func (o *Options) Run(e *cli.Env) error {
	l := cli.List[admin.Server]{
		Read:   (*admcli.Client).Servers,
		Wants:  o.wants,
		Header: []string{"NAME", "STATE", "DOMAIN", "ADDRESS", "HOME", "EPOCH", "SHARDS", "IN FLIGHT", "SLOTS", "QUEUED", "DRAINED BY"},
		Row: func(s *admin.Server) []any {
			return []any{s.Name, s.State, s.Domain, s.Address, s.Home, s.Epoch, s.Shards, s.InFlight, s.Slots, s.Queued, s.By}
		},
	}
	return l.Print(e, &o.JSON)
}

func (o *Options) wants(s *admin.Server) bool {
	return (o.Service == "" || string(s.Name.Service()) == o.Service) && (o.Domain == "" || string(s.Domain) == o.Domain)
}
