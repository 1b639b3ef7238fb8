package member

import (
	"net/netip"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/io/wire"
)

func (m *Members) wireSelf() *wire.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return encodeHost(m.self)
}

func (m *Members) wireHosts() []*wire.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []*wire.Host
	for _, d := range m.view.Daemons(m.o.Clock.Now()) {
		l = append(l, encodeHost(Host{Word: d.Heartbeat, Peer: m.addrs[d.Daemon]}))
	}
	return l
}

func encodeHost(h Host) *wire.Host {
	return &wire.Host{
		Name: string(h.Word.Daemon), Peer: h.Peer.String(), Domain: string(h.Word.Domain),
		Region: string(h.Word.Region), Incarnation: uint64(h.Word.Incarnation), Leaving: h.Word.Leaving,
	}
}

func decodeHost(h *wire.Host) (Host, bool) {
	a, err := netip.ParseAddrPort(h.GetPeer())
	return Host{Peer: a, Word: live.Heartbeat{
		Daemon: ident.Daemon(h.GetName()), Domain: ident.Domain(h.GetDomain()), Region: ident.Region(h.GetRegion()),
		Incarnation: ident.Incarnation(h.GetIncarnation()), Leaving: h.GetLeaving(),
	}}, err == nil && h.GetName() != ""
}

// hear takes in what a daemon says of itself.
func (m *Members) hear(w *wire.Host) {
	h, ok := decodeHost(w)
	if !ok || h.Word.Daemon == m.o.Self.Word.Daemon {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Observe(m.o.Clock.Now(), h.Word)
	m.addrs[h.Word.Daemon] = h.Peer
}

// meet takes in an address that another daemon names; it says nothing about who is alive.
func (m *Members) meet(w *wire.Host) {
	h, ok := decodeHost(w)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.addrs[h.Word.Daemon]; !known {
		m.addrs[h.Word.Daemon] = h.Peer
	}
}
