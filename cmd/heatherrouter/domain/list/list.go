// Package list is the command "domain list".
package list

import (
	"time"

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

    heatherrouter domain list
    heatherrouter domain list --json name,state`
}

// Run lists the failure domains.
func (o *Options) Run(e *cli.Env) error {
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := c.Domains(e.Context)
	if err != nil {
		return trace.Wrap(err)
	}
	t := cli.NewTable("NAME", "STATE", "SERVERS", "DAEMONS", "DRAINED BY", "SINCE")
	for i := range l {
		d := &l[i]
		since := ""
		if d.Since != nil {
			since = d.Since.UTC().Format(time.RFC3339)
		}
		t.Add(d.Name, d.State, d.Servers, d.Daemons, d.By, since)
	}
	return cli.PrintList(e, &o.JSON, l, t)
}
