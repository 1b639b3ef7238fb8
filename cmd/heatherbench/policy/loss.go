package policy

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/load"
	"heatherrouter/io/stand"
)

const (
	restartAfter = 2 * time.Second // of load, until something happens
	noNewWork    = 3 * time.Second // after a drain
	callLimit    = 20 * time.Second
)

// event is something that happens under load.
type event struct {
	name    string
	target  string // for the unavailable time
	planned bool
	without map[*stand.Daemon]bool // entries that callers don't use: the balancer sees that they are gone
	happen  func() error
	victims map[ident.Server]bool // whose keys have to move
}

// underLoad lets the event happen under load, and notes the unavailable time of keys and the failed requests.
func (b *bench) underLoad(e event) error {
	b.settle()
	start := time.Now()
	length := restartAfter + b.Length
	u := b.reads(b.unkeyed[0], length)
	if !b.random {
		u.Addrs = b.addrs(b.unkeyed[0], e.without)
		u.Pick = balancer(callers, len(u.Addrs))
	}
	var fault error
	var w sync.WaitGroup
	w.Go(func() {
		time.Sleep(restartAfter)
		fault = e.happen()
	})
	r := runAll([]load.Plan{b.probes(e.without, length), u})
	w.Wait()
	if fault != nil {
		return fault
	}
	l := worked(b.keyed, start)
	g := gaps(l, start, start.Add(length))
	b.put(e.name, "unavailable per key: longest, p99", e.target, fmt.Sprintf("%v, %v", ms(g[len(g)-1]), ms(quantile(g, 0.99))))
	zero := ""
	if e.planned {
		zero = "0"
	}
	f, n := failed(r[0])
	b.put(e.name, "not answered, keyed", zero, percent(f, n))
	f, n = failed(r[1])
	b.put(e.name, "not answered, unkeyed", zero, percent(f, n))
	moves, keys := movesOf(l)
	extra := slices.DeleteFunc(slices.Clone(moves), func(m move) bool { return e.victims[m.from] || e.victims[m.to] })
	b.put(e.name, "keys moved, beyond the least", "< 2 %", fmt.Sprintf("%d, %.1f %%", len(moves), 100*float64(len(extra))/float64(max(keys, 1))))
	return nil
}

// settle lets the balance of the shards settle under the load that the events come under, so that the moves that are
// counted later are theirs.
func (b *bench) settle() {
	if !b.settled && !b.random {
		runAll([]load.Plan{b.probes(nil, settled/2)})
	}
	b.settled = true
}

// serverDies takes a server of the keyed service down for a while; the return is measured as well.
func (b *bench) serverDies() error {
	v := b.keyed.Servers[0]
	var w sync.WaitGroup
	defer w.Wait()
	err := b.underLoad(event{name: "server dies", target: "<= 3s", victims: names(v), happen: func() error {
		w.Go(func() { v.Restart(b.Length, false) })
		return nil
	}})
	if err != nil {
		return err
	}
	w.Wait()
	up := time.Now()
	err = b.underLoad(event{name: "server returns cold", target: "", victims: names(v), happen: nothing})
	b.settled = false // the server is still being filled
	most, overloaded := concurrency(workedBy(v, up))
	b.put("server returns cold", "most at once, failed in its log", "<= 3, 0", fmt.Sprintf("%d, %d", most, overloaded))
	return err
}

func nothing() error { return nil }

// removed takes a server out of the service's file and puts it back.
func (b *bench) removed() error {
	all := b.keyed
	v := all.Servers[len(all.Servers)-1]
	defer func() { b.keyed = all }()
	publish := func(l []*server.Server) func() error {
		return func() error {
			s := all
			s.Servers = l
			x := *b
			x.keyed = s
			return x.publish()
		}
	}
	err := b.underLoad(event{
		name: "server taken out of the file", target: "0s", planned: true, victims: names(v),
		happen: publish(all.Servers[:len(all.Servers)-1]),
	})
	if err != nil {
		return err
	}
	defer func() { b.settled = false }()
	return b.underLoad(event{
		name: "server put back", target: "0s", planned: true, victims: names(v), happen: publish(all.Servers),
	})
}

// busiest returns the daemon that is home of the most servers of the keyed service.
func (b *bench) busiest() (*stand.Daemon, error) {
	c, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	l, err := b.stand.Admin(0).Servers(c)
	if err != nil {
		return nil, err
	}
	n := map[ident.Daemon]int{}
	for _, s := range l {
		if s.Name.Service() == b.keyed.Name {
			n[s.Home]++
		}
	}
	return slices.MaxFunc(b.stand.Daemons, func(x, y *stand.Daemon) int { return n[x.Name] - n[y.Name] }), nil
}

// homeKilled kills the busiest home, and starts it again at the end.
func (b *bench) homeKilled() error {
	d, err := b.busiest()
	if err != nil {
		return err
	}
	err = b.underLoad(event{name: "home killed", target: "<= 3s", without: map[*stand.Daemon]bool{d: true}, happen: func() error {
		d.Kill()
		return nil
	}})
	if err != nil {
		return err
	}
	return b.restart(d)
}

// homeLeaves asks the busiest home to leave.
func (b *bench) homeLeaves() error {
	d, err := b.busiest()
	if err != nil {
		return err
	}
	err = b.underLoad(event{
		name: "home leaves (SIGTERM)", target: "0s", planned: true, without: map[*stand.Daemon]bool{d: true},
		happen: func() error {
			c, cancel := context.WithTimeout(context.Background(), callLimit)
			defer cancel()
			return d.Leave(c)
		},
	})
	if err != nil {
		return err
	}
	return b.restart(d)
}

func (b *bench) restart(l ...*stand.Daemon) error {
	for _, d := range l {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return b.warm()
}

// drain takes a failure domain out by the operators' command and restores it.
func (b *bench) drain() error {
	last := stand.Domain(domains - 1)
	var at time.Time
	call := func(f func(context.Context, admin.Drain) (admin.Drained, error)) func() error {
		return func() error {
			c, cancel := context.WithTimeout(context.Background(), callLimit)
			defer cancel()
			at = time.Now()
			_, err := f(c, admin.Drain{Txn: stand.NewTxn(), Kind: admin.DrainDomain, Name: string(last), By: "bench"})
			return trace.Wrap(err)
		}
	}
	out := names(inDomain(b.keyed, domains-1)...)
	err := b.underLoad(event{name: "domain drained", target: "0s", planned: true, victims: out, happen: call(b.stand.Admin(0).Drain)})
	if err != nil {
		return err
	}
	late := 0
	for _, s := range b.services() {
		for _, v := range inDomain(s, domains-1) {
			late += len(workedBy(v, at.Add(noNewWork)))
		}
	}
	defer func() { b.settled = false }()
	b.put("domain drained", "new work after 3 s", "0", fmt.Sprint(late))
	return b.underLoad(event{name: "domain restored", target: "0s", planned: true, victims: out, happen: call(b.stand.Admin(0).Restore)})
}

// inDomain returns the servers of a failure domain; the stand spreads them in turn.
func inDomain(s stand.Service, domain int) []*server.Server {
	var l []*server.Server
	for i, v := range s.Servers {
		if i%domains == domain {
			l = append(l, v)
		}
	}
	return l
}

func names(l ...*server.Server) map[ident.Server]bool {
	m := map[ident.Server]bool{}
	for _, v := range l {
		m[v.Name()] = true
	}
	return m
}

// lost loses a failure domain at once, with its daemons and servers, and lets it come back.
func (b *bench) lost() error {
	gone := map[*stand.Daemon]bool{}
	var l []*stand.Daemon
	for _, d := range b.stand.Daemons {
		if d.Domain == stand.Domain(domains-1) {
			gone[d] = true
			l = append(l, d)
		}
	}
	out := names(inDomain(b.keyed, domains-1)...)
	var w sync.WaitGroup
	defer w.Wait()
	err := b.underLoad(event{name: "domain lost", target: "<= 3s", without: gone, victims: out, happen: func() error {
		for _, s := range b.services() {
			for _, v := range inDomain(s, domains-1) {
				w.Go(func() { v.Restart(b.Length, false) })
			}
		}
		for _, d := range l {
			w.Go(d.Kill)
		}
		return nil
	}})
	if err != nil {
		return err
	}
	w.Wait()
	return b.underLoad(event{name: "domain comes back", target: "", without: gone, victims: out, happen: func() error {
		for _, d := range l {
			if err := d.Start(); err != nil {
				return err
			}
		}
		return nil
	}})
}
