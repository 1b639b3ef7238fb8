package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	orderWork    = 400 * time.Millisecond
	volumeBytes  = 2 << 20
	slowRate     = 200 << 10 // bytes per second that the slow client reads
	slowClients  = 3
	keptClients  = 24
	orderTimeout = 8 * time.Second  // as the deadline of a customer's pallet releases
	readTimeout  = 12 * time.Second // as the deadline of a customer's order lines
)

// slowReader: a daemon gets SIGTERM while some clients read a large response slowly. Others go on to use their kept connections.
func slowReader(w *world) ([]string, error) {
	orders := &upstream{w: w, id: "i-orders-1", service: "orders", zone: "za", slots: 24, queue: 24, work: func(string) time.Duration { return orderWork }}
	volumes := &upstream{w: w, id: "i-volumes-1", service: "volumes", zone: "za", slots: 4, queue: 4, size: volumeBytes, work: func(string) time.Duration { return 20 * time.Millisecond }}
	for _, u := range []*upstream{orders, volumes} {
		if err := u.start(true); err != nil {
			return nil, err
		}
	}
	if err := w.configure(1, []service{{name: "orders"}, {name: "volumes"}}, []route{
		{name: "orders", kind: "unsafe", service: "orders", timeout: orderTimeout, target: 1200 * time.Millisecond, attempts: 2},
		{name: "volumes", kind: "download", service: "volumes", timeout: readTimeout, target: 2 * time.Second, attempts: 2},
	}); err != nil {
		return nil, err
	}
	if err := w.startDaemons("za", "zb", "zc"); err != nil {
		return nil, err
	}
	d := w.daemons[0]
	kept, err := w.keepConnections(d)
	if err != nil {
		return nil, err
	}
	read := make(chan error, slowClients)
	for i := range slowClients {
		go func() { read <- w.readVolume(d, i) }()
	}
	time.Sleep(time.Second)
	termAt := time.Now()
	w.term(d)

	var mu sync.Mutex
	var breaches []string
	var wait sync.WaitGroup
	for i, c := range kept {
		wait.Go(func() {
			at := termAt.Add(4900*time.Millisecond + time.Duration(i)*45*time.Millisecond)
			time.Sleep(time.Until(at))
			if b := w.orderOn(c, i, termAt, orders); b != "" {
				mu.Lock()
				defer mu.Unlock()
				breaches = append(breaches, b)
			}
		})
	}
	wait.Wait()
	for range slowClients {
		if err := <-read; err != nil {
			w.add("a client that reads a volume: %v", err)
		}
	}
	w.logLines(d, "leaving", "has left", "grace period", "no response")
	return breaches, nil
}

// keepConnections opens the kept connections: each has carried one request.
func (w *world) keepConnections(d *daemon) ([]*client, error) {
	var l []*client
	for i := range keptClients {
		c, err := newClient(d)
		if err != nil {
			return nil, err
		}
		x := call{method: http.MethodPost, path: "/orders/first", id: fmt.Sprintf("first-%d", i), key: -1, deadline: orderTimeout, body: "pallet"}
		if err := c.send(x); err != nil {
			return nil, err
		}
		l = append(l, c)
	}
	for i, c := range l {
		r, _, err := c.receive(call{method: http.MethodPost, deadline: orderTimeout})
		if err != nil || r.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("first request %d: %s", i, outcome(r, err))
		}
	}
	w.add("%d clients keep connections to %s", len(l), d.name)
	return l, nil
}

// readVolume requests a large response and reads it slowly, or at once without the disruption.
func (w *world) readVolume(d *daemon, i int) error {
	conn, err := dial(d.entry, 64<<10)
	if err != nil {
		return err
	}
	defer conn.Close()
	x := call{method: http.MethodGet, path: "/volumes/1", id: fmt.Sprintf("volume-%d", i), key: -1, deadline: readTimeout}
	if err := (&client{conn: conn}).send(x); err != nil {
		return err
	}
	w.add("a client asks %s for a response of %d bytes, which it reads slowly: %v", d.name, volumeBytes, w.trouble)
	began := time.Now()
	_ = conn.SetReadDeadline(began.Add(readTimeout))
	b, total := make([]byte, 8<<10), 0
	for total < volumeBytes {
		n, err := conn.Read(b)
		total += n
		if err != nil {
			return fmt.Errorf("after %d bytes and %.2f s: %w", total, time.Since(began).Seconds(), err)
		}
		if w.trouble {
			time.Sleep(time.Duration(float64(n) / slowRate * float64(time.Second)))
		}
	}
	w.add("the client has read %d bytes in %.2f s", total, time.Since(began).Seconds())
	return nil
}

// orderOn sends a request that must not run twice on a kept connection, or on a new one to another daemon if the daemon has closed it. It
// returns the breach of the rule, if any.
func (w *world) orderOn(c *client, i int, termAt time.Time, u *upstream) string {
	x := call{method: http.MethodPost, path: "/orders/next", id: fmt.Sprintf("order-%d", i), key: -1, deadline: orderTimeout, body: "pallet"}
	if c.closed() {
		y, err := newClient(w.daemons[1])
		if err != nil {
			w.add("%s: %v", x.id, err)
			return ""
		}
		c = y
	}
	defer c.conn.Close()
	after := time.Since(termAt)
	w.add("%s sent to %s, %.2f s after the SIGTERM", x.id, c.daemon.name, after.Seconds())
	r, _, err := c.do(x)
	ran := u.runCount(x.id)
	w.add("%s: %s; runs at the upstream: %d", x.id, outcome(r, err), ran)
	if err != nil && ran > 0 && c.daemon == w.daemons[0] && after > 3*time.Second {
		return fmt.Sprintf("LOST: %s was read by %s and passed on to %s; %s", x.id, c.daemon.name, u.id, outcome(r, err))
	}
	return ""
}
