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

// memorySite is a view and a store in memory. The view knows what the store has; some transactions fail.
type memorySite struct {
	store.Store
	mu      sync.Mutex
	rows    map[string]store.Row
	rev     store.Rev
	fail    []error // of the next transactions; one is carried out all the same where it is errUnknown
	leads   bool
	server  *site.Server
	crashes int
	ahead   string // a row that others change faster than the view learns of it
}

var errUnknown = os.ErrDeadlineExceeded

func newSite() *memorySite {
	return &memorySite{
		rows:   map[string]store.Row{},
		server: &site.Server{ID: "i-1", Service: "x", Born: 7, Addr: netip.MustParseAddrPort("127.0.0.1:1")},
	}
}

func (s *memorySite) Snapshot() *site.Snapshot {
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

func (s *memorySite) Leads() bool { return s.leads }

func (s *memorySite) Row(key string) (store.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key]
	return r, ok
}

func (s *memorySite) Learn([]store.Row) {}

func (s *memorySite) Commit(_ context.Context, x store.Txn) (store.Rev, error) {
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
		if s.rows[e.Key].Rev != e.Rev || e.Key == s.ahead {
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

func (s *memorySite) Crashed(ident.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
}

func (s *memorySite) recorded(f crash.Fingerprint) int { return s.Snapshot().Crashes[f] }

func start(t *testing.T, s *memorySite, dial error) *Guard {
	t.Helper()
	g := New(Options{
		View: s, Store: s, Clock: clock.New(), Counter: s, Log: &log.Logger{Writer: &log.IOWriter{Writer: &bytes.Buffer{}}},
		Dial: func(context.Context, netip.AddrPort) error { return dial },
	})
	r := group.New(t.Context())
	t.Cleanup(r.Stop)
	g.Run(r)
	return g
}

var refused = &os.SyscallError{Syscall: "connect", Err: syscall.ECONNREFUSED}

// Guards against blame where no server crashed: it takes connections, it doesn't answer, or it had announced that it leaves.
func TestOnlyRefusedConnectionIsCrash(t *testing.T) {
	for _, x := range []struct {
		name     string
		dial     error
		draining bool
		crashes  int
	}{
		{"refused", refused, false, 1},
		{"accepted", nil, false, 0},
		{"silent", context.DeadlineExceeded, false, 0},
		{"draining", refused, true, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := newSite()
			s.server.Draining = x.draining
			g := start(t, s, x.dial)
			f := crash.Fingerprint{1}
			g.Broke(s.server, crash.Run{Fingerprint: f})
			time.Sleep(500 * time.Millisecond)
			require.Equal(t, x.crashes, s.recorded(f))
			require.Equal(t, x.crashes, g.Crashes(f))
		})
	}
}

// Guards against crashes that are lost, or counted twice, when transactions fail or end unknown.
func TestCrashesAreSharedDespiteFailedTransactions(t *testing.T) {
	s := newSite()
	s.fail = []error{store.ErrNotApplied, errUnknown, store.ErrConflict}
	g := start(t, s, refused)
	f := crash.Fingerprint{1}
	for born := range int64(3) {
		x := *s.server
		x.Born = born
		<-g.Broke(&x, crash.Run{Fingerprint: f, KnownCrashes: g.Crashes(f)})
	}
	require.Eventually(t, func() bool { return s.recorded(f) == 3 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, crash.RefusalThreshold, g.Crashes(f))
	require.Equal(t, 3, s.crashes)
}

// Guards against a record that stays after its request was answered, though no more crashes come.
func TestAnsweredRequestLosesItsRecord(t *testing.T) {
	s := newSite()
	g := start(t, s, refused)
	f := crash.Fingerprint{1}
	v, err := proto.Marshal(&wire.CrashRow{Crashes: 2})
	require.NoError(t, err)
	s.mu.Lock()
	s.rows[feed.CrashRow(f)] = store.Row{Key: feed.CrashRow(f), Value: v, Rev: 5}
	s.mu.Unlock()
	require.True(t, g.Watches())
	time.Sleep(50 * time.Millisecond) // the duty waits
	g.Answered(f)
	require.Eventually(t, func() bool { return s.recorded(f) == 0 }, 2*time.Second, 10*time.Millisecond)
	require.Zero(t, g.Crashes(f))
}

// Guards against a record that others change all the time and that holds up those beside it.
func TestContendedRecordHoldsUpNoOther(t *testing.T) {
	s := newSite()
	popular, deadly := crash.Fingerprint{1}, crash.Fingerprint{2}
	s.ahead = feed.CrashRow(popular)
	g := start(t, s, refused)
	g.Broke(s.server, crash.Run{Fingerprint: popular})
	g.Broke(s.server, crash.Run{Fingerprint: deadly})
	require.Eventually(t, func() bool { return s.recorded(deadly) == 1 }, 2*time.Second, 10*time.Millisecond)
}
