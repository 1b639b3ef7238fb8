// Package ports finds free ports for the daemons of tests and demos.
package ports

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// The range is below the ephemeral ports that the system assigns to outgoing connections and to listeners on port 0.
// An ephemeral port could be free when checked and taken by another listener before the daemon starts.
const (
	minPort = 12000
	endPort = 32000
)

// nextOffset counts the ports that this process has tried.
var nextOffset atomic.Int64

// Free returns the first of n consecutive ports that are free on 127.0.0.1 for TCP and UDP. It does not return a port
// to two callers in this process.
func Free(n int) (uint16, error) {
	for range endPort - minPort {
		p := minPort + (int64(os.Getpid())*100+nextOffset.Add(int64(n))-int64(n))%(endPort-minPort)
		free := p+int64(n) <= endPort
		for i := range n {
			free = free && isFree(addr(uint16(p)+uint16(i))) //nolint:gosec // below 32,000
		}
		if free {
			return uint16(p), nil //nolint:gosec // below 32,000
		}
	}
	return 0, trace.LimitExceeded("no %d consecutive free ports from %d to %d", n, minPort, endPort)
}

// Addr returns an address on 127.0.0.1 with a port from Free.
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
