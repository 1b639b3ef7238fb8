package hold

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
)

// meteredPlay is a hotPlay with 116 servers that get about three requests per second each. Arrivals are Poisson-distributed,
// and plans use the rates that a Meter estimates from them.
type meteredPlay struct {
	*hotPlay
	now   mono.Time
	rates func(now mono.Time) Rates
	add   func(now mono.Time, bucket, requests int)
}

const longWork = 480 * time.Millisecond

func newMeteredPlay(seed uint64) *meteredPlay {
	x := &meteredPlay{hotPlay: newHotPlay(seed, 116), now: mono.Time(time.Hour)}
	f := playWork.Seconds() / longWork.Seconds()
	for i := range x.calm {
		x.calm[i] *= f
	}
	for i := range x.targets {
		x.targets[i].Work = time.Duration(float64(x.targets[i].Work) / f)
	}
	m := NewMeter(x.now)
	x.rates, x.add = m.Rates, m.Add
	return x
}

func (x *meteredPlay) poisson(mean float64) int {
	n := 0
	for p := x.r.Float64(); p > math.Exp(-mean); p *= x.r.Float64() {
		n++
	}
	return n
}

// step simulates half a second of requests, makes a plan, and returns the share of all keys that moved.
func (x *meteredPlay) step(r Rates) float64 {
	for b, v := range r {
		if n := x.poisson(v / 2); n > 0 {
			x.add(x.now, b, n)
		}
	}
	x.now = x.now.Add(500 * time.Millisecond)
	before := x.owners()
	x.plan(x.rates(x.now))
	moved := 0
	for k, o := range x.owners() {
		if len(before) > 0 && o != before[k] {
			moved++
		}
	}
	return float64(moved) * sampledKeys / Keys
}

// sampledKeys is the distance of the keys whose owners are compared.
const sampledKeys = 16

func (x *meteredPlay) owners() []Life {
	l := make([]Life, 0, Keys/sampledKeys)
	for _, p := range x.pieces {
		for len(l)*sampledKeys <= int(p.Last) {
			l = append(l, p.Owner)
		}
	}
	return l
}

// Guards against moving keys on sampling noise: the load is constant, but few requests per second reach each server.
func TestSamplingNoiseMovesFewKeys(t *testing.T) {
	moved := 0.0
	for seed := range uint64(3) {
		x := newMeteredPlay(seed)
		for range 10 {
			x.step(x.calm)
		}
		for range 30 {
			moved += x.step(x.calm) / 3
		}
		require.Greater(t, x.served(x.calm), 0.99)
	}
	require.Less(t, moved, 1.3, "share of all keys moved in 15 s")
}

// Guards against detecting hot keys only once the slow average shows them.
func TestHotKeysAreDetectedQuickly(t *testing.T) {
	served := 0.0
	for seed := range uint64(3) {
		x := newMeteredPlay(seed)
		for range 30 {
			x.step(x.calm)
		}
		h := x.hot(200, 0.41)
		for range 10 {
			served += x.served(h) / 30
			x.step(h)
		}
	}
	require.Greater(t, served, 0.87, "share of requests served in the first 5 s")
}

// Guards against stale rates after a burst starts or ends.
func TestMeterFollowsChange(t *testing.T) {
	now := mono.Time(time.Hour)
	m := NewMeter(now)
	sendFor := func(d time.Duration, interval time.Duration) {
		for until := now.Add(d); now < until; now = now.Add(interval) {
			m.Add(now, 100, 1)
		}
	}
	sendFor(20*time.Second, 500*time.Millisecond)
	require.InDelta(t, 2, m.Rates(now)[100], 0.3)
	sendFor(time.Second, 10*time.Millisecond)
	require.Greater(t, m.Rates(now)[100], 50.0)
	now = now.Add(4 * time.Second)
	require.Less(t, m.Rates(now)[100], 5.0, "the fast average detects the end of the burst")
	require.Zero(t, m.Rates(now)[101])
}
