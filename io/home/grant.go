package home

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/retry"
	"heatherrouter/io/conns"
)

const (
	grantPath  = "/heatherrouter/grant"
	grantLimit = 300 * time.Millisecond // for one try
	grantPause = 50 * time.Millisecond  // between two tries
)

// needsGrant reports whether the server has yet to take the epoch before it may be given work.
//
// A former home may be frozen with a request on its lips. The server refuses that one only if it has heard of the
// newer epoch; were the first request to bring it, the old one could still run after the new home's lease began.
func (h *Home) needsGrant() bool {
	return h.server.ChecksGrants && h.granted != h.holder.Epoch()
}

// offerGrant starts to deliver the grant if it is due. The lock is held.
func (h *Home) offerGrant(now mono.Time) {
	if !h.needsGrant() || h.granting || now.Before(h.grantAt) {
		return
	}
	h.granting = true
	go h.grant(h.holder.Epoch(), h.server.Addr, h.pool)
}

func (h *Home) grant(e ident.Epoch, a netip.AddrPort, p *conns.Pool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(a.String())
	req.SetRequestURI(grantPath)
	req.SetBodyString(fmt.Sprintf(`{"epoch":%d}`, e))
	r := p.Do(context.Background(), conns.Call{Deadline: time.Now().Add(grantLimit)}, req, resp)
	ok := r.Outcome == retry.Answered && resp.StatusCode() == fasthttp.StatusOK
	h.mu.Lock()
	defer h.mu.Unlock()
	h.granting = false
	h.grantAt = h.o.Clock.Now().Add(grantPause)
	if ok {
		h.granted = e
		return
	}
	var refused struct {
		Highest ident.Epoch `json:"highest"`
	}
	if r.Outcome == retry.Answered && resp.StatusCode() == fasthttp.StatusConflict &&
		json.Unmarshal(resp.Body(), &refused) == nil && h.holder.Epoch() == e {
		h.holder.Refused(refused.Highest)
	}
	h.o.Log.Warn().Err(r.Err).Str("server", string(h.id)).Uint64("epoch", uint64(e)).Int("status", resp.StatusCode()).
		Msg("grant not taken by the backend server")
}
