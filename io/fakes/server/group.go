package server

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
)

// Group is many servers of one process with a control page in common:
// GET /servers (names and addresses), GET /log?server=NAME (all without it), POST /control (Command).
type Group struct {
	mu   sync.Mutex
	l    []*Server
	http *http.Server
	addr string
}

// Command is the body of a control call.
type Command struct {
	Server       ident.Server `json:"server,omitempty"` // every one when empty
	Faults       *Faults      `json:"faults,omitempty"` // replaces those in force
	Silence      bool         `json:"silence,omitempty"`
	Restart      bool         `json:"restart,omitempty"`
	DownMS       int          `json:"down-ms,omitempty"` // with a restart
	ForgetGrants bool         `json:"forget-grants,omitempty"`
}

// Place is where one server of a group listens.
type Place struct {
	Name   ident.Server `json:"name"`
	Addr   string       `json:"addr"`
	Faults Faults       `json:"faults"`
}

const headTimeout = 10 * time.Second

// NewGroup starts a control page at the address, or any when empty, for servers that are added later.
func NewGroup(addr string) (*Group, error) {
	if addr == "" {
		addr = fakes.AnyPort
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	g := &Group{addr: l.Addr().String()}
	m := http.NewServeMux()
	m.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) { reply(w, g.Places()) })
	m.HandleFunc("GET /log", g.log)
	m.HandleFunc("POST /control", g.control)
	g.http = &http.Server{Handler: m, ReadHeaderTimeout: headTimeout}
	go func() { _ = g.http.Serve(l) }()
	return g, nil
}

// ControlURL returns the base URL of the control page.
func (g *Group) ControlURL() string { return "http://" + g.addr }

// Add starts one more server.
func (g *Group) Add(o Options) (*Server, error) {
	s, err := New(o)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.l = append(g.l, s)
	return s, nil
}

// Close ends every server and the control page.
func (g *Group) Close() {
	_ = g.http.Close()
	for _, s := range g.pick("") {
		s.Close()
	}
}

// Places returns where the servers listen.
func (g *Group) Places() []Place {
	var l []Place
	for _, s := range g.pick("") {
		l = append(l, Place{Name: s.Name(), Addr: s.Addr(), Faults: s.Faults()})
	}
	return l
}

// Log returns the work of every server.
func (g *Group) Log() []fakes.Work {
	var l []fakes.Work
	for _, s := range g.pick("") {
		l = append(l, s.Log()...)
	}
	return l
}

// pick returns the server of the name, or every one.
func (g *Group) pick(n ident.Server) []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := slices.Clone(g.l)
	if n == "" {
		return l
	}
	return slices.DeleteFunc(l, func(s *Server) bool { return s.Name() != n })
}

func (g *Group) log(w http.ResponseWriter, r *http.Request) {
	l := []fakes.Work{}
	for _, s := range g.pick(ident.Server(r.URL.Query().Get("server"))) {
		l = append(l, s.Log()...)
	}
	reply(w, l)
}

func (g *Group) control(w http.ResponseWriter, r *http.Request) {
	var c Command
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l := g.pick(c.Server)
	if len(l) == 0 {
		http.Error(w, "no server "+string(c.Server), http.StatusNotFound)
		return
	}
	var wg sync.WaitGroup
	for _, s := range l {
		wg.Go(func() { s.obey(c) })
	}
	wg.Wait()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) obey(c Command) {
	if c.Faults != nil {
		s.Update(func(f *Faults) { *f = *c.Faults })
	}
	if c.Silence {
		s.Silence()
	}
	if c.Restart {
		s.Restart(time.Duration(c.DownMS)*time.Millisecond, c.ForgetGrants)
	}
}

func reply(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
