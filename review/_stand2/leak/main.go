// Command leak is the case of a daemon that runs out of descriptors because it keeps its connections to servers that have left.
//
// Three daemons serve 1,400 clients each, which keep their connections. The servers of four services that are partitioned by key are
// replaced one after the other. Later the operator moves a route to another service.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"heatherrouter/platform/fake"
	"heatherrouter/review/_stand2/lib"
)

const (
	clients   = 4200 // of all zones, of the service without keys
	keyed     = 12   // clients of the services with keys
	interval  = 10 * time.Second
	deadline  = 1200 * time.Millisecond
	work      = 160 * time.Millisecond
	keyedWork = 20 * time.Millisecond

	services = 4  // with keys
	servers  = 14 // of each

	gap          = time.Second             // between two servers of one service that are replaced
	stays        = 2500 * time.Millisecond // for which a server serves after its report that it drains; drain_ms is 2,000
	longest      = 74 * time.Second        // of replacements
	applyLimit   = 2 * time.Second         // configuration_apply_ms
	grace        = 6 * time.Second         // grace_s
	afterChange  = 8 * time.Second
	missesToStop = 2
)

// Services to which the route without keys leads, one after the other.
const (
	oldService = "swaps"
	newService = "swaps-new"
)

type world struct {
	record   *lib.Record
	platform *lib.Platform
	store    *fake.Store

	mu  sync.Mutex
	ran map[string]string // service that ran a request, by its id

	answered, refused, failed, replaced atomic.Int64
	acknowledged                        atomic.Int64 // when the store acknowledged the second configuration, as the time of the record; 0 before
	checked, outdated                   [3]atomic.Int64
}

// request is what a client sends.
type request struct {
	id, line, header string
	body             string
}

// client keeps one connection and sends a request each interval.
func (w *world) client(c context.Context, n int, every time.Duration, next func(k int) request) {
	time.Sleep(rand.N(every))
	var conn net.Conn
	var br *bufio.Reader
	var to *lib.Daemon
	for k := 0; c.Err() == nil; k++ {
		until := time.Now().Add(every)
		if conn == nil {
			to = w.platform.Pick(n)
			x, err := net.DialTimeout("tcp", to.Entry, time.Second)
			if err != nil {
				time.Sleep(500*time.Millisecond + rand.N(500*time.Millisecond))
				continue
			}
			conn, br = x, bufio.NewReader(x)
		}
		if w.exchange(conn, br, to, next(k)) {
			// The client watches its idle connection, and opens another one when it was closed.
			_ = conn.SetReadDeadline(until)
			if _, err := br.Peek(1); err != nil && os.IsTimeout(err) {
				continue
			}
		}
		conn.Close()
		conn = nil
		time.Sleep(rand.N(time.Second))
	}
}

// exchange sends one request and reports whether the connection can be kept.
func (w *world) exchange(conn net.Conn, br *bufio.Reader, to *lib.Daemon, q request) bool {
	sent := w.record.Now()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		q.line, q.id, deadline.Milliseconds(), q.header, len(q.body), q.body)
	var r *http.Response
	if err == nil {
		r, err = http.ReadResponse(br, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		r.Body.Close()
	}
	w.mu.Lock()
	ran := w.ran[q.id]
	w.mu.Unlock()
	if ack := time.Duration(w.acknowledged.Load()); (ran == oldService || ran == newService) && ack > 0 && sent > ack+applyLimit {
		for i, d := range w.platform.Daemons {
			if d != to {
				continue
			}
			w.checked[i].Add(1)
			if ran == oldService {
				w.outdated[i].Add(1)
			}
		}
	}
	if err != nil {
		w.failed.Add(1)
		w.record.Line("request %s sent at %.3f to %s: no answer (%v), run by %q", q.id, sent.Seconds(), to.Name, err, ran)
		return false
	}
	if r.StatusCode == http.StatusOK {
		w.answered.Add(1)
	} else {
		w.refused.Add(1)
	}
	w.record.Line("request %s sent at %.3f to %s: %d, run by %q", q.id, sent.Seconds(), to.Name, r.StatusCode, ran)
	return !r.Close
}

// server returns a server that isn't started.
func (w *world) server(id, service, zone string, keys *lib.Keys) *lib.Server {
	s := &lib.Server{ID: id, Service: service, Zone: zone, Keys: keys, Work: work, Slots: 300, Body: []byte("done")}
	if keys != nil {
		s.Work, s.Slots = keyedWork, 30
	}
	s.Ran = func(request string, ended bool) {
		if ended {
			return
		}
		w.mu.Lock()
		w.ran[request] = service
		w.mu.Unlock()
		w.record.Line("%s (%s) runs %s", id, service, request)
	}
	return s
}

var zones = []string{"za", "zb", "zc"}

func keyedService(i int) string { return fmt.Sprintf("roster%d", i) }

// release replaces the servers of a service, one each gap: the new one starts first, the old one drains and leaves.
func (w *world) release(c context.Context, service string, l []*lib.Server) {
	for n := len(l); ; n++ {
		x := w.server(fmt.Sprintf("i-%s-%d", service, n), service, zones[n%len(zones)], lib.NewKeys())
		x.Start(w.store)
		old := l[0]
		l = append(l[1:], x)
		old.Drain()
		w.record.Line("%s starts, %s drains", x.ID, old.ID)
		time.AfterFunc(stays, func() {
			w.store.Delete("servers", old.ID)
			old.Exit()
			w.replaced.Add(1)
			w.record.Line("%s has left", old.ID)
		})
		select {
		case <-c.Done():
			return
		case <-time.After(gap):
		}
	}
}

// configure writes a configuration that leads the route without keys to the service.
func (w *world) configure(version int, service string) error {
	s := []fake.Service{{Name: oldService}, {Name: newService}}
	r := []fake.Route{{
		Name: "swap", Host: "a.example", Prefix: "/swap/", Kind: "unsafe", Service: service, Timeout: deadline, TargetLatency: 500 * time.Millisecond,
	}}
	for i := range services {
		s = append(s, fake.Service{Name: keyedService(i), Keyed: true})
		r = append(r, fake.Route{
			Name: keyedService(i), Host: "a.example", Prefix: fmt.Sprintf("/%s/", keyedService(i)), Kind: "safe", Service: keyedService(i),
			Timeout: deadline, TargetLatency: 400 * time.Millisecond,
		})
	}
	return w.store.Put("op", "config", fake.Configuration(version, s, r))
}

// ready asks the daemon as the platform does, on a new connection.
func ready(d *lib.Daemon) string {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + d.Ready + "/readiness")
	if err != nil {
		return err.Error()
	}
	r.Body.Close()
	return r.Status
}

func descriptors(d *lib.Daemon) int {
	l, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.Pid()))
	return len(l)
}

// state describes the daemons.
func (w *world) state() string {
	var b strings.Builder
	for _, d := range w.platform.Daemons {
		fmt.Fprintf(&b, ", descriptors of %s %d", d.Name, descriptors(d))
	}
	return fmt.Sprintf("servers that have left %d, answered %d, refused %d, not answered %d%s",
		w.replaced.Load(), w.answered.Load(), w.refused.Load(), w.failed.Load(), b.String())
}

// watch records the state each second until the time is over, or a daemon isn't ready twice in a row if that is to end it.
func (w *world) watch(d time.Duration, untilUnready bool) {
	misses := 0
	for end := time.Now().Add(d); time.Now().Before(end) && misses < missesToStop; time.Sleep(time.Second) {
		w.record.Line("%s", w.state())
		if !untilUnready {
			continue
		}
		all := true
		for _, d := range w.platform.Daemons {
			all = all && ready(d) == "200 OK"
		}
		if misses++; all {
			misses = 0
		}
	}
}

func main() {
	lib.BecomeLimited()
	lib.NeedDescriptors(6000) // 4,900 at most were in use
	dir := os.Args[1]
	tmp, err := os.MkdirTemp("", "case")
	lib.Must(err)
	w := &world{record: lib.NewRecord(dir), ran: map[string]string{}}
	w.store, err = fake.NewStore()
	lib.Must(err)
	for _, n := range []string{oldService, newService} {
		for i, z := range zones {
			w.server(fmt.Sprintf("i-%s-%d", n, i), n, z, nil).Start(w.store)
		}
	}
	lists := make([][]*lib.Server, services)
	for i := range lists {
		for n := range servers {
			s := w.server(fmt.Sprintf("i-%s-%d", keyedService(i), n), keyedService(i), zones[n%len(zones)], lib.NewKeys())
			s.Start(w.store)
			lists[i] = append(lists[i], s)
		}
	}
	lib.Must(w.configure(1, oldService))
	w.platform = &lib.Platform{}
	for i, z := range zones {
		// The limit of the settings, as the platform sets it for each process.
		d := lib.NewDaemon(tmp, fmt.Sprintf("d%d", i), z, w.store.Addr().String(), lib.Limited(4100)...)
		d.Start()
		w.platform.Daemons = append(w.platform.Daemons, d)
	}
	end := func(code int) {
		for _, d := range w.platform.Daemons {
			d.Kill()
		}
		_ = os.RemoveAll(tmp)
		os.Exit(code)
	}
	c, stop := context.WithCancel(context.Background())
	go w.platform.Run(c)
	if !w.platform.AllReady(20 * time.Second) {
		w.record.Say("the daemons are not ready")
		end(lib.NoRun)
	}
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() {
			w.client(c, n, interval, func(k int) request {
				return request{id: fmt.Sprintf("q%d-%d", n, k), line: "POST /swap/x", body: "swap"}
			})
		})
	}
	for n := range keyed {
		all.Go(func() {
			w.client(c, n, interval/50, func(k int) request {
				return request{id: fmt.Sprintf("k%d-%d", n, k), line: fmt.Sprintf("GET /%s/x", keyedService(n%services)), header: fmt.Sprintf("Shard-Key: %d\r\n", rand.IntN(65536))}
			})
		})
	}
	w.watch(4*time.Second, false)
	rc, ended := context.WithCancel(c)
	if lib.Trouble() {
		w.record.Say("the servers of the services with keys are replaced, one of each in %v", gap)
		for i, l := range lists {
			all.Go(func() { w.release(rc, keyedService(i), l) })
		}
	}
	w.watch(longest, lib.Trouble())
	ended()
	w.record.Say("after the replacements: %s", w.state())
	lib.Must(w.configure(2, newService))
	w.acknowledged.Store(int64(w.record.Now()))
	w.record.Say("the store has acknowledged the configuration that leads the route to %s", newService)
	w.watch(afterChange, false)
	stop()
	all.Wait()
	w.record.Say("answered %d, refused %d, not answered %d", w.answered.Load(), w.refused.Load(), w.failed.Load())
	broken := false
	states := map[string]string{}
	for i, d := range w.platform.Daemons {
		states[d.Name] = ready(d)
		broken = broken || states[d.Name] != "200 OK" || w.outdated[i].Load() > 0
		w.record.Say("%s: readiness %q, descriptors %d; CONFIG: of %d requests that it sent on, over %v after the acknowledgement, the old service ran %d",
			d.Name, states[d.Name], descriptors(d), w.checked[i].Load(), applyLimit, w.outdated[i].Load())
		w.quoteLog(filepath.Join(tmp, d.Name+".log"), d.Name)
	}
	for _, d := range w.platform.Daemons {
		d.Signal(syscall.SIGTERM)
	}
	time.Sleep(grace + time.Second)
	for _, d := range w.platform.Daemons {
		select {
		case <-d.Ended():
			w.record.Say("%s ended after SIGTERM", d.Name)
		default:
			broken = true
			w.record.Say("%s still runs %v after SIGTERM (grace_s is 6)", d.Name, grace+time.Second)
		}
	}
	if broken {
		end(lib.Broken)
	}
	end(lib.Held)
}

// quoteLog records the lines of a daemon's log that tell of the lack of descriptors; one of each kind.
func (w *world) quoteLog(file, name string) {
	b, err := os.ReadFile(file)
	if err != nil {
		return
	}
	n := 0
	for _, l := range strings.Split(string(b), "\n") {
		if strings.Contains(l, "too many open files") && n < 3 {
			n++
			w.record.Line("from the log of %s: %s", name, l)
		}
	}
}
