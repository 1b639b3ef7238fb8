package send

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/pace"
	"heatherrouter/core/site"
	"heatherrouter/core/source"
	"heatherrouter/io/clock"
)

// Guards against retries that no daemon may make: a request counts for the budget of the daemon that sends it, and only once.
func TestRequestCountsForBudgetOnce(t *testing.T) {
	l := pace.RetryLimit{Ratio: 1, Window: 10 * time.Second}
	s := New(Options{Clock: clock.New(), RetryLimit: l})
	r := &request{service: &site.Service{Name: "s"}, arrived: s.o.Clock.Now()}
	retries := func() int {
		n := 0
		for s.retries.Take(s.o.Clock.Now(), "s", true) {
			n++
		}
		return n
	}
	for range 10 {
		x := *r
		s.countForBudget(&x)
		s.countForBudget(&x)
	}
	require.Equal(t, 7, retries(), "three quarters of the limit are used")
	x := *r
	x.counted = true // by the daemon that handed it over
	s.countForBudget(&x)
	require.Zero(t, retries())
}

// Guards against budgets that grow with each peer that a request is handed to: a peer says whether it has counted the request, and
// doesn't count one that counts already.
func TestHandedOverRequestCountsOnce(t *testing.T) {
	c, err := site.NewConfig(1, nil, nil, nil, site.DefaultLimits())
	require.NoError(t, err)
	for _, counted := range []bool{false, true} {
		s := New(Options{
			Clock: clock.New(), View: &versionView{config: c}, Counter: noCounter{}, RetryLimit: pace.RetryLimit{Ratio: 1, Window: time.Second},
			Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		})
		r := s.HandleRelayed(t.Context(), "peer", &Relayed{
			Request: &fasthttp.Request{}, ID: "a", Service: "s", Counted: counted, SendEnd: s.o.Clock.SinceBoot() + time.Minute,
		}, &fasthttp.Response{})
		require.Equal(t, counted, r.Counted, "nothing was sent here")
		require.Empty(t, s.BudgetStates())
	}
}

// Guards against retries that another service's servers receive and its budget doesn't pay: a server that hasn't answered for some time may
// have ended, and no response may say who has its address now.
func TestRetryWithoutResponseIsPaidByAllServices(t *testing.T) {
	for _, x := range []struct {
		name, response string
		answered       bool          // lately
		age            time.Duration // of the servers' rows
		misdirected    float64
	}{
		{"no response", "", false, source.OutdatedAge, 1},
		{"no response, new rows", "", false, 0, 0},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, 0, 1},
		{"failed", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false, source.OutdatedAge, 0},
		{"no response of a known server", "", true, source.OutdatedAge, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			var sent atomic.Int32
			addr := listen(t, func(c net.Conn, _ *fasthttp.Request) bool {
				sent.Add(1)
				_, err := io.WriteString(c, x.response)
				return err == nil
			})
			a := &site.Server{ID: "a", Addr: addr}
			s := newTestSender(t, a)
			s.o.View = fixedAgeView{s.o.View, x.age}
			l := pace.RetryLimit{Ratio: 1, Window: time.Minute}
			s.o.RetryLimit, s.retries = l, pace.NewRetries(l, s.fleet)
			now := s.o.Clock.Now()
			for range 10 {
				s.retries.CountRequest(now, "s")
			}
			b := s.backend(a, false)
			if x.answered {
				b.misdirected.Answered(now, hold.Range{})
			}
			req := testRequest("/safe/x")
			req.Header.Set("Deadline", "50")
			r := s.newRequest(t.Context(), req)
			require.Nil(t, s.begin(r))
			r.ctx, r.sentTo = t.Context(), []ident.Server{"b"}
			s.attempt(r, b)
			require.EqualValues(t, 1, sent.Load())
			u := s.retries.Usage(s.o.Clock.Now(), "other")
			require.InDelta(t, x.misdirected, u.Misdirected, 0)
			require.InDelta(t, -x.misdirected, u.Unspent, 0)
		})
	}
}
