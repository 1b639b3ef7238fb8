package stand_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/admin"
	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/stand"
)

const (
	servedAgain  = 3 * time.Second // the longest that a key may go without an answer in a loss
	loadKeys     = 16
	loadWriters  = 4
	loadSwappers = 6
	loadPause    = 20 * time.Millisecond // of each caller between two requests
	volumeSize   = 1 << 20
)

// Outcomes as callers tell them apart.
const (
	answered = "answered"
	notRun   = "not-run"
	unknown  = "unknown"
	broken   = "broken" // the connection to the entry ended first
)

// load is a steady stream of requests at several entries: a reader for each key, writers of keys, swaps and downloads.
type load struct {
	x    *site
	stop chan struct{}
	wg   sync.WaitGroup
	next atomic.Uint64

	mu      sync.Mutex
	entries []int // that callers use, as their balancer says
	last    map[string]time.Time
	worst   map[string]time.Duration
	ids     map[ident.Request]string // outcome of each write and swap
	counts  map[string]int           // by kind and outcome
	failed  []string                 // what callers should not have seen if nothing is lost
	cut     []string                 // of these, answers that ended early
	wrong   []string                 // what no caller may ever see
}

// startLoad starts the load at the entries of the given daemons.
func (x *site) startLoad(entries ...int) *load {
	l := &load{
		x: x, stop: make(chan struct{}), entries: entries, last: map[string]time.Time{},
		worst: map[string]time.Duration{}, ids: map[ident.Request]string{}, counts: map[string]int{},
	}
	for i := range loadKeys {
		k := fmt.Sprintf("key-%d", i)
		l.last[k] = time.Now()
		l.caller(func() { l.read(k) })
	}
	for i := range loadWriters {
		l.caller(func() { l.run("keyed", fmt.Sprintf("/keyed/write/key-%d", i)) })
	}
	for range loadSwappers {
		l.caller(func() { l.run("plain", "/plain/swap") })
	}
	x.warm()
	l.begin()
	l.caller(l.download)
	return l
}

// begin forgets what callers saw while the servers were cold, and what callers then sent was more than they carry.
func (l *load) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.last {
		l.last[k] = time.Now()
	}
	clear(l.worst)
	clear(l.counts)
	l.failed = nil
}

// warm waits until each server's home has opened all slots: a cold one has a single slot, which a download would
// take from everybody else.
func (x *site) warm() {
	x.t.Helper()
	require.NoError(x.t, stand.Eventually(20*time.Second, func() error {
		for i, d := range x.Daemons {
			if !d.Running() {
				continue
			}
			s, err := x.Admin(i).Servers(x.t.Context())
			if err != nil {
				return err
			}
			for _, v := range s {
				if v.State == admin.StateWarming {
					return fmt.Errorf("%s is warming", v.Name)
				}
			}
		}
		return nil
	}))
}

func (l *load) caller(f func()) {
	l.wg.Go(func() {
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(loadPause):
				f()
			}
		}
	})
}

// use sets the entries that callers use from now on.
func (l *load) use(entries ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

func (l *load) entry() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[int(l.next.Add(1))%len(l.entries)]
}

func (l *load) read(key string) {
	d := l.entry()
	r := l.x.get(d, "/keyed/read/"+key)
	l.note("read", key, d, r)
	if r.status != http.StatusOK {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.worst[key] = max(l.worst[key], now.Sub(l.last[key]))
	l.last[key] = now
	if !bytes.Contains(r.body, []byte(`"path":"/read/`+key+`"`)) {
		l.wrong = append(l.wrong, fmt.Sprintf("answer to a read of %s: %s", key, r.body))
	}
}

// run sends a request that must not run twice.
func (l *load) run(service, path string) {
	id := fmt.Sprintf("id-%d", l.next.Add(1))
	d := l.entry()
	r := l.x.post(d, path, id)
	o := l.note("write", path+" "+id, d, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	full := ident.Request(service + "/" + id)
	l.ids[full] = o
	if o == answered && !bytes.Contains(r.body, []byte(`"request-id":"`+string(full)+`"`)) {
		l.wrong = append(l.wrong, fmt.Sprintf("answer to %s: status %d, %s", full, r.status, r.body))
	}
}

func (l *load) download() {
	d := l.entry()
	r := l.x.get(d, fmt.Sprintf("/plain/volume/%d", volumeSize))
	l.note("download", "", d, r)
	if r.err == nil && r.status == http.StatusOK && !wholeVolume(r.body, volumeSize) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.wrong = append(l.wrong, fmt.Sprintf("a download of %d bytes that looked whole", len(r.body)))
	}
}

func wholeVolume(b []byte, size int) bool {
	want := make([]byte, size)
	server.Fill(want, 0)
	return bytes.Equal(b, want)
}

func (l *load) note(kind, what string, daemon int, r reply) string {
	o := r.seen()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kind+" "+o]++
	if o != answered {
		l.failed = append(l.failed, fmt.Sprintf("%s %s %s at %s: %v", time.Now().Format("05.000"), kind, what, l.x.Daemons[daemon].Name, r))
		if r.err != nil && r.status > 0 {
			l.cut = append(l.cut, l.failed[len(l.failed)-1])
		}
	}
	return o
}

// seen returns how the caller sees the reply.
func (r reply) seen() string {
	switch {
	case r.err != nil:
		return broken
	case r.outcome != "":
		return r.outcome
	}
	return fmt.Sprintf("status-%d", r.status)
}

// post sends a request under the caller's own id. Its body can't be rewound, so that the HTTP library never sends
// it again by itself.
func (x *site) post(daemon int, path, id string) reply {
	r, err := http.NewRequest(http.MethodPost, "http://"+x.Daemons[daemon].Entry.String()+path, io.NopCloser(strings.NewReader(id)))
	if err != nil {
		return reply{err: err}
	}
	r.ContentLength = int64(len(id))
	r.Header.Set("Idempotency-Key", id)
	return send(r)
}

// end ends the load.
func (l *load) end() {
	select {
	case <-l.stop:
		return
	default:
	}
	close(l.stop)
	now := time.Now()
	l.wg.Wait() // a download may go on for a while
	for k, t := range l.last {
		l.worst[k] = max(l.worst[k], now.Sub(t))
	}
}

// goOn lets the load go on until each key was read again after now, and for a while longer.
func (l *load) goOn(t *testing.T, d time.Duration) {
	t.Helper()
	start := time.Now()
	time.Sleep(d)
	assert.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, x := range l.last {
			if x.Before(start) {
				return false
			}
		}
		return true
	}, 15*time.Second, 20*time.Millisecond, "a key is not served any more")
}

// longest returns the longest time that a key went without an answer.
func (l *load) longest() (string, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key, d := "", time.Duration(0)
	for k, x := range l.worst {
		if x > d {
			key, d = k, x
		}
	}
	return key, d
}

// check ends the load and compares what callers were told with the servers' logs.
func (l *load) check(t *testing.T, limit time.Duration) {
	t.Helper()
	l.end()
	key, gap := l.longest()
	t.Logf("longest time without an answer: %v for %s; %s", gap.Round(time.Millisecond), key, l.summary())
	assert.LessOrEqual(t, gap, limit, "time without an answer for %s", key)
	assert.Empty(t, l.wrong)
	l.x.checkWork(t, l.ids)
	if t.Failed() {
		t.Log(strings.Join(l.failed[:min(40, len(l.failed))], "\n"))
	}
}

// checkNoFailure is check for a planned change: callers saw no failure at all.
func (l *load) checkNoFailure(t *testing.T, limit time.Duration) {
	t.Helper()
	l.check(t, limit)
	assert.Empty(t, l.failed, "requests failed in a planned change")
}

func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s []string
	for k, n := range l.counts {
		s = append(s, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(s)
	return strings.Join(s, ", ")
}

// checkWork proves from the servers' logs: one owner of each key at any moment, writes and swaps at most once,
// what was answered ran, and what was refused as not run did not.
func (x *site) checkWork(t *testing.T, ids map[ident.Request]string) {
	t.Helper()
	work := x.Work()
	assert.Empty(t, fakes.OneOwner(work).Err(), "one owner")
	var once []fakes.Work
	ran := map[ident.Request]fakes.Work{}
	for _, w := range work {
		if w.Method != http.MethodPost {
			continue
		}
		once = append(once, w)
		if w.Outcome != fakes.NotRunOutcome {
			ran[w.Request] = w
		}
	}
	assert.Empty(t, fakes.AtMostOnce(once).Err(), "at most once")
	for id, o := range ids {
		w, ok := ran[id]
		switch o {
		case notRun:
			assert.False(t, ok, "refused as not run, but it ran: %s", &w)
		case answered:
			assert.True(t, ok, "answered, but %s never ran", id)
		}
	}
}
