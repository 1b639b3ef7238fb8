package daemon

import (
	"context"

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
		return peer.Refuse("starting")
	}
	switch b := m.GetBody().(type) {
	case *wire.Call_Exchange:
		return &wire.Reply{Body: &wire.Reply_Exchange{Exchange: d.homes.Do(c, b.Exchange)}}
	case *wire.Call_Lease:
		return &wire.Reply{Body: &wire.Reply_Lease{Lease: d.lessor.Ask(from, b.Lease)}}
	case *wire.Call_Probe:
		return &wire.Reply{Body: &wire.Reply_Probe{Probe: d.members.Probed(b.Probe)}}
	case *wire.Call_Pull:
		if x := d.store.Pulled(b.Pull); x != nil {
			return &wire.Reply{Body: &wire.Reply_Delta{Delta: x}}
		}
		return peer.Refuse("no-such-document")
	case *wire.Call_Notice:
		if d.store.Noticed(c, from, b.Notice) {
			return ack()
		}
		return peer.Refuse("not-pulled")
	case *wire.Call_Release:
		return &wire.Reply{Body: &wire.Reply_Release{Release: d.homes.Release(b.Release)}}
	case *wire.Call_Retire:
		if x := d.coord.Retire(b.Retire); x != nil {
			return &wire.Reply{Body: &wire.Reply_Retired{Retired: x}}
		}
		return peer.Refuse("not-retired")
	}
	return peer.Refuse("unknown-call")
}

func ack() *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Ack{Ack: &wire.Empty{}}}
}

// Exchange implements peer.Handler.
func (h handler) Exchange(c context.Context, _ ident.Daemon, x *peer.Exchange) {
	if !h.d.running.Load() {
		x.Cut()
		return
	}
	h.d.homes.Stream(c, x.Head, x)
}
