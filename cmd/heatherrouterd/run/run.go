// Package run starts the daemon from its command line and stops it on a signal.
package run

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"heatherrouter/cmd/heatherrouterd/serve"
	"heatherrouter/core/check"
	"heatherrouter/io/daemon"
	"heatherrouter/io/setup"
	"heatherrouter/platform"
)

// Version is set when the program is built.
var Version = "dev"

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitFindings = 3
)

// options is the command line.
type options struct {
	Settings string           `arg:"" optional:"" type:"path" help:"Settings file in TOML."`
	Platform bool             `help:"Run on the users' platform, whose settings file has its own format."`
	Check    bool             `help:"Check the settings and end."`
	Version  kong.VersionFlag `help:"Print the version and end."`
}

// Main runs the daemon and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	var o options
	exited := -1
	p, err := kong.New(&o, kong.Name("heatherrouterd"), kong.Vars{"version": Version}, kong.Writers(out, errs),
		kong.Description("The router's daemon. Example: heatherrouterd /etc/heatherrouter/settings.toml"),
		kong.Exit(func(c int) { exited = c }))
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailure
	}
	_, err = p.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(errs, "heatherrouterd: %v; try --help\n", err)
		return exitUsage
	}
	if o.Platform && o.Settings == "" {
		o.Settings = platform.SettingsPath()
	}
	if o.Settings == "" {
		fmt.Fprintln(errs, "heatherrouterd: name the settings file; try --help")
		return exitUsage
	}
	if o.Platform {
		return servePlatform(o, out, errs)
	}
	s, err := setup.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFindings
	}
	if o.Check {
		fmt.Fprintln(out, "settings are fine")
		return exitOK
	}
	l := &log.Logger{Level: s.LogLevel, Writer: &log.IOWriter{Writer: out}}
	l.Context = log.NewContext(nil).Str("daemon", string(s.Name)).Value()
	if err := runDaemon(s, l); err != nil {
		l.Error().Err(err).Msg("daemon failed")
		return exitFailure
	}
	return exitOK
}

// servePlatform checks or runs the daemon with the platform's settings.
func servePlatform(o options, out, errs io.Writer) int {
	if o.Check {
		if _, err := platform.LoadSettings(o.Settings); err != nil {
			fmt.Fprintln(errs, err)
			return exitFindings
		}
		fmt.Fprintln(out, "settings are fine")
		return exitOK
	}
	err := serve.Run(serve.Options{Settings: o.Settings, Version: Version, Out: out})
	var found check.Findings
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &found):
		fmt.Fprintln(errs, err)
		return exitFindings
	}
	fmt.Fprintln(errs, "heatherrouterd:", err)
	return exitFailure
}

// runDaemon runs the daemon until a signal or a failure. The first signal leaves gracefully, the second at once.
func runDaemon(s *setup.Settings, l *log.Logger) error {
	d, err := daemon.New(context.Background(), daemon.Options{Settings: s, Version: Version, Log: l})
	if err != nil {
		return err
	}
	defer d.Stop()
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-d.Done():
		return d.Wait()
	case <-c:
	}
	x, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-c
		cancel()
	}()
	d.Leave(x)
	return nil
}
