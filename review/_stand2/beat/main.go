// Command beat is the case of a server that gets requests long after it has reported that it drains, because the store carries out an
// older beat of it late.
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
	"sync"
	"sync/atomic"
	"time"

	"heatherrouter/platform/fake"
	"heatherrouter/review/_stand2/lib"
)

const (
	clients  = 40
	interval = 330 * time.Millisecond
	deadline = 1200 * time.Millisecond
	work     = 160 * time.Millisecond

	drainLimit = 2 * time.Second         // drain_ms
	contact    = 3 * time.Second         // contact_window_ms
	late       = 5100 * time.Millisecond // up to a beat later, so below 6 s, the lost write is carried out
	stays      = 350 * time.Millisecond  // for which the server serves after that
)

type world struct {
	record   *lib.Record
	platform *lib.Platform

	mu     sync.Mutex
	runs   map[string]time.Duration // when the server that leaves began to run a request, by its id
	status map[string]int           // what its client got; 0 for no answer

	answered, failed atomic.Int64
}

func (w *world) client(c context.Context, n int) {
	time.Sleep(rand.N(interval))
	var conn net.Conn
	var br *bufio.Reader
	for k := 0; c.Err() == nil; k++ {
		next := time.Now().Add(interval)
		if conn == nil {
			x, err := net.DialTimeout("tcp", w.platform.Pick(n).Entry, time.Second)
			if err != nil {
				time.Sleep(interval)
				continue
			}
			conn, br = x, bufio.NewReader(x)
		}
		if !w.exchange(conn, br, fmt.Sprintf("q%d-%d", n, k)) {
			conn.Close()
			conn = nil
		}
		time.Sleep(time.Until(next))
	}
	if conn != nil {
		conn.Close()
	}
}

// exchange sends one request and reports whether the connection can be kept.
func (w *world) exchange(conn net.Conn, br *bufio.Reader, id string) bool {
	sent, body := w.record.Now(), "swap"
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
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed.Add(1)
		w.status[id] = 0
		w.record.Line("request %s sent at %.3f: no answer (%v)", id, sent.Seconds(), err)
		return false
	}
	w.status[id] = r.StatusCode
	if r.StatusCode == http.StatusOK {
		w.answered.Add(1)
	} else {
		w.failed.Add(1)
	}
	w.record.Line("request %s sent at %.3f: %d", id, sent.Seconds(), r.StatusCode)
	return !r.Close
}

func main() {
	dir := os.Args[1]
	tmp, err := os.MkdirTemp("", "case")
	lib.Must(err)
	w := &world{record: lib.NewRecord(dir), runs: map[string]time.Duration{}, status: map[string]int{}}
	st, err := fake.NewStore()
	lib.Must(err)
	zones := []string{"za", "zb", "zc"}
	var servers []*lib.Server
	for i, z := range zones {
		s := &lib.Server{ID: fmt.Sprintf("i-%d", i), Service: "swaps", Zone: z, Work: work, Slots: 30, Body: []byte("done")}
		s.Ran = func(id string, ended bool) {
			if !ended {
				w.record.Line("%s runs %s", s.ID, id)
			}
		}
		s.Start(st)
		servers = append(servers, s)
	}
	leaver := servers[0]
	leaver.Ran = func(id string, ended bool) {
		if ended {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.runs[id] = w.record.Now()
		w.record.Line("%s runs %s", leaver.ID, id)
	}
	lib.Must(st.Put("op", "config", fake.Configuration(1, []fake.Service{{Name: "swaps"}}, []fake.Route{{
		Name: "swap", Host: "a.example", Prefix: "/swap/", Kind: "unsafe", Service: "swaps", Timeout: deadline, TargetLatency: 500 * time.Millisecond,
	}})))
	w.platform = &lib.Platform{}
	for i, z := range zones {
		d := lib.NewDaemon(tmp, fmt.Sprintf("d%d", i), z, st.Addr().String())
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
		all.Go(func() { w.client(c, n) })
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	b := leaver.LoseBeat()
	if lib.Trouble() {
		w.record.Say("beat %d of %s (%s) gets no answer from the store", b.Sequence, leaver.ID, b.State)
	} else {
		leaver.Write(b)
	}
	time.Sleep(contact + 200*time.Millisecond - time.Since(began)) // the store is stable again
	x := leaver.Drain()
	acknowledged, at := w.record.Now(), time.Now()
	w.record.Say("the store has accepted beat %d of %s (%s)", x.Sequence, leaver.ID, x.State)
	time.Sleep(late - time.Since(began))
	leaver.AwaitBeat()
	time.Sleep(20 * time.Millisecond)
	if lib.Trouble() {
		leaver.Write(b)
		w.record.Say("the store carries out beat %d of %s (%s), %.1f s after the call", b.Sequence, leaver.ID, b.State, time.Since(began).Seconds())
	}
	time.Sleep(max(stays, drainLimit+stays-time.Since(at)))
	leaver.Exit()
	w.record.Say("%s exits %.2f s after its report", leaver.ID, time.Since(at).Seconds())
	time.Sleep(2 * time.Second)
	stop()
	all.Wait()
	arrived, lost := 0, 0
	w.mu.Lock()
	for id, at := range w.runs {
		if at <= acknowledged+drainLimit {
			continue
		}
		arrived++
		if w.status[id] != http.StatusOK {
			lost++
		}
		w.record.Line("%s reached %s %.3f s after its report; its client got %d", id, leaver.ID, (at - acknowledged).Seconds(), w.status[id])
	}
	w.mu.Unlock()
	w.record.Say("answered 200 %d, otherwise or not %d", w.answered.Load(), w.failed.Load())
	w.record.Say("DRAIN: %d requests reached %s later than %v after the store had accepted that it drains", arrived, leaver.ID, drainLimit)
	w.record.Say("of these, %d ran and their clients didn't get the answer", lost)
	if arrived > 0 {
		end(lib.Broken)
	}
	end(lib.Held)
}
