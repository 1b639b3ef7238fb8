package grant

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/elect"
	"heatherrouter/core/ident"
	"heatherrouter/io/wire"
)

// scriptedPaths reaches the servers of its checks in turn, as far as it is asked for them.
type scriptedPaths struct {
	Paths
	checks [][]ident.Server
}

func (p *scriptedPaths) Check(_ context.Context, ids []ident.Server) []ident.Server {
	var l []ident.Server
	for _, id := range p.checks[0] {
		for _, x := range ids {
			if x == id {
				l = append(l, id)
			}
		}
	}
	p.checks = p.checks[1:]
	return l
}

// reachingPeer reaches the servers.
type reachingPeer []string

func (p reachingPeer) Call(context.Context, ident.Daemon, *wire.Call) (*wire.Reply, error) {
	return &wire.Reply{Body: &wire.Reply_Reach{Reach: &wire.ReachAnswer{Reached: p}}}, nil
}

// Guards against handing over the role because servers restart while daemons connect to them.
func TestRestartingServersAreNoLostPaths(t *testing.T) {
	for _, x := range []struct {
		name   string
		checks [][]ident.Server
		own    int
	}{
		{"the servers have restarted meanwhile", [][]ident.Server{{"a"}, {"b", "c"}}, 3},
		{"one has", [][]ident.Server{{"a"}, {"c"}}, 2},
		{"the paths are lost", [][]ident.Server{{"a"}, {}}, 1},
		{"all are reached at once", [][]ident.Server{{"a", "b", "c"}}, 3},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := &scriptedPaths{checks: x.checks}
			g := New(Options{Paths: p})
			g.peers = reachingPeer{"a", "b", "c"}
			own, peers := g.compareReach(t.Context(), []ident.Daemon{"d"}, []ident.Server{"a", "b", "c"})
			require.Equal(t, x.own, own)
			require.Equal(t, []elect.Reach{{Daemon: "d", Reached: 3}}, peers)
			require.Empty(t, p.checks)
		})
	}
}
