package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	lookupTimeout = 3 * time.Second
	lookupWork    = 600 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
)

// granted checks a grant: no other upstream may hold or work on its keys.
func (w *world) granted(to *upstream, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.upstreams {
		if u == to || u.service != to.service {
			continue
		}
		u.mu.Lock()
		var held []string
		for _, g := range u.grants {
			if g.first <= o.Last && o.First <= g.last && time.Now().Before(g.until) {
				held = append(held, fmt.Sprintf("%d to %d for %d ms more", g.first, g.last, time.Until(g.until).Milliseconds()))
			}
		}
		u.mu.Unlock()
		if len(held) > 0 {
			w.add("%s gets keys %d to %d while %s holds %v", to.id, o.First, o.Last, u.id, held)
		}
		if l := u.working(o.First, o.Last); len(l) > 0 {
			w.add("BREACH %s gets keys %d to %d with fence %d while %s is at work on %v", to.id, o.First, o.Last, o.Fence, u.id, l)
			w.breaches = append(w.breaches, fmt.Sprintf("OWNER: %s was given keys %d to %d while %s was at work on %v", to.id, o.First, o.Last, u.id, l))
		}
	}
}

// restartMove: an upstream crashes and is back at once under its id and address; a heartbeat later its zone is evacuated.
func restartMove(w *world) ([]string, error) {
	zones := []string{"za", "zb", "zc"}
	for i, z := range zones {
		u := &upstream{
			w: w, id: fmt.Sprintf("i-lookup-%d", i+1), service: "lookup", zone: z, keyed: true, slots: 6, queue: 20,
			work: func(string) time.Duration { return lookupWork },
		}
		w.upstreams = append(w.upstreams, u)
		if err := u.start(true); err != nil {
			return nil, err
		}
	}
	if err := w.configure(1, []service{{name: "lookup", keyed: true}}, []route{
		{name: "lookup", kind: "safe", service: "lookup", timeout: lookupTimeout, target: 1200 * time.Millisecond, attempts: 2},
	}); err != nil {
		return nil, err
	}
	if err := w.startDaemons(zones...); err != nil {
		return nil, err
	}
	if err := w.awaitServed("/lookup/first", 1); err != nil {
		return nil, err
	}
	end := time.Now().Add(12 * time.Second)
	var wait sync.WaitGroup
	for di, d := range w.daemons {
		for ci := range 5 {
			wait.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					c, err := newClient(d)
					if err != nil {
						continue
					}
					_, _, _ = c.do(call{
						method: http.MethodGet, path: "/lookup/x", id: fmt.Sprintf("lookup-%d-%d-%d", di, ci, n),
						key: (di*7919 + ci*104729 + n*1299709) % 65536, deadline: lookupTimeout,
					})
					c.conn.Close()
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	a := w.upstreams[0]
	if w.trouble {
		a.crash()
		time.Sleep(100 * time.Millisecond)
		if err := a.start(false); err != nil {
			return nil, err
		}
		time.AfterFunc(heartbeat, func() { _ = a.announce("ready") })
		time.Sleep(heartbeat - 150*time.Millisecond)
	}
	w.add("operator evacuates %s", a.zone)
	if err := w.store.Put("op", "evacuate/"+a.zone, map[string]any{}); err != nil {
		return nil, err
	}
	wait.Wait()
	for _, d := range w.daemons {
		w.logLines(d, "order ended", "became the coordinator")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaches, nil
}
