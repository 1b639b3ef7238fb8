// Command heatherfakes runs the stand-ins for the platform and for backend servers as a process of its own.
//
// It prints one JSON line with the addresses when everything listens, and ends on SIGTERM, on SIGINT, or by itself
// after --for.
package main

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"heatherrouter/io/fakes"
)

// args is the command line.
type args struct {
	For time.Duration `default:"10m" help:"End after this time."`

	Table  tableArgs  `cmd:"" help:"Run a table service stand-in (DynamoDB API)."`
	Hosts  hostsArgs  `cmd:"" help:"Run a host list stand-in."`
	Server serverArgs `cmd:"" help:"Run backend server stand-ins."`
	Relay  relayArgs  `cmd:"" help:"Run a relay that can be cut."`
	All    allArgs    `cmd:"" help:"Run the table service, the host list and backend servers in one process."`
}

// closer is what runs until the end of the process.
type closer interface {
	Close()
}

// subcommand starts the stand-ins that it is for.
type subcommand interface {
	start(r *ready) ([]closer, error)
}

// ready is the line that is printed when everything listens.
type ready struct {
	Table         *fakePlace    `json:"table,omitempty"`
	Hosts         *fakePlace    `json:"hosts,omitempty"`
	Relay         *fakePlace    `json:"relay,omitempty"`
	Servers       []serverPlace `json:"servers,omitempty"`
	ServerControl string        `json:"server-control,omitempty"`
}

// fakePlace is where one stand-in and its control page are found.
type fakePlace struct {
	URL     string `json:"url"`
	Control string `json:"control,omitempty"`
}

type serverPlace struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

func main() {
	var a args
	c := kong.Parse(&a, kong.Name("heatherfakes"),
		kong.Description("Stand-ins for the platform and for backend servers, for tests and trials."))
	p, ok := c.Selected().Target.Addr().Interface().(subcommand)
	if !ok {
		c.FatalIfErrorf(c.PrintUsage(false))
		return
	}
	if err := run(p, a.For); err != nil {
		log.Error().Err(err).Msg("stand-ins can't start")
		os.Exit(1)
	}
}

func run(p subcommand, d time.Duration) error {
	// Asked for before anything listens, so that a stop right after the line isn't missed.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var r ready
	l, err := p.start(&r)
	defer func() {
		for _, x := range l {
			x.Close()
		}
	}()
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	select {
	case <-stop:
	case <-time.After(d):
	}
	return nil
}

type tableArgs struct {
	Addr     string `default:"127.0.0.1:0" help:"Address of the service."`
	Control  string `default:"127.0.0.1:0" help:"Address of the control page."`
	PageRows int    `default:"100" help:"Most rows of one answer to a query."`
}

func (a *tableArgs) start(r *ready) ([]closer, error) {
	t, err := fakes.NewTable(fakes.TableOptions{Addr: a.Addr, ControlAddr: a.Control, PageRows: a.PageRows})
	if err != nil {
		return nil, err
	}
	r.Table = &fakePlace{t.URL(), t.ControlURL()}
	return []closer{t}, nil
}

type hostsArgs struct {
	Addr string        `default:"127.0.0.1:0" help:"Address of the page."`
	Lag  time.Duration `help:"How late the list shows what was set."`
}

func (a *hostsArgs) start(r *ready) ([]closer, error) {
	h, err := fakes.NewHosts(fakes.HostsOptions{Addr: a.Addr, Lag: a.Lag})
	if err != nil {
		return nil, err
	}
	r.Hosts = &fakePlace{URL: h.URL()}
	return []closer{h}, nil
}

// allArgs has every part's flags, each with its prefix.
type allArgs struct {
	Table  tableArgs  `embed:"" prefix:"table-"`
	Hosts  hostsArgs  `embed:"" prefix:"hosts-"`
	Server serverArgs `embed:""`
}

func (a *allArgs) start(r *ready) ([]closer, error) {
	var l []closer
	for _, p := range []subcommand{&a.Table, &a.Hosts, &a.Server} {
		x, err := p.start(r)
		l = append(l, x...)
		if err != nil {
			return l, err
		}
	}
	return l, nil
}
