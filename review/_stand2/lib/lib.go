// Package lib has what the cases of the second review share: daemons as processes, the platform's readiness checks, servers without
// keys, and the record of what was sent, answered and run.
package lib

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"heatherrouter/io/ports"
	"heatherrouter/platform/fake"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Must ends the case as one that could not run.
func Must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(NoRun)
	}
}

// Trouble reports whether the disruption is to be made.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record in the folder.
func NewRecord(dir string) *Record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	Must(err)
	return &Record{file: f, began: time.Now()}
}

// Now is the time since the beginning of the record.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Line writes a line.
func (r *Record) Line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, a ...any) {
	r.Line(format, a...)
	fmt.Printf(format+"\n", a...)
}

// limited is the first argument of a stand-in that is to limit its descriptors and then become another program.
const limited = "limited"

// Limited returns the words that stand before a program's to run it with at most n descriptors, as the platform does.
func Limited(n int) []string { return []string{os.Args[0], limited, strconv.Itoa(n)} }

// BecomeLimited becomes the program named in the arguments, if this process was started by the words of Limited. Each main function begins
// with it.
func BecomeLimited() {
	if len(os.Args) < 4 || os.Args[1] != limited {
		return
	}
	n, err := strconv.ParseUint(os.Args[2], 10, 64)
	Must(err)
	Must(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}))
	Must(syscall.Exec(os.Args[3], os.Args[3:], os.Environ()))
}

// NeedDescriptors ends the case as one that could not run if this process may open fewer than n descriptors.
func NeedDescriptors(n uint64) {
	var l syscall.Rlimit
	Must(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l))
	if l.Cur < n {
		Must(fmt.Errorf("%d descriptors are needed, and %d are allowed", n, l.Cur))
	}
}

// Daemon is a process of the project's daemon, on a loopback address.
type Daemon struct {
	Name, Zone, Entry, Ready string

	dir, settings string
	launch        []string
	cmd           *exec.Cmd
	ended         chan struct{}
	Expected      atomic.Bool // the case ends it
	up            atomic.Bool // in rotation
	misses        int
}

const settings = `grants = "call"
[self]
node_name = %q
role = "router"
machine_class = "client_facing"
serves = ["client_facing"]
ip_address = "127.0.0.1"
zone = %q
region = "demo"
bootstrap = true
[self.limits]
cpu_share = 0.32
cpu_cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_port_range = [%d,%d]
[network.listen_addresses]
frontend = %q
ready = %q
[network.zones]
za = "demo"
zb = "demo"
zc = "demo"
[platform]
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 870
[platform.platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
[terms]
contracts = ["base","drain","config","cost","retry","recover","own","places","platform"]
[terms.bounds]
contact_window_ms = 3000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
configuration_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 64
warmup_overshoot = 1.5
warmup_slack = 5
evacuation_ms = 5000
recovery_s = 15
max_hold_ms = 10000
thaw_slack_ms = 300
`

// NewDaemon writes the settings of a daemon. The launch words stand before the program of the deploy file; none for the program itself.
func NewDaemon(dir, name, zone, store string, launch ...string) *Daemon {
	port, err := ports.Free(2)
	Must(err)
	d := &Daemon{Name: name, Zone: zone, dir: dir, settings: filepath.Join(dir, name+".toml"), launch: launch}
	for _, a := range []*string{&d.Entry, &d.Ready} {
		x, err := ports.Addr()
		Must(err)
		*a = x.String()
	}
	Must(os.WriteFile(d.settings, fmt.Appendf(nil, settings, name, zone, port, port+1, d.Entry, d.Ready, store), 0o600))
	return d
}

// Start starts the process as the deploy file does.
func (d *Daemon) Start() {
	out, err := os.OpenFile(filepath.Join(d.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	defer out.Close()
	words := append(append([]string{}, d.launch...), "target/heatherrouterd", "--platform")
	c := exec.Command(words[0], words[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEATHERROUTER_CONFIG=" + d.settings}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(c.Start())
	d.cmd, d.ended = c, make(chan struct{})
	d.Expected.Store(false)
	go func(ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(d.ended)
}

// Pid is the id of the process.
func (d *Daemon) Pid() int { return d.cmd.Process.Pid }

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	d.Expected.Store(true)
	_ = d.cmd.Process.Kill()
	<-d.ended
}

// Signal sends a signal.
func (d *Daemon) Signal(s os.Signal) { _ = d.cmd.Process.Signal(s) }

// Ended is closed when the process has ended.
func (d *Daemon) Ended() <-chan struct{} { return d.ended }

// State says how the process ended.
func (d *Daemon) State() string { return d.cmd.ProcessState.String() }

// Platform checks the daemons each second as the ingress does, on a new connection.
type Platform struct {
	Daemons []*Daemon
	client  http.Client
}

// Run checks the daemons until the context ends.
func (p *Platform) Run(c context.Context) {
	p.client = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		var w sync.WaitGroup
		for _, d := range p.Daemons {
			w.Go(func() { p.check(d) })
		}
		w.Wait()
		select {
		case <-c.Done():
			return
		case <-t.C:
		}
	}
}

func (p *Platform) check(d *Daemon) {
	r, err := p.client.Get("http://" + d.Ready + "/readiness")
	ok := err == nil && r.StatusCode == http.StatusOK
	if err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		r.Body.Close()
	}
	if ok {
		d.misses = 0
		d.up.Store(true)
		return
	}
	if d.misses++; d.misses >= 2 {
		d.up.Store(false)
	}
}

// AllReady waits until all daemons are in rotation.
func (p *Platform) AllReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, d := range p.Daemons {
			if d.up.Load() {
				n++
			}
		}
		if n == len(p.Daemons) {
			return true
		}
	}
	return false
}

// Pick returns the daemon for a new connection of the n-th client: that of its own zone if it is in rotation, else another one.
func (p *Platform) Pick(n int) *Daemon {
	for i := range p.Daemons {
		if d := p.Daemons[(n+i)%len(p.Daemons)]; d.up.Load() {
			return d
		}
	}
	return p.Daemons[n%len(p.Daemons)]
}

// Server is a server without keys, which runs any request after its work.
type Server struct {
	ID, Service, Zone string
	Work              time.Duration
	Body              []byte // of each response
	Slots             int
	Keys              *Keys // of a service that is partitioned by key; nil for another

	Ran func(id string, ended bool) // when a run begins and ends

	store *fake.Store
	http  *http.Server
	addr  string
	born  int64

	mu       sync.Mutex
	sequence int
	state    string
	ended    bool
}

// beatInterval is heartbeat_interval_ms.
const beatInterval = 870 * time.Millisecond

// Beat is what a server writes of itself.
type Beat struct {
	Sequence int
	State    string
	Row      map[string]any
}

// NextBeat returns the next beat.
func (s *Server) NextBeat() Beat {
	s.sequence++
	return Beat{Sequence: s.sequence, State: s.state, Row: map[string]any{
		"service": s.Service, "address": s.addr, "zone": s.Zone, "version": "v1", "slots": max(1, s.Slots), "state": s.state,
		"warmup_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}}
}

// Write writes a beat to the store.
func (s *Server) Write(b Beat) { Must(s.store.Put("servers", s.ID, b.Row)) }

// Start starts the server and announces it in the store, from now on each 870 ms.
func (s *Server) Start(st *fake.Store) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	s.store, s.addr, s.born, s.state = st, l.Addr().String(), time.Now().UnixMilli(), "ready"
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go func() {
		for range time.Tick(beatInterval) {
			s.beat()
		}
	}()
}

func (s *Server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.Write(s.NextBeat())
	}
}

// LoseBeat is a beat that gets no answer and isn't carried out yet. It is returned.
func (s *Server) LoseBeat() Beat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.NextBeat()
}

// AwaitBeat waits for the next beat.
func (s *Server) AwaitBeat() {
	count := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.sequence
	}
	for n := count(); count() == n; time.Sleep(time.Millisecond) {
	}
}

// Drain reports that the server is draining, and returns that beat when the store has accepted it.
func (s *Server) Drain() Beat {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
	b := s.NextBeat()
	s.Write(b)
	return b
}

// Exit ends the server with all its connections.
func (s *Server) Exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.ID)
		return
	}
	if s.Keys == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if x := r.Header.Get("Expected-Instance"); x != "" && x != s.ID {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.Keys != nil {
		if s.Keys.serveOrder(w, r) {
			return
		}
		key, ok := s.Keys.begin(r.Header.Get("Shard-Key"))
		if !ok {
			h.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		defer s.Keys.end(key)
	}
	s.Ran(id, false)
	time.Sleep(s.Work)
	s.Ran(id, true)
	h.Set("Response-Signature", s.ID+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(s.Body)))
	_, _ = w.Write(s.Body)
}
