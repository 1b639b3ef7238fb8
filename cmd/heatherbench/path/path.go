// Package path measures the request path against the same load sent straight to the backend servers.
package path

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/route"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/load"
	"heatherrouter/io/stand"
)

const (
	publishLimit = 20 * time.Second
	warmLength   = 3 * time.Second
	keys         = 4096
	shards       = 256
)

// Options is the command line.
type Options struct {
	Binary  string        `default:"bin/heatherrouterd" type:"path" help:"Daemon to measure."`
	Length  time.Duration `default:"4s" help:"Of each measurement."`
	Procs   int           `default:"4" help:"Processors that each daemon may use at once, as on a small host."`
	Servers int           `default:"32" help:"Backend server stand-ins, in this process."`
}

// bench is the stand under measurement.
type bench struct {
	*Options
	stand   *stand.Stand
	service stand.Service
	out     *tabwriter.Writer
}

// Run measures and prints a table.
func (o *Options) Run(out io.Writer) error {
	dir, err := os.MkdirTemp("", "heatherbench")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	s, err := stand.New(stand.Options{Dir: dir, Binary: o.Binary, Daemons: 2, Domains: 2, Procs: o.Procs})
	if err != nil {
		return err
	}
	defer s.Close()
	b := &bench{Options: o, stand: s, out: tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)}
	if err := b.start(); err != nil {
		return trace.Wrap(err, "daemon's log:\n%s", s.Daemons[0].LogTail())
	}
	return b.measure()
}

func (b *bench) start() error {
	var err error
	x := stand.Service{Name: "keyed", Keyed: true, Shards: shards}
	if b.service, err = b.stand.AddService(x, b.Servers, server.Options{NoLog: true}); err != nil {
		return err
	}
	if err := b.stand.Start(); err != nil {
		return err
	}
	f, err := b.stand.File(b.service, 3)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(context.Background(), publishLimit)
	defer cancel()
	if _, err := b.stand.Publish(c, f); err != nil {
		return err
	}
	return stand.Eventually(publishLimit, func() error {
		r := load.Run(load.Plan{
			Addrs: []string{b.stand.Daemons[0].Entry.String()}, Callers: 8, Duration: warmLength, Request: request(nil),
		})
		return r.OK()
	})
}

// request asks for one of many keys after the other, or only those chosen.
func request(chosen []int) func(n uint64, r *fasthttp.Request) {
	return func(n uint64, r *fasthttp.Request) {
		k := int(n % keys)
		if chosen != nil {
			k = chosen[n%uint64(len(chosen))]
		}
		r.SetRequestURI(fmt.Sprintf("/keyed/read/key-%d", k))
	}
}

// homed returns the keys whose home is the daemon.
func (b *bench) homed(d ident.Daemon) ([]int, error) {
	l, err := b.stand.Admin(0).Shards(context.Background(), "keyed")
	if err != nil {
		return nil, err
	}
	var out []int
	for k := range keys {
		h := route.HashOf([]byte(fmt.Sprintf("key-%d", k)))
		if l[route.ShardOf(h, shards)].Home == d {
			out = append(out, k)
		}
	}
	return out, nil
}

// line is one measurement.
type line struct {
	name    string
	addrs   []string
	callers int
	rate    int
	keys    []int
}

func (b *bench) measure() error {
	entry := []string{b.stand.Daemons[0].Entry.String()}
	both := []string{entry[0], b.stand.Daemons[1].Entry.String()}
	var direct []string
	for _, v := range b.service.Servers {
		direct = append(direct, v.Addr())
	}
	local, err := b.homed(b.stand.Daemons[0].Name)
	if err != nil {
		return err
	}
	remote, err := b.homed(b.stand.Daemons[1].Name)
	if err != nil {
		return err
	}
	fmt.Fprintln(b.out, "path\tcallers\trate\trequests/s\tp50\tp99\tdaemon us/request\tresident MB\t")
	top := 0.0
	for _, n := range []int{8, 64} {
		for _, l := range []line{
			{name: "straight", addrs: direct, callers: n},
			{name: "entry is home", addrs: entry, callers: n, keys: local},
			{name: "one hop", addrs: entry, callers: n, keys: remote},
			{name: "both entries, all keys", addrs: both, callers: n},
		} {
			r, err := b.line(l)
			if err != nil {
				return err
			}
			top = r.PerSecond()
		}
	}
	half := int(top / 2)
	for _, l := range []line{
		{name: "straight, half load", addrs: direct, callers: 64, rate: half},
		{name: "both entries, half load", addrs: both, callers: 64, rate: half},
		{name: "one hop, half load", addrs: entry, callers: 64, rate: half, keys: remote},
	} {
		if _, err := b.line(l); err != nil {
			return err
		}
	}
	return trace.Wrap(b.out.Flush())
}

func (b *bench) line(l line) (load.Result, error) {
	before, err := b.usage()
	if err != nil {
		return load.Result{}, err
	}
	r := load.Run(load.Plan{Addrs: l.addrs, Callers: l.callers, Rate: l.rate, Duration: b.Length, Request: request(l.keys)})
	after, err := b.usage()
	if err != nil {
		return load.Result{}, err
	}
	if err := r.OK(); err != nil {
		return r, trace.Wrap(err, "%s with %d callers", l.name, l.callers)
	}
	per := float64((after.CPUTime - before.CPUTime).Microseconds()) / float64(r.Sent)
	fmt.Fprintf(b.out, "%s\t%d\t%d\t%.0f\t%v\t%v\t%.1f\t%d\t\n", l.name, l.callers, l.rate, r.PerSecond(),
		r.Quantile(50), r.Quantile(99), per, after.ResidentBytes>>20)
	return r, b.out.Flush()
}

// usage sums up both daemons.
func (b *bench) usage() (load.Usage, error) {
	var sum load.Usage
	for _, d := range b.stand.Daemons {
		u, err := load.ReadUsage(d.PID())
		if err != nil {
			return sum, err
		}
		sum.CPUTime += u.CPUTime
		sum.ResidentBytes += u.ResidentBytes
	}
	return sum, nil
}
