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

// newProxy returns a TCP proxy to the fake service that can block traffic.
func newProxy(t *testing.T, f *fakes.Table) *cut.TCP {
	r, err := cut.NewTCP(fakes.AnyPort, f.Addr())
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// requireOutcome requires an UnknownError if unknown is set, otherwise an UnavailableError.
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

// Guards against a wrong outcome or a second write after a lost response.
// The write takes effect, but the connection is closed or stops responding. The head then names the transaction as
// the writer of the revision, and the commit succeeds.
func TestLostResponse(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		t.Run(fmt.Sprintf("unresponsive=%v", unresponsive), func(t *testing.T) {
			f := newFake(t)
			s := newStore(t, f.URL(), 100*time.Millisecond)
			setFaults(t, f, fakes.Faults{LoseReplies: 1, LoseSilently: unresponsive})
			r, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
			require.NoError(t, err)
			require.Equal(t, ident.Rev(1), r)
			require.Equal(t, 1, f.Counts().Writes)
		})
	}
}

// Guards against a wrong outcome when others commit before the head is read after a lost response.
// They write fewer or more transactions than the head's history holds and may overwrite the same row. Beyond the
// history only the row identifies the writer; if it is overwritten too, the outcome is unknown.
func TestLostResponseThenOtherCommits(t *testing.T) {
	tests := []struct {
		name    string
		others  int
		row     string // row that the others write
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
			setFaults(t, f, fakes.Faults{LoseReplies: 1, LoseSilently: true})
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

// Guards against an outcome that stays unknown for good although the row shows that the transaction was not written.
// The write is delayed while others commit more transactions than the head's history holds.
func TestDelayedWriteThenOtherCommits(t *testing.T) {
	for _, row := range []string{"absent", "older"} {
		t.Run(row, func(t *testing.T) {
			f := newFake(t)
			a, b := newStore(t, f.URL(), 300*time.Millisecond), newStore(t, f.URL(), time.Second)
			_, err := b.Commit(t.Context(), doc, 0, "first", change("older", "1"))
			require.NoError(t, err)
			setFaults(t, f, fakes.Faults{DelayWrites: 1, DelayMS: 400})
			done := make(chan error)
			go func() {
				_, err := a.Commit(t.Context(), doc, 1, "t1", change(row, "2"))
				done <- err
			}()
			time.Sleep(50 * time.Millisecond)
			for i := range 40 {
				_, err := b.Commit(t.Context(), doc, ident.Rev(i+1), ident.Txn(fmt.Sprint("o", i)), change("y", "o"))
				require.NoError(t, err)
			}
			require.ErrorAs(t, <-done, new(*table.ConflictError))
		})
	}
}

// Guards against reporting "not written" for a write that takes effect later.
// The sender times out, reads an unchanged head and sends the same transaction again, which is written. The delayed
// first copy then fails its condition. An unchanged head alone doesn't prove that nothing will be written.
func TestDelayedWrite(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 100*time.Millisecond)
	setFaults(t, f, fakes.Faults{DelayWrites: 1, DelayMS: 400})
	r, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), r)
	require.Eventually(t, func() bool { return f.Counts().Failed == 1 }, 2*time.Second, 5*time.Millisecond,
		"the condition of the delayed copy must fail")
	require.Equal(t, 1, f.Counts().Writes)
}

// Guards against an unknown outcome that repeating the call doesn't resolve.
// All copies are still in flight when Commit returns; one of them takes effect later.
func TestRepeatedCallResolvesUnknown(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 50*time.Millisecond)
	setFaults(t, f, fakes.Faults{DelayWrites: 10, DelayMS: 600})
	_, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	var u *table.UnknownError
	require.ErrorAs(t, err, &u)
	require.Eventually(t, func() bool { return f.Counts().Writes == 1 }, 2*time.Second, 5*time.Millisecond)
	setFaults(t, f, fakes.Faults{})
	r, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), r)
	require.Equal(t, 1, f.Counts().Writes)
}

// Guards against a write that takes effect after Commit has reported a conflict.
// Another transaction advances the head while the write is in flight; the delayed copy then fails its condition.
func TestDelayedWriteAfterConflict(t *testing.T) {
	f := newFake(t)
	a, b := newStore(t, f.URL(), 200*time.Millisecond), newStore(t, f.URL(), time.Second)
	setFaults(t, f, fakes.Faults{DelayWrites: 1, DelayMS: 600})
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

// Commit reports "unavailable" if nothing can have been written, otherwise "unknown".
// A refused connection transfers nothing; a service that hangs or responds with a server error may have the request.
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
			setFaults(t, f, fakes.Faults{Outage: tt.outage})

			var unavailable *table.UnavailableError
			_, err = s.Head(t.Context(), doc)
			require.ErrorAs(t, err, &unavailable)
			_, err = s.Load(t.Context(), doc)
			require.ErrorAs(t, err, &unavailable)
			_, err = s.Commit(t.Context(), doc, 1, "t2", change("x", "2"))
			requireOutcome(t, err, tt.unknown)

			setFaults(t, f, fakes.Faults{})
			r, err := s.Commit(t.Context(), doc, 1, "t2", change("x", "2"))
			require.NoError(t, err)
			require.Equal(t, ident.Rev(2), r)
		})
	}
}

// Guards against reporting "not written" on a repeated call that can't connect.
// The transaction of the first call is in flight when the port closes, and takes effect later.
func TestUnreachableAfterUnknownStaysUnknown(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 50*time.Millisecond)
	setFaults(t, f, fakes.Faults{DelayWrites: 10, DelayMS: 500})
	var u *table.UnknownError
	_, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.ErrorAs(t, err, &u)
	setFaults(t, f, fakes.Faults{Outage: fakes.RefuseOutage})
	_, err = s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.ErrorAs(t, err, &u)
	require.Eventually(t, func() bool { return f.Counts().Writes == 1 }, 2*time.Second, 5*time.Millisecond)
}

// A row of 100 kB can be committed and loaded while the service is slow.
func TestSlowService(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 2*time.Second)
	setFaults(t, f, fakes.Faults{LatencyMS: 50})
	_, err := s.Commit(t.Context(), doc, 0, "t1", []docs.Change{{Row: "x", Body: make([]byte, 100_000)}})
	require.NoError(t, err)
	d, err := s.Load(t.Context(), doc)
	require.NoError(t, err)
	require.Len(t, d.Body("x"), 100_000)
}

// Guards against one timeout for each broken connection in the pool.
// An intermediary drops the state of all open connections: they deliver nothing, without a close or a reset, while
// new ones work. Only the first request may time out.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	f := newFake(t)
	r := newProxy(t, f)
	const timeout = 200 * time.Millisecond
	s := newStore(t, "http://"+r.Addr(), timeout)
	setFaults(t, f, fakes.Faults{LatencyMS: 50})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if _, err := s.Head(t.Context(), doc); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	setFaults(t, f, fakes.Faults{})
	// A connection still being opened is not in the proxy yet and would count as a new one.
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

	// Commit determines the outcome itself over a new connection.
	r.Silence()
	rev, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	require.Equal(t, ident.Rev(1), rev)
}

// Guards against "unavailable" for a written transaction when only responses are blocked.
// The transaction arrives and is written, but no response arrives until the proxy forwards them again.
func TestBlockedResponses(t *testing.T) {
	f := newFake(t)
	r := newProxy(t, f)
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

// Guards against a new connection for requests to a healthy service.
// The SDK closes the request body when the response arrives, which must not close the connection.
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

// Guards against further attempts after the caller's deadline has passed.
func TestCallerDeadline(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), 5*time.Second)
	setFaults(t, f, fakes.Faults{Outage: fakes.HangOutage})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	var unknown *table.UnknownError
	_, err := s.Commit(ctx, doc, 0, "t1", change("x", "1"))
	var unavailable *table.UnavailableError
	require.ErrorAs(t, err, &unavailable, "the head could not be read, so nothing was sent")
	s2 := newStore(t, f.URL(), 5*time.Second)
	setFaults(t, f, fakes.Faults{})
	_, err = s2.Head(t.Context(), doc)
	require.NoError(t, err)
	setFaults(t, f, fakes.Faults{Outage: fakes.HangOutage})
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = s2.Commit(ctx, doc, 0, "t1", change("x", "1"))
	require.ErrorAs(t, err, &unknown)
	require.Less(t, time.Since(began), 2*time.Second)
}

// A throttled commit is reported as unavailable at once, since it was not written.
func TestThrottling(t *testing.T) {
	f := newFake(t)
	s := newStore(t, f.URL(), time.Second)
	setFaults(t, f, fakes.Faults{WriteLimit: 1})
	_, err := s.Commit(t.Context(), doc, 0, "t1", change("x", "1"))
	require.NoError(t, err)
	_, err = s.Commit(t.Context(), doc, 1, "t2", change("x", "2"))
	var u *table.UnavailableError
	require.ErrorAs(t, err, &u)
	setFaults(t, f, fakes.Faults{ReadLimit: 1})
	_, err = s.Head(t.Context(), doc)
	require.NoError(t, err)
	_, err = s.Head(t.Context(), doc)
	require.ErrorAs(t, err, &u)
	require.Equal(t, 2, f.Counts().Throttled)
	require.Equal(t, 1, f.Counts().Writes)
}

// Commit reports "unavailable" only for the status of requests that the service did not execute.
// Other statuses may come from a load balancer that timed out on a request that the service executed.
func TestResponseStatuses(t *testing.T) {
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

// Guards against retries by the SDK: a failing service gets one request for one read.
// By default the SDK makes four attempts, which multiplies the load on a failing service.
func TestNoSDKRetries(t *testing.T) {
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
