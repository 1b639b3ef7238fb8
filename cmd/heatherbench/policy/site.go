package policy

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"heatherrouter/io/admin"
	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/load"
	"heatherrouter/io/stand"
)

const (
	publishLimit = 20 * time.Second
	startLimit   = 60 * time.Second
	warmLength   = 3 * time.Second
	calmPart     = 1000 // one request in so many may go unanswered when the measurements start
)

// start brings up the servers and, for the router, the daemons with all services in force and warm.
func (b *bench) start() error {
	for i, x := range users[b.User] {
		o := server.Options{
			Slots: slots, ServiceTime: serviceTime, ColdWork: coldWork, ConnectCost: time.Millisecond,
			ReportLag: time.Second, Seed: b.Seed + uint64(1000*i),
		}
		s := stand.Service{Name: x.name, Keyed: x.keyed}
		if x.keyed {
			s.Shards = shards
		}
		s, err := b.stand.AddService(s, x.servers, o)
		if err != nil {
			return err
		}
		if x.keyed {
			b.keyed = s
		} else {
			b.unkeyed = append(b.unkeyed, s)
		}
	}
	if !b.random {
		if err := b.stand.Start(); err != nil {
			return err
		}
		if err := b.publish(); err != nil {
			return trace.Wrap(err, "daemon's log:\n%s", b.stand.Daemons[0].LogTail())
		}
	}
	return b.warm()
}

// services returns the keyed service and the unkeyed ones.
func (b *bench) services() []stand.Service {
	return append([]stand.Service{b.keyed}, b.unkeyed...)
}

// publish publishes all services as they are now.
func (b *bench) publish() error {
	var l []admin.File
	for _, s := range b.services() {
		f, err := b.stand.File(s, slots)
		if err != nil {
			return err
		}
		l = append(l, f)
	}
	c, cancel := context.WithTimeout(context.Background(), publishLimit)
	defer cancel()
	rev, err := b.stand.Admin(0).ConfigRev(c)
	if err != nil {
		rev = 0 // no daemon answers yet; the publishing below waits for one
	}
	p := admin.Publish{Txn: stand.NewTxn(), BaseRev: rev, Files: l, By: "bench"}
	for {
		if _, err = b.stand.Admin(0).Publish(c, p); err == nil || c.Err() != nil {
			return trace.Wrap(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// warm sends the usual load until nearly every request of a few seconds is answered.
func (b *bench) warm() error {
	if b.random {
		b.warmEach()
		return nil
	}
	start := time.Now()
	err := stand.Eventually(startLimit, func() error {
		l := []load.Plan{b.probes(nil, warmLength)}
		for _, s := range b.unkeyed {
			l = append(l, b.reads(s, warmLength))
		}
		r := runAll(l)
		if f, n := failed(r...); f*calmPart > n {
			return fmt.Errorf("%d of %d requests are not answered", f, n)
		}
		return nil
	})
	overloaded, refused := 0, 0
	for _, s := range b.services() {
		for _, w := range worked(s, start) {
			switch w.Outcome {
			case fakes.FailedOutcome:
				overloaded++
			case fakes.NotRunOutcome:
				refused++
			}
		}
	}
	fmt.Fprintf(b.out, "  %s: warm after %v; %d failed, %d refused by servers\n", b.name, ms(time.Since(start)), overloaded, refused)
	return err
}

// warmEach sends each server one request after the other until it is warm: without admission, the usual load would
// push cold servers over for as long as it lasts.
func (b *bench) warmEach() {
	var l []load.Plan
	for _, s := range b.services() {
		for _, v := range s.Servers {
			l = append(l, load.Plan{
				Addrs: []string{v.Addr()}, Callers: 1, Duration: 3 * warmLength,
				Request: func(_ uint64, r *fasthttp.Request) { b.fill(r, s, "/read/x", "", unkeyedTimeout) },
			})
		}
	}
	runAll(l)
}

func (b *bench) addrs(s stand.Service, without map[*stand.Daemon]bool) []string {
	var l []string
	if b.random {
		for _, v := range s.Servers {
			l = append(l, v.Addr())
		}
		return l
	}
	for _, d := range b.stand.Daemons {
		if !without[d] {
			l = append(l, d.Entry.String())
		}
	}
	return l
}
