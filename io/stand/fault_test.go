package stand_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/fakes"
)

// fault sets the table's faults.
func (x *site) fault(t *testing.T, f fakes.Faults) {
	t.Helper()
	require.NoError(t, x.Table.SetFaults(f))
}

// others returns the numbers of all daemons but some.
func (x *site) others(without ...int) []int {
	var l []int
	for i := range x.Daemons {
		if !slices.Contains(without, i) {
			l = append(l, i)
		}
	}
	return l
}

// busiest returns the daemon that is home of most servers, by the status of another.
func (x *site) busiest(t *testing.T) int {
	t.Helper()
	s, err := x.Admin(0).Status(t.Context())
	require.NoError(t, err)
	best, homes := 0, -1
	for i, d := range x.Daemons {
		for _, y := range s.Daemons {
			if y.Name == d.Name && y.Homes > homes {
				best, homes = i, y.Homes
			}
		}
	}
	require.Positive(t, homes, "no daemon is home of a server")
	return best
}

// idlest returns the daemon that is home of fewest servers.
func (x *site) idlest(t *testing.T) int {
	t.Helper()
	s, err := x.Admin(0).Status(t.Context())
	require.NoError(t, err)
	homes := map[ident.Daemon]int{}
	for _, y := range s.Daemons {
		homes[y.Name] = y.Homes
	}
	best := 0
	for i, d := range x.Daemons {
		if homes[d.Name] < homes[x.Daemons[best].Name] {
			best = i
		}
	}
	return best
}

// homeOf returns the daemon that is home of a server.
func (x *site) homeOf(t *testing.T, v ident.Server) int {
	t.Helper()
	l, err := x.Admin(0).Servers(t.Context())
	require.NoError(t, err)
	i := slices.IndexFunc(l, func(s admin.Server) bool { return s.Name == v })
	require.GreaterOrEqual(t, i, 0, "no server %s", v)
	for n, d := range x.Daemons {
		if d.Name == l[i].Home {
			return n
		}
	}
	require.Fail(t, "no home", "%v", l[i])
	return -1
}

// serving reports whether a daemon's entry has both services answered.
func (x *site) serving(daemon int) error {
	for _, p := range []string{"/keyed/read/k1", "/plain/read/x"} {
		if a := x.get(daemon, p); a.status != http.StatusOK {
			return fmt.Errorf("%s at %s: %v", p, x.Daemons[daemon].Name, a)
		}
	}
	return nil
}
