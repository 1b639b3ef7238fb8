package send

import (
	"bufio"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
)

// parseHeader parses a request header with the given lines.
func parseHeader(t testing.TB, lines ...string) *fasthttp.RequestHeader {
	t.Helper()
	h := &fasthttp.RequestHeader{}
	raw := "GET /k/x HTTP/1.1\r\nHost: x.example\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	require.NoError(t, h.Read(bufio.NewReader(strings.NewReader(raw))))
	return h
}

func TestReadCredential(t *testing.T) {
	good := credential{state: credentialPresent, digest: site.DigestKey([]byte("key1"))}
	tests := []struct {
		name  string
		lines []string
		want  credential
	}{
		{"none", []string{"Accept: a"}, credential{}},
		{"plain", []string{"Authorization: Bearer key1"}, good},
		{"lower case", []string{"authorization: bearer key1"}, good},
		{"spaces", []string{"Authorization:   Bearer   key1  "}, good},
		{"twice", []string{"Authorization: Bearer key1", "authorization: Bearer key1"}, credential{state: credentialMalformed}},
		{"other scheme", []string{"Authorization: Basic key1"}, credential{state: credentialMalformed}},
		{"no key", []string{"Authorization: Bearer"}, credential{state: credentialMalformed}},
		{"empty", []string{"Authorization:"}, credential{state: credentialMalformed}},
		{"two words", []string{"Authorization: Bearer key1 key2"}, credential{state: credentialMalformed}},
		{"not ASCII", []string{"Authorization: Bearer k\xc3\xa9y"}, credential{state: credentialMalformed}},
		{"oversized", []string{"Authorization: Bearer " + strings.Repeat("k", maxKeyLength+1)}, credential{state: credentialMalformed}},
	}
	for _, x := range tests {
		require.Equal(t, x.want, readCredential(parseHeader(t, x.lines...)), x.name)
	}
}

// FuzzCredential guards against a header that is accepted as a key other than the one it contains.
func FuzzCredential(f *testing.F) {
	for _, v := range []string{"Bearer k", "bearer  k ", "Basic k", "Bearer", "", "Bearer k k", "Bearer \x00", "Bearer k,Bearer l"} {
		f.Add([]byte(v))
	}
	f.Fuzz(func(t *testing.T, v []byte) {
		c := parseCredential(v)
		if c.state != credentialPresent {
			require.Equal(t, credentialMalformed, c.state)
			return
		}
		l := strings.Fields(string(v))
		require.Len(t, l, 2)
		require.Equal(t, site.DigestKey([]byte(l[1])), c.digest)
	})
}

func configWithOrganisations(t *testing.T, version site.Version, organisations ...*site.Organisation) *site.Config {
	t.Helper()
	part := []site.Part{{Service: "a", Weight: 1}}
	c, err := site.NewConfig(version, []*site.Service{{Name: "a"}}, []*site.Route{
		{Name: "open", Host: "x.example", Prefix: "/open/", Timeout: time.Second, Parts: part, AllowAnonymous: true},
		{Name: "closed", Host: "x.example", Prefix: "/", Timeout: time.Second, Parts: part},
	}, organisations, site.DefaultLimits())
	require.NoError(t, err)
	return c
}

func organisationWithKey(name ident.Organisation, key string) *site.Organisation {
	return &site.Organisation{Name: name, Keys: []site.KeyDigest{site.DigestKey([]byte(key))}}
}

func TestAuthenticate(t *testing.T) {
	c := configWithOrganisations(t, 1, organisationWithKey("creche", "key1"))
	tests := []struct {
		name, path   string
		lines        []string
		status       int // 0 if the request is accepted
		organisation string
	}{
		{"known", "/x", []string{"Authorization: Bearer key1"}, 0, "creche"},
		{"unknown", "/x", []string{"Authorization: Bearer key2"}, fasthttp.StatusUnauthorized, ""},
		{"none", "/x", nil, fasthttp.StatusUnauthorized, ""},
		{"malformed", "/x", []string{"Authorization: Basic key1"}, fasthttp.StatusBadRequest, ""},
		{"known on an open route", "/open/x", []string{"Authorization: Bearer key1"}, 0, "creche"},
		{"unknown on an open route", "/open/x", []string{"Authorization: Bearer key2"}, 0, ""},
		{"none on an open route", "/open/x", nil, 0, ""},
	}
	for _, x := range tests {
		r := &request{route: c.Route("x.example", x.path), credential: readCredential(parseHeader(t, append(x.lines, "A: b")...))}
		f := (&Sender{}).authenticate(r, c)
		if x.status != 0 {
			require.NotNil(t, f, x.name)
			require.Equal(t, x.status, f.status, x.name)
			continue
		}
		require.Nil(t, f, x.name)
		organisation := ""
		if r.organisation != nil {
			organisation = string(r.organisation.Name)
		}
		require.Equal(t, x.organisation, organisation, x.name)
	}
}

// Guards against sending a queued request whose key has been revoked or assigned to another organisation.
func TestKeyIsRecheckedBeforeSending(t *testing.T) {
	initial := configWithOrganisations(t, 1, organisationWithKey("creche", "key1"))
	r := &request{route: initial.Route("x.example", "/x"), credential: readCredential(parseHeader(t, "Authorization: Bearer key1"))}
	require.Nil(t, (&Sender{}).authenticate(r, initial))
	authorised := func(c *site.Config) bool { return r.stillAuthorised(c.Route("x.example", "/x"), c) }
	require.True(t, authorised(initial))
	require.True(t, authorised(configWithOrganisations(t, 2, organisationWithKey("creche", "key1"), organisationWithKey("school", "key2"))))
	require.False(t, authorised(configWithOrganisations(t, 2, organisationWithKey("creche", "key2"))))
	require.False(t, authorised(configWithOrganisations(t, 2, organisationWithKey("school", "key1"))))
	require.False(t, authorised(configWithOrganisations(t, 2)))
}

// Guards against forwarding API keys or organisation headers set by the caller, whatever their case and number.
func TestServerGetsOrganisationWithoutKey(t *testing.T) {
	s := &Sender{o: Options{Dialect: Dialect{Organisation: "Tenant"}}}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	parseHeader(t, "tenant: school", "TENANT: other", "authorization: Bearer key1").CopyTo(&req.Header)
	s.setOrganisation(req, &request{organisation: organisationWithKey("creche", "key1")})
	require.NotContains(t, req.Header.String(), "key1")
	require.Equal(t, [][]byte{[]byte("creche")}, req.Header.PeekAll("Tenant"))
	s.setOrganisation(req, &request{})
	require.Empty(t, req.Header.PeekAll("Tenant"))
}

// Guards against a flood of invalid keys causing a flood of requests to the coordinator.
func TestUnknownKeyTriggersOneRefresh(t *testing.T) {
	var u unknownKeys
	now := mono.Time(time.Hour)
	key := func(i int) site.KeyDigest { return site.DigestKey([]byte(strconv.Itoa(i))) }
	require.True(t, u.shouldRefresh(now, key(0)))
	require.False(t, u.shouldRefresh(now.Add(unknownKeyTTL/2), key(0)))
	require.True(t, u.shouldRefresh(now.Add(unknownKeyTTL), key(0)))
	refreshes := 0
	for i := range 10 * maxUnknownKeys {
		if u.shouldRefresh(now, key(i)) {
			refreshes++
		}
	}
	require.LessOrEqual(t, refreshes, maxUnknownKeys)
	require.LessOrEqual(t, len(u.expires), maxUnknownKeys)
	require.True(t, u.shouldRefresh(now.Add(3*unknownKeyTTL), key(1)))
}

// fixedAgeView is a View with a fixed CopyAge.
type fixedAgeView struct {
	View
	age time.Duration
}

func (v fixedAgeView) CopyAge() time.Duration { return v.age }

// Guards against accepting a revoked key on a disconnected daemon when strict revocation is enabled.
func TestStrictRevocation(t *testing.T) {
	c := configWithOrganisations(t, 1, organisationWithKey("creche", "key1"))
	authenticate := func(path string, limit, age time.Duration) *result {
		s := &Sender{o: Options{MaxCopyAge: limit, View: fixedAgeView{age: age}}}
		r := &request{route: c.Route("x.example", path), credential: readCredential(parseHeader(t, "Authorization: Bearer key1"))}
		return s.authenticate(r, c)
	}
	require.Nil(t, authenticate("/x", 0, time.Minute))
	require.Nil(t, authenticate("/x", 5*time.Second, 4*time.Second))
	require.Nil(t, authenticate("/open/x", 5*time.Second, 6*time.Second))
	f := authenticate("/x", 5*time.Second, 6*time.Second)
	require.Equal(t, fasthttp.StatusServiceUnavailable, f.status)
	require.Equal(t, outcomeNotRun, f.outcome)
}
