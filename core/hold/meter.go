package hold

import (
	"math"
	"time"

	"heatherrouter/core/mono"
)

const (
	// Half-lives of the two averages. The fast one detects hot keys, which fill their server's queue within a second. At low
	// request rates it is dominated by sampling noise, which the slow one smooths.
	fastHalfLife = 800 * time.Millisecond
	slowHalfLife = 5 * time.Second

	// groupBuckets is the number of adjacent buckets that are tested together for a rate change.
	groupBuckets = 64

	// changeDeviations is the number of standard deviations by which a group's fast rate must differ from its slow rate to
	// count as a change.
	changeDeviations = 2

	// rescaleAt is the weight above which all counts are rescaled, to keep floats from overflowing.
	rescaleAt = 1 << 40
)

// Meter estimates the request rate of each bucket from two exponentially decaying averages. It uses the slow average unless
// the fast one shows a significant change.
type Meter struct {
	fast, slow decayingCounts
}

// NewMeter returns an empty meter that starts counting at now.
func NewMeter(now mono.Time) *Meter {
	return &Meter{fast: newDecayingCounts(now, fastHalfLife), slow: newDecayingCounts(now, slowHalfLife)}
}

// Add counts requests for a bucket. Buckets out of range are ignored.
func (m *Meter) Add(now mono.Time, bucket, requests int) {
	if bucket >= 0 && bucket < Keys/BucketKeys {
		m.fast.add(now, bucket, requests)
		m.slow.add(now, bucket, requests)
	}
}

// Rates returns the estimated requests per second of each bucket.
func (m *Meter) Rates(now mono.Time) Rates {
	fast, slow := m.fast.rates(now), m.slow.rates(now)
	for first := 0; first < len(slow); first += groupBuckets {
		f, s := fast[first:first+groupBuckets], slow[first:first+groupBuckets]
		if m.changed(sum(f), sum(s)) {
			copy(s, f)
		}
	}
	return slow
}

// changed reports whether the fast and slow rates of a group differ by more than sampling noise. It takes request counts as
// Poisson-distributed, and the expected count as at least one, so that a single request to an idle group is no change.
func (m *Meter) changed(fast, slow float64) bool {
	stdDev := math.Sqrt(max(slow, 1/m.fast.window) / m.fast.window)
	return math.Abs(fast-slow) > changeDeviations*stdDev
}

func sum(l Rates) float64 {
	x := 0.0
	for _, r := range l {
		x += r
	}
	return x
}

// decayingCounts holds exponentially decaying request counts. New requests get a growing weight instead of old counts being
// decayed, so that an update touches a single bucket.
type decayingCounts struct {
	n        Rates
	halfLife time.Duration
	updated  mono.Time
	weight   float64 // of a request counted at updated
	window   float64 // effective averaging window in seconds; grows to halfLife / ln 2
}

func newDecayingCounts(now mono.Time, halfLife time.Duration) decayingCounts {
	return decayingCounts{n: make(Rates, Keys/BucketKeys), halfLife: halfLife, updated: now, weight: 1}
}

func (c *decayingCounts) add(now mono.Time, bucket, requests int) {
	c.advance(now)
	c.n[bucket] += float64(requests) * c.weight
}

func (c *decayingCounts) advance(now mono.Time) {
	d := now.Sub(c.updated)
	if d <= 0 {
		return
	}
	c.updated = now
	growth := math.Exp2(d.Seconds() / c.halfLife.Seconds())
	maxWindow := c.halfLife.Seconds() / math.Ln2
	c.window = maxWindow + (c.window-maxWindow)/growth
	c.weight *= growth
	if c.weight > rescaleAt {
		for i := range c.n {
			c.n[i] /= c.weight
		}
		c.weight = 1
	}
}

func (c *decayingCounts) rates(now mono.Time) Rates {
	c.advance(now)
	l := make(Rates, len(c.n))
	if c.window > 0 {
		for i, x := range c.n {
			l[i] = x / (c.weight * c.window)
		}
	}
	return l
}
