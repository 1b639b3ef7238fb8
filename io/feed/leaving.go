package feed

import (
	"heatherrouter/core/report"
	"heatherrouter/core/site"
)

// SetLeaving makes snapshots show this incarnation of a server as draining, whatever its row says. The server has said so itself, which
// counts also while the store can't say it.
func (f *Feed) SetLeaving(k report.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[k.Server] = k
	d := f.newBuilder(rowSource{name: fromSelf})
	f.markLeaving(d.s)
	f.snapshot = d.s.BuildIndex()
	f.notifyChanged()
}

// markLeaving shows the servers that said so as draining.
func (f *Feed) markLeaving(s *site.Snapshot) {
	for id, k := range f.leaving {
		x := s.Servers[id]
		switch {
		case x == nil: // the row may come back
		case x.Born != k.Born:
			delete(f.leaving, id)
		case !x.Draining:
			y := *x
			y.Draining = true
			s.Servers[id] = &y
		}
	}
}
