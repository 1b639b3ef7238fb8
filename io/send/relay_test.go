package send

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/hold"
	"heatherrouter/core/ident"
	"heatherrouter/core/reach"
	"heatherrouter/core/retry"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
)

// versionView is a View with a configuration, and the one that it gets by a refresh.
type versionView struct{ config, next *site.Config }

func (v *versionView) Snapshot() *site.Snapshot { return &site.Snapshot{Config: v.config} }
func (v *versionView) Holds() *hold.Holds       { return nil }
func (v *versionView) Changed() <-chan struct{} { return nil }
func (v *versionView) CopyAge() time.Duration   { return 0 }
func (v *versionView) Refresh(context.Context) bool {
	v.config = v.next
	return true
}

// noCounter discards what it is to count.
type noCounter struct{}

func (noCounter) RecordAnswer(ident.Service, string, string, string, time.Duration) {}
func (noCounter) RecordRelay(ident.Service, string, string)                         {}

// Guards against a request that is served by an older configuration than the one in force at the daemon that took it.
func TestRelayedRequestNeedsTheConfigurationOfItsSender(t *testing.T) {
	version := func(v site.Version) *site.Config {
		c, err := site.NewConfig(v, nil, nil, nil, site.DefaultLimits())
		require.NoError(t, err)
		return c
	}
	for _, x := range []struct {
		name             string
		before, after    site.Version
		reason           string
		mayTryOtherAfter bool
	}{
		{"older", 3, 3, reasonOlderConfig, true},
		{"older, the right one after a refresh", 3, 4, "no-route", true},
		{"newer", 5, 5, "no-route", true},
	} {
		s := New(Options{
			Clock: clock.New(), View: &versionView{version(x.before), version(x.after)}, Counter: noCounter{},
			Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		})
		r := s.HandleRelayed(t.Context(), "peer", &Relayed{Request: &fasthttp.Request{}, ID: "a", Service: "s", Config: 4}, &fasthttp.Response{})
		require.Equal(t, retry.NotRun, r.Outcome, x.name)
		require.Equal(t, x.reason, r.Reason, x.name)
		require.Equal(t, x.mayTryOtherAfter, r.mayTryOther(), x.name)
	}
}

// Guards against repeating a request at another peer although it may have run or will be refused there as well.
func TestResultOfRelay(t *testing.T) {
	for _, x := range []struct {
		r      RelayResult
		other  bool
		report reach.Report
	}{
		{RelayResult{Outcome: retry.Answered}, false, reach.Reached},
		{RelayResult{Outcome: retry.NotRun, Reason: "peer-failed", Failed: true}, true, reach.PeerFailed},
		{RelayResult{Outcome: retry.NotRun, Reason: reasonServerUnreachable}, true, reach.ServerUnreachable},
		{RelayResult{Outcome: retry.NotRun, Reason: reasonServiceUnreachable}, true, reach.ServiceUnreachable},
		{RelayResult{Outcome: retry.NotRun, Reason: ReasonStopping}, true, reach.Undecided},
		{RelayResult{Outcome: retry.NotRun, Reason: string(reasonFull)}, false, reach.Undecided},
		{RelayResult{Outcome: retry.Unknown, Reason: "timeout"}, false, reach.Undecided},
	} {
		require.Equal(t, x.other, x.r.mayTryOther(), x.r.Reason)
		require.Equal(t, x.report, x.r.report(), x.r.Reason)
	}
}
