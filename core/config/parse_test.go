package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
)

const validFile = `name = "tables"
region = "north"

[key]
path-segment = 1

[[servers]]
name = "a"
address = "127.0.0.1:8001"
domain = "d1"
checks-grants = true

[[kinds]]
name = "read"
methods = ["GET"]
path = "/t/*"
idempotent = true
timeout = "500ms"
priority = 3
`

func TestParse(t *testing.T) {
	s, f := config.Parse("x.toml", []byte(validFile))
	require.Empty(t, f)
	require.Equal(t, ident.Service("tables"), s.Name)
	require.Equal(t, config.PathKey{Segment: 1}, s.Key)
	require.Equal(t, config.DefaultShards, s.Shards)
	require.Len(t, s.Servers, 1)
	v := s.Servers[0]
	require.Equal(t, ident.Server("tables/a"), v.ID)
	require.Equal(t, config.DefaultSlots, v.Slots)
	require.Equal(t, config.DefaultConns, v.Conns)
	require.True(t, v.ChecksGrants)
	require.Equal(t, []config.Kind{{
		Name: "read", Methods: []string{"GET"}, Path: "/t/*", Idempotent: true, Timeout: 500 * time.Millisecond, Priority: 3,
	}}, s.Kinds)
}

func TestParseFindings(t *testing.T) {
	kind := func(s string) string { return validFile + "\n[[kinds]]\nname = \"more\"\nmethods = [\"POST\"]\n" + s }
	swap := func(old, new string) string { return strings.Replace(validFile, old, new, 1) }
	server := func(name, addr string) string {
		return validFile + "\n[[servers]]\nname = \"" + name + "\"\naddress = \"" + addr + "\"\ndomain = \"d1\"\n"
	}
	tests := []struct {
		name string
		body string
		want []string
	}{
		{"invalid TOML", "name = \n", []string{"x.toml:1: is no valid TOML"}},
		{"empty", "", []string{"name: is missing", "region: is missing", "servers: is missing", "kinds: is missing"}},
		{"wrong type", swap(`"tables"`, "7"), []string{"x.toml:1: name: must be a string"}},
		{"bad name", swap(`"tables"`, `"Tables"`), []string{`x.toml:1: name: is "Tables"`}},
		{"unknown key", swap("checks-grants", "checks_grants"), []string{"x.toml:11: servers[0].checks_grants: is no known setting"}},
		{"host name", swap("127.0.0.1:8001", "localhost:8001"), []string{`x.toml:9: servers[0].address: is "localhost:8001", must be an IP address`}},
		{"no port", swap("127.0.0.1:8001", "127.0.0.1"), []string{"servers[0].address"}},
		{"unspecified", swap("127.0.0.1:8001", "0.0.0.0:8001"), []string{"must be the address of one host"}},
		{"slots", swap("checks-grants = true", "slots = 65"), []string{"x.toml:11: servers[0].slots: is 65, must be from 1 to 64"}},
		{"few conns", swap("checks-grants = true", "slots = 4\nconns = 3"), []string{"x.toml:12: servers[0].conns: is 3, must be at least slots"}},
		{"server twice", server("a", "127.0.0.1:8002"), []string{"x.toml:22: servers[1].name: names the backend server tables/a twice"}},
		{"address twice", server("b", "127.0.0.1:8001"), []string{"x.toml:23: servers[1].address: is 127.0.0.1:8001, the address of tables/a too"}},
		{"two keys", swap("path-segment = 1", "path-segment = 1\nheader = \"k\""), []string{"x.toml:4: key: must contain exactly one"}},
		{"no key", swap("path-segment = 1", ""), []string{"x.toml:4: key: must contain exactly one"}},
		{"bad header", swap("path-segment = 1", `header = "a b"`), []string{`x.toml:5: key.header: is "a b"`}},
		{"path without key", swap("/t/*", "/t/all"), []string{`must have "*" as segment 1`}},
		{"path with final wildcard as key", swap("/t/*", "/t/**"), []string{`must have "*" as segment 1`}},
		{"shards unkeyed", swap("[key]\npath-segment = 1", "shards = 4"), []string{"shards: is only allowed in a service with a [key]"}},
		{"long timeout keyed", swap("500ms", "1500ms"), []string{"x.toml:18: kinds[0].timeout: is 1.5s, must be at most 1s"}},
		{"no timeout", swap(`timeout = "500ms"`, ""), []string{"kinds[0].timeout: is missing"}},
		{"invalid duration", swap("500ms", "fast"), []string{`kinds[0].timeout: is "fast", must be a duration`}},
		{"negative", swap("500ms", "-1s"), []string{"must be more than 0"}},
		{"streamed keyed", swap("priority = 3", "streamed = true"), []string{"x.toml:19: kinds[0].streamed: must be false"}},
		{"never dropped", swap("priority = 3", "never-dropped = true"), []string{"kinds[0].never-dropped: needs may-wait"}},
		{"priority", swap("priority = 3", "priority = 10"), []string{"kinds[0].priority: is 10, must be from 0 to 9"}},
		{"method", swap(`"GET"`, `"FETCH", "GET", "GET"`), []string{`contains "FETCH"`, `contains "GET" twice`}},
		{"no methods", swap(`methods = ["GET"]`, ""), []string{"kinds[0].methods: is missing"}},
		{"bad path", swap(`"/t/*"`, `"/t/**/x"`), []string{`kinds[0].path: is "/t/**/x"`}},
		{"kind twice", kind("path = \"/u/*\"\ntimeout = \"1s\"\n[[kinds]]\nname = \"read\"\nmethods = [\"POST\"]\npath = \"/v/*\"\ntimeout = \"1s\"\n"), []string{`kinds[2].name: is "read", the name of another kind too`}},
		{"unreachable", swap("[[kinds]]", "[[kinds]]\nname = \"first\"\nmethods = [\"GET\", \"PUT\"]\npath = \"/*/*\"\ntimeout = \"1s\"\n[[kinds]]"), []string{`kinds[1].path: is never reached by GET: the earlier kind "first"`}},
		{"too large", strings.Repeat("#", config.MaxFileSize+1), []string{"must have at most"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, f := config.Parse("x.toml", []byte(tt.body))
			require.Nil(t, s)
			require.Len(t, f, len(tt.want), f.Error())
			for _, w := range tt.want {
				require.Contains(t, f.Error(), w)
			}
		})
	}
}

func TestCheckAll(t *testing.T) {
	parse := func(path, body string) *config.Service {
		s, f := config.Parse(path, []byte(body))
		require.Empty(t, f)
		return s
	}
	a := parse("a.toml", validFile)
	again := parse("b.toml", validFile)
	addr := parse("c.toml", strings.Replace(validFile, "tables", "other", 1))
	region := parse("d.toml", strings.NewReplacer("tables", "south", "north", "far", "8001", "8002").Replace(validFile))

	require.Empty(t, config.CheckAll([]*config.Service{a}))
	f := config.CheckAll([]*config.Service{a, again, addr, region})
	require.Equal(t, []string{
		"b.toml: name: names the service tables, which a.toml does too",
		"c.toml:7: servers.address: is 127.0.0.1:8001, the address of tables/a too",
		"d.toml:7: servers.domain: is d1, which belongs to region north according to service tables, not to far",
	}, strings.Split(f.Error(), "\n"))
}

func TestExamples(t *testing.T) {
	servers := map[ident.Service]int{
		"roosterzicht": 15, "ruilregister": 8, "dossier-lever": 6, "plaats-plan": 13,
		"tabelid": 15, "parandused": 8, "koited": 8, "arhiiv": 12,
	}
	paths, err := filepath.Glob("../../examples/*/*/heatherrouter.toml")
	require.NoError(t, err)
	require.Len(t, paths, len(servers))
	var all []*config.Service
	for _, p := range paths {
		b, err := os.ReadFile(p)
		require.NoError(t, err)
		s, f := config.Parse(p, b)
		require.Empty(t, f, f.Error())
		require.Len(t, s.Servers, servers[s.Name], s.Name)
		all = append(all, s)
	}
	require.Empty(t, config.CheckAll(all))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("kinds = [{ path = \"/**\" }]\n[servers.a]\n[\"\"]\n"))
	f.Add([]byte("key = { query = 1 }\nservers = [1, 2]\n"))
	f.Add([]byte("[[kinds]]\n[[kinds.kinds]]\ntimeout = 1979-05-27\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, found := config.Parse("x.toml", b)
		require.Equal(t, s == nil, len(found) > 0)
		if s == nil {
			return
		}
		require.NotEmpty(t, s.Servers)
		for _, k := range s.Kinds {
			require.Positive(t, k.Timeout)
			require.False(t, s.Keyed() && k.Timeout > config.MaxKeyedTimeout)
		}
	})
}
