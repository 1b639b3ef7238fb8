package fakes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/io/hosts"
)

// Guards against lists that change after they were set, before their lag and while they are served.
func TestHostListIsACopy(t *testing.T) {
	h, err := NewHosts(HostsOptions{Lag: time.Hour})
	require.NoError(t, err)
	defer h.Close()
	h.SetLag(0)
	l := []hosts.Host{{Name: "a", State: hosts.Live}}
	h.Set(l...)
	l[0].State = hosts.Leaving
	require.Equal(t, hosts.Live, h.shown().Hosts[0].State)
}
