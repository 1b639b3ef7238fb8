// Command heatherrouterd is the router's daemon: entry, home, coordinator and witness in one process.
package main

import (
	"os"

	"heatherrouter/cmd/heatherrouterd/run"
)

func main() {
	os.Exit(run.Main(os.Args[1:], os.Stdout, os.Stderr))
}
