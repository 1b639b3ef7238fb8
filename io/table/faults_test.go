package table_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/docs"
	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/cut"
	"heatherrouter/io/table"
)

// newRelay returns a relay before the stand-in that can be cut.
func newRelay(t *testing.T, f *fakes.Table) *cut.TCP {
	r, err := cut.NewTCP(fakes.AnyPort, f.Addr())
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// requireOutcome requires an UnknownError, or else an UnavailableError.
func requireOutcome(t *testing.T, err error, unknown bool) {
	t.Helper()
	if unknown {
		var u *table.UnknownError
		require.ErrorAs(t, err, &u)
		return
	}
	var u *table.UnavailableError
	require.ErrorAs(t, err, &u)
}

// The caller sees its commit succeed, once.
// The write takes effect, its reply never comes, the connection is closed or goes silent. The head read back names
// the transaction as the writer of the revision, so that nothing is guessed and nothing is written twice.
func TestLostReplyIsSettled(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%v", silent), func(t *testing.T) {
			f := newFake(t)
			s := newStore(t, f.URL(), 100*time.Millisecond)
			set(t, f, fakes.Faults{LoseReplies: 1, LoseSilently: silent})
			r, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
			require.NoError(t, err)
			require.Equal(t, ident.Rev(1), r)
			require.Equal(t, 1, f.Counts().Writes)
		})
	}
}

// The caller sees its commit succeed although others committed before it could read back.
// The write takes effect and its reply is lost; then others move the head on, by fewer or by more transactions than
// the head's history holds, and may overwrite the same row. Past the history only the row can tell.
func TestLostReplyAfterOthersMovedOn(t *testing.T) {
	tests := []struct {
		name    string
		others  int
		row     string // that the others write
		unknown bool
	}{
		{"one on the same row", 1, "x", false},
		{"within the history on the same row", 30, "x", false},
		{"past the history on another row", 40, "y", false},
		{"past the history on the same row", 40, "x", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFake(t)
			a, b := newStore(t, f.URL(), 300*time.Millisecond), newStore(t, f.URL(), time.Second)
			set(t, f, fakes.Faults{LoseReplies: 1, LoseSilently: true})
			done := make(chan error)
			go func() {
				_, err := a.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
				done <- err
			}()
			require.Eventually(t, func() bool { return f.Counts().Writes == 1 }, time.Second, time.Millisecond)
			for i := range tt.others {
				_, err := b.Commit(t.Context(), doc, ident.Rev(i+1), ident.Txn(fmt.Sprint("o", i)), change(tt.row, "o"))
				require.NoError(t, err)
			}
			err := <-done
			if tt.unknown {
				var u *table.UnknownError
				require.ErrorAs(t, err, &u)
				return
			}
			require.NoError(t, err)
		})
	}
}

// The caller sees its commit succeed, once, though the service was slow to write it.
// The sender gives up, reads the head (not moved), sends the same transaction again, which is written; then the
// first copy lands, late, and fails its condition. A sender that took the unmoved head for "not written" would
// have told its caller so, and the write would have come after that.
func TestLateWriteLands(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 100*time.Millisecond)
	set(t, f, fakes.Faults{DelayWrites: 1, DelayMS: 400})
	r, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), r)
	require.Eventually(t, func() bool { return f.Counts().Failed == 1 }, 2*time.Second, 5*time.Millisecond,
		"the late copy must have been refused")
	require.Equal(t, 1, f.Counts().Writes)
}

// The caller sees "unknown" and calls again with the same arguments, which settles it.
// All copies are still under way when the sender gives up for good; one of them lands later.
func TestUnknownIsSettledByCallingAgain(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 50*time.Millisecond)
	set(t, f, fakes.Faults{DelayWrites: 10, DelayMS: 600})
	_, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	var u *table.UnknownError
	require.ErrorAs(t, err, &u)
	require.Eventually(t, func() bool { return f.Counts().Writes == 1 }, 2*time.Second, 5*time.Millisecond)
	set(t, f, fakes.Faults{})
	r, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), r)
	require.Equal(t, 1, f.Counts().Writes)
}

// The caller sees a conflict: somebody else's transaction moved the head while its own was under way.
// The late copy then fails its condition, so that "conflict" stays true.
func TestLateWriteLosesToAnother(t *testing.T) {
	f := newFake(t)
	a, b := newStore(t, f.URL(), 200*time.Millisecond), newStore(t, f.URL(), time.Second)
	set(t, f, fakes.Faults{DelayWrites: 1, DelayMS: 600})
	done := make(chan error)
	go func() {
		_, err := a.Commit(t.Context(), doc, 0, "a1", change("x", "a"))
		done <- err
	}()
	require.Eventually(t, func() bool { return f.Faults().DelayWrites == 0 }, time.Second, time.Millisecond)
	_, err := b.Commit(t.Context(), doc, 0, "b1", change("x", "b"))
	require.NoError(t, err)
	var c *table.ConflictError
	require.ErrorAs(t, <-done, &c)
	require.Eventually(t, func() bool { return f.Counts().Failed >= 1 }, 2*time.Second, 5*time.Millisecond)
	d, err := b.Load(t.Context(), doc)
	require.NoError(t, err)
	require.Equal(t, "b", string(d.Body("x")))
}

// The caller sees "unavailable" where nothing can have been written, and "unknown" where it may.
// A refused connection carried nothing; a service that hangs or answers with a server error may have got it all.
func TestOutages(t *testing.T) {
	tests := []struct {
		outage  fakes.Outage
		unknown bool
	}{
		{fakes.RefuseOutage, false},
		{fakes.ErrorOutage, true},
		{fakes.HangOutage, true},
	}
	for _, tt := range tests {
		t.Run(string(tt.outage), func(t *testing.T) {
			f := newFake(t)
			s := newStore(t, f.URL(), 100*time.Millisecond)
			_, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
			require.NoError(t, err)
			set(t, f, fakes.Faults{Outage: tt.outage})

			var unavailable *table.UnavailableError
			_, err = s.Head(t.Context(), doc)
			require.ErrorAs(t, err, &unavailable)
			_, err = s.Load(t.Context(), doc)
			require.ErrorAs(t, err, &unavailable)
			_, err = s.Commit(t.Context(), doc, 1, "t2", change("x", "2"))
			requireOutcome(t, err, tt.unknown)

			set(t, f, fakes.Faults{})
			r, err := s.Commit(t.Context(), doc, 1, "t2", change("x", "2"))
			require.NoError(t, err)
			require.Equal(t, ident.Rev(2), r)
		})
	}
}

// The caller sees "unknown" on both calls, never "certainly not written".
// The first call's transaction is under way when the port closes; the second can't even connect, but the first
// copy may land, and here it does.
func TestUnreachableAfterUnknownStaysUnknown(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 50*time.Millisecond)
	set(t, f, fakes.Faults{DelayWrites: 10, DelayMS: 500})
	var u *table.UnknownError
	_, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.ErrorAs(t, err, &u)
	set(t, f, fakes.Faults{Outage: fakes.RefuseOutage})
	_, err = s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.ErrorAs(t, err, &u)
	require.Eventually(t, func() bool { return f.Counts().Writes == 1 }, 2*time.Second, 5*time.Millisecond)
}

// The largest document of the API's limits still commits and loads when the service is merely slow.
func TestSlowService(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 2*time.Second)
	set(t, f, fakes.Faults{LatencyMS: 50})
	_, err := s.Commit(t.Context(), doc, 0, "t1", []docs.Change{{Row: "x", Body: make([]byte, 100_000)}})
	require.NoError(t, err)
	d, err := s.Load(t.Context(), doc)
	require.NoError(t, err)
	require.Len(t, d.Body("x"), 100_000)
}

// The caller waits for one timeout at most, then everything works again.
// Something between the two ends forgets the open connections: they deliver nothing, without an end or a reset,
// while new ones work. Several were open, and each would cost a timeout if the others stayed in the pool.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	f := newFake(t)
	r := newRelay(t, f)
	const timeout = 200 * time.Millisecond
	s := newStore(t, "http://"+r.Addr(), timeout)
	set(t, f, fakes.Faults{LatencyMS: 50})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if _, err := s.Head(t.Context(), doc); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	set(t, f, fakes.Faults{})
	// A connection that was being opened when another became free is not in the relay yet; it would be a new one.
	time.Sleep(100 * time.Millisecond)
	r.Silence()

	began := time.Now()
	_, err := s.Head(t.Context(), doc)
	var u *table.UnavailableError
	require.ErrorAs(t, err, &u)
	require.Less(t, time.Since(began), 2*timeout)
	for range 8 {
		_, err = s.Head(t.Context(), doc)
		require.NoError(t, err)
	}

	// A commit settles by itself over the new connection.
	r.Silence()
	rev, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), rev)
}

// The caller sees its commit written, or told as unknown, never as unavailable, through a cut of the answers only.
// The transaction arrives and is written; nothing comes back until the cut ends.
func TestCutOfTheAnswers(t *testing.T) {
	f := newFake(t)
	r := newRelay(t, f)
	s := newStore(t, "http://"+r.Addr(), 100*time.Millisecond)

	_, err := s.Head(t.Context(), doc)
	require.NoError(t, err)
	r.Cut(cut.Back)
	_, err = s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	var u *table.UnknownError
	require.ErrorAs(t, err, &u)
	require.Equal(t, 1, f.Counts().Writes)
	r.Heal()
	rev, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), rev)
}

// A working service is spoken to over the same connection, again and again.
// The SDK closes a request's body when the answer is there, which must not end the connection that carried both.
func TestConnectionsAreReused(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), time.Second)
	const reads = 1000
	for range reads {
		_, err := s.Head(t.Context(), doc)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, f.Counts().Conns, 5)
}

// The caller sees "unknown" as soon as its own deadline passes, not after the tries that would follow.
func TestCallersDeadline(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 5*time.Second)
	set(t, f, fakes.Faults{Outage: fakes.HangOutage})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	var unknown *table.UnknownError
	_, err := s.Commit(ctx, doc, 0, "t1", change("x", "1"))
	var unavailable *table.UnavailableError
	require.ErrorAs(t, err, &unavailable, "the head could not be read, nothing was sent")
	s2 := newStore(t, f.URL(), 5*time.Second)
	set(t, f, fakes.Faults{})
	_, err = s2.Head(t.Context(), doc)
	require.NoError(t, err)
	set(t, f, fakes.Faults{Outage: fakes.HangOutage})
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = s2.Commit(ctx, doc, 0, "t1", change("x", "1"))
	require.ErrorAs(t, err, &unknown)
	require.Less(t, time.Since(began), 2*time.Second)
}

// The caller sees "unavailable", at once and for sure, when the service refuses for too many requests.
func TestThrottling(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), time.Second)
	set(t, f, fakes.Faults{WriteLimit: 1})
	_, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	_, err = s.Commit(t.Context(), doc, 1, "t2", change("x", "2"))
	var u *table.UnavailableError
	require.ErrorAs(t, err, &u)
	set(t, f, fakes.Faults{ReadLimit: 1})
	_, err = s.Head(t.Context(), doc)
	require.NoError(t, err)
	_, err = s.Head(t.Context(), doc)
	require.ErrorAs(t, err, &u)
	require.Equal(t, 2, f.Counts().Throttled)
	require.Equal(t, 1, f.Counts().Writes)
}

// The caller sees "unavailable" only for a status that the service itself gives to what it didn't carry out.
// The other ones may come from a balancer that gave up on a request which the service got and carried out.
func TestStatuses(t *testing.T) {
	tests := []struct {
		status  int
		unknown bool
	}{
		{http.StatusBadRequest, false},
		{http.StatusNotFound, true},
		{http.StatusRequestTimeout, true},
		{http.StatusInternalServerError, true},
		{http.StatusBadGateway, true},
		{http.StatusServiceUnavailable, true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.status), func(t *testing.T) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.Header.Get("X-Amz-Target"), "TransactWriteItems") {
					w.WriteHeader(tt.status)
				}
				_, _ = w.Write([]byte("{}"))
			}))
			t.Cleanup(h.Close)
			_, err := newStore(t, h.URL, time.Second).Commit(t.Context(), doc, 0, "t1", change("x", "1"))
			requireOutcome(t, err, tt.unknown)
		})
	}
}

// The caller's tries are the only ones: an erring service gets one request for one read.
// The SDK tries four times if left to itself, and so multiplies the load on a service that is already failing.
func TestNoHiddenRetries(t *testing.T) {
	var n atomic.Int64
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	t.Cleanup(h.Close)
	_, err := newStore(t, h.URL, time.Second).Head(t.Context(), doc)
	require.Error(t, err)
	require.Equal(t, int64(1), n.Load())
}
