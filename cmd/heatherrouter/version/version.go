// Package version is the command "version".
package version

import (
	"runtime"
	"runtime/debug"

	"github.com/gravitational/trace"

	"heatherrouter/cmd/heatherrouter/cli"
)

// Options of the command.
type Options struct {
	cli.JSON
}

// info is what the command prints.
type info struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Run prints the version that the program was built from.
func (o *Options) Run(e *cli.Env) error {
	i := read()
	if o.Wanted() {
		return trace.Wrap(o.Print(e, i))
	}
	t := cli.NewTable("VERSION", "REVISION", "GO")
	t.Add(i.Version, i.Revision, i.Go)
	return t.Print(e)
}

func read() info {
	i := info{Version: "devel", Revision: "unknown", Go: runtime.Version()}
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return i
	}
	if v := b.Main.Version; v != "" && v != "(devel)" {
		i.Version = v
	}
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			i.Revision = s.Value
		}
	}
	return i
}
