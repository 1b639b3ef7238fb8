// Command slow is the case of a daemon that cuts off answers when it stops, because its clients read slowly.
//
// Clients read downloads of 2 MB at 560 KB/s. One of three daemons gets SIGTERM.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"heatherrouter/platform/fake"
	"heatherrouter/review/_stand2/lib"
)

const (
	clients  = 60
	deadline = 4 * time.Second // also timeout_ms of the route
	work     = 96 * time.Millisecond
	size     = 2_000_000 // bytes of each answer

	// A client reads piece bytes in each pause.
	piece     = 56_000
	pause     = 100 * time.Millisecond
	readAhead = 16 << 10 // receive buffer of its system

	grace = 6 * time.Second // grace_s
)

type world struct {
	record   *lib.Record
	platform *lib.Platform
	leaver   *lib.Daemon

	mu  sync.Mutex
	ran map[string]time.Duration // when a request's run ended at its server

	stopped          atomic.Int64 // when SIGTERM was sent, as the time of the record; 0 before
	whole, otherwise atomic.Int64
	lost             atomic.Int64
}

// client keeps a connection and downloads one answer after the other.
func (w *world) client(c context.Context, n int) {
	time.Sleep(rand.N(deadline))
	var conn net.Conn
	var br *bufio.Reader
	var to *lib.Daemon
	for k := 0; c.Err() == nil; k++ {
		if conn == nil {
			to = w.platform.Pick(n)
			d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
				var err error
				errc := raw.Control(func(fd uintptr) {
					err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readAhead)
				})
				return errors.Join(err, errc)
			}}
			x, err := d.Dial("tcp", to.Entry)
			if err != nil {
				time.Sleep(300 * time.Millisecond)
				continue
			}
			conn, br = x, bufio.NewReaderSize(x, 4096)
		}
		if !w.download(conn, br, to, fmt.Sprintf("q%d-%d", n, k)) {
			conn.Close()
			conn = nil
		}
		time.Sleep(rand.N(600 * time.Millisecond))
	}
	if conn != nil {
		conn.Close()
	}
}

// download sends one request, reads its answer slowly, and reports whether the connection can be kept.
func (w *world) download(conn net.Conn, br *bufio.Reader, to *lib.Daemon, id string) bool {
	sent := w.record.Now()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err := fmt.Fprintf(conn, "GET /volume/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n\r\n", id, deadline.Milliseconds())
	var r *http.Response
	if err == nil {
		r, err = http.ReadResponse(br, nil)
	}
	if err != nil {
		w.otherwise.Add(1)
		w.record.Line("request %s sent at %.3f to %s: no answer (%v)", id, sent.Seconds(), to.Name, err)
		return false
	}
	defer r.Body.Close()
	got := 0
	buf := make([]byte, piece)
	for err == nil {
		n := 0
		n, err = io.ReadFull(r.Body, buf)
		got += n
		if err == nil {
			time.Sleep(pause)
		}
	}
	ended := w.record.Now()
	if r.StatusCode == http.StatusOK && got == size {
		w.whole.Add(1)
		w.record.Line("request %s sent at %.3f to %s: whole answer at %.3f", id, sent.Seconds(), to.Name, ended.Seconds())
		return !r.Close
	}
	w.otherwise.Add(1)
	if r.StatusCode != http.StatusOK {
		w.record.Line("request %s sent at %.3f to %s: %d", id, sent.Seconds(), to.Name, r.StatusCode)
		return !r.Close
	}
	w.mu.Lock()
	ran := w.ran[id]
	w.mu.Unlock()
	at := time.Duration(w.stopped.Load())
	planned := to == w.leaver && at > 0 && ended < at+grace+time.Second
	if planned && ran > 0 && ended < sent+deadline {
		w.lost.Add(1)
	}
	w.record.Line("request %s sent at %.3f to %s: cut off at %.3f after %d of %d bytes (%v), %.3f s before its deadline; its run at the server had ended at %.3f",
		id, sent.Seconds(), to.Name, ended.Seconds(), got, size, err, (sent + deadline - ended).Seconds(), ran.Seconds())
	return false
}

func main() {
	dir := os.Args[1]
	tmp, err := os.MkdirTemp("", "case")
	lib.Must(err)
	w := &world{record: lib.NewRecord(dir), ran: map[string]time.Duration{}}
	st, err := fake.NewStore()
	lib.Must(err)
	zones := []string{"za", "zb", "zc"}
	for i, z := range zones {
		s := &lib.Server{ID: fmt.Sprintf("i-%d", i), Service: "volumes", Zone: z, Work: work, Slots: 30, Body: make([]byte, size)}
		s.Ran = func(id string, ended bool) {
			if !ended {
				w.record.Line("%s runs %s", s.ID, id)
			} else {
				w.mu.Lock()
				w.ran[id] = w.record.Now()
				w.mu.Unlock()
			}
		}
		s.Start(st)
	}
	lib.Must(st.Put("op", "config", fake.Configuration(1, []fake.Service{{Name: "volumes"}}, []fake.Route{{
		Name: "volume", Host: "a.example", Prefix: "/volume/", Kind: "download", Service: "volumes", Timeout: deadline, TargetLatency: 1500 * time.Millisecond,
	}})))
	w.platform = &lib.Platform{}
	for i, z := range zones {
		d := lib.NewDaemon(tmp, fmt.Sprintf("d%d", i), z, st.Addr().String())
		d.Start()
		w.platform.Daemons = append(w.platform.Daemons, d)
	}
	w.leaver = w.platform.Daemons[0]
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
	time.Sleep(12 * time.Second)
	if lib.Trouble() {
		w.stopped.Store(int64(w.record.Now()))
		w.record.Say("SIGTERM to %s", w.leaver.Name)
		w.leaver.Signal(syscall.SIGTERM)
		select {
		case <-w.leaver.Ended():
			w.record.Say("%s has ended %.3f s after SIGTERM", w.leaver.Name, (w.record.Now() - time.Duration(w.stopped.Load())).Seconds())
		case <-time.After(grace):
			w.leaver.Kill()
			w.record.Say("%s was killed %v after SIGTERM", w.leaver.Name, grace)
		}
		time.Sleep(time.Second)
		w.leaver.Start()
	} else {
		time.Sleep(grace + time.Second)
	}
	time.Sleep(5 * time.Second)
	stop()
	all.Wait()
	w.record.Say("whole answers %d, otherwise %d", w.whole.Load(), w.otherwise.Load())
	w.record.Say("LOST: %d answers of %s were cut off around its SIGTERM, before their deadline and after their run had ended", w.lost.Load(), w.leaver.Name)
	if w.lost.Load() > 0 {
		end(lib.Broken)
	}
	end(lib.Held)
}
