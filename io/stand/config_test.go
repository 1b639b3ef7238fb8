package stand_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"heatherrouter/core/ident"
	"heatherrouter/io/admcli"
	"heatherrouter/io/admin"
	"heatherrouter/io/fakes"
	"heatherrouter/io/stand"
)

const inForce = 7 * time.Second // from the accepted publish until every daemon has it

// at returns an operator's client that knows one daemon only.
func (x *site) at(daemon int) *admcli.Client {
	return admcli.New(admcli.Options{
		Addrs: []netip.AddrPort{x.Daemons[daemon].Admin}, Key: stand.OperatorKey, Dial: fasthttp.Dial,
		Sleep: func(c context.Context, d time.Duration) error {
			select {
			case <-time.After(d):
				return nil
			case <-c.Done():
				return context.Cause(c)
			}
		},
	})
}

// edit returns a change of the unkeyed service's file, told by its mark.
func (x *site) edit(t *testing.T, base ident.Rev, mark string) admin.Publish {
	t.Helper()
	f, err := x.File(x.unkeyed, 3)
	require.NoError(t, err)
	f.Body += fmt.Sprintf(`
[[kinds]]
name = "%s"
methods = ["GET"]
path = "/%s"
timeout = "1s"
priority = 5
`, mark, mark)
	return admin.Publish{Txn: stand.NewTxn(), BaseRev: base, Files: []admin.File{f}, By: "test"}
}

// publishAt publishes a change at one daemon, on the revision that it holds.
func (x *site) publishAt(t *testing.T, daemon int, mark string) ident.Rev {
	t.Helper()
	c, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	base, err := x.at(daemon).ConfigRev(c)
	require.NoError(t, err)
	a, err := x.at(daemon).Publish(c, x.edit(t, base, mark))
	require.NoError(t, err)
	return a.Rev
}

// revWatch looks at the revision that each daemon has in force, again and again.
type revWatch struct {
	x    *site
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	revs []ident.Rev // highest seen of each daemon, over all its lives
	back []string
}

func (x *site) watchRevs() *revWatch {
	w := &revWatch{x: x, stop: make(chan struct{}), revs: make([]ident.Rev, len(x.Daemons))}
	for i := range x.Daemons {
		w.wg.Go(func() {
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(loadPause):
					w.look(i)
				}
			}
		})
	}
	return w
}

// look asks one daemon. One that has just started may hold no revision yet, but never an older one.
func (w *revWatch) look(i int) {
	c, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := w.x.at(i).ConfigRev(c)
	if err != nil || r == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r < w.revs[i] {
		w.back = append(w.back, fmt.Sprintf("%s went from %d back to %d", w.x.Daemons[i].Name, w.revs[i], r))
	}
	w.revs[i] = max(w.revs[i], r)
}

func (w *revWatch) end(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.wg.Wait()
	assert.Empty(t, w.back, "a configuration reverted")
}

// everywhere waits until all the daemons have the revision in force.
func (x *site) everywhere(t *testing.T, r ident.Rev, daemons ...int) {
	t.Helper()
	start := time.Now()
	require.NoError(t, stand.Eventually(inForce, func() error {
		for _, i := range daemons {
			c, cancel := context.WithTimeout(t.Context(), time.Second)
			got, err := x.at(i).ConfigRev(c)
			cancel()
			if err != nil || got < r {
				return fmt.Errorf("%s has revision %d, not %d: %w", x.Daemons[i].Name, got, r, err)
			}
		}
		return nil
	}))
	t.Logf("revision %d in force everywhere after %v", r, time.Since(start).Round(time.Millisecond))
}

// Two operators publish different changes on the same revision at two daemons, at the same moment, again and again.
// Each time the table takes one of them: the other operator is told of a conflict, and every daemon has the winner's.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 1})
	w := x.watchRevs()
	for round := range 5 {
		base, err := x.at(0).ConfigRev(t.Context())
		require.NoError(t, err)
		x.everywhere(t, base, x.others()...)
		marks := []string{fmt.Sprintf("left-%d", round), fmt.Sprintf("right-%d", round)}
		errs := make([]error, len(marks))
		edits := []admin.Publish{x.edit(t, base, marks[0]), x.edit(t, base, marks[1])}
		var wg sync.WaitGroup
		for i := range marks {
			wg.Go(func() { _, errs[i] = x.at(i).Publish(t.Context(), edits[i]) })
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		require.NoError(t, errs[winner])
		var conflict *admin.ConflictError
		require.ErrorAs(t, errs[1-winner], &conflict)
		x.everywhere(t, base+1, x.others()...)
		for i := range x.Daemons {
			s, err := x.at(i).Service(t.Context(), x.unkeyed.Name)
			require.NoError(t, err)
			assert.Contains(t, s.File, marks[winner])
			assert.NotContains(t, s.File, marks[1-winner])
		}
	}
	w.end(t)
}

// A publish is accepted, and at once something fails: the table, the daemon that took it, both, or every daemon.
// The operator has seen it accepted, so it has to be in force at every daemon that runs, and stay so.
func TestAcceptedConfig(t *testing.T) {
	t.Parallel()
	x := newSite(t, siteOptions{daemons: 4, domains: 2, servers: 1})
	w := x.watchRevs()
	t.Log("the table fails")
	r := x.publishAt(t, 1, "one")
	x.fault(t, fakes.Faults{Outage: fakes.HangOutage})
	x.everywhere(t, r, x.others()...)
	x.fault(t, fakes.Faults{})

	t.Log("the daemon that took it is killed")
	r = x.publishAt(t, 1, "two")
	x.Daemons[1].Kill()
	x.everywhere(t, r, x.others(1)...)
	require.NoError(t, x.Daemons[1].Start())
	x.everywhere(t, r, x.others()...)

	t.Log("both")
	r = x.publishAt(t, 2, "three")
	x.fault(t, fakes.Faults{Outage: fakes.HangOutage})
	x.Daemons[2].Kill()
	x.everywhere(t, r, x.others(2)...)
	x.fault(t, fakes.Faults{})
	require.NoError(t, x.Daemons[2].Start())

	t.Log("every daemon is replaced")
	x.everywhere(t, r, x.others()...)
	r = x.publishAt(t, 3, "four")
	for _, d := range x.Daemons {
		d.Kill()
	}
	require.NoError(t, x.Start())
	x.everywhere(t, r, x.others()...)
	x.serves()
	w.end(t)
}
