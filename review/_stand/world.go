package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherrouter/io/ports"
	"heatherrouter/platform/fake"
)

// graceTime is grace_s of the settings: the time from SIGTERM to SIGKILL.
const graceTime = 6 * time.Second

// world is a small deployment: the store, daemons as processes, and upstreams.
type world struct {
	*record
	trouble bool
	dir     string
	store   *fake.Store
	daemons []*daemon

	mu        sync.Mutex
	upstreams []*upstream
	breaches  []string
}

func newWorld(r *record, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	st, err := fake.NewStore()
	if err != nil {
		return nil, err
	}
	return &world{record: r, trouble: trouble, dir: dir, store: st}, nil
}

// stop ends all processes that were started.
func (w *world) stop() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.store.Close()
	os.RemoveAll(w.dir)
}

// daemon is a daemon's process.
type daemon struct {
	name, zone         string
	entry, ready, peer string
	settings           string
	log                string
	cmd                *exec.Cmd
	exited             chan struct{}
}

const settings = `grants = "call"
[self]
node_name = "%[1]s"
role = "router"
machine_class = "client_facing"
serves = ["client_facing"]
ip_address = "127.0.0.1"
zone = "%[2]s"
region = "r"
include_in_tolerance = false
bootstrap = true
[self.limits]
cpu_share = 0.32
cpu_cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_port_range = [%[3]d,%[4]d]
seed_nodes = []
[network.listen_addresses]
frontend = "%[5]s"
ready = "%[6]s"
[network.zones]
za = "r"
zb = "r"
zc = "r"
[platform]
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1500
[platform.platform]
address = "%[7]s"
form = "table"
writes_per_s = 400
reads_per_s = 2000
transaction_ms = 5.0
partition_writes_s = 200
row_bytes = 65536
cross_partition = false
history_s = 20
[terms]
contracts = ["base","drain","config","cost","retry","recover","own","places","platform"]
[terms.fault_tolerance]
machines = 2
zones = 1
regions = 0
[terms.bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_window_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
configuration_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
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

// startDaemons starts one daemon in each zone with the command of the deploy file, and waits until all say that they are ready.
func (w *world) startDaemons(zones ...string) error {
	for i, z := range zones {
		p, err := ports.Free(4)
		if err != nil {
			return err
		}
		addr := func(n uint16) string { return fmt.Sprintf("127.0.0.1:%d", p+n) }
		d := &daemon{name: fmt.Sprintf("client_facing-%s-%d", z, i+1), zone: z, entry: addr(0), ready: addr(1)}
		d.settings, d.log = filepath.Join(w.dir, d.name+".toml"), filepath.Join(w.dir, d.name+".log")
		text := fmt.Sprintf(settings, d.name, z, p+2, p+3, d.entry, d.ready, w.store.Addr())
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	w.add("%d daemons are ready", len(w.daemons))
	return nil
}

// start starts the process as the deploy file says, from the repository's root.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	d.cmd = exec.Command("target/heatherrouterd", "--platform")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEATHERROUTER_CONFIG=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return err
	}
	c, exited := d.cmd, make(chan struct{})
	d.exited = exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

func (d *daemon) awaitReady(limit time.Duration) error {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := c.Get("http://" + d.ready + "/readiness")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready: %s", d.name, d.tail())
}

func (d *daemon) tail() string {
	b, _ := os.ReadFile(d.log)
	return string(b[max(0, len(b)-2000):])
}

func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// term stops the daemon as the platform does: SIGTERM, and SIGKILL after the grace period.
func (w *world) term(d *daemon) {
	began := time.Now()
	w.add("SIGTERM to %s", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-d.exited:
			w.add("%s has exited, %.2f s after SIGTERM", d.name, time.Since(began).Seconds())
		case <-time.After(graceTime):
			w.add("SIGKILL to %s, which still runs", d.name)
			d.kill()
		}
	}()
}

// logLines records the lines of a daemon's log that contain a text.
func (w *world) logLines(d *daemon, texts ...string) {
	b, _ := os.ReadFile(d.log)
	for l := range strings.Lines(string(b)) {
		for _, t := range texts {
			if strings.Contains(l, t) {
				w.add("log of %s: %s", d.name, strings.TrimSpace(l))
				break
			}
		}
	}
}

// route is a route of the configuration. Its path is /NAME/.
type route struct {
	name, kind, service string
	timeout, target     time.Duration
	attempts            int
}

// service is a service of the configuration.
type service struct {
	name  string
	keyed bool
}

const host = "shop.example"

// configure writes a configuration.
func (w *world) configure(version int, services []service, routes []route) error {
	var r, s []map[string]any
	for _, x := range routes {
		r = append(r, map[string]any{
			"name": "r-" + x.name, "host": host, "prefix": "/" + x.name + "/", "kind": x.kind, "timeout_ms": x.timeout.Milliseconds(),
			"target_latency_ms": x.target.Milliseconds(), "priority": 1, "service": x.service, "max_attempts": x.attempts,
		})
	}
	for _, x := range services {
		v := map[string]any{
			"name": x.name, "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false, "warmup_s": 3.0,
			"warmup_per_s": 11.0,
		}
		if x.keyed {
			v["sharding"], v["warm_s"], v["grants"] = true, 3.0, "call"
		}
		s = append(s, v)
	}
	return w.store.Put("op", "config", map[string]any{
		"version": version, "routes": r, "services": s, "limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// dial connects to an address; a positive size limits the socket's receive buffer.
func dial(addr string, size int) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	if size > 0 {
		d.Control = func(_, _ string, c syscall.RawConn) error {
			var err error
			cerr := c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
			})
			if cerr != nil {
				return cerr
			}
			return err
		}
	}
	return d.Dial("tcp", addr)
}
