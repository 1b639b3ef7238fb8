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

func none(string) []byte { return nil }

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

// Kinds are tried in the order of the service file, and a path has exactly the segments that its pattern names.
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
			m, err := b.Match([]byte(x.method), []byte("/svc"+x.path), none, none)
			if x.want == "" {
				// The last pattern takes any path, so that only the method can be wrong.
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
	_, err := table().Match([]byte("DELETE"), []byte("/roosterzicht/rooster/a"), none, none)
	var w *WrongMethodError
	require.ErrorAs(t, err, &w)
	require.Equal(t, []string{"GET", "POST", "PUT"}, w.Allowed)
	for _, path := range []string{"/tabelid/x", "/parandused"} {
		method := map[string]string{"/tabelid/x": "GET", "/parandused": "POST"}[path]
		_, err = table().Match([]byte(method), []byte(path), none, none)
		var k *NoKeyError
		require.ErrorAs(t, err, &k)
	}
}

func TestMatchAllocatesNothing(t *testing.T) {
	b, method, path := table(), []byte("PUT"), []byte("/roosterzicht/rooster/ams-1")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if _, err := b.Match(method, path, none, none); err != nil {
			panic(err)
		}
	}))
}

// Shards are ranges in the order of the hash, without gap, and of equal size but for one.
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

// mix is splitmix64, a cheap source of numbers for tests that need a fixed seed.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func picks(l []Candidate, n int) map[ident.Server]int {
	m := map[ident.Server]int{}
	for i := range n {
		if j, ok := Pick(mono.Time(1e9), l, mix(uint64(i))); ok {
			m[l[j].Server]++
		}
	}
	return m
}

func candidates(n int) []Candidate {
	l := make([]Candidate, n)
	for i := range l {
		l[i] = Candidate{Server: ident.Server(fmt.Sprint("s/", i)), OpenSlots: 3, At: mono.Time(1e9)}
	}
	return l
}

func TestPick(t *testing.T) {
	const n = 20000
	l := candidates(5)
	for s, got := range picks(l, n) {
		require.InDelta(t, n/5, got, n/50, "%v", s)
	}
	l[0].Down = true
	l[1].Slow = true
	l[2].InFlight, l[2].Queued = 3, 9
	m := picks(l, n)
	require.Zero(t, m["s/0"])
	require.NotZero(t, m["s/1"], "a straggler gets a trickle, to show that it has recovered")
	require.Less(t, m["s/1"], n/100)
	require.Less(t, m["s/2"], n/100, "the loaded one loses each choice of two")
	l[3].Tried, l[4].Tried = true, true
	m = picks(l, n)
	require.Equal(t, n, m["s/2"]+m["s/1"])
	for i := range l {
		l[i].Down = true
	}
	require.Empty(t, picks(l, 10))
	require.Empty(t, picks(nil, 10))
	l[4].Down = false
	require.Equal(t, 10, picks(l, 10)["s/4"], "the last one left, though tried")
}

// A server that nobody hears from reports no load for ever; it must not draw all work for that.
func TestPickDistrustsStaleReports(t *testing.T) {
	l := candidates(2)
	l[0].At = 0
	l[0].At = mono.Time(1e9).Add(-2 * staleAfter)
	l[1].InFlight = 1
	require.Equal(t, 100, picks(l, 100)["s/1"])
	l[1].Queued = 5
	require.Equal(t, 100, picks(l, 100)["s/0"])
}

// An entry that heard of a server as down sends it nothing, so it hears nothing of its return either. The report has
// to lapse by itself; a drained server stays out.
func TestPickForgetsDown(t *testing.T) {
	l := candidates(2)
	l[0].Down, l[1].Out = true, true
	l[0].At, l[1].At = mono.Time(1e9).Add(time.Millisecond-downFor), 0
	require.Empty(t, picks(l, 100))
	l[0].At = mono.Time(1e9).Add(-downFor)
	require.Equal(t, 100, picks(l, 100)["s/0"])
}

func BenchmarkMatch(b *testing.B) {
	x, method, path := table(), []byte("PUT"), []byte("/roosterzicht/rooster/ams-1")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = x.Match(method, path, none, none)
	}
}

func BenchmarkPick(b *testing.B) {
	l := candidates(15)
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		Pick(0, l, mix(i))
	}
}
