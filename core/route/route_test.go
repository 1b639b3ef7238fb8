package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

func noValue(string) []byte { return nil }

func table() *Table {
	return New([]*config.Service{
		{Name: "roosterzicht", Key: config.PathKey{Segment: 1}, Shards: 64, Kinds: []config.Kind{
			{Name: "read", Methods: []string{"GET"}, Path: "/rooster/*"},
			{Name: "confirm", Methods: []string{"POST", "PUT"}, Path: "/rooster/*"},
			{Name: "deep", Methods: []string{"GET"}, Path: "/rooster/*/dag/**"},
		}},
		{Name: "tabelid", Key: config.QueryKey{Name: "t"}, Shards: 7, Kinds: []config.Kind{{Name: "any", Methods: []string{"GET"}, Path: "/**"}}},
		{Name: "parandused", Key: config.HeaderKey{Name: "Series"}, Shards: 1, Kinds: []config.Kind{{Name: "root", Methods: []string{"POST"}, Path: "/"}}},
		{Name: "arhiiv", Kinds: []config.Kind{{Name: "query", Methods: []string{"GET"}, Path: "/q"}}},
	})
}

func TestMatch(t *testing.T) {
	query := func(n string) []byte { return map[string][]byte{"t": []byte("T1")}[n] }
	header := func(n string) []byte { return map[string][]byte{"Series": []byte("S1")}[n] }
	for _, x := range []struct{ method, path, kind, rest, key, reason string }{
		{"GET", "/roosterzicht/rooster/ams-1", "read", "/rooster/ams-1", "ams-1", ""},
		{"PUT", "/roosterzicht/rooster/ams-1", "confirm", "/rooster/ams-1", "ams-1", ""},
		{"GET", "/roosterzicht/rooster/ams-1/dag", "deep", "/rooster/ams-1/dag", "ams-1", ""},
		{"GET", "/roosterzicht/rooster/ams-1/dag/4/x", "deep", "/rooster/ams-1/dag/4/x", "ams-1", ""},
		{"GET", "/tabelid/a/b", "any", "/a/b", "T1", ""},
		{"GET", "/tabelid", "any", "", "T1", ""},
		{"POST", "/parandused", "root", "", "S1", ""},
		{"POST", "/parandused/", "root", "/", "S1", ""},
		{"GET", "/arhiiv/q", "query", "/q", "", ""},
		{"DELETE", "/roosterzicht/rooster/ams-1", "", "", "", "wrong-method"},
		{"get", "/arhiiv/q", "", "", "", "wrong-method"},
		{"GET", "/roosterzicht/rooster", "", "", "", "unknown-path"},
		{"GET", "/roosterzicht/rooster/", "", "", "", "unknown-path"},
		{"GET", "/roosterzicht/rooster/a/b", "", "", "", "unknown-path"},
		{"GET", "/arhiiv/q/", "", "", "", "unknown-path"},
		{"GET", "/arhiiv", "", "", "", "unknown-path"},
		{"GET", "/nobody/q", "", "", "", "unknown-service"},
		{"GET", "/", "", "", "", "unknown-service"},
		{"GET", "", "", "", "", "unknown-service"},
		{"GET", "*", "", "", "", "unknown-service"},
	} {
		t.Run(x.method+x.path, func(t *testing.T) {
			m, err := table().Match([]byte(x.method), []byte(x.path), query, header)
			if x.reason != "" {
				var e Error
				require.ErrorAs(t, err, &e)
				require.Equal(t, x.reason, e.Reason())
				require.NotEmpty(t, e.Error())
				return
			}
			require.NoError(t, err)
			require.Equal(t, x.kind, m.Kind.Name)
			require.Equal(t, x.rest, string(m.Rest))
			require.Equal(t, x.key, string(m.Key))
			if x.key != "" {
				require.Equal(t, ShardOf(HashOf([]byte(x.key)), m.Service.Shards), m.Shard)
			}
		})
	}
}

// Guards the order of matching, which is that of the service file, and the number of segments: a path must have exactly
// those of its pattern.
func TestMatchPatterns(t *testing.T) {
	b := New([]*config.Service{{Name: "svc", Kinds: []config.Kind{
		{Name: "one", Methods: []string{"GET"}, Path: "/a/*"},
		{Name: "rest", Methods: []string{"GET"}, Path: "/a/b/**"},
		{Name: "root", Methods: []string{"GET"}, Path: "/"},
		{Name: "post", Methods: []string{"POST"}, Path: "/**"},
	}}})
	for _, x := range []struct{ method, path, want string }{
		{"GET", "/a/x", "one"},
		{"GET", "/a/b", "one"},
		{"GET", "/a/b/c", "rest"},
		{"GET", "/a/b/c/d", "rest"},
		{"GET", "/a/", ""},
		{"GET", "/a", ""},
		{"GET", "/", "root"},
		{"GET", "", "root"},
		{"GET", "/a/x/y", ""},
		{"POST", "/", "post"},
		{"POST", "/any/thing", "post"},
		{"PUT", "/a/x", ""},
	} {
		t.Run(x.method+" "+x.path, func(t *testing.T) {
			m, err := b.Match([]byte(x.method), []byte("/svc"+x.path), noValue, noValue)
			if x.want == "" {
				// The last pattern matches any path, so only the method can be wrong.
				var w *WrongMethodError
				require.ErrorAs(t, err, &w)
				return
			}
			require.NoError(t, err)
			require.Equal(t, x.want, m.Kind.Name)
		})
	}
}

func TestMatchErrors(t *testing.T) {
	_, err := table().Match([]byte("DELETE"), []byte("/roosterzicht/rooster/a"), noValue, noValue)
	var w *WrongMethodError
	require.ErrorAs(t, err, &w)
	require.Equal(t, []string{"GET", "POST", "PUT"}, w.Allowed)
	for _, path := range []string{"/tabelid/x", "/parandused"} {
		method := map[string]string{"/tabelid/x": "GET", "/parandused": "POST"}[path]
		_, err = table().Match([]byte(method), []byte(path), noValue, noValue)
		var k *NoKeyError
		require.ErrorAs(t, err, &k)
	}
}

func TestMatchAllocatesNothing(t *testing.T) {
	b, method, path := table(), []byte("PUT"), []byte("/roosterzicht/rooster/ams-1")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if _, err := b.Match(method, path, noValue, noValue); err != nil {
			panic(err)
		}
	}))
}

// Guards against shards that are not contiguous ranges in the order of the hash, or differ in size by more than one hash.
func TestShardOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 1<<20).Draw(t, "n")
		a := rapid.Uint64().Draw(t, "a")
		b := rapid.Uint64Min(a).Draw(t, "b")
		x, y := ShardOf(ident.Hash(a), n), ShardOf(ident.Hash(b), n)
		require.LessOrEqual(t, x, y)
		require.Less(t, int(y), n)
	})
	require.Equal(t, ident.Shard(0), ShardOf(0, 4))
	require.Equal(t, ident.Shard(1), ShardOf(1<<62, 4))
	require.Equal(t, ident.Shard(0), ShardOf(1<<62-1, 4))
	require.Equal(t, ident.Shard(3), ShardOf(1<<64-1, 4))
}

// splitmix64 is the SplitMix64 generator. It gives reproducible pseudo-random numbers.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func countPicks(l []Candidate, n int) map[ident.Server]int {
	m := map[ident.Server]int{}
	for i := range n {
		if j, ok := Pick(mono.Time(1e9), l, splitmix64(uint64(i))); ok {
			m[l[j].Server]++
		}
	}
	return m
}

func candidates(n int) []Candidate {
	l := make([]Candidate, n)
	for i := range l {
		l[i] = Candidate{Server: ident.Server(fmt.Sprint("s/", i)), OpenSlots: 3, ReportedAt: mono.Time(1e9)}
	}
	return l
}

func TestPick(t *testing.T) {
	const n = 20000
	l := candidates(5)
	for s, got := range countPicks(l, n) {
		require.InDelta(t, n/5, got, n/50, "%v", s)
	}
	l[0].Down = true
	l[1].Slow = true
	l[2].InFlight, l[2].Queued = 3, 9
	m := countPicks(l, n)
	require.Zero(t, m["s/0"])
	require.NotZero(t, m["s/1"], "a slow server gets a few requests, so that its recovery is noticed")
	require.Less(t, m["s/1"], n/100)
	require.Less(t, m["s/2"], n/100, "the loaded server is never the less loaded of two")
	l[3].Tried, l[4].Tried = true, true
	m = countPicks(l, n)
	require.Equal(t, n, m["s/2"]+m["s/1"])
	for i := range l {
		l[i].Down = true
	}
	require.Empty(t, countPicks(l, 10))
	require.Empty(t, countPicks(nil, 10))
	l[4].Down = false
	require.Equal(t, 10, countPicks(l, 10)["s/4"], "the only usable server is chosen although it was tried")
}

// Guards against a server that was idle in its last report, sends no reports any more, and therefore gets all requests.
func TestPickDiscountsStaleReports(t *testing.T) {
	l := candidates(2)
	l[0].ReportedAt = 0
	l[0].ReportedAt = mono.Time(1e9).Add(-2 * staleAfter)
	l[1].InFlight = 1
	require.Equal(t, 100, countPicks(l, 100)["s/1"])
	l[1].Queued = 5
	require.Equal(t, 100, countPicks(l, 100)["s/0"])
}

// Guards against a server that stays excluded after it has recovered. An entry daemon sends no requests to a server that
// was reported as down, so it gets no new report; the old one must expire. A drained server stays excluded.
func TestPickExpiresDownReports(t *testing.T) {
	l := candidates(2)
	l[0].Down, l[1].Excluded = true, true
	l[0].ReportedAt, l[1].ReportedAt = mono.Time(1e9).Add(time.Millisecond-downReportTTL), 0
	require.Empty(t, countPicks(l, 100))
	l[0].ReportedAt = mono.Time(1e9).Add(-downReportTTL)
	require.Equal(t, 100, countPicks(l, 100)["s/0"])
}

func BenchmarkMatch(b *testing.B) {
	x, method, path := table(), []byte("PUT"), []byte("/roosterzicht/rooster/ams-1")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = x.Match(method, path, noValue, noValue)
	}
}

func BenchmarkPick(b *testing.B) {
	l := candidates(15)
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		Pick(0, l, splitmix64(i))
	}
}
