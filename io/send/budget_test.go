package send

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/pace"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
)

// Guards against retries that no daemon may make: a request counts for the budget of the daemon that sends it, and only once.
func TestRequestCountsForBudgetOnce(t *testing.T) {
	l := pace.RetryLimit{Ratio: 1, Window: 10 * time.Second}
	s := New(Options{Clock: clock.New(), RetryLimit: l})
	r := &request{service: &site.Service{Name: "s"}, arrived: s.o.Clock.Now()}
	retries := func() int {
		n := 0
		for s.retryBudget("s").Take(s.o.Clock.Now(), 1, l, true) {
			n++
		}
		return n
	}
	for range 10 {
		x := *r
		s.countForBudget(&x)
		s.countForBudget(&x)
	}
	require.Equal(t, 8, retries(), "eight tenths of the limit are used")
	x := *r
	x.counted = true // by the daemon that handed it over
	s.countForBudget(&x)
	require.Zero(t, retries())
}
