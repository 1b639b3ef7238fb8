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

// Guard detects requests that crash backend servers.
type Guard interface {
	HasSuspects() bool               // whether any request is suspected
	Crashes(f crash.Fingerprint) int // number of servers that crashed in succession while running the request
	Answered(f crash.Fingerprint)    // records that a server completed the request

	// Interrupted records that a run at the server was interrupted. The channel is closed once it is known whether the server crashed.
	Interrupted(x *site.Server, r crash.Run) <-chan struct{}
}

const (
	// maxFingerprintBody is the length of the part of a body that is included in a fingerprint, in bytes.
	maxFingerprintBody = 64 << 10

	// retryCrashing is sent to callers of a crashing request. It is long, as each retry that reached a server could crash it.
	retryCrashing = 30 * time.Second
)

// fingerprint returns a hash of the request's organisation and content. It excludes network addresses, as a caller's retries
// may arrive by different routes.
func (r *request) fingerprint() crash.Fingerprint {
	if r.hasFingerprint {
		return r.cachedFingerprint
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
	add([]byte(site.NormalizeHost(r.host)))
	add(r.req.Header.RequestURI())
	if r.hasKey {
		add([]byte{byte(r.key >> 8), byte(r.key)})
	}
	body := r.req.Body()
	add(body[:min(len(body), maxFingerprintBody)])
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(body)))
	_, _ = h.Write(n[:])
	copy(r.cachedFingerprint[:], h.Sum(nil))
	r.hasFingerprint = true
	return r.cachedFingerprint
}

// crashes returns how many servers are known to have crashed while running the request.
func (s *Sender) crashes(r *request) int {
	if !s.o.Guard.HasSuspects() {
		return 0
	}
	return s.o.Guard.Crashes(r.fingerprint())
}

// isCrashing reports whether the request has crashed so many servers that it is no longer sent.
func (s *Sender) isCrashing(r *request) bool { return s.crashes(r) >= crash.RefusalThreshold }

// reportToGuard reports an interrupted or completed run of the request to the guard.
func (s *Sender) reportToGuard(r *request, b *backend, x conns.Result, resp *fasthttp.Response) {
	switch {
	case x.Outcome == retry.Unknown && x.End == admit.EndReset:
		r.interrupted++
		r.crashKnown = s.o.Guard.Interrupted(b.server, crash.Run{Fingerprint: r.fingerprint(), KnownCrashes: r.knownCrashes})
	case x.Outcome == retry.Answered && resp.StatusCode() < fasthttp.StatusInternalServerError && s.o.Guard.HasSuspects():
		s.o.Guard.Answered(r.fingerprint())
	}
}

// suspectedOfCrash reports whether an interrupted request must not be retried because a server has crashed while running it.
// From its second interrupted run on, the request waits until it is known whether the last server crashed.
func (s *Sender) suspectedOfCrash(r *request) bool {
	if r.interrupted > 1 {
		t := time.NewTimer(r.deadline.Sub(s.o.Clock.Now()))
		defer t.Stop()
		select {
		case <-r.crashKnown:
		case <-t.C:
		case <-r.ctx.Done():
		}
	}
	return s.crashes(r) > 0
}
