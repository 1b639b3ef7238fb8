package send

import (
	"bytes"
	"maps"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

const (
	// bearerScheme is the authentication scheme; it is compared case-insensitively.
	bearerScheme = "Bearer"

	// maxKeyLength is the longest accepted API key in bytes.
	maxKeyLength = 512
)

// credential is a caller's parsed Authorization header.
type credential struct {
	state  credentialState
	digest site.KeyDigest // set if state is credentialPresent
}

type credentialState uint8

const (
	credentialMissing credentialState = iota
	credentialPresent
	credentialMalformed // anything but one header with one bearer key of visible ASCII characters
)

// readCredential parses the Authorization header.
func readCredential(h *fasthttp.RequestHeader) credential {
	l := h.PeekAll(fasthttp.HeaderAuthorization)
	switch len(l) {
	case 0:
		return credential{state: credentialMissing}
	case 1:
		return parseCredential(l[0])
	default:
		return credential{state: credentialMalformed}
	}
}

func parseCredential(v []byte) credential {
	scheme, key, found := bytes.Cut(bytes.TrimSpace(v), []byte(" "))
	key = bytes.TrimLeft(key, " ")
	if !found || !bytes.EqualFold(scheme, []byte(bearerScheme)) || len(key) == 0 || len(key) > maxKeyLength || !visibleASCII(key) {
		return credential{state: credentialMalformed}
	}
	return credential{state: credentialPresent, digest: site.DigestKey(key)}
}

func visibleASCII(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// authenticate looks up the caller's organisation in the configuration. It must run after the route lookup, so that requests
// without a route are answered 404 whatever their credential.
func (s *Sender) authenticate(r *request, c *site.Config) *result {
	r.organisation, r.authEnabled = nil, c.HasOrganisations()
	if !r.authEnabled {
		return nil
	}
	if r.credential.state == credentialPresent {
		r.organisation = c.OrganisationByKey(r.credential.digest)
	}
	switch {
	case r.route.AllowAnonymous:
		return nil
	case r.credential.state == credentialMalformed:
		return &result{status: fasthttp.StatusBadRequest, outcome: outcomeNotRun, reason: "malformed-credential"}
	case r.credential.state == credentialMissing:
		return &result{status: fasthttp.StatusUnauthorized, outcome: outcomeNotRun, reason: "no-credential"}
	case s.o.MaxCopyAge > 0 && s.o.View.CopyAge() > s.o.MaxCopyAge:
		return &result{
			status: fasthttp.StatusServiceUnavailable, outcome: outcomeNotRun, reason: "configuration-too-old", retryAfter: retryNoServer,
		}
	case r.organisation != nil:
		return nil
	default:
		return &result{status: fasthttp.StatusUnauthorized, outcome: outcomeNotRun, reason: "unknown-credential"}
	}
}

// matchWithRefresh matches the request and, if its key is unknown, refreshes the configuration and retries once. A caller may
// use a new key before this daemon has received the configuration that adds it.
func (s *Sender) matchWithRefresh(r *request, snap *site.Snapshot) *result {
	f := s.match(r, snap)
	if f == nil || f.status != fasthttp.StatusUnauthorized || r.credential.state != credentialPresent {
		return f
	}
	s.mu.Lock()
	refresh := s.unknownKeys.shouldRefresh(s.o.Clock.Now(), r.credential.digest)
	s.mu.Unlock()
	if !refresh || !s.o.View.Refresh(r.caller) {
		return f
	}
	return s.match(r, s.o.View.Snapshot())
}

// unknownKeys limits how often unknown keys trigger a refresh of the configuration.
type unknownKeys struct {
	expires map[site.KeyDigest]mono.Time
}

const (
	// unknownKeyTTL is the time after a refresh for a key during which the key triggers no other.
	unknownKeyTTL = time.Second

	// maxUnknownKeys bounds the remembered keys. While it is reached, other unknown keys trigger no refresh, so that a flood
	// of invalid keys neither uses unbounded memory nor overloads the coordinator.
	maxUnknownKeys = 1024
)

// shouldRefresh reports whether the unknown key should trigger a refresh, and remembers the key if so.
func (u *unknownKeys) shouldRefresh(now mono.Time, d site.KeyDigest) bool {
	if now.Before(u.expires[d]) {
		return false
	}
	if len(u.expires) >= maxUnknownKeys {
		maps.DeleteFunc(u.expires, func(_ site.KeyDigest, t mono.Time) bool { return !now.Before(t) })
	}
	if len(u.expires) >= maxUnknownKeys {
		return false
	}
	if u.expires == nil {
		u.expires = map[site.KeyDigest]mono.Time{}
	}
	u.expires[d] = now.Add(unknownKeyTTL)
	return true
}

// stillAuthorised reports whether the configuration authenticates the caller as when the request was prepared. The key may
// have been revoked or assigned to another organisation while the request waited.
func (r *request) stillAuthorised(route *site.Route, c *site.Config) bool {
	if c.HasOrganisations() != r.authEnabled {
		return false
	}
	if !r.authEnabled {
		return true
	}
	var o *site.Organisation
	if r.credential.state == credentialPresent {
		o = c.OrganisationByKey(r.credential.digest)
	}
	if o == nil || r.organisation == nil {
		return o == nil && r.organisation == nil && route.AllowAnonymous
	}
	return o.Name == r.organisation.Name
}

// setOrganisation sets the organisation header for the server. It removes the caller's credential and any organisation header
// that the caller sent.
func (s *Sender) setOrganisation(req *fasthttp.Request, r *request) {
	req.Header.Del(fasthttp.HeaderAuthorization)
	req.Header.Del(s.o.Dialect.Organisation)
	if r.organisation != nil {
		req.Header.Set(s.o.Dialect.Organisation, string(r.organisation.Name))
	}
}

// acquireToken counts the request against its organisation's limit, once regardless of retries.
func (s *Sender) acquireToken(r *request) *result {
	o := r.organisation
	if r.relayed || o == nil || !o.Limit.Limited() || r.token == o.Name { // the daemon that relays a request has counted it
		return nil
	}
	x := s.o.Limiter.Acquire(r.caller, o)
	if x == nil {
		r.token = o.Name
		return nil
	}
	if x.Limited {
		return &result{status: fasthttp.StatusTooManyRequests, outcome: outcomeNotRun, reason: "over-limit", retryAfter: x.RetryAfter}
	}
	return &result{status: fasthttp.StatusServiceUnavailable, outcome: outcomeNotRun, reason: "limit-unknown", retryAfter: x.RetryAfter}
}

// releaseToken returns the token of a request that is known not to have run.
func (s *Sender) releaseToken(r *request, f result) {
	if r.token != "" && f.outcome == outcomeNotRun {
		s.o.Limiter.Return(r.token)
	}
}

// logCaller adds the caller's identity and the configuration in use to the log entry of a refused request.
func (s *Sender) logCaller(r *request, e *log.Entry) {
	snap := s.o.View.Snapshot()
	e.Uint64("configuration", uint64(snap.Config.Version)).Dur("copy-age", s.o.View.CopyAge())
	if r.credential.state == credentialPresent {
		e.Str("key-digest", r.credential.digest.String())
	}
	if r.organisation != nil {
		e.Str("organisation", string(r.organisation.Name))
	}
}
