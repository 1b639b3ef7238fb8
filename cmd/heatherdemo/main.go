// Command heatherdemo shows the router at work: daemons as processes, stand-ins, real requests and a few failures.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"heatherrouter/cmd/heatherdemo/demo"
)

func main() {
	var o demo.Options
	c := kong.Parse(&o, kong.Name("heatherdemo"), kong.BindTo(os.Stdout, (*io.Writer)(nil)),
		kong.Description("Starts stand-ins and three daemons, publishes example services, sends requests, and ends by itself."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
