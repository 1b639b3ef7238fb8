package hosts_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/check"
	"heatherrouter/io/fakes"
	"heatherrouter/io/hosts"
)

func TestListLags(t *testing.T) {
	f, err := fakes.NewHosts(fakes.HostsOptions{Lag: 200 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	c := hosts.New(f.URL(), &http.Client{Timeout: time.Second})
	l, err := c.List(t.Context())
	require.NoError(t, err)
	require.Empty(t, l)

	h := hosts.Host{
		Name: "h01", Peer: netip.MustParseAddrPort("127.0.0.1:7001"), Domain: "ams-1", Region: "nl", State: hosts.Leaving,
	}
	f.Set(h)
	l, err = c.List(t.Context())
	require.NoError(t, err)
	require.Empty(t, l, "the change is not visible before the lag has passed")
	require.Eventually(t, func() bool {
		l, err = c.List(t.Context())
		return err == nil && len(l) == 1
	}, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, h, l[0])
}

func TestListFindings(t *testing.T) {
	tests := []struct {
		name, page string
		status     int
		findings   int // 0 if the page cannot be fetched
	}{
		{"status 500", `{"hosts":[]}`, 500, 0},
		{"not JSON", `<html>`, 200, 1},
		{"all faults reported together", `{"hosts":[{"name":"a","peer":"127.0.0.1:1","domain":"d","state":"gone"},
			{"name":"a","peer":"x","domain":"d","state":"live"},
			{"name":"","domain":"","state":"live"}]}`, 200, 5},
		{"duplicate name", `{"hosts":[{"name":"a","peer":"127.0.0.1:1","domain":"d","state":"live"},
			{"name":"a","peer":"127.0.0.1:2","domain":"d","state":"live"}]}`, 200, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.page))
			}))
			t.Cleanup(s.Close)
			_, err := hosts.New(s.URL, s.Client()).List(t.Context())
			require.Error(t, err)
			var f check.Findings
			if tt.findings > 0 {
				require.ErrorAs(t, err, &f)
			}
			require.Len(t, f, tt.findings, "%v", err)
		})
	}
}
