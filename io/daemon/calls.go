package daemon

import (
	"context"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/io/entry"
	"heatherrouter/io/home"
	"heatherrouter/io/peer"
	"heatherrouter/io/wire"
)

// Call sends a call to a peer.
func (d *Daemon) Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error) {
	return d.peers.Call(c, to, m)
}

// entryHomes hands the entry's streams to the homes.
type entryHomes struct{ *home.Homes }

// Stream implements entry.Homes.
func (h entryHomes) Stream(c context.Context, x *wire.Exchange, s entry.Stream) {
	h.Homes.Stream(c, x, s)
}

// handler answers the calls of peers.
type handler struct{ d *Daemon }

func (d *Daemon) handler() peer.Handler { return handler{d} }

// Call implements peer.Handler.
func (h handler) Call(c context.Context, from ident.Daemon, m *wire.Call) *wire.Reply {
	d := h.d
	if !d.running.Load() {
		return peer.NewRefusal("starting")
	}
	switch b := m.GetBody().(type) {
	case *wire.Call_Exchange:
		a := forward(c, d, d.settings.Name, b.Exchange, d.homes.Do)
		return &wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}}
	case *wire.Call_Lease:
		return &wire.Reply{Body: &wire.Reply_Lease{Lease: d.lessor.Ask(from, b.Lease)}}
	case *wire.Call_Probe:
		return &wire.Reply{Body: &wire.Reply_Probe{Probe: d.members.Probed(b.Probe)}}
	case *wire.Call_Pull:
		if x := d.store.Pulled(b.Pull); x != nil {
			return &wire.Reply{Body: &wire.Reply_Delta{Delta: x}}
		}
		return peer.NewRefusal("no-such-document")
	case *wire.Call_Notice:
		if d.store.Noticed(c, from, b.Notice) {
			return ack()
		}
		return peer.NewRefusal("not-pulled")
	case *wire.Call_Release:
		return &wire.Reply{Body: &wire.Reply_Release{Release: d.homes.Release(b.Release)}}
	case *wire.Call_Retire:
		if x := d.coord.Retire(b.Retire); x != nil {
			return &wire.Reply{Body: &wire.Reply_Retired{Retired: x}}
		}
		return peer.NewRefusal("not-retired")
	}
	return peer.NewRefusal("unknown-call")
}

// caller sends calls to peers.
type caller interface {
	Call(c context.Context, to ident.Daemon, m *wire.Call) (*wire.Reply, error)
}

// forward runs an exchange here, or passes it on once to the home that this daemon knows of.
//
// An entry that is cut off from a home alone would otherwise have its callers' keys unserved, though the home is well:
// the entry turns to the standby, which still reaches it. A request that comes here just after a move follows it.
func forward(c context.Context, p caller, self ident.Daemon, x *wire.Exchange, do func(context.Context, *wire.Exchange) *wire.ExchangeAnswer) *wire.ExchangeAnswer {
	start := time.Now()
	a := do(c, x)
	to := ident.Daemon(a.GetHome())
	if a.GetOutcome() != wire.Outcome_OUTCOME_MOVED || to == "" || to == self || x.GetForwarded() {
		return a
	}
	spent := uint64(time.Since(start).Microseconds())
	if x.GetRemainingUs() <= spent {
		return a
	}
	x.Forwarded = true
	x.RemainingUs -= spent
	r, err := p.Call(c, to, &wire.Call{Body: &wire.Call_Exchange{Exchange: x}})
	if err != nil && peer.MaybeSent(err) {
		return &wire.ExchangeAnswer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "forwarded-without-answer"}
	}
	if err != nil || r.GetExchange() == nil {
		return a
	}
	return r.GetExchange()
}

func ack() *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Ack{Ack: &wire.Empty{}}}
}

// Exchange implements peer.Handler.
func (h handler) Exchange(c context.Context, _ ident.Daemon, x *peer.Exchange) {
	if !h.d.running.Load() {
		x.Abort()
		return
	}
	h.d.homes.Stream(c, x.Head, x)
}
