package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	planWork      = 480 * time.Millisecond // the mean work of a customer's pipelined requests
	planTimeout   = 3 * time.Second        // and their deadline
	planClients   = 6
	planPipelined = 3 // requests of a client at a time
)

// pipelined: a daemon gets SIGTERM while clients wait for the answers to several requests each, which upstreams are at work on.
func pipelined(w *world) ([]string, error) {
	for i, z := range []string{"za", "zb", "zc"} {
		u := &upstream{
			w: w, id: fmt.Sprintf("i-plan-%d", i+1), service: "plan", zone: z, slots: 12, queue: 24,
			work: func(string) time.Duration { return planWork },
		}
		w.upstreams = append(w.upstreams, u)
		if err := u.start(true); err != nil {
			return nil, err
		}
	}
	if err := w.configure(1, []service{{name: "plan"}}, []route{
		{name: "plan", kind: "safe", service: "plan", timeout: planTimeout, target: 1200 * time.Millisecond, attempts: 2},
	}); err != nil {
		return nil, err
	}
	if err := w.startDaemons("za", "zb", "zc"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // calm for longer than contact_window_ms
	d := w.daemons[0]
	var mu sync.Mutex
	var breaches []string
	var wait sync.WaitGroup
	for i := range planClients {
		wait.Go(func() {
			l, err := w.pipeline(d, i)
			if err != nil {
				w.add("client %d: %v", i, err)
			}
			mu.Lock()
			defer mu.Unlock()
			breaches = append(breaches, l...)
		})
	}
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		w.term(d)
	}
	wait.Wait()
	if w.trouble {
		<-d.exited
	}
	w.logLines(d, "leaving", "has left", "no response")
	return breaches, nil
}

// pipeline sends requests without waiting for answers, then reads the answers. It returns the breaches of the rule.
func (w *world) pipeline(d *daemon, client int) ([]string, error) {
	c, err := newClient(d)
	if err != nil {
		return nil, err
	}
	defer c.conn.Close()
	var l []call
	for n := range planPipelined {
		x := call{method: http.MethodGet, path: "/plan/x", id: fmt.Sprintf("plan-%d-%d", client, n), key: -1, deadline: planTimeout}
		if err := c.send(x); err != nil {
			return nil, err
		}
		l = append(l, x)
	}
	w.add("client %d has sent %d requests to %s", client, len(l), d.name)
	var breaches []string
	for n, x := range l {
		r, _, err := c.receive(x)
		ran := w.runs()[x.id]
		closes := err == nil && r.Close
		w.add("%s: %s, closes the connection: %v; runs at upstreams: %d", x.id, outcome(r, err), closes, ran)
		if err != nil && ran > 0 {
			breaches = append(breaches, fmt.Sprintf("LOST: %s, number %d on its connection, was passed on to an upstream; %s", x.id, n+1, outcome(r, err)))
		}
	}
	return breaches, nil
}
