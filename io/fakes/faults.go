package fakes

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults says how the table or the object store stand-in misbehaves. The zero value is a sound one.
type Faults struct {
	Outage    Outage `json:"outage"`
	LatencyMS int    `json:"latency-ms"` // added before every request is carried out

	// LoseReplies is how many of the next writes lose their reply after they took effect.
	LoseReplies int `json:"lose-replies"`
	// LoseSilently leaves the caller of a lost reply waiting; otherwise its connection is closed.
	LoseSilently bool `json:"lose-silently"`

	// DelayWrites is how many of the next writes take effect DelayMS late, also when their caller has gone.
	DelayWrites int `json:"delay-writes"`
	DelayMS     int `json:"delay-ms"`

	// More requests per second than these are refused as throttled; 0 for no limit.
	ReadLimit  int `json:"read-limit"`
	WriteLimit int `json:"write-limit"`
}

// Counts is how many requests a stand-in has carried out.
type Counts struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`    // those that took effect
	Failed    int `json:"failed"`    // writes refused by their condition or for being wrong
	Conns     int `json:"conns"`     // connections accepted
	Throttled int `json:"throttled"` // requests refused by a limit
}

// Status is the answer of a control page.
type Status struct {
	Faults Faults `json:"faults"`
	Counts Counts `json:"counts"`
}

// faulty is the part of a stand-in that misbehaves on command.
type faulty struct {
	mu     sync.Mutex
	faults Faults
	counts Counts
	change chan struct{} // closed when the faults change, so that hung requests look again
	data   *endpoint     // the service
	admin  *endpoint     // the control page

	reads, writes *rate.Limiter // nil for no limit
}

// listen opens the service, and the control page with /control added to its other pages.
func (f *faulty) listen(addr string, service http.HandlerFunc, controlAddr string, pages *http.ServeMux) error {
	f.change = make(chan struct{})
	var err error
	if f.data, err = newEndpoint(addr, service); err != nil {
		return err
	}
	pages.HandleFunc("/control", f.control)
	if f.admin, err = newEndpoint(controlAddr, pages); err != nil {
		f.data.close()
	}
	return err
}

// URL returns the endpoint of the service.
func (f *faulty) URL() string { return f.data.URL() }

// Addr returns the address of the service, for a relay before it.
func (f *faulty) Addr() string { return f.data.addr }

// ControlURL returns the base URL of the control page.
func (f *faulty) ControlURL() string { return f.admin.URL() }

// Close ends the stand-in and forgets everything.
func (f *faulty) Close() {
	f.data.close()
	f.admin.close()
}

// limiter allows a tenth of a second's requests at once.
func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// throttled takes a request off the limit of its kind; true means that it must be refused.
func (f *faulty) throttled(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.reads
	if write {
		l = f.writes
	}
	if l == nil || l.Allow() {
		return false
	}
	f.counts.Throttled++
	return true
}

// SetFaults replaces the faults and returns when they are in force.
func (f *faulty) SetFaults(x Faults) error {
	f.mu.Lock()
	if x.ReadLimit != f.faults.ReadLimit {
		f.reads = limiter(x.ReadLimit)
	}
	if x.WriteLimit != f.faults.WriteLimit {
		f.writes = limiter(x.WriteLimit)
	}
	f.faults = x
	close(f.change)
	f.change = make(chan struct{})
	f.mu.Unlock()
	if x.Outage == RefuseOutage {
		f.data.shut()
		return nil
	}
	return f.data.open()
}

// Faults returns the faults in force, with what is left of those that are counted.
func (f *faulty) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Counts returns how many requests were carried out.
func (f *faulty) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts
	c.Conns = int(f.data.conns.Load())
	return c
}

func (f *faulty) count(c Counts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Reads += c.Reads
	f.counts.Writes += c.Writes
	f.counts.Failed += c.Failed
}

// admit holds the request back as the faults say; false means that it must not be carried out.
func (f *faulty) admit(w http.ResponseWriter, r *http.Request) bool {
	for {
		f.mu.Lock()
		x, change := f.faults, f.change
		f.mu.Unlock()
		switch x.Outage {
		case UpOutage:
			time.Sleep(time.Duration(x.LatencyMS) * time.Millisecond)
			return true
		case HangOutage:
			select {
			case <-r.Context().Done():
				return false
			case <-f.data.done:
				return false
			case <-change:
			}
		case ErrorOutage:
			http.Error(w, "out on command", http.StatusServiceUnavailable)
			return false
		default:
			cutConn(w)
			return false
		}
	}
}

// delayWrite takes one of the delayed writes, if there are any left, and waits.
func (f *faulty) delayWrite() {
	f.mu.Lock()
	var d time.Duration
	if f.faults.DelayWrites > 0 {
		f.faults.DelayWrites--
		d = time.Duration(f.faults.DelayMS) * time.Millisecond
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// loseReply takes one of the lost replies, if there are any left; true means that the caller must not be answered.
func (f *faulty) loseReply(w http.ResponseWriter, r *http.Request) bool {
	f.mu.Lock()
	lose, silent := f.faults.LoseReplies > 0, f.faults.LoseSilently
	if lose {
		f.faults.LoseReplies--
	}
	f.mu.Unlock()
	if !lose {
		return false
	}
	if silent {
		select {
		case <-r.Context().Done():
		case <-f.data.done:
		}
	}
	cutConn(w)
	return true
}

// control serves GET (state) and POST (new faults).
func (f *faulty) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var x Faults
		if !readJSON(w, r, &x) {
			return
		}
		if err := f.SetFaults(x); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	writeJSON(w, http.StatusOK, Status{Faults: f.Faults(), Counts: f.Counts()})
}
