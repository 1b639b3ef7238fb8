// Package view is the compiled form of all documents that the request path reads: one pointer load, no lock.
package view

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"heatherrouter/core/config"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/core/part"
	"heatherrouter/core/route"
	"heatherrouter/io/rowcfg"
	"heatherrouter/io/rows"
)

// Snapshot is all documents as of one moment. It must not be changed.
type Snapshot struct {
	Config *config.Config
	Routes *route.Table
	Parts  map[ident.Service]*part.Part
	Docs   map[ident.Service]*docs.Doc // that the parts were read from
}

// Part returns the assignments of a service, or nil.
func (s *Snapshot) Part(n ident.Service) *part.Part {
	return s.Parts[n]
}

// View holds the newest snapshot.
type View struct {
	log *log.Logger
	now atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed []func(*Snapshot)
}

// New returns a view of no documents.
func New(l *log.Logger) *View {
	v := &View{log: l}
	v.now.Store(&Snapshot{Config: config.New(0), Routes: route.New(nil), Parts: map[ident.Service]*part.Part{}, Docs: map[ident.Service]*docs.Doc{}})
	return v
}

// Get returns the newest snapshot.
func (v *View) Get() *Snapshot {
	return v.now.Load()
}

// OnChange calls f with each new snapshot, in order. f must not block.
func (v *View) OnChange(f func(*Snapshot)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.changed = append(v.changed, f)
}

// Take compiles a changed document into the next snapshot.
func (v *View) Take(d *docs.Doc) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.now.Load()
	n := *old
	if d.Name == ident.ConfigDoc {
		v.takeConfig(&n, d)
	} else if name, ok := strings.CutPrefix(string(d.Name), "part/"); ok {
		v.takePart(&n, ident.Service(name), d)
	}
	v.now.Store(&n)
	for _, f := range v.changed {
		f(&n)
	}
}

func (v *View) takeConfig(n *Snapshot, d *docs.Doc) {
	c, f := rowcfg.Read(d)
	for _, x := range f {
		v.log.Error().Str("finding", x.String()).Msg("configuration row not usable")
	}
	n.Config = c
	l := make([]*config.Service, 0, len(c.Services))
	for _, s := range c.Services {
		l = append(l, s)
	}
	n.Routes = route.New(l)
	v.log.Info().Uint64("rev", uint64(d.Rev)).Int("services", len(l)).Msg("configuration in force")
}

// takePart keeps the older assignments when the new ones can't be read: serving on from what was accepted is
// safe, since leases and epochs decide who may send, and a service without any assignment would be down.
func (v *View) takePart(n *Snapshot, s ident.Service, d *docs.Doc) {
	p, err := rows.Advance(n.Parts[s], d)
	if err != nil {
		v.log.Error().Err(err).Str("service", string(s)).Msg("assignments not usable, the older ones stay in use")
		return
	}
	n.Parts = maps.Clone(n.Parts)
	n.Parts[s] = p
	n.Docs = maps.Clone(n.Docs)
	n.Docs[s] = d
}
