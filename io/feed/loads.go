package feed

import (
	"math"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/loads"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/wire"
)

// loadView is this daemon's copy of the coordinator's view of the load of services and servers.
type loadView struct {
	view      *loads.View // nil for none
	confirmed mono.Time   // when the coordinator last sent it or had no newer one

	// While this daemon is the coordinator: the newest edition, and what changed since earlier versions, encoded for peers.
	edition *loads.Edition
	encoded map[loads.Stamp]*wire.LoadView
}

// stamp returns the encoded stamp of the view, or nil if there is none.
func (l *loadView) stamp() *wire.LoadsStamp {
	if l.view == nil {
		return nil
	}
	return &wire.LoadsStamp{Term: uint64(l.view.Stamp.Term), Sequence: l.view.Stamp.Sequence}
}

// Loads returns the coordinator's view of the load of services and servers, and its age; nil if there is none.
func (f *Feed) Loads() (*loads.View, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loads.view == nil {
		return nil, 0
	}
	return f.loads.view, f.o.Clock.Now().Sub(f.loads.confirmed)
}

// PublishLoads sets the view that this daemon distributes while it is the coordinator. Peers get it with the next answer that they are
// sent anyway.
func (f *Feed) PublishLoads(e *loads.Edition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.loads
	if l.view != nil && e.View.Stamp.Less(l.view.Stamp) {
		return
	}
	l.view, l.confirmed = e.View, f.o.Clock.Now()
	if l.edition != e {
		l.edition, l.encoded = e, map[loads.Stamp]*wire.LoadView{}
	}
}

// addLoads adds what a peer's copy of the load view lacks to the answer, if this daemon is the coordinator. It is no reason to answer
// early.
func (f *Feed) addLoads(r *wire.SyncReply, x *wire.Sync) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.loads
	if !f.leads() || l.edition == nil || l.edition.View.Stamp.Term != f.snapshot.Coordinator.Term {
		return
	}
	k := decodeLoadsStamp(x.GetLoads())
	w, ok := l.encoded[k]
	if !ok {
		w = EncodeLoads(l.edition.Since(k))
		l.encoded[k] = w // most peers have one of the last few versions
	}
	r.Loads = w
}

// applyLoads applies the load view of an answer to the request, which was sent at sentAt. The coordinator leaves it out if the version in the request is the newest.
// The caller must hold f.mu.
func (f *Feed) applyLoads(sentAt mono.Time, x *wire.Sync, r *wire.SyncReply) {
	l := &f.loads
	if w := r.GetLoads(); w != nil {
		u := decodeLoads(w)
		if !u.Whole && (l.view == nil || l.view.Stamp.Term != u.Stamp.Term) {
			return // changes to a copy that another answer has replaced
		}
		if v, ok := l.view.Apply(u); ok {
			l.view, l.confirmed = v, max(l.confirmed, sentAt)
		}
		return
	}
	if l.view == nil || r.GetStamp() == 0 || r.GetTerm() != uint64(l.view.Stamp.Term) || decodeLoadsStamp(x.GetLoads()) != l.view.Stamp {
		return
	}
	l.confirmed = max(l.confirmed, sentAt)
}

// EncodeLoads encodes an update of the load view for peers; nil for none.
func EncodeLoads(u *loads.Update) *wire.LoadView {
	if u == nil {
		return nil
	}
	w := &wire.LoadView{Stamp: &wire.LoadsStamp{Term: uint64(u.Stamp.Term), Sequence: u.Stamp.Sequence}, Whole: u.Whole}
	for n, x := range u.Services {
		y := &wire.ServiceLoad{Service: string(n), SharePercent: percent(x.Share)}
		for _, d := range x.Demand {
			y.DemandPercent = append(y.DemandPercent, percent(d))
		}
		w.Services = append(w.Services, y)
	}
	for k, x := range u.Servers {
		w.Servers = append(w.Servers, &wire.ServerLoad{
			Server: string(k.Server), Born: k.Born, SlowdownPercent: percent(x.Slowdown), Level: uint32(x.Level),
		})
	}
	return w
}

func decodeLoads(w *wire.LoadView) *loads.Update {
	u := &loads.Update{
		Stamp: decodeLoadsStamp(w.GetStamp()), Whole: w.GetWhole(), Services: map[ident.Service]loads.Service{}, Servers: map[report.Target]loads.Server{},
	}
	for _, y := range w.GetServices() {
		x := loads.Service{Share: float64(y.GetSharePercent()) / 100}
		for _, d := range y.GetDemandPercent() {
			x.Demand = append(x.Demand, float64(d))
		}
		x.Demand = loads.Normalize(x.Demand)
		u.Services[ident.Service(y.GetService())] = x
	}
	for _, y := range w.GetServers() {
		u.Servers[report.Target{Server: ident.Server(y.GetServer()), Born: y.GetBorn()}] = loads.Server{
			Slowdown: float64(y.GetSlowdownPercent()) / 100, Level: loads.Level(min(y.GetLevel(), uint32(loads.Full))), //nolint:gosec // bounded
		}
	}
	return u
}

func decodeLoadsStamp(x *wire.LoadsStamp) loads.Stamp {
	return loads.Stamp{Term: site.Term(x.GetTerm()), Sequence: x.GetSequence()}
}

func percent(x float64) uint32 { return uint32(math.Round(100 * x)) }
