package home

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/admit"
	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/io/clock"
	"heatherrouter/io/view"
	"heatherrouter/io/wire"
)

// newTestHomes returns homes that hold the lease of the backend server "plain/s1".
func newTestHomes(t *testing.T, serve http.HandlerFunc) *Homes {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	s := &Homes{list: map[ident.Server]*Home{}, o: Options{
		Self: "h01", Life: 1, Terms: lease.DefaultTerms(), Clock: clock.New(), View: view.New(l), Log: l,
		Alive:     func(ident.Daemon) bool { return true },
		Latencies: func(ident.Service, ident.Server) []time.Duration { return nil },
		Proven:    func(ident.Server) admit.ProvenSlots { return admit.ProvenSlots{} },
	}}
	v := config.Server{ID: "plain/s1", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 4, Conns: 8}
	h := newHome(&s.o, &config.Service{Name: "plain", Kinds: []config.Kind{{Name: "read", Idempotent: true}}}, v)
	now := s.o.Clock.Now()
	h.setEpoch(now, 1)
	h.holder.SetWitnesses(lease.Set{Rev: 1, Current: []ident.Daemon{"h01"}})
	h.holder.Answered(now, "h01", lease.Give{Server: v.ID, Epoch: 1, Given: true})
	s.list[v.ID] = h
	t.Cleanup(s.close)
	go func() {
		for t.Context().Err() == nil {
			h.tick(s.o.Clock.Now())
			clock.Sleep(t.Context(), time.Millisecond)
		}
	}()
	return s
}

// stream is the entry's side of an exchange without bodies.
type stream struct {
	io.Reader
	io.Writer
	answer *wire.ExchangeAnswer
}

func (s *stream) WriteResponse(a *wire.ExchangeAnswer) error {
	s.answer = a
	return nil
}
func (*stream) Close() error { return nil }
func (*stream) Abort()       {}

// Guards against an exchange that begins after its caller's deadline.
func TestExchangeDoesNotBeginAfterItsDeadline(t *testing.T) {
	var served atomic.Int32
	s := newTestHomes(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/" {
			served.Add(1)
		}
	})
	run := func(deadline mono.Time) []*wire.ExchangeAnswer {
		x := &wire.Exchange{Server: "plain/s1", Service: "plain", Kind: "read", Method: "GET", Uri: []byte("/"), RemainingUs: 1e6}
		t := &stream{Reader: strings.NewReader(""), Writer: io.Discard}
		s.Stream(context.Background(), x, deadline, t)
		return []*wire.ExchangeAnswer{s.Do(context.Background(), x, deadline), t.answer}
	}
	for _, a := range run(s.o.Clock.Now().Add(-time.Millisecond)) {
		require.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, a.GetOutcome())
		require.Equal(t, string(admit.ReasonExpired), a.GetReason())
	}
	require.Zero(t, served.Load())
	for _, a := range run(s.o.Clock.Now().Add(time.Second)) {
		require.Equal(t, wire.Outcome_OUTCOME_ANSWERED, a.GetOutcome(), a.GetReason())
	}
	require.EqualValues(t, 2, served.Load())
}
