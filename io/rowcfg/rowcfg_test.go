package rowcfg_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/config"
	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/admin/fake"
	"heatherrouter/io/rowcfg"
)

var file = fake.ServiceFile("a", 8001)

func TestRead(t *testing.T) {
	since := time.UnixMilli(1_700_000_000_123).UTC()
	drain := config.Drain{By: "anna", Since: since}
	d := docs.New(ident.ConfigDoc)
	d.Rev = 9
	put := func(r ident.Row, b []byte, err error) {
		require.NoError(t, err)
		d.Rows[r] = docs.Row{Rev: 9, Body: b}
	}
	service := func(s ident.Service, file string) {
		b, err := rowcfg.EncodeService(string(s)+".toml", []byte(file))
		put(config.ServiceRow(s), b, err)
	}
	service("a", file)
	service("other", file)
	service("broken", strings.Replace(file, "north", "NORTH", 1))
	put(config.ServiceRow("noise"), []byte{0xff}, nil)
	for _, tg := range []config.Target{
		config.DomainTarget{Name: "d1"}, config.ServerTarget{Name: "a/s"}, config.DaemonTarget{Name: "hr-01"},
	} {
		b, err := rowcfg.EncodeDrain(drain)
		put(tg.Row(), b, err)
	}

	c, f := rowcfg.Read(d)
	require.Len(t, f, 3, f.Error())
	require.Contains(t, f.Error(), "other.toml: service/other: holds the file of service a")
	require.Contains(t, f.Error(), "broken.toml:2: region: ")
	require.Contains(t, f.Error(), "service/noise: can't be decoded")
	require.Len(t, c.Services, 1)
	require.Equal(t, ident.Rev(9), c.Rev)
	require.Equal(t, map[ident.Domain]config.Drain{"d1": drain}, c.Domains)
	require.Equal(t, map[ident.Server]config.Drain{"a/s": drain}, c.Servers)
	require.Equal(t, map[ident.Daemon]config.Drain{"hr-01": drain}, c.Daemons)
	require.True(t, c.ServerDrained(c.FindServer("a/s")))
	require.True(t, c.DaemonDrained("hr-02", "d1"))
	require.False(t, c.DaemonDrained("hr-02", "d2"))
	require.Nil(t, c.FindServer("b/s"))
}

func TestTargets(t *testing.T) {
	for _, tg := range []config.Target{
		config.DomainTarget{Name: "d1"}, config.ServerTarget{Name: "a/s"}, config.DaemonTarget{Name: "hr-01"},
	} {
		got, ok := config.ParseTargetRow(tg.Row())
		require.True(t, ok)
		require.Equal(t, tg, got)
	}
	for _, r := range []ident.Row{"", "drain/domain/", "drain/x/y", "service/a"} {
		_, ok := config.ParseTargetRow(r)
		require.False(t, ok, r)
	}
}
