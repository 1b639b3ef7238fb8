package site

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

func organisation(name string, l Limit, keys ...string) *Organisation {
	o := &Organisation{Name: ident.Organisation(name), Limit: l}
	for _, k := range keys {
		o.Keys = append(o.Keys, DigestKey([]byte(k)))
	}
	return o
}

func TestOrganisationByKey(t *testing.T) {
	c, err := NewConfig(1, nil, nil, []*Organisation{
		organisation("creche", Limit{}, "k1", "k2"), organisation("school", Limit{Rate: 5, Burst: 2}, "k3"),
	}, DefaultLimits())
	require.NoError(t, err)
	require.True(t, c.HasOrganisations())
	require.EqualValues(t, "creche", c.OrganisationByKey(DigestKey([]byte("k2"))).Name)
	require.EqualValues(t, "school", c.OrganisationByKey(DigestKey([]byte("k3"))).Name)
	require.Nil(t, c.OrganisationByKey(DigestKey([]byte("k"))))
	require.Nil(t, c.OrganisationByKey(KeyDigest{}))
	c, err = NewConfig(1, nil, nil, nil, DefaultLimits())
	require.NoError(t, err)
	require.False(t, c.HasOrganisations())
}

func TestOrganisationFindings(t *testing.T) {
	tests := []struct {
		want string
		list []*Organisation
	}{
		{"b: shares a key with organisation a", []*Organisation{organisation("a", Limit{}, "k"), organisation("b", Limit{}, "k")}},
		{"a: is defined more than once", []*Organisation{organisation("a", Limit{}, "k"), organisation("a", Limit{}, "l")}},
		{"a: has a burst without a rate", []*Organisation{organisation("a", Limit{Burst: 3})}},
		{"a: rate and burst must be finite and not negative", []*Organisation{organisation("a", Limit{Rate: -1})}},
		{"a: rate and burst must be finite and not negative", []*Organisation{organisation("a", Limit{Rate: math.NaN()})}},
		{"visible ASCII", []*Organisation{organisation("", Limit{})}},
		{"visible ASCII", []*Organisation{organisation("a\r\nTenant: b", Limit{})}},
	}
	for _, x := range tests {
		_, err := NewConfig(1, nil, nil, x.list, DefaultLimits())
		require.ErrorContains(t, err, x.want)
	}
}

// Guards against API keys that are disclosed in dumps or logs.
func TestDigestDoesNotDiscloseKey(t *testing.T) {
	d := DigestKey([]byte("secret"))
	require.Len(t, d.String(), 8)
	require.NotContains(t, d.String(), "secret")
}
