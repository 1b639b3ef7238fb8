// Command fds is the case of a daemon that hangs for good after its descriptors were used up for a moment.
//
// Three daemons, one in each zone, serve 1,500 clients each, which keep their connections. Two of the machines lose power for 5 s. Their
// clients connect to the third daemon, which may open 4,100 descriptors. Later the operator moves the route to another service.
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
	clients  = 4500 // of all zones
	interval = 10 * time.Second
	deadline = 1200 * time.Millisecond
	work     = 160 * time.Millisecond
	dark     = 5 * time.Second

	// applyLimit is configuration_apply_ms.
	applyLimit = 2 * time.Second
)

type world struct {
	record   *lib.Record
	platform *lib.Platform
	survivor *lib.Daemon

	mu  sync.Mutex
	ran map[string]string // service that ran a request, by its id

	answered, refused, failed, open atomic.Int64
	acknowledged                    atomic.Int64 // when the store acknowledged the second configuration, as the time of the record; 0 before
	checked, outdated               atomic.Int64 // requests at the survivor that the second configuration binds, and those of them that the old service ran
}

// ranBy returns the service that ran the request; empty for none.
func (w *world) ranBy(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

// client keeps one connection and sends a request each interval.
func (w *world) client(c context.Context, n int) {
	time.Sleep(rand.N(interval))
	var conn net.Conn
	var br *bufio.Reader
	var to *lib.Daemon
	used := 0
	for k := 0; c.Err() == nil; k++ {
		next := time.Now().Add(interval)
		if conn == nil {
			to = w.platform.Pick(n)
			x, err := net.DialTimeout("tcp", to.Entry, time.Second)
			if err != nil {
				time.Sleep(500*time.Millisecond + rand.N(500*time.Millisecond))
				continue
			}
			conn, br, used = x, bufio.NewReader(x), 0
			w.open.Add(1)
		}
		if w.exchange(conn, br, to, fmt.Sprintf("q%d-%d", n, k), used) {
			used++
			// The client watches its idle connection, and opens another one when it was closed.
			_ = conn.SetReadDeadline(next)
			if _, err := br.Peek(1); err != nil && os.IsTimeout(err) {
				continue
			}
		}
		conn.Close()
		conn = nil
		w.open.Add(-1)
		time.Sleep(rand.N(time.Second))
	}
}

// exchange sends one request and reports whether the connection can be kept.
func (w *world) exchange(conn net.Conn, br *bufio.Reader, to *lib.Daemon, id string, used int) bool {
	body, sent := "swap", w.record.Now()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err := fmt.Fprintf(conn, "POST /swap/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, deadline.Milliseconds(), len(body), body)
	var r *http.Response
	if err == nil {
		r, err = http.ReadResponse(br, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		r.Body.Close()
	}
	ran := w.ranBy(id)
	if ack := time.Duration(w.acknowledged.Load()); to == w.survivor && ran != "" && ack > 0 && sent > ack+applyLimit {
		w.checked.Add(1)
		if ran == oldService {
			w.outdated.Add(1)
		}
	}
	switch {
	case err != nil:
		w.failed.Add(1)
		w.record.Line("request %s sent at %.3f to %s, number %d on its connection: no answer (%v), run by %q", id, sent.Seconds(), to.Name, used+1, err, ran)
		return false
	case r.StatusCode == http.StatusOK:
		w.answered.Add(1)
		w.record.Line("request %s sent at %.3f to %s, number %d on its connection: 200, run by %q", id, sent.Seconds(), to.Name, used+1, ran)
		return !r.Close
	}
	w.refused.Add(1)
	w.record.Line("request %s sent at %.3f to %s: %d, run by %q", id, sent.Seconds(), to.Name, r.StatusCode, ran)
	return !r.Close
}

// Services to which the route leads, one after the other.
const (
	oldService = "swaps"
	newService = "swaps-new"
)

// configure writes a configuration that leads the route to the service.
func configure(st *fake.Store, version int, service string) error {
	return st.Put("op", "config", fake.Configuration(version, []fake.Service{{Name: oldService}, {Name: newService}}, []fake.Route{{
		Name: "swap", Host: "a.example", Prefix: "/swap/", Kind: "unsafe", Service: service, Timeout: deadline, TargetLatency: 500 * time.Millisecond,
	}}))
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

func main() {
	lib.BecomeLimited()
	lib.NeedDescriptors(6000)
	dir := os.Args[1]
	tmp, err := os.MkdirTemp("", "case")
	lib.Must(err)
	w := &world{record: lib.NewRecord(dir), ran: map[string]string{}}
	st, err := fake.NewStore()
	lib.Must(err)
	zones := []string{"za", "zb", "zc"}
	for _, n := range []string{oldService, newService} {
		for i, z := range zones {
			s := &lib.Server{ID: fmt.Sprintf("i-%s-%d", n, i), Service: n, Zone: z, Work: work, Slots: 500, Body: []byte("done"), Ran: func(id string, ended bool) {
				if !ended {
					w.mu.Lock()
					w.ran[id] = n
					w.mu.Unlock()
				}
			}}
			s.Start(st)
		}
	}
	lib.Must(configure(st, 1, oldService))
	w.platform = &lib.Platform{}
	for i, z := range zones {
		// The limit of the settings, as the platform sets it for each process.
		d := lib.NewDaemon(tmp, fmt.Sprintf("d%d", i), z, st.Addr().String(), lib.Limited(4100)...)
		d.Start()
		w.platform.Daemons = append(w.platform.Daemons, d)
	}
	w.survivor = w.platform.Daemons[2]
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
		all.Go(func() { w.client(c, n) })
	}
	w.watch(interval + 3*time.Second)
	if lib.Trouble() {
		w.record.Say("%s and %s lose power for %v", w.platform.Daemons[0].Name, w.platform.Daemons[1].Name, dark)
		w.platform.Daemons[0].Kill()
		w.platform.Daemons[1].Kill()
		time.AfterFunc(dark, func() {
			w.platform.Daemons[0].Start()
			w.platform.Daemons[1].Start()
			w.record.Line("power is back")
		})
	}
	w.watch(7 * time.Second)
	lib.Must(configure(st, 2, newService))
	w.acknowledged.Store(int64(w.record.Now()))
	w.record.Say("the store has acknowledged the configuration that leads the route to %s", newService)
	w.watch(9 * time.Second)
	stop()
	all.Wait()
	w.record.Say("answered %d, refused %d, not answered %d", w.answered.Load(), w.refused.Load(), w.failed.Load())
	w.record.Say("CONFIG: of %d requests that %s sent on, over %v after the acknowledgement, the old service ran %d", w.checked.Load(), w.survivor.Name, applyLimit, w.outdated.Load())
	state := ready(w.survivor)
	hung := state != "200 OK"
	w.record.Say("%s, on whose machine there was no disruption: readiness %q, descriptors %d", w.survivor.Name, state, descriptors(w.survivor))
	if b, err := os.ReadFile(filepath.Join(tmp, w.survivor.Name+".log")); err == nil {
		for _, l := range strings.Split(string(b), "\n") {
			if strings.Contains(l, "too many open files") && strings.Contains(l, "Permanent") {
				w.record.Line("from the log of %s: %s", w.survivor.Name, l)
			}
		}
	}
	w.survivor.Signal(syscall.SIGTERM)
	select {
	case <-w.survivor.Ended():
		w.record.Say("%s ended after SIGTERM", w.survivor.Name)
	case <-time.After(grace + time.Second):
		hung = true
		w.record.Say("%s still runs %v after SIGTERM (grace_s is 6)", w.survivor.Name, grace+time.Second)
	}
	if hung || w.outdated.Load() > 0 {
		end(lib.Broken)
	}
	end(lib.Held)
}

// grace is grace_s.
const grace = 6 * time.Second

func descriptors(d *lib.Daemon) int {
	l, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.Pid()))
	return len(l)
}

// watch records the state each second until the time is over.
func (w *world) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		w.record.Line("clients connected %d, answered %d, refused %d, not answered %d; descriptors of %s: %d", w.open.Load(), w.answered.Load(), w.refused.Load(), w.failed.Load(), w.survivor.Name, descriptors(w.survivor))
	}
}
