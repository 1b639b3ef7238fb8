package send

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
)

// fakeLimits is a ServerLimits whose servers all name a limit.
type fakeLimits struct {
	allowed  map[ident.Server]bool
	untils   []mono.Time
	returned []ident.Server
	observed map[ident.Server]float64
}

func (f *fakeLimits) Observe(x *site.Server, rate float64) { f.observed[x.ID] = rate }
func (f *fakeLimits) Limit(*site.Server) float64           { return 5 }
func (f *fakeLimits) Exhausted(*site.Server) bool          { return false }
func (f *fakeLimits) Sent(*site.Server)                    {}
func (f *fakeLimits) Return(x *site.Server)                { f.returned = append(f.returned, x.ID) }

func (f *fakeLimits) Acquire(_ context.Context, x *site.Server, until mono.Time) (token, ok bool) {
	f.untils = append(f.untils, until)
	return f.allowed[x.ID], f.allowed[x.ID]
}

// noGuard is a Guard without suspects.
type noGuard struct{ Guard }

func (noGuard) HasSuspects() bool { return false }

// Guards against requests that wait for the token of one server after the other, against tokens lost with requests that aren't sent,
// and against sending without a token.
func TestTokensOfServers(t *testing.T) {
	f := &fakeLimits{allowed: map[ident.Server]bool{"b": true}}
	s := New(Options{Clock: clock.New(), Limits: f, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
	r := &request{caller: t.Context()}
	a, b := &backend{server: &site.Server{ID: "a"}}, &backend{server: &site.Server{ID: "b"}}
	require.False(t, s.acquireServerToken(r, a))
	require.Equal(t, []ident.Server{"a"}, r.limited)
	time.Sleep(2 * time.Millisecond)
	require.True(t, s.acquireServerToken(r, b))
	require.Equal(t, f.untils[0], f.untils[1])
	s.returnServerToken(r)
	s.returnServerToken(r)
	require.Equal(t, []ident.Server{"b"}, f.returned)
	require.Equal(t, retryFull, s.refuse(r, reasonLimited).retryAfter)
}

// Guards against sending a request that was prepared before the server named its limit.
func TestLimitNamedSincePreparation(t *testing.T) {
	x := &site.Server{ID: "a", Service: "s", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	route := &site.Route{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, TargetLatency: time.Second, MaxAttempts: 1, Parts: []site.Part{{Service: "s", Weight: 1}}}
	v := &site.Service{Name: "s"}
	c, err := site.NewConfig(1, []*site.Service{v}, []*site.Route{route}, nil, site.DefaultLimits())
	require.NoError(t, err)
	snap := (&site.Snapshot{Config: c, Servers: map[ident.Server]*site.Server{"a": x}}).BuildIndex()
	s := New(Options{Clock: clock.New(), View: staticView{snap}, Limits: &fakeLimits{}, Guard: noGuard{}, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}})
	b := s.backend(x)
	r := &request{host: "h", path: "/", route: route, service: v, deadline: s.o.Clock.Now().Add(time.Minute)}
	require.False(t, s.maySend(r, b))
	r.serverToken = x
	require.True(t, s.maySend(r, b))
}

// Guards against taking the limit of another server at the address, and against ending a limit because of a value that can't be read.
func TestObserveLimit(t *testing.T) {
	f := &fakeLimits{observed: map[ident.Server]float64{}}
	s := New(Options{Clock: clock.New(), Limits: f, Dialect: Dialect{
		Limit: "Limit", ParseLimit: func(v []byte) (float64, bool) { return 7, string(v) == "7" },
	}})
	b := &backend{server: &site.Server{ID: "a"}}
	observe := func(status int, v string) (rate float64, ok bool) {
		clear(f.observed)
		resp := &fasthttp.Response{}
		resp.SetStatusCode(status)
		if v != "" {
			resp.Header.Set("Limit", v)
		}
		s.observeLimit(b, resp)
		rate, ok = f.observed["a"]
		return rate, ok
	}
	rate, ok := observe(200, "7")
	require.True(t, ok)
	require.InDelta(t, 7, rate, 0)
	rate, ok = observe(503, "")
	require.True(t, ok)
	require.Zero(t, rate)
	_, ok = observe(200, "soon")
	require.False(t, ok)
	_, ok = observe(421, "7")
	require.False(t, ok)
}
