// Package list is the command "service list".
package list

import (
	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
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
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := c.Services(e.Context)
	if err != nil {
		return trace.Wrap(err)
	}
	t := cli.NewTable("NAME", "REGION", "KEY", "SHARDS", "SERVERS", "KINDS", "REVISION", "FILE")
	for i := range l {
		s := &l[i]
		t.Add(s.Name, s.Region, s.Key, s.Shards, s.Servers, len(s.Kinds), s.Rev, s.Path)
	}
	return cli.PrintList(e, &o.JSON, l, t)
}
