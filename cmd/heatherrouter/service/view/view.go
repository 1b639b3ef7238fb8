// Package view is the command "service view".
package view

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Name string `arg:"" help:"Service to show."`
	File bool   `help:"Print the published file itself."`
	cli.JSON
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Examples:

    heatherrouter service view tabelid
    heatherrouter service view tabelid --file > heatherrouter.toml`
}

// Run shows one service.
func (o *Options) Run(e *cli.Env) error {
	c, err := e.Client()
	if err != nil {
		return trace.Wrap(err)
	}
	s, err := c.Service(e.Context, ident.Service(o.Name))
	if err != nil {
		return trace.Wrap(err)
	}
	switch {
	case o.Wanted():
		return o.Print(e, s)
	case o.File:
		_, err = fmt.Fprint(e.Out, s.File)
		return trace.Wrap(err)
	default:
		return show(e, &s)
	}
}

func show(e *cli.Env, s *admin.Service) error {
	if e.Terminal {
		key := s.Key
		if key == "" {
			key = "none"
		}
		fmt.Fprintf(e.Out, "%s in region %s, revision %d, from %s\n", s.Name, s.Region, s.Rev, s.Path)
		fmt.Fprintf(e.Out, "key: %s; shards: %d; servers: %d\n\n", key, s.Shards, s.Servers)
	}
	t := cli.NewTable("KIND", "METHODS", "PATH", "TIMEOUT", "PRIORITY", "POLICY")
	for i := range s.Kinds {
		k := &s.Kinds[i]
		t.Add(k.Name, strings.Join(k.Methods, ","), k.Path, k.Timeout, k.Priority, policy(k))
	}
	return t.Print(e)
}

func policy(k *admin.Kind) string {
	l := []string{}
	for _, x := range []struct {
		on   bool
		name string
	}{
		{k.Idempotent, "idempotent"},
		{k.MayWait, "may-wait"},
		{k.NeverDropped, "never-dropped"},
		{k.Streamed, "streamed"},
	} {
		if x.on {
			l = append(l, x.name)
		}
	}
	return strings.Join(l, ",")
}
