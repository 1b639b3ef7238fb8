package lib

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Keys are the keys that a server holds.
type Keys struct {
	mu      sync.Mutex
	held    []order     // with the time until which each is held
	highest []order     // one for each range of keys, with the highest fence seen
	running map[int]int // requests at work by key
}

// NewKeys returns no keys.
func NewKeys() *Keys { return &Keys{running: map[int]int{}} }

// order is the body of a grant or a release.
type order struct {
	First  int    `json:"range_start"`
	Last   int    `json:"target"`
	Fence  uint64 `json:"fence"`
	HoldMS int    `json:"hold_ms"`

	until time.Time
}

func (o order) overlaps(x order) bool { return o.First <= x.Last && x.First <= o.Last }

// without returns what of the held keys remains without those of x.
func (o order) without(x order) []order {
	if !o.overlaps(x) || o.Fence > x.Fence {
		return []order{o}
	}
	var l []order
	if o.First < x.First {
		a := o
		a.Last = x.First - 1
		l = append(l, a)
	}
	if o.Last > x.Last {
		a := o
		a.First = x.Last + 1
		l = append(l, a)
	}
	return l
}

// serveOrder responds to a grant or a release; it reports whether the request was one.
func (k *Keys) serveOrder(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/grant" && r.URL.Path != "/release" {
		return false
	}
	arrived := time.Now()
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	o.until = arrived.Add(time.Duration(o.HoldMS) * time.Millisecond)
	release := r.URL.Path == "/release"
	if !k.apply(o, release) {
		w.WriteHeader(http.StatusConflict)
		return true
	}
	if release {
		for k.busy(o) {
			time.Sleep(time.Millisecond)
		}
		w.Header().Set("Handover", rand.Text())
	}
	return true
}

// apply applies the order and reports whether its fence was high enough.
func (k *Keys) apply(o order, release bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := false
	for i, x := range k.highest {
		if !release && x.overlaps(o) && x.Fence > o.Fence {
			return false
		}
		if x.First == o.First && x.Last == o.Last {
			k.highest[i].Fence, known = max(x.Fence, o.Fence), true
		}
	}
	if !known {
		k.highest = append(k.highest, o)
	}
	var l []order
	for _, x := range k.held {
		l = append(l, x.without(o)...)
	}
	if !release {
		l = append(l, o)
	}
	k.held = l
	return true
}

// busy reports whether requests for keys of the order are at work.
func (k *Keys) busy(o order) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.running {
		if o.First <= key && key <= o.Last {
			return true
		}
	}
	return false
}

// begin begins a request for the key, if the server holds it.
func (k *Keys) begin(header string) (key int, ok bool) {
	key, err := strconv.Atoi(header)
	if err != nil {
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range k.held {
		if o.First <= key && key <= o.Last && time.Now().Before(o.until) {
			k.running[key]++
			return key, true
		}
	}
	return 0, false
}

// end ends a request for the key.
func (k *Keys) end(key int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.running[key]--; k.running[key] == 0 {
		delete(k.running, key)
	}
}
