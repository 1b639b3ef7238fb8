package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"heatherrouter/io/fakes/server"
	"heatherrouter/io/load"
	"heatherrouter/io/stand"
)

const (
	// perServer is the usual load in requests a second: 40 % of what three slots carry.
	perServer = 60

	// Each probe key is asked for at this rate by a caller of its own, so that its unavailable time shows.
	probeKeys = 150
	probeRate = 5

	callers = 200
	writes  = 5 // one in so many keyed requests is a write

	zipfKeys     = 1_000_000
	zipfExponent = 0.99

	// The timeouts of the services' kinds, which the random baseline keeps as well.
	keyedTimeout   = time.Second
	unkeyedTimeout = 2 * time.Second
)

// reads is the usual load of an unkeyed service.
func (b *bench) reads(s stand.Service, length time.Duration) load.Plan {
	p := load.Plan{
		Addrs: b.addrs(s, nil), Callers: callers, Rate: perServer * len(s.Servers), Duration: length,
		Request: func(_ uint64, r *fasthttp.Request) { b.fill(r, s, "/read/x", "", unkeyedTimeout) },
	}
	p.Pick = balancer(callers, len(p.Addrs))
	if b.random {
		p.Pick = func(n uint64) int { return rand.New(rand.NewPCG(b.Seed, n)).IntN(len(s.Servers)) }
	}
	return p
}

// probes asks for each of the probe keys in turn, through the entries of all daemons but some.
func (b *bench) probes(without map[*stand.Daemon]bool, length time.Duration) load.Plan {
	return b.keyedLoad(without, length, probeKeys, func(n uint64) string { return probeKey(n % probeKeys) })
}

func probeKey(i uint64) string { return "probe-" + strconv.FormatUint(i, 10) }

// skewed asks for keys by a Zipf distribution.
func (b *bench) skewed(length time.Duration) load.Plan {
	z := newZipf(zipfKeys, zipfExponent)
	return b.keyedLoad(nil, length, callers, func(n uint64) string {
		return "key-" + strconv.Itoa(z.draw(rand.New(rand.NewPCG(b.Seed, n)).Float64()))
	})
}

func (b *bench) keyedLoad(without map[*stand.Daemon]bool, length time.Duration, callers int, key func(uint64) string) load.Plan {
	s := b.keyed
	p := load.Plan{
		Addrs: b.addrs(s, without), Callers: callers, Rate: probeKeys * probeRate, Duration: length,
		Request: func(n uint64, r *fasthttp.Request) {
			k := key(n)
			// By the round, not the number: each caller has its own key and would else always read or always write.
			if n/uint64(callers)%writes == 0 {
				b.fill(r, s, "/write/"+k, k, keyedTimeout)
				r.Header.SetMethod(fasthttp.MethodPost)
				return
			}
			b.fill(r, s, "/read/"+k, k, keyedTimeout)
		},
	}
	p.Pick = balancer(callers, len(p.Addrs))
	if b.random {
		// A key belongs to one server, chosen at random once.
		p.Pick = func(n uint64) int {
			return rand.New(rand.NewPCG(b.Seed, xxhash.Sum64String(key(n)))).IntN(len(s.Servers))
		}
	}
	return p
}

// balancer spreads the requests of every caller over the entries, as the platform's balancer does.
func balancer(callers, addrs int) func(uint64) int {
	return func(n uint64) int { return int((n + n/uint64(callers)) % uint64(addrs)) }
}

// fill makes the request; to a server itself it goes with what the router would tell it.
func (b *bench) fill(r *fasthttp.Request, s stand.Service, path, key string, timeout time.Duration) {
	if !b.random {
		r.SetRequestURI("/" + string(s.Name) + path)
		return
	}
	r.SetRequestURI(path)
	r.Header.Set(server.DeadlineHeader, strconv.FormatInt(time.Now().Add(timeout).UnixMilli(), 10))
	if key != "" {
		r.Header.Set(server.KeyHeader, key)
	}
}

// runAll runs the loads side by side.
func runAll(l []load.Plan) []load.Result {
	out := make([]load.Result, len(l))
	var w sync.WaitGroup
	for i := range l {
		w.Go(func() { out[i] = load.Run(l[i]) })
	}
	w.Wait()
	return out
}

// failed counts the requests that were not answered with status 200.
func failed(l ...load.Result) (failed, sent uint64) {
	for _, r := range l {
		failed += r.Sent - r.Statuses[fasthttp.StatusOK]
		sent += r.Sent
	}
	return failed, sent
}

func percent(a, of uint64) string {
	return fmt.Sprintf("%d of %d", a, of)
}

// zipf draws ranks of a Zipf distribution; that of the standard library needs an exponent above 1.
type zipf struct {
	sums []float64
}

func newZipf(n int, s float64) *zipf {
	z := &zipf{sums: make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i+1), -s)
		z.sums[i] = sum
	}
	return z
}

// draw returns the rank for a random number in [0, 1).
func (z *zipf) draw(random float64) int {
	i, _ := slices.BinarySearch(z.sums, random*z.sums[len(z.sums)-1])
	return min(i, len(z.sums)-1)
}
