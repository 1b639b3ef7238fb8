// Command heatherbench measures the router as processes on this machine, against stand-ins.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"heatherrouter/cmd/heatherbench/control"
	"heatherrouter/cmd/heatherbench/path"
	"heatherrouter/cmd/heatherbench/policy"
	"heatherrouter/platform/soak"
)

func main() {
	var o struct {
		Path    path.Options    `cmd:"" help:"Added latency, processor time and throughput of the request path."`
		Control control.Options `cmd:"" help:"What the daemons spend on control, without load, by their number."`
		Policy  policy.Options  `cmd:"" help:"Imbalance, churn, unavailable time and tail latency, against random choice."`
		Soak    soak.Options    `cmd:"" help:"Daemons on the platform's stand-in under random faults, by seed."`
	}
	c := kong.Parse(&o, kong.Name("heatherbench"), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
