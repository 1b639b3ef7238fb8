// Package stand starts the router as processes against stand-ins, for the demo, the bench and the tests of failures.
package stand

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"

	"github.com/gravitational/trace"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/hosts"
	"heatherrouter/io/keys"
	"heatherrouter/io/keys/keytest"
	"heatherrouter/io/ports"
)

const (
	// Region is where all daemons and services of a stand are, unless its options say otherwise.
	Region ident.Region = "region"

	// OperatorKey opens the mutating calls of every admin page.
	OperatorKey = "operator-key-of-the-stand"
)

// Options say what to start.
type Options struct {
	Dir     string // for settings, keys and logs
	Binary  string // of heatherrouterd
	Daemons int
	Domains int            // daemons and servers are spread over them in turn
	Names   []ident.Domain // of the domains; made up when empty
	Region  ident.Region   // made up when empty
	Procs   int            // processors that each daemon may use at once, as on a small host; 0 for all

	// Servers are backend servers with given addresses. They start before the daemons' ports are chosen, which would otherwise be
	// free to be the same.
	Servers []server.Options
}

// Stand is the platform's stand-ins and the daemons.
type Stand struct {
	o         Options
	Table     *fakes.Table
	Hosts     *fakes.Hosts
	Daemons   []*Daemon
	Servers   map[ident.Server]*server.Server
	authority *keytest.Authority

	mu     sync.Mutex
	listed []hosts.Host
}

// Daemon is one heatherrouterd process.
type Daemon struct {
	Name   ident.Daemon
	Domain ident.Domain
	Entry  netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
	Log    string // file that its log lines go to

	stand    *Stand
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// New starts the platform's stand-ins and writes the daemons' settings; Start starts the daemons.
func New(o Options) (*Stand, error) {
	for i := len(o.Names); i < o.Domains; i++ {
		o.Names = append(o.Names, Domain(i))
	}
	if o.Region == "" {
		o.Region = Region
	}
	s := &Stand{o: o, Servers: map[ident.Server]*server.Server{}}
	var err error
	if s.Table, err = fakes.NewTable(fakes.TableOptions{}); err != nil {
		return nil, err
	}
	if s.Hosts, err = fakes.NewHosts(fakes.HostsOptions{}); err != nil {
		return nil, err
	}
	if s.authority, err = keytest.New(o.Dir, "authority"); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "operator.key"), []byte(OperatorKey), 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	for _, x := range o.Servers {
		if _, err := s.AddServer(x); err != nil {
			return nil, trace.Wrap(err, "backend server stand-in %s", x.Name)
		}
	}
	for i := range o.Daemons {
		if err := s.add(i); err != nil {
			return nil, err
		}
	}
	s.List(s.listed...)
	return s, nil
}

// Domain returns the name of a failure domain, counted from 0.
func Domain(i int) ident.Domain {
	return ident.Domain(fmt.Sprintf("domain-%d", i+1))
}

func (s *Stand) add(i int) error {
	d := &Daemon{Name: ident.Daemon(fmt.Sprintf("h%02d", i+1)), Domain: s.o.Names[i%s.o.Domains], stand: s}
	for _, a := range []*netip.AddrPort{&d.Entry, &d.Peer, &d.Admin} {
		x, err := ports.Addr()
		if err != nil {
			return err
		}
		*a = x
	}
	f, err := s.authority.IssueCertificate(d.Name)
	if err != nil {
		return err
	}
	d.Log = filepath.Join(s.o.Dir, string(d.Name)+".log")
	d.settings = filepath.Join(s.o.Dir, string(d.Name)+".toml")
	if err := s.writeSettings(d, f); err != nil {
		return err
	}
	s.Daemons = append(s.Daemons, d)
	s.listed = append(s.listed, hosts.Host{Name: d.Name, Peer: d.Peer, Domain: d.Domain, Region: s.o.Region, State: hosts.Live})
	return nil
}

// List replaces the platform's host list.
func (s *Stand) List(l ...hosts.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = l
	s.Hosts.Set(l...)
}

// SetState changes what the host list says of one daemon's host.
func (s *Stand) SetState(d ident.Daemon, x hosts.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.listed {
		if s.listed[i].Name == d {
			s.listed[i].State = x
		}
	}
	s.Hosts.Set(s.listed...)
}

var settings = template.Must(template.New("settings").Parse(`name = "{{.Name}}"
domain = "{{.Domain}}"
region = "{{.Region}}"
log-level = "info"

[addresses]
entry = "{{.Entry}}"
peer = "{{.Peer}}"
admin = "{{.Admin}}"

[table]
endpoint = "{{.Table}}"
region = "{{.Region}}"
name = "heatherrouter"
access-key = "access"
secret-key = "secret"

[hosts]
url = "{{.Hosts}}"

[keys]
ca-files = ["{{.CA}}"]
certificate-file = "{{.Certificate}}"
key-file = "{{.Key}}"
operator-key-file = "operator.key"
`))

func (s *Stand) writeSettings(d *Daemon, f keys.Files) error {
	var b bytes.Buffer
	err := settings.Execute(&b, map[string]any{
		"Name": d.Name, "Domain": d.Domain, "Region": s.o.Region, "Entry": d.Entry, "Peer": d.Peer, "Admin": d.Admin,
		"Table": s.Table.URL(), "Hosts": s.Hosts.URL(), "CA": f.Authorities[0], "Certificate": f.Certificate, "Key": f.Key,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(d.settings, b.Bytes(), 0o600))
}

// AddServer starts a backend server stand-in.
func (s *Stand) AddServer(o server.Options) (*server.Server, error) {
	v, err := server.New(o)
	if err != nil {
		return nil, err
	}
	s.Servers[o.Name] = v
	return v, nil
}

// Work returns the logs of all servers.
func (s *Stand) Work() []fakes.Work {
	var l []fakes.Work
	for _, v := range s.Servers {
		l = append(l, v.Log()...)
	}
	return l
}

// Start starts all daemons.
func (s *Stand) Start() error {
	for _, d := range s.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and stand-ins.
func (s *Stand) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	for _, v := range s.Servers {
		v.Close()
	}
	s.Table.Close()
	s.Hosts.Close()
}

// Start starts the daemon's process, with its log appended to its file.
func (d *Daemon) Start() error {
	f, err := os.OpenFile(d.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	c := exec.Command(d.stand.o.Binary, d.settings) //nolint:gosec // our own binary
	c.Stdout, c.Stderr = f, f
	if d.stand.o.Procs > 0 {
		c.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", d.stand.o.Procs))
	}
	// The process must not outlive the test that started it, even if that is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return trace.Wrap(err)
	}
	done := make(chan struct{})
	d.cmd, d.done = c, done
	go func() {
		_ = c.Wait() // how it ended shows in its log
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // the process may have ended
	}
}

// Kill ends the process at once.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	d.Signal(syscall.SIGKILL)
	<-d.done
	d.cmd = nil
}

// Leave asks the process to leave and waits for its end.
func (d *Daemon) Leave(c context.Context) error {
	d.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
		d.cmd = nil
		return nil
	case <-c.Done():
		return trace.Errorf("daemon %s has not left: %v", d.Name, context.Cause(c))
	}
}

// LogTail returns the last lines of the daemon's log, for a failure's report.
func (d *Daemon) LogTail() string {
	const tail = 6000
	b, err := os.ReadFile(d.Log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-tail):])
}

// Running reports whether the process runs.
func (d *Daemon) Running() bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// PID returns the process id.
func (d *Daemon) PID() int {
	return d.cmd.Process.Pid
}
