// Command long is the case of a daemon that cuts off answers which clients read for over 30 s.
//
// Clients keep their connections and read downloads of 5 MB at 125 KB/s, which takes 40 s.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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
	clients  = 6
	deadline = time.Minute // also timeout_ms of the route
	work     = 96 * time.Millisecond
	size     = 5_000_000 // bytes of each answer

	// A client reads piece bytes in each pause; without the disruption it reads on at once.
	piece     = 12_500
	pause     = 100 * time.Millisecond
	readAhead = 16 << 10 // receive buffer of its system

	allowed = 3 // times
)

type world struct {
	record   *lib.Record
	platform *lib.Platform

	mu  sync.Mutex
	ran map[string]time.Duration // when a request's run ended at its server

	whole, otherwise, lost atomic.Int64
}

// client makes two downloads, one after the other, on one connection. The first is read fast.
func (w *world) client(n int) {
	to := w.platform.Pick(n)
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		errc := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readAhead)
		})
		return errors.Join(err, errc)
	}}
	conn, err := d.Dial("tcp", to.Entry)
	lib.Must(err)
	defer conn.Close()
	br := bufio.NewReaderSize(conn, 4096)
	if w.download(conn, br, to, fmt.Sprintf("q%d-0", n), 0) {
		p := pause
		if !lib.Trouble() {
			p = 0
		}
		w.download(conn, br, to, fmt.Sprintf("q%d-1", n), p)
	}
}

// download sends one request, reads its answer with a pause after each piece, and reports whether the connection can be kept.
func (w *world) download(conn net.Conn, br *bufio.Reader, to *lib.Daemon, id string, pause time.Duration) bool {
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
	if ran > 0 && ended < sent+deadline {
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
		all.Go(func() { w.client(n) })
	}
	all.Wait()
	stop()
	w.record.Say("whole answers %d, otherwise %d", w.whole.Load(), w.otherwise.Load())
	w.record.Say("LOST: %d answers on kept connections were cut off before their deadline and after their run had ended (%d are allowed)", w.lost.Load(), allowed)
	if w.lost.Load() > allowed {
		end(lib.Broken)
	}
	end(lib.Held)
}
