package daemon

import (
	"context"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/io/clock"
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
func (h entryHomes) Stream(c context.Context, x *wire.Exchange, deadline mono.Time, s entry.Stream) {
	h.Homes.Stream(c, x, deadline, s)
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
		a := forwarder{self: d.settings.Name, clock: d.clock, peers: d, do: d.homes.Do}.run(c, sent(m), b.Exchange)
		return &wire.Reply{Body: &wire.Reply_Exchange{Exchange: a}}
	case *wire.Call_Lease:
		return &wire.Reply{Body: &wire.Reply_Lease{Lease: d.lessor.Ask(d.clock.SentAt(sent(m), d.clock.Now()), from, b.Lease)}}
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

// sent returns when a call was sent, as the time since the start of this host; 0 if its sender doesn't tell.
func sent(m *wire.Call) time.Duration {
	return time.Duration(m.GetSentUs()) * time.Microsecond //nolint:gosec // time since the start of the host
}

// deadline returns until when the caller of an exchange waits that a peer sent.
func deadline(k *clock.Clock, sentAt time.Duration, x *wire.Exchange) mono.Time {
	return k.SentAt(sentAt, k.Now()).Add(time.Duration(x.GetRemainingUs()) * time.Microsecond) //nolint:gosec // seconds
}

// forwarder runs exchanges of peers.
type forwarder struct {
	self  ident.Daemon
	clock *clock.Clock
	peers caller
	do    func(c context.Context, x *wire.Exchange, deadline mono.Time) *wire.ExchangeAnswer
}

// run runs an exchange that a peer sent at the given time here, or passes it on once to the home that this daemon knows of.
//
// An entry that is cut off from a home alone would otherwise have its callers' keys unserved, though the home is well:
// the entry turns to the standby, which still reaches it. A request that comes here just after a move follows it.
func (f forwarder) run(c context.Context, sentAt time.Duration, x *wire.Exchange) *wire.ExchangeAnswer {
	until := deadline(f.clock, sentAt, x)
	a := f.do(c, x, until)
	to := ident.Daemon(a.GetHome())
	if a.GetOutcome() != wire.Outcome_OUTCOME_MOVED || to == "" || to == f.self || x.GetForwarded() {
		return a
	}
	remaining := until.Sub(f.clock.Now())
	if remaining <= 0 {
		return a
	}
	x.Forwarded = true
	x.RemainingUs = uint64(remaining.Microseconds()) //nolint:gosec // positive
	c, cancel := context.WithDeadline(c, f.clock.StdTime(until))
	defer cancel()
	r, err := f.peers.Call(c, to, &wire.Call{Body: &wire.Call_Exchange{Exchange: x}})
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
	h.d.homes.Stream(c, x.Head, deadline(h.d.clock, x.SentAt, x.Head), x)
}
