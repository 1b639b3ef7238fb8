package home

import (
	"context"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/io/lessor"
	"heatherrouter/io/wire"
)

// ask is one home's part of an ask to a witness.
type ask struct {
	home   *Home
	holder *lease.Holder
	hold   *wire.Hold
}

// recipient is a witness that may want reports of the servers of a service, since it coordinates the service.
//
// The answer is kept for each service: leases of two services are asked for at different times, and the answer about
// the one that a witness does not coordinate would end the reports about the other. Its coordinator would never learn
// of a server that is down.
type recipient struct {
	witness ident.Daemon
	service ident.Service
}

func (a *ask) recipient(w ident.Daemon) recipient {
	return recipient{witness: w, service: a.home.id.Service()}
}

// renew asks the witnesses for all leases that are due, in one message to each witness.
func (s *Homes) renew(c context.Context) {
	now := s.o.Clock.Now()
	byWitness := map[ident.Daemon][]ask{}
	for _, h := range s.all() {
		h.due(now, s.o.Alive, byWitness)
	}
	for w, l := range byWitness {
		go s.ask(c, w, l)
	}
}

// due adds the home's ask to each of its witnesses, if it is time.
func (h *Home) due(now mono.Time, alive func(ident.Daemon) bool, out map[ident.Daemon][]ask) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.former != nil {
		// Requests of the former epoch may be in flight. The gate, which is the same, keeps them in view, and
		// their deadlines lie before the end of any lease that is asked for from now on.
		h.add(out, h.former, lease.Stopped, nil)
		h.former = nil
	}
	if h.holder == nil || !h.wantsAsk(now, alive) {
		return
	}
	m := h.mode()
	if m == lease.Stopped {
		h.returned = true
	}
	h.asked = now
	h.add(out, h.holder, m, h.report(now, true))
}

func (h *Home) add(out map[ident.Daemon][]ask, x *lease.Holder, m lease.Mode, r *wire.ServerReport) {
	a := x.Ask(m, h.rev)
	for _, w := range x.Witnesses() {
		out[w] = append(out[w], ask{home: h, holder: x, hold: &wire.Hold{
			Server: string(a.Server), Epoch: uint64(a.Epoch), Mode: encodeMode(a.Mode), Rev: uint64(a.Rev), Report: r,
		}})
	}
}

// wantsAsk reports whether to ask now.
//
// A standby asks only once the home is silent: a lease that the home hands back for a moment, or that a
// restarted witness has forgotten, must not be snatched from it.
func (h *Home) wantsAsk(now mono.Time, alive func(ident.Daemon) bool) bool {
	if h.handingBack(now) {
		return true
	}
	if h.epoch == 0 || h.stopped || h.holder.Lost(now) {
		return false
	}
	holds := h.holder.Holds(now)
	if h.row.Home != h.o.Self && !holds && alive(h.row.Home) {
		return false
	}
	if holds {
		return now.Sub(h.asked) >= h.o.Terms.Renew
	}
	return now.Sub(h.asked) >= askPause
}

// handingBack reports whether the witnesses are to be told that this home has stopped: with it they give the lease
// to the next home at once, instead of after its lapse. Streams of an unkeyed service go on meanwhile: no key is
// theirs, and a download must not keep the server from everybody else.
func (h *Home) handingBack(now mono.Time) bool {
	stopped := h.epoch != h.holder.Epoch() || h.stopped
	if !stopped || h.returned {
		return false
	}
	return !h.service.Keyed() || h.gate.Idle(now)
}

func (h *Home) mode() lease.Mode {
	switch {
	case h.epoch != h.holder.Epoch() || h.stopped:
		return lease.Stopped
	case h.row.Supersede && h.row.Home == h.o.Self:
		return lease.Supersede
	}
	return lease.Renew
}

func encodeMode(m lease.Mode) wire.AskMode {
	switch m {
	case lease.Supersede:
		return wire.AskMode_ASK_MODE_SUPERSEDE
	case lease.Stopped:
		return wire.AskMode_ASK_MODE_STOPPED
	default:
		return wire.AskMode_ASK_MODE_RENEW
	}
}

// ask sends one message to a witness and hands each answer to its holder.
func (s *Homes) ask(c context.Context, w ident.Daemon, l []ask) {
	m := &wire.LeaseAsk{Incarnation: uint64(s.o.Life)}
	for _, a := range l {
		h := a.hold
		if _, ok := s.wants.Load(a.recipient(w)); !ok {
			h = &wire.Hold{Server: h.GetServer(), Epoch: h.GetEpoch(), Mode: h.GetMode(), Rev: h.GetRev()}
		}
		m.Holds = append(m.Holds, h)
	}
	sent := s.o.Clock.Now()
	r, ok := s.askWitness(c, w, m)
	if !ok {
		return
	}
	s.o.Heard(w)
	for _, a := range l {
		if r.GetWantReports() {
			s.wants.Store(a.recipient(w), true)
		} else {
			s.wants.Delete(a.recipient(w))
		}
	}
	gives := map[ident.Server]*wire.LeaseGive{}
	for _, g := range r.GetGives() {
		gives[ident.Server(g.GetServer())] = g
	}
	for _, a := range l {
		if g := gives[a.home.id]; g != nil {
			a.home.answered(sent, w, a.holder, g)
		}
	}
}

func (s *Homes) askWitness(c context.Context, w ident.Daemon, m *wire.LeaseAsk) (*wire.LeaseAnswer, bool) {
	if w == s.o.Self {
		return s.o.Witness.Ask(w, m), true
	}
	x, cancel := context.WithTimeout(c, askLimit)
	defer cancel()
	r, err := s.o.Caller.Call(x, w, &wire.Call{Body: &wire.Call_Lease{Lease: m}})
	if err != nil || r.GetLease() == nil {
		return nil, false
	}
	return r.GetLease(), true
}

func (h *Home) answered(sent mono.Time, w ident.Daemon, x *lease.Holder, g *wire.LeaseGive) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.Answered(sent, w, lease.Give{
		Server: h.id, Epoch: ident.Epoch(g.GetEpoch()), Given: g.GetGiven(), Clear: g.GetClear(),
		Retired: g.GetRetired(), Highest: ident.Epoch(g.GetHighestEpoch()), Rev: ident.Rev(g.GetRev()),
		Set: lessor.DecodeSet(g.GetSet()),
	})
}
