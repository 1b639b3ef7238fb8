package send

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/crash"
	"heatherrouter/core/hold"
	"heatherrouter/core/site"
)

func fingerprintOf(change func(r *request)) crash.Fingerprint {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetRequestURI("/swap/17?x=1")
	req.Header.Set("Request-Id", "a")
	req.SetBodyString("who=anna")
	r := &request{req: req, host: "x.example:80", hasKey: true, key: 7}
	change(r)
	return r.fingerprint()
}

// Guards against refusing a valid request because of one of another organisation or content, and against counting attempts of
// one request as different requests.
func TestFingerprintIsOfOrganisationAndContent(t *testing.T) {
	base := fingerprintOf(func(*request) {})
	for name, change := range map[string]func(r *request){
		"another attempt":       func(r *request) { r.req.Header.Set("Request-Id", "b"); r.req.Header.Set("Accept", "*/*") },
		"host in another case":  func(r *request) { r.host = "X.example" },
		"another configuration": func(r *request) { r.route = &site.Route{Name: "moved"} },
		"another cookie":        func(r *request) { r.req.Header.SetCookie("lang", "en") },
	} {
		require.Equal(t, base, fingerprintOf(change), name)
	}
	seen := map[crash.Fingerprint]string{base: "base"}
	for name, change := range map[string]func(r *request){
		"organisation": func(r *request) { r.organisation = &site.Organisation{Name: "o"} },
		"method":       func(r *request) { r.req.Header.SetMethod(fasthttp.MethodPut) },
		"host":         func(r *request) { r.host = "y.example" },
		"path":         func(r *request) { r.req.Header.SetRequestURI("/swap/18?x=1") },
		"query":        func(r *request) { r.req.Header.SetRequestURI("/swap/17?x=2") },
		"key":          func(r *request) { r.key = hold.Key(8) },
		"body":         func(r *request) { r.req.SetBodyString("who=bert") },
		"long body":    func(r *request) { r.req.SetBody(bytes.Repeat([]byte("x"), maxFingerprintBody)) },
		"longer":       func(r *request) { r.req.SetBody(bytes.Repeat([]byte("x"), maxFingerprintBody+1)) },
	} {
		f := fingerprintOf(change)
		require.Empty(t, seen[f], name)
		seen[f] = name
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"100B": 100, "64KiB": maxFingerprintBody} {
		b.Run(name, func(b *testing.B) {
			req := fasthttp.AcquireRequest()
			req.Header.SetRequestURI("/swap/17?x=1")
			req.SetBody(bytes.Repeat([]byte("x"), size))
			for b.Loop() {
				r := &request{req: req, host: "x.example"}
				r.fingerprint()
			}
		})
	}
}
