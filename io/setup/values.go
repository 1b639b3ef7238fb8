package setup

import (
	"net/netip"
	"net/url"

	"github.com/phuslu/log"

	"heatherrouter/core/fields"
)

// requiredURL reads the URL of a platform service. Its host must be an IP address: a name would make every call
// depend on a resolver, whose outage would look like one of the platform.
func requiredURL(t *fields.Table, key string) string {
	s := t.RequiredString(key)
	if s == "" {
		return ""
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
		t.Addf(key, `is %q, must be a URL such as "http://127.0.0.1:8000"`, s)
		return ""
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		t.Addf(key, "has the host %q, must have an IP address", u.Hostname())
	}
	return s
}

func parseLevel(t *fields.Table, key string) log.Level {
	levels := map[string]log.Level{
		"":      log.InfoLevel,
		"debug": log.DebugLevel,
		"info":  log.InfoLevel,
		"warn":  log.WarnLevel,
		"error": log.ErrorLevel,
	}
	s := t.String(key)
	l, ok := levels[s]
	if !ok {
		t.Addf(key, "is %q, must be debug, info, warn or error", s)
		return log.InfoLevel
	}
	return l
}
