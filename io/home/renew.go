package home

import (
	"context"
	"time"

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
// The answer is kept for each service: the answer about one that a witness does not coordinate would otherwise end
// the reports about another, and its coordinator would never learn of a server that is down.
type recipient struct {
	witness ident.Daemon
	service ident.Service
}

func (s *Homes) noteWant(r recipient, wants bool) {
	if wants {
		s.wants.Store(r, true)
	} else {
		s.wants.Delete(r)
	}
}

// renew asks the witnesses for all leases that are due, in one message to each witness.
func (s *Homes) renew(c context.Context) {
	now := s.o.Clock.Now()
	out := map[ident.Daemon][]ask{}
	l := s.all()
	renewal := false
	for _, h := range l {
		renewal = s.due(h, now, 0, out) || renewal
	}
	// Leases that came at different moments would each need messages of their own for good; going along early
	// with a renewal once brings them in step.
	for _, h := range l {
		if renewal {
			s.due(h, now, s.o.Terms.Renew/2, out)
		}
	}
	for w, l := range out {
		go s.ask(c, w, l)
	}
}

// due adds the home's ask to each of its witnesses, if it is time, or will be within early. It reports whether that
// renews a lease.
func (s *Homes) due(h *Home, now mono.Time, early time.Duration, out map[ident.Daemon][]ask) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder == nil || !h.wantsAsk(now, early) {
		return false
	}
	m := h.mode()
	if m == lease.Stopped {
		h.returned = true
	}
	h.asked = now
	s.add(h, h.holder, m, out)
	return m == lease.Renew && h.holder.Holds(now)
}

// add adds one hold to the message to each of its witnesses; the server's report only where it is wanted.
func (s *Homes) add(h *Home, x *lease.Holder, m lease.Mode, out map[ident.Daemon][]ask) {
	a := x.Ask(m, h.rev)
	for _, w := range x.Witnesses() {
		y := &wire.Hold{Server: string(a.Server), Epoch: uint64(a.Epoch), Mode: encodeMode(a.Mode), Rev: uint64(a.Rev)}
		if _, ok := s.wants.Load(recipient{witness: w, service: h.id.Service()}); ok {
			y.Report = h.report(h.o.Clock.Now(), true)
		}
		out[w] = append(out[w], ask{home: h, holder: x, hold: y})
	}
}

// wantsAsk reports whether to ask now.
//
// A standby asks only once the home is silent: a lease that the home hands back for a moment, or that a
// restarted witness has forgotten, must not be snatched from it. Once it has begun it goes on, though the home is heard
// again: a witness that has given it the lease refuses the home, and were both to stop asking, the server would
// stay without a home. While the home holds its lease the witnesses that renew it refuse the standby.
func (h *Home) wantsAsk(now mono.Time, early time.Duration) bool {
	if h.handingBack(now) {
		return true
	}
	if h.epoch == 0 || h.stopped || h.holder.Lost(now) {
		return false
	}
	holds := h.holder.Holds(now)
	if h.row.Home != h.o.Self && !holds && !h.takesOver(now) {
		return false
	}
	if holds {
		return now.Sub(h.asked) >= h.o.Terms.Renew-early
	}
	return now.Sub(h.asked) >= askPause
}

// takesOver reports whether a standby is to ask. An answer to its asks may have been lost, so it goes on for a while even
// when it has been given nothing.
func (h *Home) takesOver(now mono.Time) bool {
	if !h.o.Alive(h.row.Home) {
		h.takeUntil = now.Add(2 * h.o.Terms.Lapse())
	}
	return now.Before(h.takeUntil) || h.holder.Given()
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
		m.Holds = append(m.Holds, a.hold)
	}
	sent := s.o.Clock.Now()
	r, ok := s.askWitness(c, w, m)
	if !ok {
		return
	}
	s.o.Heard(w)
	gives := map[ident.Server]*wire.LeaseGive{}
	for _, g := range r.GetGives() {
		gives[ident.Server(g.GetServer())] = g
	}
	for _, a := range l {
		if g := gives[a.home.id]; g != nil {
			s.noteWant(recipient{witness: w, service: a.home.id.Service()}, g.GetWantReport())
			a.home.answered(sent, w, a.holder, g)
		}
	}
}

func (s *Homes) askWitness(c context.Context, w ident.Daemon, m *wire.LeaseAsk) (*wire.LeaseAnswer, bool) {
	if w == s.o.Self {
		return s.o.Witness.Ask(s.o.Clock.Now(), w, m), true
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
