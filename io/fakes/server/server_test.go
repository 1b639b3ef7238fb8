package server_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
)

func start(t *testing.T, o server.Options) *server.Server {
	if o.Name == "" {
		o.Name = "rooster/a"
	}
	s, err := server.New(o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// newClient has connections of its own, and gives up after the timeout.
func newClient(t *testing.T, timeout time.Duration) *http.Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 200}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: timeout}
}

// answer is what one request came to.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func ask(t *testing.T, c *http.Client, method, url string, body string, headers ...string) (answer, error) {
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := c.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, a.Header, b}, err
}

func get(t *testing.T, c *http.Client, url string, headers ...string) answer {
	a, err := ask(t, c, http.MethodGet, url, "", headers...)
	require.NoError(t, err)
	return a
}

func requireNotRun(t *testing.T, a answer, reason string) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, "1", a.header.Get(server.NotRunHeader))
	require.Equal(t, reason, a.header.Get(server.ReasonHeader))
}

func TestAnswerAndLog(t *testing.T) {
	s := start(t, server.Options{})
	c := newClient(t, time.Second)
	a, err := ask(t, c, http.MethodPost, s.URL()+"/swap/1", "hello",
		server.RequestHeader, "r1", server.KeyHeader, "k1", server.ShardHeader, "7", server.EpochHeader, "3")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.status)
	require.NotEmpty(t, a.header.Get(server.IncarnationHeader))
	var m map[string]any
	require.NoError(t, json.Unmarshal(a.body, &m))
	require.Equal(t, "r1", m["request-id"])
	require.Equal(t, "k1", m["key"])
	require.InDelta(t, 5, m["body-size"], 0)

	l := s.Log()
	require.Len(t, l, 1)
	w := l[0]
	require.Positive(t, w.Start)
	require.GreaterOrEqual(t, w.End, w.Start)
	w.Start, w.End, w.Incarnation = 0, 0, 0
	require.Equal(t, fakes.Work{
		Server: "rooster/a", Request: "r1", Key: "k1", Shard: 7, Epoch: 3, Method: "POST", Path: "/swap/1",
		Outcome: fakes.AnsweredOutcome,
	}, w)
}

func TestRefusals(t *testing.T) {
	past := strconv.FormatInt(time.Now().Add(-time.Second).UnixMilli(), 10)
	tests := []struct {
		name    string
		options server.Options
		faults  server.Faults
		headers []string
		reason  string
	}{
		{"draining", server.Options{}, server.Faults{Drain: true}, nil, "draining"},
		{"on command", server.Options{}, server.Faults{Refuse: 1}, nil, "on-command"},
		{"deadline", server.Options{}, server.Faults{}, []string{server.DeadlineHeader, past}, "deadline-passed"},
		{"no epoch", server.Options{ChecksGrants: true}, server.Faults{}, nil, "no-grant"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, tt.options)
			s.Update(func(f *server.Faults) { *f = tt.faults })
			a := get(t, newClient(t, time.Second), s.URL()+"/x", tt.headers...)
			requireNotRun(t, a, tt.reason)
			require.Equal(t, fakes.NotRunOutcome, s.Log()[0].Outcome)
		})
	}
}

func TestGrants(t *testing.T) {
	s := start(t, server.Options{ChecksGrants: true})
	c := newClient(t, time.Second)
	grant := func(body string) int {
		a, err := ask(t, c, http.MethodPost, s.URL()+server.GrantPath, body)
		require.NoError(t, err)
		return a.status
	}
	require.Equal(t, http.StatusOK, grant(`{"epoch":5}`))
	require.Equal(t, http.StatusConflict, grant(`{"epoch":4}`))
	require.Equal(t, http.StatusBadRequest, grant(`{`))
	requireNotRun(t, get(t, c, s.URL()+"/x", server.EpochHeader, "4"), "older-epoch")
	require.Equal(t, http.StatusOK, get(t, c, s.URL()+"/x", server.EpochHeader, "5").status)
	require.Equal(t, http.StatusOK, get(t, c, s.URL()+"/x", server.EpochHeader, "6").status)
	requireNotRun(t, get(t, c, s.URL()+"/x", server.EpochHeader, "5"), "older-epoch")

	require.Equal(t, http.StatusOK, grant(`{"epoch":7,"lease-ms":1}`))
	time.Sleep(10 * time.Millisecond)
	requireNotRun(t, get(t, c, s.URL()+"/x", server.EpochHeader, "7"), "no-grant")

	s.Restart(0, false)
	requireNotRun(t, get(t, newClient(t, time.Second), s.URL()+"/x", server.EpochHeader, "6"), "older-epoch")
	s.Restart(0, true)
	require.Equal(t, http.StatusOK, get(t, newClient(t, time.Second), s.URL()+"/x", server.EpochHeader, "1").status)
}

// The caller sees 504 once its deadline passes in the middle of the work; the log says that it ran.
func TestDeadlineInTheMiddle(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(time.Second)})
	d := strconv.FormatInt(time.Now().Add(50*time.Millisecond).UnixMilli(), 10)
	a := get(t, newClient(t, 2*time.Second), s.URL()+"/x", server.DeadlineHeader, d, server.RequestHeader, "id-1")
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Contains(t, string(a.body), `"request-id":"id-1"`, "it is the answer to this request")
	require.Empty(t, a.header.Get(server.NotRunHeader))
	require.Equal(t, fakes.ExpiredOutcome, s.Log()[0].Outcome)
}

// The caller goes away in the middle; the server notices, stops and logs it.
func TestCancellation(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(5 * time.Second)})
	_, err := ask(t, newClient(t, 50*time.Millisecond), http.MethodGet, s.URL()+"/x", "")
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.Log()[0].Outcome == fakes.CancelledOutcome }, time.Second, time.Millisecond)
	require.Zero(t, s.InFlight())
}

// Callers see failures when a cold server is overloaded, and none when it gets one request at a time until it is warm.
func TestColdStart(t *testing.T) {
	s := start(t, server.Options{ColdWork: 10, ServiceTime: server.Fixed(time.Millisecond)})
	c := newClient(t, time.Second)
	works := func() bool {
		a, err := ask(t, c, http.MethodGet, s.URL()+"/x", "")
		return err == nil && a.status == http.StatusOK
	}
	burst := func() (failed int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				if !works() {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return failed
	}
	s.Update(func(f *server.Faults) { f.Straggle = 30 })
	require.Positive(t, burst())
	require.Eventually(t, works, 2*time.Second, 20*time.Millisecond)
	s.Update(func(f *server.Faults) { f.Straggle = 1 })
	for range 10 {
		require.Equal(t, http.StatusOK, get(t, c, s.URL()+"/x").status)
	}
	s.Update(func(f *server.Faults) { f.Straggle = 30 })
	require.Zero(t, burst())

	old := get(t, c, s.URL()+server.HealthPath).header.Get(server.IncarnationHeader)
	s.Restart(0, false)
	c = newClient(t, time.Second)
	require.NotEqual(t, old, get(t, c, s.URL()+server.HealthPath).header.Get(server.IncarnationHeader))
	require.Positive(t, burst(), "cold again")
}

func TestOverSlots(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(20 * time.Millisecond)})
	c := newClient(t, 5*time.Second)
	took := func(n int) time.Duration {
		began := time.Now()
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() { get(t, c, s.URL()+"/x") })
		}
		wg.Wait()
		return time.Since(began)
	}
	took(3)
	require.Greater(t, took(9), 2*took(3), "nine at once take longer each")
}

func TestSheds(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(100 * time.Millisecond), Sheds: true})
	c := newClient(t, 5*time.Second)
	var mu sync.Mutex
	n := map[string]int{}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			a := get(t, c, s.URL()+"/x")
			mu.Lock()
			n[fmt.Sprint(a.status, a.header.Get(server.ReasonHeader))]++
			mu.Unlock()
		})
	}
	wg.Wait()
	require.Equal(t, map[string]int{"200": 6, "503overloaded": 2}, n)
}

func TestReportsLag(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(300 * time.Millisecond), ReportLag: 400 * time.Millisecond})
	c := newClient(t, 5*time.Second)
	load := func() (l server.Load) {
		require.NoError(t, json.Unmarshal(get(t, c, s.URL()+server.LoadPath).body, &l))
		return l
	}
	time.Sleep(100 * time.Millisecond)
	var wg sync.WaitGroup
	wg.Go(func() { get(t, c, s.URL()+"/x") })
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, time.Second, time.Millisecond)
	require.Zero(t, load().InFlight, "not yet seen")
	require.Eventually(t, func() bool { return load().InFlight == 1 }, time.Second, 5*time.Millisecond)
	wg.Wait()
	require.Equal(t, 1, load().InFlight, "still seen")
}

func TestVolumes(t *testing.T) {
	s := start(t, server.Options{})
	c := newClient(t, 5*time.Second)
	const size = 300_000
	want := make([]byte, size)
	server.Fill(want, 0)
	for _, path := range []string{"/volume/300000", "/arhiiv/volume/300000", "/x?size=300000"} {
		a := get(t, c, s.URL()+path)
		require.Equal(t, http.StatusOK, a.status)
		require.True(t, bytes.Equal(want, a.body), path)
	}
	a := get(t, c, s.URL()+"/volume/300000", "Range", "bytes=250000-")
	require.Equal(t, http.StatusPartialContent, a.status)
	require.Equal(t, "bytes 250000-299999/300000", a.header.Get("Content-Range"))
	require.True(t, bytes.Equal(want[250000:], a.body))
	a = get(t, c, s.URL()+"/volume/300000", "Range", "bytes=300000-")
	require.Equal(t, http.StatusRequestedRangeNotSatisfiable, a.status)
	for _, w := range s.Log()[:4] {
		require.Equal(t, fakes.AnsweredOutcome, w.Outcome)
	}
	require.Zero(t, s.InFlight())
}

// The caller sees a body that ends too early, which the length tells, and the right bytes up to there.
func TestVolumeCut(t *testing.T) {
	s := start(t, server.Options{})
	s.Update(func(f *server.Faults) { f.CutBodies, f.CutAt = 1, 100_000 })
	c := newClient(t, 5*time.Second)
	a, err := ask(t, c, http.MethodGet, s.URL()+"/volume/300000", "")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	want := make([]byte, len(a.body))
	server.Fill(want, 0)
	require.True(t, bytes.Equal(want, a.body))
	require.LessOrEqual(t, len(a.body), 100_000)
	require.Eventually(t, func() bool { return s.Log()[0].Outcome == fakes.FailedOutcome }, time.Second, time.Millisecond)
}

func TestVolumeRate(t *testing.T) {
	s := start(t, server.Options{BodyRate: 1_000_000})
	began := time.Now()
	get(t, newClient(t, 5*time.Second), s.URL()+"/volume/200000")
	require.Greater(t, time.Since(began), 150*time.Millisecond)
}

// The caller sees nothing while the server is frozen, and the whole answer after it.
func TestFreeze(t *testing.T) {
	s := start(t, server.Options{})
	c := newClient(t, 5*time.Second)
	get(t, c, s.URL()+"/x")
	s.Update(func(f *server.Faults) { f.Freeze = true })
	_, err := ask(t, newClient(t, 100*time.Millisecond), http.MethodGet, s.URL()+"/x", "")
	require.Error(t, err)
	time.AfterFunc(200*time.Millisecond, func() { s.Update(func(f *server.Faults) { f.Freeze = false }) })
	began := time.Now()
	require.Equal(t, http.StatusOK, get(t, c, s.URL()+"/x").status)
	require.Greater(t, time.Since(began), 100*time.Millisecond)
}

// The caller waits for good on an open connection while a new one works at once.
func TestSilence(t *testing.T) {
	s := start(t, server.Options{})
	old := newClient(t, 200*time.Millisecond)
	get(t, old, s.URL()+"/x")
	s.Silence()
	_, err := ask(t, old, http.MethodGet, s.URL()+"/x", "")
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "no reset, no end: %v", err)
	require.Equal(t, http.StatusOK, get(t, newClient(t, time.Second), s.URL()+"/x").status)
}

func TestConnLimit(t *testing.T) {
	s := start(t, server.Options{Conns: 2})
	one, two, three := newClient(t, time.Second), newClient(t, time.Second), newClient(t, time.Second)
	get(t, one, s.URL()+"/x")
	get(t, two, s.URL()+"/x")
	_, err := ask(t, three, http.MethodGet, s.URL()+"/x", "")
	require.Error(t, err)
	one.CloseIdleConnections()
	require.Eventually(t, func() bool {
		_, err := ask(t, three, http.MethodGet, s.URL()+"/x", "")
		return err == nil
	}, time.Second, 10*time.Millisecond)
}

func TestServiceTimesAreSeeded(t *testing.T) {
	took := func(seed uint64) (d time.Duration) {
		s := start(t, server.Options{Seed: seed, ServiceTime: server.Exponential{Mean: 30 * time.Millisecond}})
		c := newClient(t, 5*time.Second)
		for range 3 {
			get(t, c, s.URL()+"/x")
		}
		for _, w := range s.Log() {
			d += time.Duration(w.End - w.Start)
		}
		return d
	}
	require.InDelta(t, took(1), took(1), float64(25*time.Millisecond))
}

func TestGroup(t *testing.T) {
	g, err := server.NewGroup("")
	require.NoError(t, err)
	t.Cleanup(g.Close)
	a, err := g.Add(server.Options{Name: "rooster/a"})
	require.NoError(t, err)
	b, err := g.Add(server.Options{Name: "rooster/b"})
	require.NoError(t, err)
	c := newClient(t, time.Second)
	post := func(body string) int {
		x, err := ask(t, c, http.MethodPost, g.ControlURL()+"/control", body)
		require.NoError(t, err)
		return x.status
	}
	require.Equal(t, http.StatusNoContent, post(`{"server":"rooster/b","faults":{"drain":true}}`))
	require.Equal(t, http.StatusNotFound, post(`{"server":"rooster/c","silence":true}`))
	require.Equal(t, http.StatusBadRequest, post(`{"fault":{}}`))
	require.Equal(t, http.StatusOK, get(t, c, a.URL()+"/x", server.RequestHeader, "r1").status)
	requireNotRun(t, get(t, c, b.URL()+"/x", server.RequestHeader, "r2"), "draining")
	var l []fakes.Work
	require.NoError(t, json.Unmarshal(get(t, c, g.ControlURL()+"/log").body, &l))
	require.Len(t, l, 2)
	require.NoError(t, json.Unmarshal(get(t, c, g.ControlURL()+"/log?server=rooster/b").body, &l))
	require.Len(t, l, 1)
	var p []server.Place
	require.NoError(t, json.Unmarshal(get(t, c, g.ControlURL()+"/servers").body, &p))
	require.Len(t, p, 2)
}

// An overloaded server fails in both ways that callers meet: a 500 and a reset.
func TestFallsOverInBothWays(t *testing.T) {
	s := start(t, server.Options{ColdWork: 1000, Slots: 1, ServiceTime: server.Fixed(200 * time.Millisecond)})
	c := newClient(t, 5*time.Second)
	go func() { _, _ = ask(t, c, http.MethodGet, s.URL()+"/x", "") }()
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, time.Second, time.Millisecond)
	a, err := ask(t, newClient(t, time.Second), http.MethodPost, s.URL()+"/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, a.status)
	require.Empty(t, a.header.Get(server.NotRunHeader), "nothing is certain")
	_, err = ask(t, newClient(t, time.Second), http.MethodPost, s.URL()+"/x", "")
	require.Error(t, err)
}

// The caller goes away, or its deadline passes, in the middle of a large body; the slot is free soon after.
func TestVolumeGivenUp(t *testing.T) {
	s := start(t, server.Options{BodyRate: 100_000})
	_, err := ask(t, newClient(t, 200*time.Millisecond), http.MethodGet, s.URL()+"/volume/10000000", "")
	require.Error(t, err)
	d := strconv.FormatInt(time.Now().Add(300*time.Millisecond).UnixMilli(), 10)
	_, err = ask(t, newClient(t, 5*time.Second), http.MethodGet, s.URL()+"/volume/10000000", "", server.DeadlineHeader, d)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Eventually(t, func() bool { return s.InFlight() == 0 }, 3*time.Second, 5*time.Millisecond)
	l := s.Log()
	require.Equal(t, fakes.CancelledOutcome, l[0].Outcome)
	require.Equal(t, fakes.ExpiredOutcome, l[1].Outcome)
}

// A large request body is read as it comes, and told in the answer by its size and hash.
func TestLargeRequestBody(t *testing.T) {
	s := start(t, server.Options{})
	b := make([]byte, 20<<20)
	server.Fill(b, 0)
	a, err := ask(t, newClient(t, 10*time.Second), http.MethodPost, s.URL()+"/x", string(b))
	require.NoError(t, err)
	var m struct {
		Size int64  `json:"body-size"`
		Hash string `json:"body-hash"`
	}
	require.NoError(t, json.Unmarshal(a.body, &m))
	require.Equal(t, int64(len(b)), m.Size)
	require.Equal(t, strconv.FormatUint(xxhash.Sum64(b), 16), m.Hash)
}

// The caller's deadline passes while the server is frozen; the thawed server does no more for it and says 504.
// The log has the deadline as the end: what is done under it is nothing, though the server notices late.
func TestFrozenOverTheDeadline(t *testing.T) {
	s := start(t, server.Options{ServiceTime: server.Fixed(100 * time.Millisecond)})
	c := newClient(t, 5*time.Second)
	deadline := time.Now().Add(300 * time.Millisecond).Truncate(time.Millisecond)
	done := make(chan answer)
	go func() {
		a, err := ask(t, c, http.MethodPost, s.URL()+"/x", "",
			server.DeadlineHeader, strconv.FormatInt(deadline.UnixMilli(), 10))
		if err != nil {
			t.Error(err)
		}
		done <- a
	}()
	require.Eventually(t, func() bool { return s.InFlight() == 1 }, time.Second, time.Millisecond)
	s.Update(func(f *server.Faults) { f.Freeze = true })
	time.Sleep(time.Until(deadline) + 100*time.Millisecond)
	s.Update(func(f *server.Faults) { f.Freeze = false })
	require.Equal(t, http.StatusGatewayTimeout, (<-done).status)
	w := s.Log()[0]
	require.Equal(t, fakes.ExpiredOutcome, w.Outcome)
	require.Equal(t, deadline.UnixNano(), w.End)
}
