// Package cut is a relay between two addresses that can be cut, one way too, delayed and healed.
//
// A cut is silent: nothing is reset or ended, as when the network between two hosts fails. What a TCP connection
// carries during a cut is held and delivered after the heal, as by TCP's own repeats; datagrams are lost. One
// difference to a real cut stays: a new TCP connection is accepted, by the relay's kernel, and then hears nothing.
package cut

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Way is a set of directions.
type Way int

// Directions, seen from the side that connects or sends first.
const (
	Forward Way = 1 << iota
	Back
	Both = Forward | Back
)

// lane is the state of one direction.
type lane struct {
	cut   bool
	delay time.Duration
}

// control is what TCP and UDP relays share.
type control struct {
	mu      sync.Mutex
	forward lane
	back    lane
	change  chan struct{} // closed at every change
	stop    chan struct{}
	stopped bool
}

func (c *control) init() {
	c.change = make(chan struct{})
	c.stop = make(chan struct{})
}

func (c *control) set(w Way, f func(*lane)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w&Forward != 0 {
		f(&c.forward)
	}
	if w&Back != 0 {
		f(&c.back)
	}
	close(c.change)
	c.change = make(chan struct{})
}

// Cut stops the directions. Earlier cuts of others stay.
func (c *control) Cut(w Way) { c.set(w, func(l *lane) { l.cut = true }) }

// Heal ends every cut.
func (c *control) Heal() { c.set(Both, func(l *lane) { l.cut = false }) }

// Delay makes the directions later by d from now on.
func (c *control) Delay(w Way, d time.Duration) { c.set(w, func(l *lane) { l.delay = d }) }

func (c *control) lane(w Way) (lane, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w == Forward {
		return c.forward, c.change
	}
	return c.back, c.change
}

// wait returns when the direction is not cut; false means that the relay is closed.
func (c *control) wait(w Way) bool {
	for {
		l, change := c.lane(w)
		if !l.cut {
			return true
		}
		select {
		case <-change:
		case <-c.stop:
			return false
		}
	}
}

// end closes stop; false means that it was closed before.
func (c *control) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.stopped = true
	close(c.stop)
	return true
}

// Relay is a TCP or a UDP relay.
type Relay interface {
	Addr() string                 // to connect or send to
	Cut(w Way)                    // stops the directions
	Heal()                        // ends every cut
	Delay(w Way, d time.Duration) // makes the directions later
	Silence()                     // makes the connections of now deliver nothing for good; new ones work
	Close()                       // ends the relay and resets what it carries
}

var (
	_ Relay = (*TCP)(nil)
	_ Relay = (*UDP)(nil)
)

// Command is the body of a control call; the whole state is set by each.
type Command struct {
	Cut     string `json:"cut"` // forward, back, both, or nothing for none
	DelayMS int    `json:"delay-ms"`
	Silence bool   `json:"silence"`
}

var ways = map[string]Way{"": 0, "forward": Forward, "back": Back, "both": Both}

// Control returns a page that obeys commands by POST.
func Control(r Relay) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var c Command
		d := json.NewDecoder(q.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		x, ok := ways[c.Cut]
		if !ok {
			http.Error(w, "cut is none of forward, back, both", http.StatusBadRequest)
			return
		}
		r.Heal()
		r.Cut(x)
		r.Delay(Both, time.Duration(c.DelayMS)*time.Millisecond)
		if c.Silence {
			r.Silence()
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

// reset closes a connection as a lost process does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
