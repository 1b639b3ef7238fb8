package daemon

import (
	"cmp"
	"slices"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
	"heatherrouter/io/admin"
	"heatherrouter/io/home"
	"heatherrouter/io/rowcfg"
	"heatherrouter/io/view"
)

// Services implements admin.Backend.
func (d *Daemon) Services() []admin.Service {
	var l []admin.Service
	for _, s := range d.view.Get().Config.Services {
		l = append(l, d.service(s))
	}
	slices.SortFunc(l, func(a, b admin.Service) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// Service implements admin.Backend.
func (d *Daemon) Service(n ident.Service) (admin.Service, error) {
	s := d.view.Get().Config.Services[n]
	if s == nil {
		return admin.Service{}, &admin.NotFoundError{What: "service", Name: string(n)}
	}
	out := d.service(s)
	if x := d.store.Get(ident.ConfigDoc); x != nil {
		_, file, err := rowcfg.DecodeService(x.Body(config.ServiceRow(n)))
		if err == nil {
			out.File = string(file)
		}
	}
	return out, nil
}

func (d *Daemon) service(s *config.Service) admin.Service {
	x := d.store.Get(ident.ConfigDoc)
	if x == nil {
		return admin.ViewService(s, 0, "")
	}
	r := x.Rows[config.ServiceRow(s.Name)]
	path, _, _ := rowcfg.DecodeService(r.Body) // a row that can't be read has no path to show
	return admin.ViewService(s, r.Rev, path)
}

// Shards implements admin.Backend.
func (d *Daemon) Shards(n ident.Service) ([]admin.Shard, error) {
	v := d.view.Get()
	if v.Config.Services[n] == nil {
		return nil, &admin.NotFoundError{What: "service", Name: string(n)}
	}
	var l []admin.Shard
	p := v.Part(n)
	if p == nil {
		return l, nil
	}
	for i, o := range p.Shards {
		row, _ := p.Server(o.Server)
		l = append(l, admin.Shard{
			Service: n, Shard: ident.Shard(i), Server: o.Server, Epoch: o.Epoch, Previous: o.Previous, Home: row.Home,
		})
	}
	return l, nil
}

// Servers implements admin.Backend.
func (d *Daemon) Servers() []admin.Server {
	v := d.view.Get()
	homes := d.homes.State()
	var l []admin.Server
	for _, s := range v.Config.Services {
		shards := shardCounts(v, s.Name)
		for i := range s.Servers {
			l = append(l, server(v, &s.Servers[i], shards, homes))
		}
	}
	slices.SortFunc(l, func(a, b admin.Server) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

func shardCounts(v *view.Snapshot, n ident.Service) map[ident.Server]int {
	m := map[ident.Server]int{}
	if p := v.Part(n); p != nil {
		for _, o := range p.Shards {
			m[o.Server]++
		}
	}
	return m
}

func server(v *view.Snapshot, s *config.Server, shards map[ident.Server]int, homes map[ident.Server]home.State) admin.Server {
	out := admin.Server{
		Name: s.ID, Domain: s.Domain, Address: s.Addr.String(), State: admin.StateActive, Slots: s.Slots, Shards: shards[s.ID],
	}
	row := part.Server{}
	if p := v.Part(s.ID.Service()); p != nil {
		row, _ = p.Server(s.ID)
	}
	out.Home, out.Epoch = row.Home, row.Epoch
	h := homes[s.ID]
	out.InFlight, out.Queued = h.InFlight, h.Queued
	if x, ok := v.Config.Servers[s.ID]; ok {
		out.By = x.By
	}
	switch {
	case v.Config.ServerDrained(s):
		out.State = admin.StateDrained
	case row.State == part.Down || h.Down:
		out.State = admin.StateDown
	case h.Slow:
		out.State = admin.StateSlow
	case h.Holds && h.OpenSlots < s.Slots:
		out.State = admin.StateWarming
	}
	return out
}

// Domains implements admin.Backend.
func (d *Daemon) Domains() []admin.Domain {
	v := d.view.Get()
	m := map[ident.Domain]*admin.Domain{}
	get := func(n ident.Domain) *admin.Domain {
		if m[n] == nil {
			m[n] = &admin.Domain{Name: n, State: admin.StateActive}
			if x, ok := v.Config.Domains[n]; ok {
				m[n].State, m[n].By, m[n].Since = admin.StateDrained, x.By, &x.Since
			}
		}
		return m[n]
	}
	for _, x := range d.members.Daemons() {
		if x.Domain != "" {
			get(x.Domain).Daemons++
		}
	}
	for _, s := range v.Config.Services {
		for i := range s.Servers {
			get(s.Servers[i].Domain).Servers++
		}
	}
	var l []admin.Domain
	for _, x := range m {
		l = append(l, *x)
	}
	slices.SortFunc(l, func(a, b admin.Domain) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// dump is the state dump of the process.
type dump struct {
	Status admin.Status            `json:"status"`
	Docs   map[ident.Doc]ident.Rev `json:"documents"`
	Leads  []ident.Service         `json:"coordinates"`

	Witnesses map[ident.Service][]ident.Daemon `json:"witnesses"` // of each service, but for a change under way
	Changing  []ident.Service                  `json:"witnesses-changing"`

	Homes map[ident.Server]home.State `json:"homes"`
	Open  int64                       `json:"open-requests"`
	Wait  int64                       `json:"waiting-requests"`
}

// State implements admin.Backend.
func (d *Daemon) State() any {
	x := dump{
		Status: d.Status(), Docs: map[ident.Doc]ident.Rev{}, Leads: d.coord.Leads(), Homes: d.homes.State(),
		Open: d.entry.Open(), Wait: d.entry.Waiting(),
	}
	x.Witnesses = map[ident.Service][]ident.Daemon{}
	for n, p := range d.view.Get().Parts {
		x.Witnesses[n] = p.Witnesses.Current
		if p.Witnesses.Changing() {
			x.Changing = append(x.Changing, n)
		}
	}
	for _, n := range d.store.Names() {
		x.Docs[n] = d.store.Get(n).Rev
	}
	return x
}
