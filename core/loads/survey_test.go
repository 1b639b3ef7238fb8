package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
)

const start = mono.Time(time.Hour)

func announced(n ident.Service, count, slots int) map[ident.Server]*site.Server {
	l := map[ident.Server]*site.Server{}
	for i := range count {
		id := ident.Server(fmt.Sprintf("%s-%d", n, i))
		l[id] = &site.Server{ID: id, Service: n, Slots: slots, Born: 1}
	}
	return l
}

// Guards against totals that depend on the number of daemons: 200 requests per second at one server, a tenth of which find no
// free capacity, are the same load whether 12, 83 or 300 daemons send them. Daemons report once per second at different times.
func TestSurveyTotals(t *testing.T) {
	const rate, load = 200.0, 9.0
	for _, daemons := range []int{12, 83, 300} {
		r := rand.New(rand.NewPCG(1, 2))
		l := announced("api", 2, 4)
		s := NewSurvey()
		s.SetServers(l)
		x := l["api-0"]
		now := start
		for range 5 {
			for range daemons {
				now = now.Add(time.Second / time.Duration(daemons))
				n := rate / float64(daemons)
				s.AddWork(now, x, Work{Sent: n, Full: n / 10, Reports: n, LoadSum: n * load, Slowdown: 1.2 + 2*r.Float64()*float64(r.IntN(2))})
				s.AddDemand(now, "api", 1, 2*n)
				s.AddDemand(now, "api", 2, n)
			}
		}
		y := s.Server(now, report.TargetOf(x))
		require.InEpsilon(t, rate, y.Sent, 0.1)
		require.InEpsilon(t, rate/10, y.Full, 0.1)
		require.InEpsilon(t, rate, y.Reports, 0.1)
		require.InEpsilon(t, load, y.InFlight, 0.01)
		require.Equal(t, 4, y.Slots)
		require.InDelta(t, 1.2, s.Slowdown(now, report.TargetOf(x)), 0.001, "without interference")
		z := s.Service(now, "api")
		require.InEpsilon(t, 3*rate, z.Arrivals, 0.1)
		require.InEpsilon(t, rate, z.Sent, 0.1)
		require.Equal(t, 8, z.Slots)
		d := s.Demand(now, "api")
		require.Len(t, d, 3)
		require.Zero(t, d[0])
		require.InEpsilon(t, 2, d[1]/d[2], 0.001)
		require.InEpsilon(t, rate/2, s.Server(now.Add(halfLife), report.TargetOf(x)).Sent, 0.1, "halves without further reports")
	}
}

// Guards against a restarted server that counts as loaded as its earlier incarnation.
func TestSurveyOfNextIncarnation(t *testing.T) {
	l := announced("api", 1, 4)
	s := NewSurvey()
	s.AddWork(start, l["api-0"], Work{Sent: 5, Reports: 5, LoadSum: 100, Slowdown: 3})
	next := *l["api-0"]
	next.Born = 2
	s.SetServers(map[ident.Server]*site.Server{"api-0": &next})
	require.Equal(t, Sample{Slots: 4}, s.Server(start, report.TargetOf(&next)))
	require.Equal(t, Sample{}, s.Server(start, report.TargetOf(l["api-0"])))
	require.Zero(t, s.Slowdown(start, report.TargetOf(&next)))
}

// Guards against a server that counts as slow because a health check met it while other processes used its host, and against speeds that
// stay unknown until a server has had requests.
func TestHealthCheckOnlyLowersSlowdown(t *testing.T) {
	l := announced("api", 1, 4)
	x := l["api-0"]
	s := NewSurvey()
	require.Zero(t, s.Slowdown(start, report.TargetOf(x)))
	s.AddHealth(start, x, 2.1)
	require.InDelta(t, 2.1, s.Slowdown(start, report.TargetOf(x)), 0)
	s.AddHealth(start.Add(200*time.Millisecond), x, 0.7)
	require.InDelta(t, 0.7, s.Slowdown(start.Add(200*time.Millisecond), report.TargetOf(x)), 0)
	s.AddHealth(start.Add(time.Minute), x, 2.1)
	require.InDelta(t, 0.7, s.Slowdown(start.Add(time.Minute), report.TargetOf(x)), 0)
	s.AddWork(start.Add(time.Minute), x, Work{Sent: 5, Reports: 5, LoadSum: 5, Slowdown: 2.1})
	require.InDelta(t, 2.1, s.Slowdown(start.Add(time.Minute), report.TargetOf(x)), 0, "requests show that it has become slower")
}

// Guards against loads and demand that jump when messages are read that lay unread for seconds.
func TestObservationsCountAsOfTheirTime(t *testing.T) {
	x := announced("api", 1, 4)["api-0"]
	now := start.Add(3 * time.Second)
	add := func(s *Survey, at mono.Time, n float64) {
		s.AddWork(at, x, Work{Sent: n, Full: n / 2, Reports: n, LoadSum: 9 * n})
		s.AddDemand(at, "api", 1, n)
	}
	inOrder, late := NewSurvey(), NewSurvey()
	add(inOrder, start, 100)
	add(inOrder, now, 10)
	add(late, now, 10)
	add(late, start, 100)
	want, got := inOrder.Service(now, "api"), late.Service(now, "api")
	require.Equal(t, want.At, got.At)
	require.InEpsilon(t, want.Sent, got.Sent, 0.001)
	require.InEpsilon(t, want.Full, got.Full, 0.001)
	require.InEpsilon(t, want.Reports, got.Reports, 0.001)
	require.InEpsilon(t, want.Arrivals, got.Arrivals, 0.001)
	require.InEpsilon(t, want.InFlight, got.InFlight, 0.001)
}
