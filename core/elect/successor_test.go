package elect

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/site"
)

func TestSuccessorReachesMoreServers(t *testing.T) {
	s := &site.Snapshot{Voters: []ident.Daemon{"a", "b", "c"}, Daemons: map[ident.Daemon]*site.Daemon{
		"a": {Name: "a", Capacity: 300}, "b": {Name: "b", Capacity: 300}, "c": {Name: "c", Capacity: 600}, "d": {Name: "d", Capacity: 900},
	}}
	for _, x := range []struct {
		name string
		own  int
		l    []Reach
		want ident.Daemon
	}{
		{"nobody answers", 0, nil, ""},
		{"the servers are down", 0, []Reach{{"b", 0}, {"c", 0}}, ""},
		{"others reach no more", 3, []Reach{{"b", 3}, {"c", 2}}, ""},
		{"one reaches more", 0, []Reach{{"b", 2}, {"c", 0}}, "b"},
		{"the one that reaches most", 1, []Reach{{"b", 4}, {"c", 2}}, "b"},
		{"of equals the voter with the highest capacity", 0, []Reach{{"b", 4}, {"c", 4}, {"d", 4}}, "c"},
		{"a daemon that has left", 0, []Reach{{"x", 4}}, ""},
	} {
		require.Equal(t, x.want, Successor(s, x.own, x.l), x.name)
	}
}

// Guards against a large site in which all voters have lost the servers and no other daemon is asked, and against asking them all.
func TestAskForReachIsBounded(t *testing.T) {
	s := &site.Snapshot{Daemons: map[ident.Daemon]*site.Daemon{}}
	for i := range 820 {
		d := ident.Daemon(fmt.Sprint("d", i))
		s.Daemons[d] = &site.Daemon{Name: d, Domain: ident.Domain(fmt.Sprint(i % 6))}
	}
	s.Voters = Voters("d0", s.Daemons)
	asked := map[ident.Daemon]bool{}
	for term := range site.Term(50) {
		s.Coordinator.Term = term
		l := AskForReach(s, "d0")
		require.Len(t, l, maxAsked)
		require.NotContains(t, l, ident.Daemon("d0"))
		for _, d := range l {
			asked[d] = true
		}
	}
	require.Greater(t, len(asked), MaxVoters+50)
}
