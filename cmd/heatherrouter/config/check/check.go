// Package check is the command "config check".
package check

import (
	"fmt"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/core/check"
	"heatherrouter/io/admin"
)

// Options of the command.
type Options struct {
	Dirs []string `arg:"" name:"dir" help:"Trees or files to check."`
	JSON bool     `name:"json" help:"Print the findings as JSON."`
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return `Collects the files heatherrouter.toml in the trees, checks each by itself and all side by side, and calls no daemon.

Examples:

    heatherrouter config check .
    heatherrouter config check ../rosters ../swaps`
}

// Run checks the files.
func (o *Options) Run(e *cli.Env) error {
	files, err := cli.Collect(o.Dirs)
	if err != nil {
		return trace.Wrap(err)
	}
	l, f := cli.CheckFiles(files)
	if o.JSON {
		return o.printJSON(e, f)
	}
	if err := f.Err(); err != nil {
		return err
	}
	if e.Terminal {
		fmt.Fprintf(e.Out, "%d service(s), no findings\n", len(l))
		return nil
	}
	t := cli.NewTable("SERVICE", "SERVERS")
	for _, s := range l {
		t.Add(s.Name, len(s.Servers))
	}
	return t.Print(e)
}

func (o *Options) printJSON(e *cli.Env, f check.Findings) error {
	j := cli.JSON{JSON: []string{"*"}}
	if err := j.Print(e, admin.FromFindings(f)); err != nil {
		return err
	}
	return f.Err()
}
