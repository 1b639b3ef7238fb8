// Package list is the command "organisation list".
package list

import (
	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/cmd/heatherrouter/organisation"
)

// Options of the command.
type Options struct {
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `SENT covers the whole site if one of the queried daemons is the coordinator, and only the queried daemons otherwise.

Examples:

    heatherrouter organisation list --admin 10.1.0.15:7621
    heatherrouter organisation list --admin 10.1.0.15:7621 --json name,sent,allowed`
}

// Run lists the organisations.
func (o *Options) Run(e *cli.Env) error {
	l, err := organisation.Read(e)
	if err != nil {
		return trace.Wrap(err)
	}
	if o.Wanted() {
		return o.Print(e, l)
	}
	t := cli.NewTable("NAME", "KEYS", "RATE", "BURST", "SENT", "ALLOWED", "OVER LIMIT", "NO ANSWER")
	for _, x := range l {
		t.Add(string(x.Name), x.Keys, x.Rate, x.Burst, x.Sent, x.Allowed, x.OverLimit, x.NoAnswer)
	}
	return t.Print(e)
}
