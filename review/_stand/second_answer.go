package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	pickWork    = 150 * time.Millisecond
	pickClients = 8                      // on each daemon
	thinkTime   = 350 * time.Millisecond // of a client between two requests, on average
	pickTimeout = 5 * time.Second
	garbleFor   = 5 * time.Second
	garbles     = 4
	garblePause = 2 * time.Second
	garbleShare = 0.03 // of the answers of an upstream
)

// garbler decides which answers of the upstreams get a second copy: those that it picks, as long as they are no more than the share of
// all answers.
type garbler struct {
	pick func(path string, status int) bool

	mu           sync.Mutex
	on           bool
	answers, bad int
}

func (g *garbler) spoil(path string, status int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.on {
		return false
	}
	g.answers++
	if !g.pick(path, status) || float64(g.bad+1) > garbleShare*float64(g.answers) {
		return false
	}
	g.bad++
	return true
}

func (g *garbler) set(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.on = on
}

// secondAnswer: an upstream that is full at times sends a second answer to some requests that it has refused.
func secondAnswer(w *world) ([]string, error) {
	g := &garbler{pick: func(path string, status int) bool {
		return strings.HasPrefix(path, "/picks/") && status == http.StatusServiceUnavailable
	}}
	for i, z := range []string{"za", "zb", "zc", "za"} {
		u := &upstream{
			w: w, id: fmt.Sprintf("i-picks-%d", i+1), service: "picks", zone: z, keyed: true, slots: 3, queue: 1, loadless: true,
			work: func(string) time.Duration { return pickWork },
		}
		if i%2 == 0 {
			u.spoil = g.spoil // half of the upstreams
		}
		w.upstreams = append(w.upstreams, u)
		if err := u.start(true); err != nil {
			return nil, err
		}
	}
	if err := w.configure(1, []service{{name: "picks", keyed: true}}, []route{
		{name: "picks", kind: "unsafe", service: "picks", timeout: pickTimeout, target: 800 * time.Millisecond, attempts: 2},
	}); err != nil {
		return nil, err
	}
	if err := w.startDaemons("za", "zb", "zc"); err != nil {
		return nil, err
	}
	if err := w.awaitServed("/picks/first", 10); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var breaches []string
	statuses := map[string]int{}
	end := time.Now().Add(garbles*(garbleFor+garblePause) + 2*time.Second)
	var wait sync.WaitGroup
	for di, d := range w.daemons {
		for ci := range pickClients {
			wait.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("pick-%d-%d-%d", di, ci, n)
					s, b := w.pick(d, id, (di*7919+ci*104729+n*1299709)%65536)
					mu.Lock()
					statuses[s]++
					if b != "" {
						breaches = append(breaches, b)
					}
					mu.Unlock()
					time.Sleep(rand.N(2 * thinkTime))
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	for range garbles {
		if w.trouble {
			w.add("from now on the upstreams answer some requests a second time")
			g.set(true)
		}
		time.Sleep(garbleFor)
		g.set(false)
		w.add("second answers end: %d of %d answers so far", g.bad, g.answers)
		time.Sleep(garblePause)
	}
	wait.Wait()
	time.Sleep(time.Second)
	w.add("outcomes: %v", statuses)
	for id, n := range w.runs() {
		if n > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: %s ran %d times", id, n))
		}
	}
	return breaches, nil
}

// pick sends one request on a connection of its own and returns its outcome, and the breach of REFUSED, if any.
func (w *world) pick(d *daemon, id string, key int) (string, string) {
	c, err := newClient(d)
	if err != nil {
		return "not connected", ""
	}
	defer c.conn.Close()
	w.add("%s sent to %s, key %d", id, d.name, key)
	r, body, err := c.do(call{method: http.MethodPost, path: "/picks/confirm", id: id, key: key, deadline: pickTimeout, body: "pick"})
	w.add("%s: %s", id, outcome(r, err))
	if err == nil && (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests) {
		time.Sleep(50 * time.Millisecond)
		if n := w.runs()[id]; n > 0 {
			return outcome(r, err), fmt.Sprintf("REFUSED: %s got status %d and ran %d times", id, r.StatusCode, n)
		}
	}
	if err == nil && r.StatusCode != http.StatusOK {
		return outcome(r, err) + " " + strings.TrimSpace(string(body)), ""
	}
	return outcome(r, err), ""
}

// awaitServed waits until all daemons serve requests for keys all over the key space.
func (w *world) awaitServed(path string, requests int) error {
	end := time.Now().Add(20 * time.Second)
	for i, d := range w.daemons {
		for n := 0; ; n++ {
			c, err := newClient(d)
			if err == nil {
				var r *http.Response
				r, _, err = c.do(call{method: http.MethodPost, path: path, id: fmt.Sprintf("warm-%d-%d", i, n), key: (n * 9973) % 65536, deadline: 2 * time.Second, body: "x"})
				c.conn.Close()
				if err == nil && r.StatusCode == http.StatusOK && n >= requests {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s doesn't serve: %v", d.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.add("all daemons serve")
	return nil
}

// runs returns how often each request ran, at all upstreams.
func (w *world) runs() map[string]int {
	m := map[string]int{}
	for _, u := range w.upstreams {
		u.mu.Lock()
		for id, n := range u.runs {
			m[id] += n
		}
		u.mu.Unlock()
	}
	return m
}
