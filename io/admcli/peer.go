package admcli

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
)

// PeerError says that an answer came from something that the client doesn't know as a daemon.
type PeerError struct {
	Addr     netip.AddrPort
	Status   int
	Server   string       // as the answer names its program
	Daemon   ident.Daemon // empty if the answer names none
	Protocol string       // of the admin pages; empty if the answer names none
}

// Error implements error.
func (e *PeerError) Error() string {
	if e.Protocol == "" {
		return fmt.Sprintf("%s answered with status %d as %q, which is not a daemon that this client knows", e.Addr, e.Status, e.Server)
	}
	return fmt.Sprintf("the daemon %s at %s speaks admin protocol %s, this client speaks %d", e.Daemon, e.Addr, e.Protocol, admin.Protocol)
}

// checkPeer returns a PeerError unless the answer is one of a daemon.
func checkPeer(a netip.AddrPort, r *fasthttp.Response) error {
	p := string(r.Header.Peek(admin.HeaderProtocol))
	if p == strconv.Itoa(admin.Protocol) {
		return nil
	}
	return &PeerError{Addr: a, Status: r.StatusCode(), Server: string(r.Header.Server()), Daemon: daemonOf(r), Protocol: p}
}

// checkTxn returns an error unless the answer is about the transaction.
func checkTxn(a netip.AddrPort, r *fasthttp.Response, t ident.Txn) error {
	if got := ident.Txn(r.Header.Peek(admin.HeaderTxn)); got != t {
		return fmt.Errorf("the daemon %s at %s answered to transaction %q", daemonOf(r), a, got)
	}
	return nil
}

func daemonOf(r *fasthttp.Response) ident.Daemon {
	return ident.Daemon(r.Header.Peek(admin.HeaderDaemon))
}
