// Package list is the command "server list".
package list

import (
	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
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
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	all, err := c.Servers(e.Context)
	if err != nil {
		return trace.Wrap(err)
	}
	var l []admin.Server
	t := cli.NewTable("NAME", "STATE", "DOMAIN", "ADDRESS", "HOME", "EPOCH", "SHARDS", "IN FLIGHT", "SLOTS", "QUEUED", "DRAINED BY")
	for i := range all {
		s := &all[i]
		if !o.wants(s) {
			continue
		}
		l = append(l, *s)
		t.Add(s.Name, s.State, s.Domain, s.Address, s.Home, s.Epoch, s.Shards, s.InFlight, s.Slots, s.Queued, s.By)
	}
	return cli.PrintList(e, &o.JSON, l, t)
}

func (o *Options) wants(s *admin.Server) bool {
	return (o.Service == "" || string(s.Name.Service()) == o.Service) && (o.Domain == "" || string(s.Domain) == o.Domain)
}
