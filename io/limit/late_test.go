package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/mono"
	"heatherrouter/core/report"
	"heatherrouter/core/site"
	"heatherrouter/io/wire"
)

const unread = 3 * time.Second

// applyOld applies what another daemon said of server "k" before unread: as an ask if s is the coordinator, or as the coordinator's answer.
func applyOld(s *Servers, x *wire.SelfReport) {
	x.Server, x.Born = "k", 1
	sentAt := s.o.Clock.Now().Add(-unread)
	if s.o.Self == "c" {
		s.ApplyAsk(sentAt, "e", &wire.SelfReportsAsk{Reports: []*wire.SelfReport{x}})
		return
	}
	s.ApplyAnswer(0, sentAt, "c", nil, &wire.SelfReportsAnswer{Reports: []*wire.SelfReport{x}})
}

// onBoth runs a test for the coordinator and for another daemon.
func onBoth(t *testing.T, f func(t *testing.T, s *Servers, k *site.Server)) {
	t.Helper()
	k := &site.Server{ID: "k", Born: 1}
	x := newTestSite(k)
	for n, s := range x.daemons {
		t.Run(string(n), func(t *testing.T) { f(t, s, k) })
	}
}

// Guards against a server that is spared as cold for longer than it is, because a message lay unread.
func TestColdTimeCountsFromSending(t *testing.T) {
	onBoth(t, func(t *testing.T, s *Servers, k *site.Server) {
		applyOld(s, &wire.SelfReport{ColdUs: micros(unread + time.Second)})
		require.Greater(t, s.ColdUntil(k), mono.Time(0))
		require.LessOrEqual(t, s.ColdUntil(k), s.o.Clock.Now().Add(time.Second))
	})
}

// Guards against a limit that replaces one that the server named later, because a message lay unread.
func TestAgeOfLimitCountsFromSending(t *testing.T) {
	onBoth(t, func(t *testing.T, s *Servers, k *site.Server) {
		s.Observe(k, s.o.Clock.Now(), report.Report{Limit: 9})
		applyOld(s, &wire.SelfReport{Limit: &wire.ServerLimit{Rate: 2}})
		require.InDelta(t, 9, s.Limit(k), 0)
	})
}

// Guards against a server that gets no requests for longer than it asked for, because a message lay unread.
func TestBackoffCountsFromSending(t *testing.T) {
	onBoth(t, func(t *testing.T, s *Servers, k *site.Server) {
		applyOld(s, &wire.SelfReport{Backoff: &wire.ServerBackoff{RemainingUs: (unread + time.Second).Microseconds(), Confirmed: true}})
		until, _ := s.BackoffTime(k)
		require.Greater(t, until, mono.Time(0))
		require.LessOrEqual(t, until, s.o.Clock.Now().Add(time.Second))
	})
}

// Guards against a backoff that has ended and begins again, because a message lay unread.
func TestOldMessageBeginsNoBackoff(t *testing.T) {
	onBoth(t, func(t *testing.T, s *Servers, k *site.Server) {
		s.Observe(k, s.o.Clock.Now(), report.Report{Backoff: time.Second})
		time.Sleep(time.Millisecond)
		s.Observe(k, s.o.Clock.Now(), report.Report{})
		require.Equal(t, report.Usable, s.Placement(k))
		time.Sleep(200 * time.Millisecond) // what the record takes for a difference
		applyOld(s, &wire.SelfReport{Backoff: &wire.ServerBackoff{RemainingUs: (2 * unread).Microseconds()}})
		require.Equal(t, report.Usable, s.Placement(k))
	})
}

// Guards against a backoff that counts as ended by a request that the server took before it began, because a message lay unread.
func TestOldMessageEndsNoBackoff(t *testing.T) {
	onBoth(t, func(t *testing.T, s *Servers, k *site.Server) {
		s.Observe(k, s.o.Clock.Now(), report.Report{Backoff: time.Second})
		time.Sleep(time.Millisecond)
		applyOld(s, &wire.SelfReport{Backoff: &wire.ServerBackoff{BeganAgeUs: micros(time.Second), ServedAgeUs: 1}})
		require.NotEqual(t, report.Usable, s.Placement(k))
	})
}

// Guards against callers that are refused for longer than the coordinator said, because its answer lay unread.
func TestWaitForTokensCountsFromSending(t *testing.T) {
	for age, exhausted := range map[time.Duration]bool{0: true, unread: false} {
		k := &site.Server{ID: "k", Born: 1}
		s := newTestSite(k).daemons["d"]
		s.Observe(k, s.o.Clock.Now(), report.Report{Limit: 5})
		now := s.o.Clock.Now()
		s.ApplyAnswer(now, now, "c", &wire.SelfReportsAsk{Tokens: &wire.QuotaAsk{}}, &wire.SelfReportsAnswer{Tokens: &wire.QuotaAnswer{Term: 1}})
		_, ok := s.Acquire(t.Context(), k, s.o.Clock.Now())
		require.False(t, ok)
		a := s.Ask()
		g := &wire.QuotaGrant{Organisation: string(report.TargetOf(k).Subject()), Seq: a.GetTokens().GetEntries()[0].GetSeq(), WaitUs: micros(time.Second)}
		now = s.o.Clock.Now()
		s.ApplyAnswer(now, now.Add(-age), "c", a, &wire.SelfReportsAnswer{Tokens: &wire.QuotaAnswer{Term: 1, Grants: []*wire.QuotaGrant{g}}})
		require.Equal(t, exhausted, s.Exhausted(k))
	}
}
