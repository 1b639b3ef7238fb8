package guard

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherrouter/core/crash"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/clock"
	"heatherrouter/io/feed"
	"heatherrouter/io/group"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// fakeSite implements View, store.Store and Counter in memory. The view is always up to date; transactions may fail on request.
type fakeSite struct {
	store.Store
	mu          sync.Mutex
	rows        map[string]store.Row
	rev         store.Rev
	fail        []error // results of the next transactions; one that fails with errUnknown is committed nevertheless
	coordinator bool
	server      *site.Server
	crashes     int
	observed    []crash.Observation
	others      int
	contended   string // key of a row that others change faster than the view is updated, so that transactions conflict
}

var errUnknown = os.ErrDeadlineExceeded

func newSite() *fakeSite {
	return &fakeSite{
		rows:   map[string]store.Row{},
		server: &site.Server{ID: "i-1", Service: "x", Born: 7, Addr: netip.MustParseAddrPort("127.0.0.1:1")},
	}
}

func (s *fakeSite) Snapshot() *site.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &site.Snapshot{Servers: map[ident.Server]*site.Server{s.server.ID: s.server}, Crashes: crash.Records{}}
	for k, r := range s.rows {
		f, _ := crash.ParseFingerprint(k[len("crash/"):])
		w := &wire.CrashRow{}
		if err := proto.Unmarshal(r.Value, w); err != nil {
			panic(err)
		}
		x.Crashes[f] = int(w.GetCrashes())
	}
	return x
}

func (s *fakeSite) IsCoordinator() bool { return s.coordinator }

func (s *fakeSite) Row(key string) (store.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key]
	return r, ok
}

func (s *fakeSite) ApplyWritten([]store.Row) {}

func (s *fakeSite) Commit(_ context.Context, x store.Txn) (store.Rev, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if len(s.fail) > 0 {
		err, s.fail = s.fail[0], s.fail[1:]
	}
	if err != nil && !errors.Is(err, errUnknown) {
		return 0, err
	}
	for _, e := range x.Expect {
		if s.rows[e.Key].Rev != e.Rev || e.Key == s.contended {
			return 0, store.ErrConflict
		}
	}
	s.rev++
	for _, r := range x.Put {
		r.Rev = s.rev
		s.rows[r.Key] = r
	}
	for _, k := range x.Drop {
		delete(s.rows, k)
	}
	return s.rev, err
}

func (s *fakeSite) RecordCrash(ident.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
}

func (s *fakeSite) recordedCrashes(f crash.Fingerprint) int { return s.Snapshot().Crashes[f] }

func start(t *testing.T, s *fakeSite, dial error) *Guard {
	t.Helper()
	g := New(Options{
		View: s, Store: s, Clock: clock.New(), Counter: s, Log: &log.Logger{Writer: &log.IOWriter{Writer: &bytes.Buffer{}}},
		Dial:    func(context.Context, netip.AddrPort) error { return dial },
		Observe: func(context.Context, *site.Server) ([]crash.Observation, int) { return s.observed, s.others },
	})
	r := group.New(t.Context())
	t.Cleanup(r.Stop)
	g.Run(r)
	return g
}

var refused = &os.SyscallError{Syscall: "connect", Err: syscall.ECONNREFUSED}

// Guards against crashes counted for a server that accepts connections, doesn't answer the probe, or is draining.
func TestOnlyRefusedProbeIsCrash(t *testing.T) {
	for _, x := range []struct {
		name     string
		dial     error
		draining bool
		crashes  int
	}{
		{"refused", refused, false, 1},
		{"accepted", nil, false, 0},
		{"timeout", context.DeadlineExceeded, false, 0},
		{"draining", refused, true, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := newSite()
			s.server.Draining = x.draining
			g := start(t, s, x.dial)
			f := crash.Fingerprint{1}
			g.Interrupted(s.server, crash.Run{Fingerprint: f})
			time.Sleep(500 * time.Millisecond)
			require.Equal(t, x.crashes, s.recordedCrashes(f))
			require.Equal(t, x.crashes, g.Crashes(f))
		})
	}
}

// Guards against crashes that are lost or counted twice when transactions fail or their outcome is unknown.
func TestCrashesAreRecordedDespiteFailedTransactions(t *testing.T) {
	s := newSite()
	s.fail = []error{store.ErrNotApplied, errUnknown, store.ErrConflict}
	g := start(t, s, refused)
	f := crash.Fingerprint{1}
	for born := range int64(3) {
		x := *s.server
		x.Born = born
		<-g.Interrupted(&x, crash.Run{Fingerprint: f, KnownCrashes: g.Crashes(f)})
	}
	require.Eventually(t, func() bool { return s.recordedCrashes(f) == 3 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, crash.RefusalThreshold, g.Crashes(f))
	require.Equal(t, 3, s.crashes)
}

// Guards against a record that is kept after its request was answered because no further crash triggers a write.
func TestAnswerDeletesRecord(t *testing.T) {
	s := newSite()
	g := start(t, s, refused)
	f := crash.Fingerprint{1}
	v, err := proto.Marshal(&wire.CrashRow{Crashes: 2})
	require.NoError(t, err)
	s.mu.Lock()
	s.rows[feed.CrashRow(f)] = store.Row{Key: feed.CrashRow(f), Value: v, Rev: 5}
	s.mu.Unlock()
	require.True(t, g.HasSuspects())
	time.Sleep(50 * time.Millisecond) // until writeChanges waits for a signal
	g.Answered(f)
	require.Eventually(t, func() bool { return s.recordedCrashes(f) == 0 }, 2*time.Second, 10*time.Millisecond)
	require.Zero(t, g.Crashes(f))
}

// Guards against a record that other daemons change all the time and that keeps the other records from being written.
func TestContendedRecordDoesNotBlockOthers(t *testing.T) {
	s := newSite()
	frequent, crashing := crash.Fingerprint{1}, crash.Fingerprint{2}
	s.contended = feed.CrashRow(frequent)
	g := start(t, s, refused)
	g.Interrupted(s.server, crash.Run{Fingerprint: frequent})
	g.Interrupted(s.server, crash.Run{Fingerprint: crashing})
	require.Eventually(t, func() bool { return s.recordedCrashes(crashing) == 1 }, 2*time.Second, 10*time.Millisecond)
}
