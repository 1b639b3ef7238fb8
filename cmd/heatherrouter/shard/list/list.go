// Package list is the command "shard list".
package list

import (
	"context"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/core/ident"
	"heatherrouter/io/admcli"
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
	l := cli.List[admin.Shard]{
		Read: func(c *admcli.Client, ctx context.Context) ([]admin.Shard, error) {
			return c.Shards(ctx, ident.Service(o.Service))
		},
		Wants:  func(s *admin.Shard) bool { return o.Server == "" || string(s.Server) == o.Server },
		Header: []string{"SHARD", "SERVER", "EPOCH", "HOME", "PREVIOUS"},
		Row: func(s *admin.Shard) []any {
			return []any{s.Shard, s.Server, s.Epoch, s.Home, s.Previous}
		},
	}
	return l.Print(e, &o.JSON)
}
