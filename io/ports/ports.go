// Package ports finds ports for the daemons of tests and demos.
package ports

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// The ports lie below those that the system draws for outgoing connections and for listeners without a port of their own. One
// that is drawn would be free when it is looked at and taken by another listener before the daemon starts.
const (
	first = 12000
	end   = 32000
)

// given counts the ports that this process has looked at.
var given atomic.Int64

// Free returns the first of n ports in a row that are free at 127.0.0.1 for TCP and UDP, and that nobody else in this
// process was given.
func Free(n int) (uint16, error) {
	for range end - first {
		p := first + (int64(os.Getpid())*100+given.Add(int64(n))-int64(n))%(end-first)
		free := p+int64(n) <= end
		for i := range n {
			free = free && isFree(addr(uint16(p)+uint16(i))) //nolint:gosec // below 32,000
		}
		if free {
			return uint16(p), nil //nolint:gosec // below 32,000
		}
	}
	return 0, trace.LimitExceeded("no %d free ports in a row from %d to %d", n, first, end)
}

// Addr returns an address at 127.0.0.1 with a port of Free.
func Addr() (netip.AddrPort, error) {
	p, err := Free(1)
	return addr(p), err
}

func addr(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

func isFree(a netip.AddrPort) bool {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	u.Close()
	return true
}
