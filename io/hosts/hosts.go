// Package hosts reads the platform's list of live and leaving hosts, a JSON page that may be outdated.
package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/gravitational/trace"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// State is the state of a host in the list.
type State string

const (
	// Live marks a host that is available for use.
	Live State = "live"
	// Leaving marks a host that is about to be removed.
	Leaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	Name   ident.Daemon   `json:"name"`
	Peer   netip.AddrPort `json:"peer"` // address for other daemons
	Domain ident.Domain   `json:"domain"`
	Region ident.Region   `json:"region"`
	State  State          `json:"state"`
}

// Page is the JSON format of the list.
type Page struct {
	Hosts []Host `json:"hosts"`
}

// maxPageSize limits the bytes read; a host takes about 120 bytes.
const maxPageSize = 4 << 20

// Client fetches the list.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the page at the URL; the HTTP client must have a timeout.
func New(url string, c *http.Client) *Client {
	return &Client{url: url, http: c}
}

// List returns the hosts in the order of the page. All faults of the entries are reported together, as
// check.Findings.
func (c *Client) List(ctx context.Context) ([]Host, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := c.http.Do(r)
	if err != nil {
		// If one pooled connection has failed, others may have too; the next call dials a new one.
		c.http.CloseIdleConnections()
		return nil, trace.ConnectionProblem(err, "fetch host list")
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "fetch host list: status %s", a.Status)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxPageSize))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "read host list")
	}
	return c.parse(b)
}

func (c *Client) parse(b []byte) ([]Host, error) {
	var p struct {
		Hosts []json.RawMessage `json:"hosts"`
	}
	var f check.Findings
	if err := json.Unmarshal(b, &p); err != nil {
		f.Addf(check.Place{File: c.url}, "not a host list: %v", err)
		return nil, trace.Wrap(f.Err())
	}
	var l []Host
	seen := map[ident.Daemon]bool{}
	for i, m := range p.Hosts {
		at := check.Place{File: c.url, Key: fmt.Sprintf("hosts.%d", i)}
		var h Host
		if err := json.Unmarshal(m, &h); err != nil {
			f.Addf(at, "%v", err)
			continue
		}
		h.check(at, seen, &f)
		l = append(l, h)
	}
	if err := f.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return l, nil
}

func (h *Host) check(at check.Place, seen map[ident.Daemon]bool, f *check.Findings) {
	add := func(key, format string, args ...any) {
		f.Addf(check.Place{File: at.File, Key: at.Key + "." + key}, format, args...)
	}
	if h.Name == "" {
		add("name", "missing")
	} else if seen[h.Name] {
		add("name", "%q is listed twice", h.Name)
	}
	seen[h.Name] = true
	if !h.Peer.IsValid() {
		add("peer", "missing, want IP:PORT")
	}
	if h.Domain == "" {
		add("domain", "missing")
	}
	if h.State != Live && h.State != Leaving {
		add("state", "%q is neither %q nor %q", h.State, Live, Leaving)
	}
}
