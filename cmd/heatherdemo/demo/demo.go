// Package demo runs the demo: a small site with the example services, from the first publish to a lost daemon.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/check"
	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/route"
	"heatherrouter/io/admin"
	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/stand"
)

const (
	startLimit  = 30 * time.Second
	serviceTime = 4 * time.Millisecond // mean of the stand-ins
	coldWork    = 20                   // requests until a stand-in is warm
)

// Options is the command line.
type Options struct {
	Daemon   string        `default:"bin/heatherrouterd" type:"path" help:"Daemon to show."`
	Client   string        `default:"bin/heatherrouter" type:"path" help:"Operators' client to show."`
	Examples string        `default:"examples/van-doorn" type:"path" help:"Folder with service files."`
	Length   time.Duration `default:"4s" help:"Of each load."`
}

// demo is one run.
type demo struct {
	Options
	out      io.Writer
	dir      string
	stand    *stand.Stand
	services []*config.Service
}

// Run shows the demo and returns an error when something did not go as it should.
func (o *Options) Run(out io.Writer) error {
	dir, err := os.MkdirTemp("", "heatherdemo")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	d := &demo{Options: *o, out: out, dir: dir}
	err = d.run()
	if err != nil {
		return trace.Wrap(err, "the logs are in %s", dir)
	}
	return trace.ConvertSystemError(os.RemoveAll(dir))
}

func (d *demo) run() error {
	if err := d.start(); err != nil {
		return err
	}
	defer d.stand.Close()
	for _, f := range []func() error{d.publish, d.showOwners, d.everyKind, d.showLoad, d.loseDaemon, d.drainDomain, d.judge} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// say prints a headline.
func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "\n== "+format+"\n", args...)
}

// start reads the examples, and starts their backend servers as stand-ins and three daemons.
func (d *demo) start() error {
	if err := d.readServices(); err != nil {
		return err
	}
	domains := domainsOf(d.services)
	d.say("Starting the platform's stand-ins, the backend servers of %d services and a daemon in each of %v", len(d.services), domains[:3])
	s, err := stand.New(stand.Options{
		Dir: d.dir, Binary: d.Daemon, Daemons: 3, Domains: 3, Names: domains[:3], Region: d.services[0].Region, Servers: d.servers(),
	})
	if err != nil {
		return err
	}
	d.stand = s
	return s.Start()
}

// servers returns the options of the examples' backend servers.
func (d *demo) servers() []server.Options {
	var l []server.Options
	for _, x := range d.services {
		for i, v := range x.Servers {
			l = append(l, server.Options{
				Name: v.ID, Addr: v.Addr.String(), Slots: v.Slots, Conns: v.Conns, ChecksGrants: v.ChecksGrants,
				ServiceTime: server.Exponential{Mean: serviceTime}, Seed: uint64(i), ColdWork: coldWork,
			})
		}
	}
	return l
}

func (d *demo) readServices() error {
	files, err := filepath.Glob(filepath.Join(d.Examples, "*", "heatherrouter.toml"))
	if err != nil {
		return trace.Wrap(err)
	}
	var l []admin.File
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		l = append(l, admin.File{Path: f, Body: string(b)})
	}
	var found check.Findings
	if d.services, found = admin.ParseFiles(l); len(d.services) == 0 {
		return trace.NotFound("no service files below %s", d.Examples)
	}
	return found.Err()
}

// domainsOf returns the failure domains in the order in which the files name them.
func domainsOf(l []*config.Service) []ident.Domain {
	var out []ident.Domain
	seen := map[ident.Domain]bool{}
	for _, s := range l {
		for i := range s.Servers {
			if n := s.Servers[i].Domain; !seen[n] {
				seen[n] = true
				out = append(out, n)
			}
		}
	}
	return out
}

// client runs the operators' client as an operator would.
func (d *demo) client(args ...string) error {
	fmt.Fprintf(d.out, "$ heatherrouter %s\n", args)
	for _, x := range d.stand.Daemons {
		args = append(args, "--admin", x.Admin.String())
	}
	args = append(args, "--key-file", filepath.Join(d.dir, "operator.key"))
	c := exec.Command(d.Client, args...) //nolint:gosec // our own binary
	c.Stdout, c.Stderr = d.out, d.out
	return trace.Wrap(c.Run(), "heatherrouter %v", args)
}

func (d *demo) publish() error {
	d.say("Publishing the service files in %s", filepath.Base(d.Examples))
	err := stand.Eventually(startLimit, func() error {
		_, err := d.stand.Admin(0).Status(context.Background())
		return err
	})
	if err != nil {
		return err
	}
	if err := d.client("config", "check", d.Examples); err != nil {
		return err
	}
	if err := d.client("config", "publish", d.Examples, "--wait"); err != nil {
		return err
	}
	return stand.Eventually(startLimit, d.allServed)
}

// allServed reports whether each daemon answers for each service.
func (d *demo) allServed() error {
	for _, s := range d.services {
		for i := range d.stand.Daemons {
			if a := d.send(i, s, &s.Kinds[0]); a.status/100 != 2 {
				return trace.Errorf("%s at %s: %s", s.Name, d.stand.Daemons[i].Name, a)
			}
		}
	}
	return nil
}

func (d *demo) showOwners() error {
	d.say("Who owns what: the home of each backend server, and how many shards the server owns")
	l, err := d.stand.Admin(0).Servers(context.Background())
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(d.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SERVER\tDOMAIN\tHOME\tEPOCH\tSHARDS\tSTATE")
	for _, x := range l {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", x.Name, x.Domain, x.Home, x.Epoch, x.Shards, x.State)
	}
	return trace.Wrap(w.Flush())
}

// judge checks the logs of the backend servers.
func (d *demo) judge() error {
	d.say("What the backend servers' own logs say")
	l := d.stand.Work()
	owners, twice := fakes.OneOwner(l), fakes.AtMostOnce(d.once(l))
	fmt.Fprintf(d.out, "%d requests ran; keys with two owners: %d; requests that must not run twice and did: %d\n",
		len(l), len(owners), len(twice))
	return append(owners, twice...).Err()
}

// once returns the work of kinds that must not run twice; the others may be sent again after an unknown outcome.
func (d *demo) once(l []fakes.Work) []fakes.Work {
	t := route.New(d.services)
	key := func(string) []byte { return []byte("any") }
	return slices.DeleteFunc(slices.Clone(l), func(w fakes.Work) bool {
		m, err := t.Match([]byte(w.Method), []byte("/"+string(w.Server.Service())+w.Path), key, key)
		return err == nil && m.Kind.Idempotent
	})
}
