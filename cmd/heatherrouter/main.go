// Command heatherrouter is the operators' client.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"golang.org/x/term"

	"heatherrouter/cmd/heatherrouter/cli"
	"heatherrouter/cmd/heatherrouter/root"
	"heatherrouter/core/ident"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e := &cli.Env{
		Context:  ctx,
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Terminal: term.IsTerminal(int(os.Stdout.Fd())),
		Clock:    cli.WallClock{},
		Operator: operator(),
		NewTxn:   func() ident.Txn { return ident.Txn(strings.ToLower(rand.Text())) },
	}
	return int(root.Run(e, os.Args[1:], root.Dial))
}

// operator returns the login name.
func operator() string {
	for _, k := range []string{"USER", "LOGNAME"} {
		if n := os.Getenv(k); n != "" {
			return n
		}
	}
	return "unknown"
}
