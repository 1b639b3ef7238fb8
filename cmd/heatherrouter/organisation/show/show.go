// Package show is the command "organisation show".
package show

import (
	"slices"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/cmd/heatherrouter/organisation"
	"heatherrouter/core/ident"
)

// Options of the command.
type Options struct {
	Name string `arg:"" help:"Name of the organisation."`
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Shows an organisation's limit, the digests of its keys, and the requests sent by each daemon.

Examples:

    heatherrouter organisation show creche --admin 10.1.0.15:7621 --admin 10.1.0.16:7621
    heatherrouter organisation show creche --admin 10.1.0.15:7621 --json '*'`
}

// Run shows one organisation.
func (o *Options) Run(e *cli.Env) error {
	l, err := organisation.Read(e)
	if err != nil {
		return trace.Wrap(err)
	}
	i := slices.IndexFunc(l, func(x organisation.Organisation) bool { return x.Name == ident.Organisation(o.Name) })
	if i < 0 {
		return trace.NotFound("organisation %q not found in the active configuration; see heatherrouter organisation list", o.Name)
	}
	x := l[i]
	if o.Wanted() {
		return o.Print(e, x)
	}
	t := cli.NewTable("FIELD", "VALUE")
	t.Add("rate", x.Rate)
	t.Add("burst", x.Burst)
	t.Add("sent", x.Sent)
	t.Add("allowed", x.Allowed)
	t.Add("over limit", x.OverLimit)
	t.Add("no answer", x.NoAnswer)
	for _, d := range x.KeyDigests {
		t.Add("key", d)
	}
	if err := t.Print(e); err != nil {
		return trace.Wrap(err)
	}
	s := cli.NewTable("DAEMON", "TOKENS", "SENT")
	for _, d := range x.Daemons {
		s.Add(string(d.Daemon), d.Tokens, d.Sent)
	}
	return s.Print(e)
}
