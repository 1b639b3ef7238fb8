package hold

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
)

// Guards against refusing callers of a server that names a limit while other servers of the service have room.
func TestKeysLeaveLimitedServer(t *testing.T) {
	rates := slices.Repeat(Rates{250.0 / 4096}, 4096)
	l := targets(slices.Repeat([]time.Duration{60 * time.Millisecond}, 10)...)
	assignments := settle(t, nil, l, rates)
	before := loadByServer(assignments, rates)
	l[3].Limit, l[4].Limit = 7.5, 1
	assignments = settle(t, assignments, l, rates)
	load := loadByServer(assignments, rates)
	require.LessOrEqual(t, load["s3"], 7.5)
	require.LessOrEqual(t, load["s4"], 1.0)
	require.Greater(t, load["s3"], 0.75, "enough requests to learn of the limit's end")
	require.Greater(t, load["s4"], 0.1, "enough requests to learn of the limit's end")
	for _, x := range l {
		if x.Limit == 0 {
			require.Less(t, load[x.Server], 1.5*before[x.Server], "the others share the load evenly")
		}
	}
	l[3].Limit, l[4].Limit = 0, 0
	load = loadByServer(settle(t, assignments, l, rates), rates)
	for _, s := range []ident.Server{"s3", "s4"} {
		require.Greater(t, load[s], 0.5*before[s], "keys come back when the limit has ended")
	}
}

// Guards against giving an idle server more keys than its limit allows.
func TestIdleLimitedServerGetsFewKeys(t *testing.T) {
	rates := slices.Repeat(Rates{1000.0 / 4096}, 4096)
	l := targets(slices.Repeat([]time.Duration{20 * time.Millisecond}, 5)...)
	assignments := settle(t, nil, l[:4], rates)
	l[4].Limit = 2
	load := loadByServer(settle(t, assignments, l, rates), rates)
	require.Positive(t, load["s4"], "some requests show when the limit ends")
	require.LessOrEqual(t, load["s4"], 2.0)
}

// Guards against keys that move on and on while no server may take them.
func TestKeysStayWhileAllServersAreLimited(t *testing.T) {
	rates := slices.Repeat(Rates{250.0 / 4096}, 4096)
	l := targets(slices.Repeat([]time.Duration{60 * time.Millisecond}, 10)...)
	assignments := settle(t, nil, l, rates)
	for i := range l {
		l[i].Limit = 7.5
	}
	next := settle(t, assignments, l, rates)
	require.Len(t, loadByServer(next, rates), len(l))
}

// Guards against a limited server that loses all keys with requests: nobody would learn that its limit has ended.
func TestLimitedServerKeepsSomeRequests(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	l := targets(slices.Repeat([]time.Duration{5 * time.Millisecond}, 3)...)
	var assignments []Assignment
	for round := range 200 {
		rates := make(Rates, 16384)
		for range 170 { // requests for random keys in about a second
			rates[rnd.IntN(len(rates))]++
		}
		if round == 20 {
			l[1].Limit = 7.5
		}
		assignments, _ = Plan(assignments, l, rates)
		keys := 0
		for i, x := range assignments {
			assignments[i].Previous = Incarnation{}
			if x.Owner == l[1].Incarnation {
				keys += x.Len()
			}
		}
		if round > 30 {
			require.Greater(t, float64(keys)/Keys*170, 0.5, "round %d: requests per second", round)
		}
	}
}

// Guards against moving ranges without requests to a limited server over and over, because all requests are for one key.
func TestLimitedServerGetsNoEmptyRanges(t *testing.T) {
	l := targets(slices.Repeat([]time.Duration{5 * time.Millisecond}, 3)...)
	rates := make(Rates, 16384)
	rates[100] = 200
	l[1].Limit = 7.5
	settle(t, nil, l, rates)
}

// Guards against a server that stays nearly without keys after its limit has ended, because the others serve them as fast.
func TestKeysReturnAfterLimit(t *testing.T) {
	rates := slices.Repeat(Rates{150.0 / 4096}, 4096)
	l := targets(slices.Repeat([]time.Duration{5 * time.Millisecond}, 3)...)
	assignments := settle(t, nil, l, rates)
	before := loadByServer(assignments, rates)["s1"]
	l[1].Limit = 7.5
	assignments = settle(t, assignments, l, rates)
	require.LessOrEqual(t, loadByServer(assignments, rates)["s1"], 7.5)
	l[1].Limit, l[1].Restored = 0, true
	for range 2 {
		assignments, _ = Plan(assignments, l, rates)
		for i := range assignments {
			assignments[i].Previous = Incarnation{}
		}
	}
	require.Greater(t, loadByServer(assignments, rates)["s1"], 0.4*before, "after two plans")
	settle(t, assignments, l, rates)
}

// Guards against a server that is unused for seconds after its backoff, because hardly a request is for the keys that it gets.
func TestUnprovenServerGetsRequestsSoon(t *testing.T) {
	const (
		rate, seeds = 150.0, 1000
		halfLife    = 0.8 // seconds after which a request counts half in a measured rate
		soon        = 1.0 // seconds
	)
	late := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		rates := make(Rates, Keys/BucketKeys)
		for age := rng.ExpFloat64() / rate; age < 10*halfLife; age += rng.ExpFloat64() / rate {
			rates[rng.IntN(len(rates))] += math.Ln2 / halfLife * math.Exp2(-age/halfLife)
		}
		l := targets(slices.Repeat([]time.Duration{5 * time.Millisecond}, 3)...)
		assignments := settle(t, nil, l[:2], rates)
		l[2].Unproven = true
		assignments, _ = Plan(assignments, l, rates)
		keys := 0
		for _, x := range assignments {
			if x.Owner == l[2].Incarnation {
				keys += x.Len()
			}
		}
		if rng.ExpFloat64()/(rate*float64(keys)/Keys) > soon {
			late++
		}
	}
	require.LessOrEqual(t, late, seeds/100, "seeds in which no request comes soon")
}
