package send

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrouter/core/admit"
	"heatherrouter/core/crash"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/conns"
)

// Guard tells which requests crash backend servers.
type Guard interface {
	HasSuspects() bool               // some request is suspected
	Crashes(f crash.Fingerprint) int // servers that crashed under the request, one after the other
	Answered(f crash.Fingerprint)    // a server ran it to an end

	// Interrupted takes in that a run at the server broke off; the channel is closed once it is known whether the server has crashed.
	Interrupted(x *site.Server, r crash.Run) <-chan struct{}
}

const (
	// fingerprintBody bounds the part of a body that goes into a fingerprint, in bytes.
	fingerprintBody = 64 << 10

	// retryDeadly is for callers of a request that is kept from servers: it is for as long as no server is to crash.
	retryDeadly = 30 * time.Second
)

// fingerprint returns what names the request among those of the same organisation and content. Addresses aren't part of it:
// attempts of one caller may come by different ways.
func (r *request) fingerprint() crash.Fingerprint {
	if r.named {
		return r.name
	}
	h := sha256.New()
	add := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = h.Write(n[:]) // never fails
		_, _ = h.Write(b)
	}
	if r.organisation != nil {
		add([]byte(r.organisation.Name))
	}
	add(r.req.Header.Method())
	add([]byte(site.HostName(r.host)))
	add(r.req.Header.RequestURI())
	if r.hasKey {
		add([]byte{byte(r.key >> 8), byte(r.key)})
	}
	body := r.req.Body()
	add(body[:min(len(body), fingerprintBody)])
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(body)))
	_, _ = h.Write(n[:])
	copy(r.name[:], h.Sum(nil))
	r.named = true
	return r.name
}

// crashes returns how many servers crashed under the request, as far as is known.
func (s *Sender) crashes(r *request) int {
	if !s.o.Guard.HasSuspects() {
		return 0
	}
	return s.o.Guard.Crashes(r.fingerprint())
}

// deadly reports whether the request is kept from servers.
func (s *Sender) deadly(r *request) bool { return s.crashes(r) >= crash.RefusedFrom }

// guard takes in what an exchange tells of the request as one that may crash servers.
func (s *Sender) guard(r *request, b *back, x conns.Result, resp *fasthttp.Response) {
	switch {
	case x.Outcome == retry.Unknown && x.End == admit.EndReset:
		r.broke++
		r.probed = s.o.Guard.Interrupted(b.server, crash.Run{Fingerprint: r.fingerprint(), Known: r.crashes})
	case x.Outcome == retry.Answered && resp.StatusCode() < fasthttp.StatusInternalServerError && s.o.Guard.HasSuspects():
		s.o.Guard.Answered(r.fingerprint())
	}
}

// suspected reports whether no further server is risked for an attempt whose run broke off: one has crashed under the request
// before. After its second such run the attempt waits until that is known.
func (s *Sender) suspected(r *request) bool {
	if r.broke > 1 {
		t := time.NewTimer(r.deadline.Sub(s.o.Clock.Now()))
		defer t.Stop()
		select {
		case <-r.probed:
		case <-t.C:
		case <-r.ctx.Done():
		}
	}
	return s.crashes(r) > 0
}
