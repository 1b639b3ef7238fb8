package admin

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
)

// Protocol is the version of the admin pages. A client believes only daemons of its own version.
const Protocol = 1

// Headers by which a daemon names itself in each answer. An operator's client may have the address of another program, and no status
// or body alone shows that.
const (
	HeaderProtocol    = "Heatherrouter-Admin-Protocol"
	HeaderDaemon      = "Heatherrouter-Daemon"
	HeaderIncarnation = "Heatherrouter-Incarnation"
	HeaderTxn         = "Heatherrouter-Txn" // transaction that a change's answer is about
)

// Self is the daemon that answers.
type Self struct {
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
}

// WriteTo sets the headers that name the daemon.
func (s Self) WriteTo(h *fasthttp.ResponseHeader) {
	h.Set(HeaderProtocol, strconv.Itoa(Protocol))
	h.Set(HeaderDaemon, string(s.Daemon))
	h.Set(HeaderIncarnation, strconv.FormatUint(uint64(s.Incarnation), 10))
}
