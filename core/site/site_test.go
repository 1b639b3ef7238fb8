package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func route(name, host, prefix string, parts ...Part) *Route {
	return &Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Parts: parts}
}

func TestRoute(t *testing.T) {
	s := []*Service{{Name: "a"}}
	p := Part{Service: "a", Weight: 1}
	c, err := NewConfig(1, s, []*Route{
		route("short", "X.example", "/k/", p), route("long", "x.example", "/k/long/", p), route("other", "y.example", "/", p),
	}, nil, DefaultLimits())
	require.NoError(t, err)
	tests := []struct{ host, path, want string }{
		{"x.example", "/k/1", "short"},
		{"x.EXAMPLE:8080", "/k/long/1", "long"},
		{"x.example", "/k/longer", "short"},
		{"x.example", "/k", ""},
		{"y.example", "/anything", "other"},
		{"z.example", "/k/", ""},
	}
	for _, x := range tests {
		r := c.Route(x.host, x.path)
		if x.want == "" {
			require.Nil(t, r, x)
			continue
		}
		require.Equal(t, x.want, r.Name, x)
	}
}

func TestFindings(t *testing.T) {
	_, err := NewConfig(1, nil, []*Route{{Name: "r", Prefix: "k"}}, nil, Limits{})
	for _, w := range []string{"no host", "begin and end with a slash", "no timeout", "names no service", "limits"} {
		require.ErrorContains(t, err, w)
	}
	_, err = NewConfig(1, nil, []*Route{route("r", "x", "/", Part{Service: "gone", Weight: 1})}, nil, DefaultLimits())
	require.ErrorContains(t, err, "unknown service gone")
}

// Guards against retries that are sent to a part whose weight the operator has set to 0. Only a route's sole part may have
// no weight.
func TestRoutesTo(t *testing.T) {
	r := route("r", "x", "/", Part{Service: "a", Weight: 90}, Part{Service: "b", Weight: 0})
	require.True(t, r.RoutesTo("a"))
	require.False(t, r.RoutesTo("b"))
	require.False(t, r.RoutesTo("c"))
	require.True(t, route("r", "x", "/", Part{Service: "a"}).RoutesTo("a"))
}
