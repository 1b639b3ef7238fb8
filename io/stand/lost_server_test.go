package stand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherrouter/core/ident"
	"heatherrouter/io/fakes"
	"heatherrouter/io/fakes/server"
	"heatherrouter/io/stand"
)

// A backend server of each service dies for good. Callers see its keys unanswered until its home has found it down
// and the coordinator has moved its shards; the home releases them at once, since it holds the lease.
func TestLostServer(t *testing.T) {
	bothKinds(t, func(t *testing.T, grants bool) {
		x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 4, grants: grants, server: work})
		l := x.startLoad(x.others()...)
		l.goOn(t, time.Second)
		go x.keyed.Servers[0].Restart(forGood, false)
		go x.unkeyed.Servers[0].Restart(forGood, false)
		l.goOn(t, 5*time.Second)
		l.check(t, servedAgain)
	})
}

// A backend server freezes in the middle of its work, for long enough that its shards move, and then runs on as if
// nothing had happened. What was in flight there must end before another server owns the key, though nobody hears
// of it: the server was told a deadline.
func TestFrozenServer(t *testing.T) {
	bothKinds(t, func(t *testing.T, grants bool) {
		x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 4, grants: grants, server: work})
		l := x.startLoad(x.others()...)
		l.goOn(t, time.Second)
		freeze(true, x.keyed.Servers[0], x.unkeyed.Servers[0])
		l.goOn(t, 5*time.Second)
		freeze(false, x.keyed.Servers[0], x.unkeyed.Servers[0])
		l.goOn(t, 2*time.Second)
		l.check(t, servedAgain)
	})
}

func freeze(on bool, l ...*server.Server) {
	for _, v := range l {
		v.Update(func(f *server.Faults) { f.Freeze = on })
	}
}

// A backend server restarts without warning and is cold: it bears one request at a time at first and falls over
// under more. Its home learns of it by the resets and the new incarnation, and has to ramp up anew.
func TestColdRestart(t *testing.T) {
	bothKinds(t, func(t *testing.T, grants bool) {
		o := work
		o.ColdWork = 100
		x := newSite(t, siteOptions{daemons: 3, domains: 3, servers: 4, grants: grants, server: o})
		l := x.startLoad(x.others()...)
		l.goOn(t, 2*time.Second)
		restarted := []*server.Server{x.keyed.Servers[0], x.unkeyed.Servers[0]}
		before := map[ident.Server]ident.Incarnation{}
		for _, v := range restarted {
			before[v.Name()] = v.Log()[0].Incarnation
			v.Restart(100*time.Millisecond, false)
		}
		l.goOn(t, 5*time.Second)
		l.check(t, servedAgain)
		for _, v := range restarted {
			n := 0
			for _, w := range v.Log() {
				// What the former life had in flight ends with it; the new one must never be overfed.
				if w.Incarnation == before[w.Server] {
					continue
				}
				assert.NotEqual(t, fakes.FailedOutcome, w.Outcome, "fell over: %s", &w)
				if w.Outcome == fakes.AnsweredOutcome {
					n++
				}
			}
			t.Logf("%s answered %d requests after its restart", v.Name(), n)
		}
	})
}

// settled waits until the daemon's copies say what f wants.
func settled(t *testing.T, limit time.Duration, f func() error) {
	t.Helper()
	assert.NoError(t, stand.Eventually(limit, f))
}
