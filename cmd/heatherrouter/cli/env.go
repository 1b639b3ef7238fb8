// Package cli is what the commands of the operators' client share: streams, tables, JSON and exit codes.
package cli

import (
	"context"
	"io"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/io/admcli"
)

// Env is what a command works with; tests hand in buffers, a set clock and a client of their own.
type Env struct {
	Context  context.Context
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool // Out is a terminal
	Clock    Clock
	Operator string // who runs the command, for other operators to read
	NewTxn   func() ident.Txn

	// Client makes the client of the admin pages that the settings name.
	Client func() (*admcli.Client, error)

	// Keyed is Client with the operator key, for calls that change something.
	Keyed func() (*admcli.Client, error)
}

// Clock is the time as commands need it.
type Clock interface {
	Now() time.Time
	// Sleep waits for d or until the context is done, whose error it then returns.
	Sleep(ctx context.Context, d time.Duration) error
}

// WallClock is the Clock of the machine.
type WallClock struct{}

// Now implements Clock.
func (WallClock) Now() time.Time {
	return time.Now()
}

// Sleep implements Clock.
func (WallClock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
