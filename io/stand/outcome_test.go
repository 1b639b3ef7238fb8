package stand_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
)

const swapTakes = 300 * time.Millisecond

// slow is the servers' setting for tests that break something in the middle of a request.
var slow = server.Options{ServiceTime: server.Fixed(swapTakes)}

const swaps = 24 // at once: more than all slots together, so that some wait at their homes

// swapsAt sends swaps at the entries, all at once, runs the fault in their middle, and returns their outcomes.
func (x *site) swapsAt(fault func(), entries ...int) map[ident.Request]string {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ids := map[ident.Request]string{}
	for i := range swaps {
		id := fmt.Sprintf("swap-%d", i)
		wg.Go(func() {
			r := x.post(entries[i%len(entries)], "/plain/swap", id)
			mu.Lock()
			defer mu.Unlock()
			ids[ident.Request("plain/"+id)] = r.seen()
		})
	}
	time.Sleep(swapTakes / 2) // the middle of the first ones' work
	fault()
	wg.Wait()
	return ids
}

func count(ids map[ident.Request]string) map[string]int {
	m := map[string]int{}
	for _, o := range ids {
		m[o]++
	}
	return m
}

// An entry dies while its callers wait for swaps. They see their connections end and can't know what ran, so each
// sends its swap again under the same id at another entry. The homes remember the ids: nothing runs twice.
func TestEntryDiesInSwaps(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 4, domains: 2, servers: 3, server: slow})
	lost := x.idlest(t)
	ids := x.swapsAt(func() { x.Daemons[lost].Kill() }, lost)
	t.Logf("at the lost entry: %v", count(ids))
	require.Positive(t, count(ids)[broken])
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range swaps {
		id := fmt.Sprintf("swap-%d", i)
		wg.Go(func() {
			r := x.post(x.others(lost)[i%3], "/plain/swap", id)
			mu.Lock()
			defer mu.Unlock()
			if o := r.seen(); o != notRun { // that says nothing of the first time
				ids[ident.Request("plain/"+id)] = o
			}
		})
	}
	wg.Wait()
	t.Logf("sent again: %v", count(ids))
	x.checkWork(t, ids)
}

// A home is killed in the middle of swaps that other entries sent to it. Those that were at its servers may have
// run: their callers are told that it is unknown. The entries never send them again.
func TestHomeDiesInSwaps(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 4, domains: 2, servers: 3, server: slow})
	lost := x.busiest(t)
	ids := x.swapsAt(func() { x.Daemons[lost].Kill() }, x.others(lost)...)
	t.Logf("%v", count(ids))
	x.checkWork(t, ids)
}

// A home is frozen in the middle of swaps and runs on after their deadlines. The swaps that still wait in its queue
// have been given up by then, some of them sent elsewhere: none may start now.
func TestHomeFreezesInSwaps(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 4, domains: 2, servers: 3, server: slow})
	lost := x.busiest(t)
	ids := x.swapsAt(func() {
		x.Daemons[lost].Signal(syscall.SIGSTOP)
		time.AfterFunc(4*time.Second, func() { x.Daemons[lost].Signal(syscall.SIGCONT) })
	}, x.others(lost)...)
	t.Logf("%v", count(ids))
	settled(t, 15*time.Second, func() error { return x.serving(lost) })
	x.checkWork(t, ids)
}

// A server freezes in the middle of swaps and thaws later. Its callers are told that the outcome is unknown, and
// nothing that was sent there is sent anywhere else.
func TestServerFreezesInSwaps(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 3, server: slow})
	v := x.unkeyed.Servers[0]
	ids := x.swapsAt(func() { freeze(true, v) }, 0, 1, 2)
	t.Logf("%v", count(ids))
	freeze(false, v)
	settled(t, 15*time.Second, func() error { return x.serving(0) })
	x.checkWork(t, ids)
}

// A server dies in the middle of swaps. The same holds as when it freezes; the connections' ends tell it at once.
func TestServerDiesInSwaps(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 3, server: slow})
	ids := x.swapsAt(func() { go x.unkeyed.Servers[0].Restart(forGood, false) }, 0, 1, 2)
	t.Logf("%v", count(ids))
	assert.Positive(t, count(ids)[answered])
	x.checkWork(t, ids)
}

// A server cuts a download off, and later a home dies in the middle of one. Both times the caller must see the body
// cut: its length is short of what the answer's head said, and the connection ends.
func TestCutDownloadLooksCut(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 1, server: work})
	x.unkeyed.Servers[0].Update(func(f *server.Faults) { f.CutBodies, f.CutAt = 1, 100_000 })
	r := x.get(0, fmt.Sprintf("/plain/volume/%d", volumeSize))
	require.Error(t, r.err, r)
	require.Less(t, len(r.body), volumeSize)

	home := x.homeOf(t, x.unkeyed.Servers[0].Name())
	time.AfterFunc(500*time.Millisecond, func() { x.Daemons[home].Signal(syscall.SIGKILL) })
	r = x.get((home+1)%3, fmt.Sprintf("/plain/volume/%d", longVolume))
	require.Error(t, r.err, r)
	require.Less(t, len(r.body), longVolume)
}

// A caller loses the answer to its swap and sends it again under the same Idempotency-Key, by every other entry. The
// key leads to the same home each time, which remembers it; spread over the servers, each would run the swap.
func TestNamedSwapRunsOnce(t *testing.T) {
	x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 4})
	for i := range 12 {
		key := map[string]string{"Idempotency-Key": fmt.Sprintf("swap-%d", i)}
		require.Equal(t, http.StatusOK, x.do(i%3, http.MethodPost, "/plain/swap", key).status)
		for j := range 3 {
			a := x.do(j, http.MethodPost, "/plain/swap", key)
			require.Equal(t, "unknown", a.outcome, a)
		}
	}
	require.Empty(t, fakes.AtMostOnce(swapsOf(x.Work())))
}

func swapsOf(l []fakes.Work) []fakes.Work {
	return slices.DeleteFunc(l, func(w fakes.Work) bool { return w.Path != "/swap" })
}
