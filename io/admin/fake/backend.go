package fake

import (
	"maps"
	"slices"
	"sync"
	"time"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/publ"
	"heatherrouter/io/rowcfg"
)

// Epoch of every backend server and shard that the stand-in shows.
const Epoch ident.Epoch = 7

// Backend is an admin.Backend of one daemon whose publishes and drains are real, over an in-memory document.
type Backend struct {
	*publ.Publisher
	docs *Docs

	mu      sync.Mutex
	reason  string
	lagging []ident.Daemon
}

// New returns a backend over the document; now is the wall clock.
func New(d *Docs, now func() time.Time) *Backend {
	b := &Backend{docs: d}
	b.Publisher = publ.New(d, b, now)
	return b
}

// Daemon is the only daemon that the stand-in knows.
const Daemon ident.Daemon = "hr-01"

// HasDaemon implements publ.Hosts.
func (b *Backend) HasDaemon(d ident.Daemon) bool { return d == Daemon }

// HasDomain implements publ.Hosts.
func (b *Backend) HasDomain(ident.Domain) bool { return false }

// SetReason makes the daemon not ready; an empty reason makes it ready.
func (b *Backend) SetReason(r string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reason = r
}

// SetLagging names daemons that hold no revision of the configuration.
func (b *Backend) SetLagging(l ...ident.Daemon) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lagging = l
}

// Ready implements admin.Backend.
func (b *Backend) Ready() (ok bool, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reason == "", b.reason
}

// State implements admin.Backend.
func (b *Backend) State() any {
	return map[string]any{"config-rev": b.ConfigRev()}
}

// Status implements admin.Backend.
func (b *Backend) Status() admin.Status {
	ok, reason := b.Ready()
	return admin.Status{
		Daemon: Daemon, Domain: "d1", Region: "north", Version: "test", Ready: ok, Reason: reason,
		ConfigRev: b.ConfigRev(), TableOK: true,
		Daemons: []admin.Daemon{
			{Name: Daemon, Domain: "d1", Address: "127.0.0.1:9001", State: admin.StateActive, ConfigRev: b.ConfigRev()},
		},
		Certs: []admin.Certificate{{File: "cert.pem", Subject: "hr-01", Expires: time.Unix(2_000_000_000, 0).UTC()}},
	}
}

// ConfigRev implements admin.Backend.
func (b *Backend) ConfigRev() ident.Rev {
	return b.docs.Get(ident.ConfigDoc).Rev
}

// InForce implements admin.Backend.
func (b *Backend) InForce(r ident.Rev) admin.InForce {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := admin.InForce{Rev: r, Missing: b.lagging}
	if b.docs.Get(ident.ConfigDoc).Rev >= r {
		a.Have = []ident.Daemon{Daemon}
	}
	a.Everyone = len(a.Missing) == 0 && len(a.Have) == 1
	return a
}

func (b *Backend) config() *config.Config {
	c, _ := rowcfg.Read(b.docs.Get(ident.ConfigDoc))
	return c
}

// Services implements admin.Backend.
func (b *Backend) Services() []admin.Service {
	c := b.config()
	var l []admin.Service
	for _, n := range slices.Sorted(maps.Keys(c.Services)) {
		v, _ := b.Service(n)
		v.File = ""
		l = append(l, v)
	}
	return l
}

// Service implements admin.Backend.
func (b *Backend) Service(n ident.Service) (admin.Service, error) {
	s := b.config().Services[n]
	if s == nil {
		return admin.Service{}, &admin.NotFoundError{What: "service", Name: string(n)}
	}
	row := b.docs.Get(ident.ConfigDoc).Rows[config.ServiceRow(n)]
	path, file, err := rowcfg.DecodeService(row.Body)
	v := admin.ViewService(s, row.Rev, path)
	v.File = string(file)
	return v, err
}

// Shards implements admin.Backend.
func (b *Backend) Shards(n ident.Service) ([]admin.Shard, error) {
	s := b.config().Services[n]
	if s == nil {
		return nil, &admin.NotFoundError{What: "service", Name: string(n)}
	}
	var l []admin.Shard
	for i := range s.Shards {
		l = append(l, admin.Shard{
			Service: n, Shard: ident.Shard(i), Server: s.Servers[i%len(s.Servers)].ID, Epoch: Epoch, Home: Daemon,
		})
	}
	return l, nil
}

// Servers implements admin.Backend.
func (b *Backend) Servers() []admin.Server {
	c := b.config()
	var l []admin.Server
	for _, n := range slices.Sorted(maps.Keys(c.Services)) {
		for i := range c.Services[n].Servers {
			v := &c.Services[n].Servers[i]
			x := admin.Server{
				Name: v.ID, Domain: v.Domain, Address: v.Addr.String(), State: admin.StateActive,
				Home: Daemon, Epoch: Epoch, Slots: v.Slots, By: c.Servers[v.ID].By,
			}
			if c.ServerDrained(v) {
				x.State = admin.StateDrained
			}
			l = append(l, x)
		}
	}
	return l
}

// Domains implements admin.Backend.
func (b *Backend) Domains() []admin.Domain {
	c := b.config()
	m := map[ident.Domain]*admin.Domain{}
	for _, s := range b.Servers() {
		if m[s.Domain] == nil {
			m[s.Domain] = &admin.Domain{Name: s.Domain, State: admin.StateActive}
		}
		m[s.Domain].Servers++
	}
	var l []admin.Domain
	for _, n := range slices.Sorted(maps.Keys(m)) {
		if d, ok := c.Domains[n]; ok {
			m[n].State, m[n].By, m[n].Since = admin.StateDrained, d.By, &d.Since
		}
		l = append(l, *m[n])
	}
	return l
}
