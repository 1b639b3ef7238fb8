package demo

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/config"
	"heatherrouter/io/load"
	"heatherrouter/io/stand"
)

const (
	volumeSize = 200_000 // bytes of a streamed answer
	callers    = 12
	loadRate   = 600             // requests a second
	moveLimit  = 3 * time.Second // a key is served again within it
)

var client = &http.Client{Timeout: 20 * time.Second}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	size    int
	took    time.Duration
	err     error
}

// String formats the answer for a failure's report.
func (a answer) String() string {
	return fmt.Sprintf("status %d %s, %d bytes, %v", a.status, a.outcome, a.size, a.err)
}

// pathOf makes a path that fits a kind.
func pathOf(s *config.Service, k *config.Kind, key string) string {
	p := strings.ReplaceAll(k.Path, "**", "all")
	p = strings.ReplaceAll(p, "*", key)
	if k.Streamed && k.Methods[0] == http.MethodGet {
		p += fmt.Sprintf("?size=%d", volumeSize)
	}
	return "/" + string(s.Name) + p
}

func (d *demo) send(daemon int, s *config.Service, k *config.Kind) answer {
	start := time.Now()
	url := "http://" + d.stand.Daemons[daemon].Entry.String() + pathOf(s, k, "location-17")
	r, err := http.NewRequest(k.Methods[0], url, http.NoBody)
	if err != nil {
		return answer{err: err}
	}
	x, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer x.Body.Close()
	b, err := io.ReadAll(x.Body)
	return answer{status: x.StatusCode, outcome: x.Header.Get("Heatherrouter-Outcome"), size: len(b), took: time.Since(start), err: err}
}

func (d *demo) everyKind() error {
	d.say("One request of each kind")
	w := tabwriter.NewWriter(d.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tKIND\tMETHOD\tSTATUS\tOUTCOME\tBYTES\tTOOK")
	for i, s := range d.services {
		for j := range s.Kinds {
			k := &s.Kinds[j]
			a := d.send((i+j)%len(d.stand.Daemons), s, k)
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%v\n", s.Name, k.Name, k.Methods[0], a.status, a.outcome, a.size, a.took.Round(10*time.Microsecond))
			if a.err != nil || a.status/100 != 2 {
				_ = w.Flush()
				return trace.Errorf("%s of %s: %s", k.Name, s.Name, a)
			}
		}
	}
	return trace.Wrap(w.Flush())
}

// plan is a mixed load of the first kind of each service on the entries of some daemons.
func (d *demo) plan(daemons ...int) load.Plan {
	p := load.Plan{Callers: callers, Duration: d.Length, Rate: loadRate, Request: func(n uint64, r *fasthttp.Request) {
		s := d.services[n%uint64(len(d.services))]
		k := &s.Kinds[0]
		r.Header.SetMethod(k.Methods[0])
		r.SetRequestURI(pathOf(s, k, fmt.Sprintf("location-%d", n%997)))
	}}
	for _, i := range daemons {
		p.Addrs = append(p.Addrs, d.stand.Daemons[i].Entry.String())
	}
	return p
}

func (d *demo) print(r load.Result) {
	fmt.Fprintf(d.out, "%d requests, statuses %v, errors %d; p50 %v, p99 %v, longest %v\n", r.Sent, r.Statuses, r.Errors,
		r.Quantile(50), r.Quantile(99), r.Quantile(100))
}

func (d *demo) showLoad() error {
	d.say("A mixed load of %d requests a second on all daemons", loadRate)
	r := load.Run(d.plan(0, 1, 2))
	d.print(r)
	return r.OK()
}

func (d *demo) loseDaemon() error {
	x := d.stand.Daemons[2]
	d.say("The same load on the other daemons while %s is killed", x.Name)
	go func() {
		time.Sleep(d.Length / 8)
		x.Signal(syscall.SIGKILL)
	}()
	p := d.plan(0, 1)
	p.Duration += moveLimit
	r := load.Run(p)
	d.print(r)
	err := stand.Eventually(moveLimit, func() error {
		probe := d.plan(0, 1)
		probe.Duration = 300 * time.Millisecond
		return load.Run(probe).OK()
	})
	if err != nil {
		return trace.Wrap(err, "not all keys are served again")
	}
	fmt.Fprintln(d.out, "all keys are served again")
	x.Kill()
	return x.Start()
}

func (d *demo) drainDomain() error {
	x := d.stand.Daemons[1].Domain
	d.say("The same load while the failure domain %s is drained and restored", x)
	if err := stand.Eventually(startLimit, d.allServed); err != nil {
		return err
	}
	done := make(chan load.Result)
	p := d.plan(0, 2)
	p.Duration *= 2
	go func() { done <- load.Run(p) }()
	if err := d.client("domain", "drain", string(x)); err != nil {
		return err
	}
	time.Sleep(d.Length)
	if err := d.client("domain", "restore", string(x)); err != nil {
		return err
	}
	r := <-done
	d.print(r)
	return r.OK()
}
