package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstream is a backend server as the pages describe it.
type upstream struct {
	w        *world
	id       string
	service  string
	zone     string
	keyed    bool
	slots    int
	queue    int
	loadless bool // sends no Server-Load
	work     func(path string) time.Duration
	size     int // bytes of a response's body

	// spoil returns whether a second copy of the answer to a request is to be sent late, at the point where the next answer on the
	// connection is due.
	spoil func(path string, status int) bool

	addr string

	mu       sync.Mutex
	born     int64
	sequence int
	listen   net.Listener
	conns    map[net.Conn]bool
	slot     chan struct{}
	waiting  int            // requests that run or wait
	runs     map[string]int // by request id
	active   map[int][]*job // by key
	grants   []grant        // in force
	given    []grant        // accepted, whether released or not
	fences   []grant        // highest fences seen, by range
	life     int            // number of starts
}

// job is a request that runs, of a key.
type job struct {
	id    string
	began time.Time
}

type grant struct {
	first, last int
	fence       uint64
	until       time.Time
}

func (g grant) has(k int) bool { return g.first <= k && k <= g.last }

// answer is a response.
type answer struct {
	status  int
	headers [][2]string
	body    []byte
}

func (a *answer) set(k, v string) { a.headers = append(a.headers, [2]string{k, v}) }

func (a *answer) encode() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	return append([]byte(b.String()), a.body...)
}

// start starts the upstream, again at the same address if it has run before. It announces itself if announce is set.
func (u *upstream) start(announce bool) error {
	a := u.addr
	if a == "" {
		a = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", a)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.addr, u.born, u.sequence, u.listen, u.conns = l.Addr().String(), time.Now().UnixMilli(), 0, l, map[net.Conn]bool{}
	u.slot, u.waiting, u.active, u.grants, u.fences = make(chan struct{}, u.slots), 0, map[int][]*job{}, nil, nil
	u.given = nil
	if u.runs == nil {
		u.runs = map[string]int{}
	}
	u.life++
	life := u.life
	u.mu.Unlock()
	go u.accept(l, life)
	u.w.add("upstream %s (%s, %s) starts at %s", u.id, u.service, u.zone, u.addr)
	if announce {
		return u.announce("ready")
	}
	return nil
}

// announce writes the upstream's entry.
func (u *upstream) announce(state string) error {
	u.mu.Lock()
	u.sequence++
	v := map[string]any{
		"service": u.service, "address": u.addr, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		"warmup_remaining_ms": u.coldFor().Milliseconds(), "sequence": u.sequence, "born": u.born,
	}
	u.mu.Unlock()
	u.w.add("entry of %s: state %s, born %v", u.id, state, v["born"])
	return u.w.store.Put("servers", u.id, v)
}

// coldFor returns how much longer the upstream is cold: one that starts again during traffic is for some seconds. The caller holds u.mu.
func (u *upstream) coldFor() time.Duration {
	if u.life < 2 {
		return 0
	}
	return max(0, coldTime-time.Since(time.UnixMilli(u.born)))
}

// coldTime is warmup_s of the configuration.
const coldTime = 3 * time.Second

// crash ends the process of the upstream: all connections are reset, and it knows nothing of before.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.life++
	u.listen.Close()
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	u.w.add("upstream %s crashes", u.id)
}

func (u *upstream) accept(l net.Listener, life int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c, life)
	}
}

func (u *upstream) alive(life int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.life == life
}

func (u *upstream) serve(c net.Conn, life int) {
	defer c.Close()
	br := bufio.NewReader(c)
	var late []byte // second answer that is still to be sent
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			u.w.add("%s sends a second answer late, before that to %s %s", u.id, req.URL.Path, req.Header.Get("Request-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		a := u.answer(req, body, life)
		if !u.alive(life) {
			return
		}
		if _, err := c.Write(a.encode()); err != nil {
			return
		}
		if u.spoil != nil && u.spoil(req.URL.Path, a.status) {
			late = a.encode()
		}
	}
}

func (u *upstream) answer(req *http.Request, body []byte, life int) *answer {
	id := req.Header.Get("Request-Id")
	a := &answer{status: http.StatusOK}
	if id != "" {
		a.set("Request-Id", id)
	}
	if !u.loadless {
		u.mu.Lock()
		running := min(u.waiting, u.slots)
		a.set("Server-Load", fmt.Sprintf("%d,%d,%d,100", running, u.waiting-running, u.slots))
		u.mu.Unlock()
	}
	refuse := func(status int) *answer {
		a.status = status
		a.set("Not-Executed", "1")
		a.set("Instance-Id", u.id)
		return a
	}
	if e := req.Header.Get("Expected-Instance"); e != "" && e != u.id {
		return refuse(http.StatusMisdirectedRequest)
	}
	switch req.URL.Path {
	case "/health":
		a.set("Instance-Id", u.id)
		return a
	case "/grant", "/release":
		if u.keyed {
			u.order(a, req.URL.Path == "/release", body, life)
			return a
		}
	}
	if id == "" {
		return refuse(http.StatusBadRequest)
	}
	key := -1
	if u.keyed {
		k, err := strconv.Atoi(req.Header.Get("Shard-Key"))
		if err != nil || !u.holds(k) {
			return refuse(http.StatusMisdirectedRequest)
		}
		key = k
	}
	return u.run(a, refuse, req, id, key, life)
}

// run runs a request if there is room for it.
func (u *upstream) run(a *answer, refuse func(int) *answer, req *http.Request, id string, key, life int) *answer {
	u.mu.Lock()
	if u.waiting >= u.slots+u.queue {
		u.mu.Unlock()
		u.w.add("%s is full and refuses %s", u.id, id)
		return refuse(http.StatusServiceUnavailable)
	}
	u.waiting++
	slot := u.slot
	u.mu.Unlock()
	slot <- struct{}{}
	defer func() {
		<-slot
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	if key >= 0 && !u.holds(key) {
		return refuse(http.StatusMisdirectedRequest)
	}
	j := &job{id: id, began: time.Now()}
	u.mu.Lock()
	if u.life != life {
		u.mu.Unlock()
		return a
	}
	u.runs[id]++
	n := u.runs[id]
	u.active[key] = append(u.active[key], j)
	u.mu.Unlock()
	u.w.add("%s runs %s (run %d there, key %d)", u.id, id, n, key)
	time.Sleep(u.work(req.URL.Path))
	u.mu.Lock()
	if u.life == life {
		u.active[key] = slices.DeleteFunc(u.active[key], func(x *job) bool { return x == j })
	}
	u.mu.Unlock()
	if u.alive(life) {
		u.w.add("%s has run %s", u.id, id)
	}
	a.set("Response-Signature", "by-"+u.id)
	a.body = []byte(id + " ran at " + u.id + "\n")
	if u.size > 0 {
		a.body = make([]byte, u.size)
	}
	return a
}

func (u *upstream) runCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *upstream) holds(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holdsLocked(key, time.Now())
}

func (u *upstream) holdsLocked(key int, now time.Time) bool {
	return slices.ContainsFunc(u.grants, func(g grant) bool { return g.has(key) && now.Before(g.until) })
}

// working returns the requests that run on keys of a range. With held, only those on keys whose hold would not have run out yet if
// nobody had released it.
func (u *upstream) working(first, last int, held bool) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	var l []string
	for k, js := range u.active {
		if k < first || last < k {
			continue
		}
		left := time.Duration(0)
		for _, g := range u.given {
			if g.has(k) {
				left = max(left, g.until.Sub(now))
			}
		}
		if held && left <= 0 {
			continue
		}
		for _, j := range js {
			l = append(l, fmt.Sprintf("%s on key %d for %d ms, whose hold would last %d ms more", j.id, k, now.Sub(j.began).Milliseconds(), left.Milliseconds()))
		}
	}
	return l
}

type order struct {
	First  int    `json:"range_start"`
	Last   int    `json:"target"`
	Fence  uint64 `json:"fence"`
	HoldMS int    `json:"hold_ms"`
}

// order applies a grant or release. A release is answered when the work on its keys has ended.
func (u *upstream) order(a *answer, release bool, body []byte, life int) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		a.status = http.StatusBadRequest
		return
	}
	u.mu.Lock()
	if !release {
		for _, f := range u.fences {
			if f.first <= o.Last && o.First <= f.last && f.fence > o.Fence {
				u.mu.Unlock()
				a.status = http.StatusConflict
				return
			}
		}
	}
	fresh := release || !u.holdsLocked(o.First, time.Now()) || !u.holdsLocked(o.Last, time.Now())
	u.fences = slices.DeleteFunc(u.fences, func(f grant) bool { return f.first == o.First && f.last == o.Last })
	u.fences = append(u.fences, grant{first: o.First, last: o.Last, fence: o.Fence})
	var l []grant
	for _, g := range u.grants {
		l = append(l, g.without(o.First, o.Last)...)
	}
	if !release {
		now := time.Now()
		x := grant{first: o.First, last: o.Last, fence: o.Fence, until: now.Add(time.Duration(o.HoldMS) * time.Millisecond)}
		l = append(l, x)
		u.given = append(slices.DeleteFunc(u.given, func(g grant) bool { return !now.Before(g.until) }), x)
	}
	u.grants = l
	u.mu.Unlock()
	if fresh {
		u.w.add("%s takes order: release %v, keys %d to %d, fence %d", u.id, release, o.First, o.Last, o.Fence)
	}
	if !release {
		u.w.granted(u, o)
		return
	}
	for u.alive(life) && len(u.working(o.First, o.Last, false)) > 0 {
		time.Sleep(time.Millisecond)
	}
	a.set("Handover", "from-"+u.id)
}

func (g grant) without(first, last int) []grant {
	if g.last < first || last < g.first {
		return []grant{g}
	}
	var l []grant
	if g.first < first {
		l = append(l, grant{g.first, first - 1, g.fence, g.until})
	}
	if g.last > last {
		l = append(l, grant{last + 1, g.last, g.fence, g.until})
	}
	return l
}
