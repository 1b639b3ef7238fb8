package site

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// Organisation is a customer whose callers authenticate with one of its API keys.
type Organisation struct {
	Name     ident.Organisation
	Keys     []KeyDigest
	Limit    Limit
	Priority int // 0 is the highest; overrides the route's priority if HasPriority is set

	HasPriority bool // whether Priority is set
}

// Limit is the rate limit shared by all callers of an organisation: Rate requests a second on average, with bursts of up to
// Burst requests. A zero Rate means no limit.
type Limit struct {
	Rate  float64
	Burst float64
}

// Limited reports whether a limit is set.
func (l Limit) Limited() bool { return l.Rate > 0 }

// KeyDigest is the SHA-256 digest of an API key. Only the digest is stored, so that neither a dump nor the timing of a
// lookup discloses a usable key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// digestPrefixBytes is the length of the digest prefix that identifies a key in logs.
const digestPrefixBytes = 4

// String returns a prefix of the digest in hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:digestPrefixBytes]) }

// HasOrganisations reports whether any organisation is configured. If so, callers must authenticate on all routes that
// don't allow anonymous requests.
func (c *Config) HasOrganisations() bool { return len(c.organisations) > 0 }

// Organisations returns all organisations by name.
func (c *Config) Organisations() map[ident.Organisation]*Organisation { return c.organisations }

// OrganisationByKey returns the organisation that owns the API key with this digest, or nil.
func (c *Config) OrganisationByKey(d KeyDigest) *Organisation { return c.keyOwners[d] }

func (c *Config) addOrganisation(o *Organisation) check.Findings {
	var l check.Findings
	add := func(m string) {
		l = append(l, check.Finding{Message: "organisation " + string(o.Name) + ": " + m})
	}
	if !validHeaderValue(string(o.Name)) {
		add("the name must consist of visible ASCII characters, as it is sent in a header")
	}
	if c.organisations[o.Name] != nil {
		add("is defined more than once")
	}
	c.organisations[o.Name] = o
	for _, d := range o.Keys {
		if h := c.keyOwners[d]; h != nil && h != o {
			add("shares a key with organisation " + string(h.Name))
		}
		c.keyOwners[d] = o
	}
	if !finiteNonNegative(o.Limit.Rate) || !finiteNonNegative(o.Limit.Burst) {
		add("rate and burst must be finite and not negative")
	}
	if o.Limit.Burst > 0 && !o.Limit.Limited() {
		add("has a burst without a rate")
	}
	return l
}

// validHeaderValue reports whether s can be sent as a header value without encoding.
func validHeaderValue(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

func finiteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
