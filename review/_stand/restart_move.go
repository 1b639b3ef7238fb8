package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	lookupTimeout = 4 * time.Second        // as the deadline of a customer's keyed requests
	lookupWork    = 480 * time.Millisecond // and their mean work
	refusedPause  = 100 * time.Millisecond // of a client after a refusal
	lookupClients = 9                      // on each daemon

	cutTime      = 2900 * time.Millisecond // of the upstream from the store; its entry would be removed after three heartbeats of 1.5 s
	downTime     = 100 * time.Millisecond  // of the upstream
	evacuateLead = 60 * time.Millisecond   // from the evacuation to the end of the cut
)

// granted checks a grant: no other upstream may be at work on its keys while its own hold has not run out.
func (w *world) granted(to *upstream, o order) {
	for _, u := range w.upstreams {
		if u == to || u.service != to.service {
			continue
		}
		if l := u.working(o.First, o.Last, true); len(l) > 0 {
			w.add("BREACH %s is given keys %d to %d with fence %d while %s is at work on %v", to.id, o.First, o.Last, o.Fence, u.id, l)
			w.mu.Lock()
			w.breaches = append(w.breaches, fmt.Sprintf("OWNER: %s was given keys %d to %d while %s was at work on %v", to.id, o.First, o.Last, u.id, l))
			w.mu.Unlock()
		}
	}
}

// restartMove: an upstream is partitioned from the store while requests still reach it, crashes behind the cut and is back at once under
// its id and address. Shortly before the cut ends its zone is evacuated.
func restartMove(w *world) ([]string, error) {
	if err := w.startLookups(nil); err != nil {
		return nil, err
	}
	wait := w.lookups(12 * time.Second)
	time.Sleep(3 * time.Second)
	a := w.upstreams[0]
	healAt := time.Now().Add(cutTime)
	if w.trouble {
		w.add("%s is partitioned from the store", a.id)
		time.Sleep(200 * time.Millisecond)
		a.crash()
		time.Sleep(downTime)
		if err := a.start(false); err != nil {
			return nil, err
		}
		time.AfterFunc(time.Until(healAt), func() {
			w.add("%s reaches the store again", a.id)
			_ = a.announce("ready")
		})
	}
	time.Sleep(time.Until(healAt.Add(-evacuateLead)))
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

// lookups has clients of all daemons send requests for keys all over the key space, for the given time.
func (w *world) lookups(d time.Duration) *sync.WaitGroup {
	end := time.Now().Add(d)
	wait := &sync.WaitGroup{}
	for di, d := range w.daemons {
		for ci := range lookupClients {
			wait.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					c, err := newClient(d)
					if err != nil {
						continue
					}
					id, key := fmt.Sprintf("lookup-%d-%d-%d", di, ci, n), (di*7919+ci*104729+n*1299709)%65536
					w.add("%s sent to %s, key %d", id, d.name, key)
					r, _, err := c.do(call{method: http.MethodGet, path: "/lookup/x", id: id, key: key, deadline: lookupTimeout})
					w.add("%s: %s", id, outcome(r, err))
					c.conn.Close()
					if err != nil || r.StatusCode != http.StatusOK {
						time.Sleep(refusedPause)
					}
				}
			})
		}
	}
	return wait
}

// lookupUpstreams is the number of upstreams: one of them is less than the share of a service that a disruption affects.
const lookupUpstreams = 8

// startLookups starts a service with keys and the daemons. spoil is that of every second upstream; it may be nil.
func (w *world) startLookups(spoil func(path string, status int) bool) error {
	zones := []string{"za", "zb", "zc"}
	for i := range lookupUpstreams {
		u := &upstream{
			w: w, id: fmt.Sprintf("i-lookup-%d", i+1), service: "lookup", zone: zones[i%len(zones)], keyed: true, slots: 3, queue: 12,
			work: func(string) time.Duration { return lookupWork*6/10 + rand.N(lookupWork*8/10) },
		}
		if i%2 == 0 {
			u.spoil = spoil
		}
		w.upstreams = append(w.upstreams, u)
		if err := u.start(true); err != nil {
			return err
		}
	}
	if err := w.configure(1, []service{{name: "lookup", keyed: true}}, []route{
		{name: "lookup", kind: "safe", service: "lookup", timeout: lookupTimeout, target: 1200 * time.Millisecond, attempts: 2},
	}); err != nil {
		return err
	}
	if err := w.startDaemons(zones...); err != nil {
		return err
	}
	return w.awaitServed("/lookup/first", 1)
}
