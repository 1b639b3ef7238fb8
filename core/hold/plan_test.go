package hold

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

func targets(work ...time.Duration) []Target {
	var l []Target
	for i, w := range work {
		l = append(l, Target{Life: Life{Server: ident.Server(fmt.Sprintf("s%d", i)), Born: 1}, Slots: 3, Work: w})
	}
	return l
}

// settle plans until nothing changes, as if each move were carried out at once.
func settle(t *testing.T, pieces []Piece, targets []Target, r Rates) []Piece {
	t.Helper()
	for range 100 {
		next, changed := Plan(pieces, targets, r)
		if !changed {
			return pieces
		}
		for i := range next {
			next[i].Previous = Life{}
		}
		pieces = next
		at := 0
		for _, p := range pieces {
			require.Equal(t, at, int(p.First), "no key is left out or given twice")
			at = int(p.Last) + 1
		}
		require.Equal(t, Keys, at)
	}
	t.Fatal("the plan doesn't settle")
	return nil
}

func load(pieces []Piece, r Rates) map[ident.Server]float64 {
	m := map[ident.Server]float64{}
	width := Keys / len(r)
	for _, p := range pieces {
		for b := int(p.First) / width; b <= int(p.Last)/width; b++ {
			lo, hi := max(int(p.First), b*width), min(int(p.Last), (b+1)*width-1)
			m[p.Owner.Server] += r[b] * float64(hi-lo+1) / float64(width)
		}
	}
	return m
}

// All requests on a slow server are late. Of three servers that differ in speed, the fast ones get most of the load, and
// none gets more than it carries.
func TestFastServersGetMost(t *testing.T) {
	work := []time.Duration{60 * time.Millisecond, 100 * time.Millisecond, 160 * time.Millisecond}
	r := make(Rates, 1024)
	for i := range r {
		r[i] = 30.0 / 1024
	}
	l := load(settle(t, nil, targets(work...), r), r)
	require.Greater(t, l["s0"], l["s1"])
	require.Greater(t, l["s1"], l["s2"])
}

// A key that gets a third of the requests fills the queue of its server, and makes all others there late. The key ends up
// with next to nothing beside it, on a server that carries it.
func TestBusyKeyIsLeftAlone(t *testing.T) {
	work := 100 * time.Millisecond
	r := make(Rates, Keys/4)
	for i := range r {
		r[i] = 20.0 / float64(len(r))
	}
	r[5000] = 15
	pieces := settle(t, nil, targets(work, work, work, work), r)
	l := load(pieces, r)
	for _, p := range pieces {
		if p.Has(20000) {
			require.Less(t, l[p.Owner.Server], 18.5)
		}
	}
}

// Requests reach a server that leaves. All its ranges move in the first plan, but those on their way already, for which
// one holder that may be left is written down.
func TestLeavingServer(t *testing.T) {
	all := targets(0, 0, 0)
	pieces := settle(t, nil, all, nil)
	moving := -1
	for i := range pieces {
		if pieces[i].Owner.Server == "s1" && moving < 0 {
			moving = i
			pieces[i].Previous = all[0].Life
		}
	}
	next, changed := Plan(pieces, []Target{all[0], all[2]}, nil)
	require.True(t, changed)
	for _, p := range next {
		if p.Owner.Server == "s1" {
			require.Equal(t, all[0].Life, p.Previous)
		}
	}
}

// A server that joins is paid for and gets nothing. The plan gives it a share also when nothing is late.
func TestJoiningServer(t *testing.T) {
	r := make(Rates, 1024)
	for i := range r {
		r[i] = 10.0 / 1024
	}
	work := 100 * time.Millisecond
	pieces := settle(t, nil, targets(work, work), r)
	l := load(settle(t, pieces, targets(work, work, work), r), r)
	require.Greater(t, l["s2"], 0.3)
}

// largeService returns servers of a service; the largest known one has 187.
func largeService(n int) []Target {
	work := make([]time.Duration, n)
	for i := range work {
		work[i] = 210 * time.Millisecond
	}
	return targets(work...)
}

// Keys that lie side by side get a third of a large service's requests, and all of them are late: one server of 187 has
// them all. Two plans, each carried out while the next is made, must leave no server with more than it carries.
func TestBusyKeysOfLargeService(t *testing.T) {
	r := make(Rates, Keys/BucketKeys)
	for i := range r {
		r[i] = 580.0 / float64(len(r))
	}
	all := largeService(187)
	pieces := settle(t, nil, all, r)
	for i := range 200 / BucketKeys {
		r[8000+i] += 290.0 * BucketKeys / 200
	}
	for range 2 {
		next, changed := Plan(pieces, all, r)
		require.True(t, changed)
		for i := range next {
			next[i].Previous = Life{}
		}
		pieces = next
	}
	for s, l := range load(pieces, r) {
		require.Less(t, l, 3/all[0].Work.Seconds(), "server %s", s)
	}
}

// The coordinator's processor is taken by plans. With 187 servers, 370 ranges and nothing to gain, one must take a few
// milliseconds.
func BenchmarkPlanLargeService(b *testing.B) {
	r := make(Rates, Keys/BucketKeys)
	for i := range r {
		r[i] = (1 + float64(i%7)) * 150 / float64(len(r))
	}
	all := largeService(187)
	pieces, _ := Plan(nil, all, r)
	for b.Loop() {
		Plan(pieces, all, r)
	}
}

// Most keys of a large service lapse: busy keys come up in ever new places, each plan cuts ranges, and in the end the
// coordinator can't renew them all in time. However the load moves about, there may only be so many ranges.
func TestRangesAreBounded(t *testing.T) {
	for _, x := range []struct{ servers, plans, most int }{{187, 200, 480}, {1250, 20, 1600}} {
		all := largeService(x.servers)
		r := rand.New(rand.NewPCG(1, 1))
		pieces, _ := Plan(nil, all, nil)
		for range x.plans {
			rates := make(Rates, Keys/BucketKeys)
			for range 500 {
				rates[r.IntN(len(rates))] += 2 * r.Float64()
			}
			pieces, _ = Plan(pieces, all, rates)
			for i := range pieces {
				pieces[i].Previous = Life{}
			}
			require.LessOrEqual(t, len(pieces), x.most)
		}
	}
}
