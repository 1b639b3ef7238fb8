// Package control measures what the daemons spend on control, without any load, at several numbers of them.
package control

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/load"
	"heatherrouter/io/stand"
)

const (
	startLimit = 60 * time.Second
	perService = 15  // backend servers
	shards     = 512 // of the keyed service
)

// Options is the command line.
type Options struct {
	Binary  string        `default:"bin/heatherrouterd" type:"path" help:"Daemon to measure."`
	Daemons []int         `default:"3,6,12,24" help:"Numbers of daemons to measure, one after the other."`
	Servers int           `default:"60" help:"Backend servers in all, fifteen a service, one service of four keyed."`
	Settle  time.Duration `default:"12s" help:"Before each measurement."`
	Length  time.Duration `default:"10s" help:"Of each measurement."`
}

// Run measures and prints a table.
func (o *Options) Run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "daemons\tservers\tcpu %/daemon\tmax cpu %\tsent B/s/daemon\tmax sent B/s\tconns/daemon\tresident MB/daemon\ttable reads/s\ttable writes/s\t")
	for _, n := range o.Daemons {
		if err := o.measure(n, w); err != nil {
			return trace.Wrap(err, "%d daemons", n)
		}
		if err := w.Flush(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (o *Options) measure(n int, w io.Writer) error {
	dir, err := os.MkdirTemp("", "heatherbench")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	s, err := stand.New(stand.Options{Dir: dir, Binary: o.Binary, Daemons: n, Domains: 3, Procs: 2})
	if err != nil {
		return err
	}
	defer s.Close()
	if err := o.start(s); err != nil {
		return err
	}
	time.Sleep(o.Settle)
	before, err := read(s)
	if err != nil {
		return err
	}
	time.Sleep(o.Length)
	after, err := read(s)
	if err != nil {
		return err
	}
	o.print(w, before, after)
	return nil
}

func (o *Options) start(s *stand.Stand) error {
	var files []admin.File
	for i := 0; i*perService < o.Servers; i++ {
		x, err := s.AddService(stand.Service{Name: ident.Service(fmt.Sprintf("service-%d", i)), Keyed: i%4 == 0, Shards: shards},
			min(perService, o.Servers-i*perService), server.Options{NoLog: true})
		if err != nil {
			return err
		}
		f, err := s.File(x, 3)
		if err != nil {
			return err
		}
		files = append(files, f)
	}
	if err := s.Start(); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if _, err := s.Publish(c, files...); err != nil {
		return err
	}
	return stand.Eventually(startLimit, func() error {
		l, err := s.Admin(0).Servers(c)
		for _, x := range l {
			if x.Home == "" {
				return trace.NotFound("server %s has no home", x.Name)
			}
		}
		return err
	})
}

// reading is what all daemons have spent so far.
type reading struct {
	at      time.Time
	daemons []spent
	reads   float64
	writes  float64
}

type spent struct {
	usage load.Usage
	sent  float64
	conns float64
}

func read(s *stand.Stand) (reading, error) {
	r := reading{at: time.Now()}
	for _, d := range s.Daemons {
		u, err := load.ReadUsage(d.PID())
		if err != nil {
			return r, err
		}
		m, err := metrics(d)
		if err != nil {
			return r, err
		}
		r.daemons = append(r.daemons, spent{usage: u, sent: m["heatherrouter_peer_sent_bytes"], conns: m["heatherrouter_peer_connections"]})
	}
	c := s.Table.Counts()
	r.reads, r.writes = float64(c.Reads), float64(c.Writes)
	return r, nil
}

// metrics reads the plain values of a daemon's metrics page.
func metrics(d *stand.Daemon) (map[string]float64, error) {
	r, err := http.Get("http://" + d.Admin.String() + "/metrics")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m := map[string]float64{}
	for _, l := range strings.Split(string(b), "\n") {
		if name, value, ok := strings.Cut(l, " "); ok && !strings.HasPrefix(l, "#") {
			if x, err := strconv.ParseFloat(value, 64); err == nil {
				m[name] = x
			}
		}
	}
	return m, nil
}

func (o *Options) print(w io.Writer, a, b reading) {
	t := b.at.Sub(a.at).Seconds()
	n := float64(len(b.daemons))
	var cpu, maxCPU, sent, maxSent, conns, resident float64
	for i := range b.daemons {
		c := (b.daemons[i].usage.CPUTime - a.daemons[i].usage.CPUTime).Seconds() / t * 100
		s := (b.daemons[i].sent - a.daemons[i].sent) / t
		cpu, sent, conns = cpu+c/n, sent+s/n, conns+b.daemons[i].conns/n
		maxCPU, maxSent = max(maxCPU, c), max(maxSent, s)
		resident += float64(b.daemons[i].usage.ResidentBytes>>20) / n
	}
	fmt.Fprintf(w, "%d\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\t%.1f\t\n", len(b.daemons), o.Servers, cpu, maxCPU, sent, maxSent,
		conns, resident, (b.reads-a.reads)/t, (b.writes-a.writes)/t)
}
