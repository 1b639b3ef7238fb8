// Package serve is the command that runs the daemon on the users' platform.
package serve

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"heatherrouter/io/lines"
	"heatherrouter/io/node"
	"heatherrouter/platform"
)

// Options are what the command needs.
type Options struct {
	Settings string // path of the platform's settings file
	Version  string
	Out      io.Writer
}

// Run runs the daemon until a signal to stop or a failure. The first signal leaves gracefully, the second at once.
func Run(o Options) error {
	s, err := platform.LoadSettings(o.Settings)
	if err != nil {
		return err
	}
	out := lines.New(o.Out)
	defer out.Close()
	l := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}
	l.Context = log.NewContext(nil).Str("daemon", string(s.Name)).Value()
	// Before anything that takes time: without a handler, a signal to read the settings again ends the process.
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	st := platform.NewStore(s.Store)
	defer st.Close()
	n, err := node.New(context.Background(), node.Options{
		Settings: s, Version: o.Version, Log: l,
		Platform: node.Platform{
			Store: st, Decoder: platform.Decoder{}, Dialect: platform.Dialect(), OrderCodec: platform.OrderCodec{},
		},
	})
	if err != nil {
		l.Error().Err(err).Msg("daemon not started")
		return err
	}
	err = await(o, n, c, l)
	within(l, stopTimeout, "stop of the components", n.Stop)
	return err
}

const (
	// stopTimeout bounds the time in which the components stop.
	stopTimeout = time.Second

	// failureDrainTimeout bounds the time in which the requests in progress are answered after a component has failed.
	failureDrainTimeout = time.Second
)

// within runs f, and goes on without its end after the timeout: a process that doesn't end serves nobody, and it isn't replaced.
func within(l *log.Logger, timeout time.Duration, name string, f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
		l.Error().Str("step", name).Dur("timeout", timeout).Msg("step did not end in time, the process ends without it")
	}
}

// await returns when the daemon has left after a signal, or with an error when one of its components has failed.
func await(o Options, n *node.Node, c <-chan os.Signal, l *log.Logger) error {
	for {
		select {
		case <-n.Done():
			err := trace.Wrap(n.Wait())
			l.Error().Err(err).Msg("component failed, the process ends")
			x, cancel := context.WithTimeout(context.Background(), failureDrainTimeout)
			defer cancel()
			within(l, 2*failureDrainTimeout, "drain of callers", func() { n.EndRequests(x) })
			return err
		case s := <-c:
			if s == syscall.SIGHUP {
				reload(o, l)
				continue
			}
			within(l, n.GracePeriod(), "departure", func() { leave(n, c) })
			return nil
		}
	}
}

// reload reads the settings again. Addresses and names stay for as long as the process runs; what else a daemon needs
// comes from the store.
func reload(o Options, l *log.Logger) {
	_, err := platform.LoadSettings(o.Settings)
	l.Info().Err(err).Str("settings", o.Settings).Msg("settings read again")
}

func leave(n *node.Node, c <-chan os.Signal) {
	x, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for s := range c {
			if s != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}()
	n.Shutdown(x)
}
