package topk

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherrouter/core/mono"
)

func TestRates(t *testing.T) {
	s := New[string](0, 8, 2*time.Second)
	now := mono.Time(0)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 30000 { // 1000/s for 30 s: half are one key, a tenth another key, and the others occur once each
		now = now.Add(time.Millisecond)
		switch x := r.IntN(10); {
		case x < 5:
			s.Add(now, "hot")
		case x == 5:
			s.Add(now, "warm")
		default:
			s.Add(now, string(rune(i+1000)))
		}
	}
	top := s.Top(now, 2)
	require.Equal(t, "hot", top[0].Key)
	require.InDelta(t, 500, top[0].PerSecond, 50)
	require.LessOrEqual(t, top[0].Error, 70.0)
	require.Equal(t, "warm", top[1].Key)
	require.Len(t, s.counts, 8)
	require.Len(t, s.index, 8)
	later := s.Top(now.Add(20*time.Second), 1)
	require.InDelta(t, top[0].PerSecond/1024, later[0].PerSecond, 0.1, "ten half-lives later")
}

// Guards against a formerly hot key that stays ahead of the current one, also after the counts are rescaled.
func TestHotKeyMoves(t *testing.T) {
	s := New[int](0, 4, time.Second)
	now := mono.Time(0)
	for range 200_000 {
		now = now.Add(time.Millisecond)
		s.Add(now, 1)
	}
	for range 3000 {
		now = now.Add(time.Millisecond)
		s.Add(now, 2)
	}
	top := s.Top(now, 9)
	require.Equal(t, 2, top[0].Key)
	require.InDelta(t, 1000*0.875, top[0].PerSecond, 20)
	require.InDelta(t, 1000*0.125, top[1].PerSecond, 20)
}

// Guards against underestimated counts and wrong error bounds under decay.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New[int](0, 4, time.Second)
		exact := map[int]float64{}
		now := mono.Time(0)
		for _, k := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 200).Draw(t, "keys") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			s.Add(now, k)
			exact[k] += s.weight(now)
		}
		for i := range s.counts {
			c := s.counts[i]
			require.GreaterOrEqual(t, c.n, exact[c.key]*(1-1e-9))
			require.LessOrEqual(t, c.n-c.error, exact[c.key]*(1+1e-9))
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	s := New[uint64](0, 64, 10*time.Second)
	r := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 1<<20)
	b.ReportAllocs()
	now := mono.Time(0)
	for b.Loop() {
		now++
		s.Add(now, r.Uint64())
	}
}
