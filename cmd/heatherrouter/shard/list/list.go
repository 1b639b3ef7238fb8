// Package list is the command "shard list".
package list

import (
	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Service string `arg:"" help:"Keyed service whose shards to list."`
	Server  string `placeholder:"NAME" help:"Only the shards of this backend server."`
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `PREVIOUS is the last owner of a shard that has not released it yet.

Examples:

    heatherrouter shard list tabelid
    heatherrouter shard list tabelid --server tabelid/ta-03 --json shard,epoch`
}

// Run lists the shards of a service.
func (o *Options) Run(e *cli.Env) error {
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	all, err := c.Shards(e.Context, ident.Service(o.Service))
	if err != nil {
		return trace.Wrap(err)
	}
	var l []admin.Shard
	t := cli.NewTable("SHARD", "SERVER", "EPOCH", "HOME", "PREVIOUS")
	for i := range all {
		s := &all[i]
		if o.Server != "" && string(s.Server) != o.Server {
			continue
		}
		l = append(l, *s)
		t.Add(s.Shard, s.Server, s.Epoch, s.Home, s.Previous)
	}
	return cli.PrintList(e, &o.JSON, l, t)
}
