// Command heatherdemo shows the router at work: daemons as processes, stand-ins, real requests and a few failures.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"heatherrouter/cmd/heatherdemo/demo"
	"heatherrouter/platform/show"
)

type options struct {
	Platform show.Options `cmd:"" help:"Three daemons on a stand-in of the users' platform, with servers that hold keys."`
	Homes    demo.Options `cmd:"" help:"Three daemons with homes on a table service, with example services published."`
}

func main() {
	var o options
	c := kong.Parse(&o, kong.Name("heatherdemo"), kong.BindTo(os.Stdout, (*io.Writer)(nil)),
		kong.Description("Starts stand-ins and daemons, sends requests while some fail, and ends by itself."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
