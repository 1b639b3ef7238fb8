package fakes

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"heatherrouter/io/hosts"
)

// HostsOptions sets up a host list stand-in.
type HostsOptions struct {
	Addr string        // AnyPort when empty
	Lag  time.Duration // how late the list shows what was set
}

// Hosts is a stand-in for the platform's host list. GET /hosts is the page; POST /hosts sets it, to be seen after
// the lag; POST /control {"lag-ms":N} sets the lag for what is set later.
type Hosts struct {
	data *endpoint

	mu    sync.Mutex
	lag   time.Duration
	pages []datedPage // by the time from which each is shown
}

type datedPage struct {
	from time.Time
	page hosts.Page
}

// NewHosts starts a host list stand-in with an empty list.
func NewHosts(o HostsOptions) (*Hosts, error) {
	h := &Hosts{lag: o.Lag}
	h.pages = []datedPage{{page: hosts.Page{Hosts: []hosts.Host{}}}}
	m := http.NewServeMux()
	m.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, h.shown()) })
	m.HandleFunc("POST /hosts", h.post)
	m.HandleFunc("POST /control", h.control)
	var err error
	h.data, err = newEndpoint(o.Addr, m)
	return h, err
}

// URL returns the page's URL.
func (h *Hosts) URL() string { return h.data.URL() + "/hosts" }

// Close ends the stand-in.
func (h *Hosts) Close() { h.data.close() }

// Set replaces the list; it is shown after the lag.
func (h *Hosts) Set(l ...hosts.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pages = append(h.pages, datedPage{time.Now().Add(h.lag), hosts.Page{Hosts: slices.Clone(l)}})
}

// SetLag sets the lag of lists that are set from now on.
func (h *Hosts) SetLag(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = d
}

func (h *Hosts) shown() hosts.Page {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for len(h.pages) > 1 && !h.pages[1].from.After(now) {
		h.pages = h.pages[1:]
	}
	return h.pages[0].page
}

func (h *Hosts) post(w http.ResponseWriter, r *http.Request) {
	var p hosts.Page
	if readJSON(w, r, &p) {
		h.Set(p.Hosts...)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (h *Hosts) control(w http.ResponseWriter, r *http.Request) {
	var c struct {
		LagMS int `json:"lag-ms"`
	}
	if readJSON(w, r, &c) {
		h.SetLag(time.Duration(c.LagMS) * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}
}
