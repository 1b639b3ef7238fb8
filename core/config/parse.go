package config

import (
	"net/netip"
	"slices"
	"time"

	"heatherrouter/core/check"
	"heatherrouter/core/fields"
	"heatherrouter/core/ident"
)

const (
	// MaxFileSize is the largest size of a service file in bytes. A file must fit well into one item of the table.
	MaxFileSize = 256 << 10

	// MaxKeyedTimeout is the longest timeout of a kind in a keyed service. The deadline must be within the lease of 1.5 s:
	// a request that runs after the lease has expired would run concurrently with requests at the next owner.
	MaxKeyedTimeout = time.Second

	// MaxTimeout is the longest timeout of any kind, including the time for which a request waits.
	MaxTimeout = 24 * time.Hour

	// DefaultSlots is the default number of requests that a backend server runs at once.
	DefaultSlots = 3

	// DefaultConns is the default number of connections that a backend server accepts.
	DefaultConns = 130

	// DefaultShards is the default number of shards of a keyed service.
	DefaultShards = 512

	maxSlots      = 64
	maxConns      = 65536
	maxShards     = 1 << 20
	maxKeySegment = 15
	maxPriority   = 9
	maxNameLength = 63
)

// Parse parses and validates one service file. It returns either the service or findings. The path appears in findings.
func Parse(path string, body []byte) (*Service, check.Findings) {
	if len(body) > MaxFileSize {
		var f check.Findings
		f.Addf(check.Place{File: path}, "has %d bytes, must have at most %d", len(body), MaxFileSize)
		return nil, f
	}
	t := fields.Parse(path, body)
	if !t.Valid() {
		return nil, t.Findings()
	}
	s := &Service{
		Name:   ident.Service(RequiredName(t, "name")),
		Region: ident.Region(RequiredName(t, "region")),
		Key:    parseKey(t),
		path:   path,
	}
	s.Shards = parseShards(t, s.Keyed())
	s.Servers = parseServers(t, s)
	s.Kinds = parseKinds(t, s)
	if f := t.Findings(); len(f) > 0 {
		return nil, f
	}
	return s, nil
}

// ValidName reports whether s is valid as the name of a service, server, daemon, domain, region or kind.
// Names are restricted since they become parts of paths, row names and metrics.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// RequiredName reads a setting that must be present and a valid name. Otherwise it adds a finding.
func RequiredName(t *fields.Table, key string) string {
	s := t.RequiredString(key)
	if s != "" && !ValidName(s) {
		t.Addf(key, "is %q, must consist of lower-case letters, digits and inner hyphens, at most %d characters", s, maxNameLength)
	}
	return s
}

func parseKey(t *fields.Table) KeySource {
	if !t.Has("key") {
		return nil
	}
	k := t.Table("key")
	segment := PathKey{Segment: k.Int("path-segment", 0, 0, maxKeySegment)}
	header := HeaderKey{Name: k.String("header")}
	query := QueryKey{Name: k.String("query")}

	var l []KeySource
	if k.Has("path-segment") {
		l = append(l, segment)
	}
	if k.Has("header") {
		checkToken(k, "header", header.Name)
		l = append(l, header)
	}
	if k.Has("query") {
		checkToken(k, "query", query.Name)
		l = append(l, query)
	}
	if len(l) != 1 {
		k.Addf("", "must contain exactly one of path-segment, header and query")
		return header // any key source, so that the kinds are validated as those of a keyed service
	}
	return l[0]
}

// checkToken adds a finding if the name of a header or query parameter is invalid.
func checkToken(t *fields.Table, key, name string) {
	if !isToken(name) {
		t.Addf(key, "is %q, must be a name of letters, digits, hyphens and underscores", name)
	}
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return s != ""
}

func parseShards(t *fields.Table, keyed bool) int {
	if !keyed && t.Has("shards") {
		t.Int("shards", 0, 1, maxShards)
		t.Addf("shards", "is only allowed in a service with a [key]")
	}
	if !keyed {
		return 0
	}
	return t.Int("shards", DefaultShards, 1, maxShards)
}

func parseServers(t *fields.Table, s *Service) []Server {
	tables := t.Tables("servers")
	if len(tables) == 0 {
		t.Addf("servers", "is missing, must list at least one backend server")
	}
	l := make([]Server, 0, len(tables))
	ids := map[ident.Server]bool{}
	addrs := map[netip.AddrPort]ident.Server{}
	for _, x := range tables {
		v := parseServer(x, s.Name)
		if ids[v.ID] {
			x.Addf("name", "names the backend server %s twice", v.ID)
		}
		if o, ok := addrs[v.Addr]; ok && v.Addr.IsValid() {
			x.Addf("address", "is %s, the address of %s too", v.Addr, o)
		}
		ids[v.ID] = true
		addrs[v.Addr] = v.ID
		l = append(l, v)
	}
	return l
}

func parseServer(t *fields.Table, s ident.Service) Server {
	v := Server{
		ID:           ident.ServerID(s, RequiredName(t, "name")),
		Addr:         ParseAddr(t, "address"),
		Domain:       ident.Domain(RequiredName(t, "domain")),
		Slots:        t.Int("slots", DefaultSlots, 1, maxSlots),
		Conns:        t.Int("conns", DefaultConns, 1, maxConns),
		ChecksGrants: t.Bool("checks-grants"),
		line:         t.Place("").Line,
	}
	if v.Conns < v.Slots {
		t.Addf("conns", "is %d, must be at least slots, which is %d", v.Conns, v.Slots)
	}
	return v
}

// ParseAddr reads a setting that must be present and the IP address and port of one host. Otherwise it adds a finding.
func ParseAddr(t *fields.Table, key string) netip.AddrPort {
	s := t.RequiredString(key)
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		t.Addf(key, `is %q, must be an IP address and a port such as "127.0.0.1:8080"`, s)
		return netip.AddrPort{}
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		t.Addf(key, "is %q, must be the address of one host", s)
	}
	return a
}

func parseKinds(t *fields.Table, s *Service) []Kind {
	tables := t.Tables("kinds")
	if len(tables) == 0 {
		t.Addf("kinds", "is missing, must list at least one kind of request")
	}
	l := make([]Kind, 0, len(tables))
	for _, x := range tables {
		k := parseKind(x, s)
		if slices.ContainsFunc(l, func(o Kind) bool { return o.Name == k.Name }) {
			x.Addf("name", "is %q, the name of another kind too", k.Name)
		}
		checkReachable(x, l, &k)
		l = append(l, k)
	}
	return l
}

func parseKind(t *fields.Table, s *Service) Kind {
	k := Kind{
		Name:         RequiredName(t, "name"),
		Methods:      parseMethods(t),
		Path:         t.RequiredString("path"),
		Idempotent:   t.Bool("idempotent"),
		Timeout:      parseTimeout(t),
		Priority:     Priority(t.Int("priority", 0, 0, maxPriority)),
		MayWait:      t.Bool("may-wait"),
		NeverDropped: t.Bool("never-dropped"),
		Streamed:     t.Bool("streamed"),
	}
	if k.NeverDropped && !k.MayWait {
		t.Addf("never-dropped", "needs may-wait = true, since only a request that may wait can be kept until a server has capacity")
	}
	checkPath(t, k.Path, s.Key)
	if s.Keyed() {
		checkKeyed(t, &k)
	}
	return k
}

func parseMethods(t *fields.Table) []string {
	known := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
	l := t.Strings("methods")
	if len(l) == 0 {
		t.Addf("methods", "is missing, must list at least one HTTP method")
	}
	for i, m := range l {
		if !slices.Contains(known, m) {
			t.Addf("methods", "contains %q, must contain only methods of %v", m, known)
		}
		if slices.Contains(l[:i], m) {
			t.Addf("methods", "contains %q twice", m)
		}
	}
	return l
}

func parseTimeout(t *fields.Table) time.Duration {
	if !t.Has("timeout") {
		t.Addf("timeout", "is missing")
		t.Duration("timeout", 0)
		return 0
	}
	d := t.Duration("timeout", time.Second)
	if d <= 0 || d > MaxTimeout {
		t.Addf("timeout", "is %s, must be more than 0 and at most %s", d, MaxTimeout)
	}
	return d
}

// checkKeyed adds a finding if requests of a kind in a keyed service might not end within a lease; see MaxKeyedTimeout.
func checkKeyed(t *fields.Table, k *Kind) {
	if k.Timeout > MaxKeyedTimeout {
		t.Addf("timeout", "is %s, must be at most %s in a service with a [key]", k.Timeout, MaxKeyedTimeout)
	}
	if k.Streamed {
		t.Addf("streamed", "must be false in a service with a [key]")
	}
}
