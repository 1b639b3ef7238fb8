package lease_test

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var perRule = flag.Int("model.rules", 0, "schedules to play for each rule taken out, to count how many show it")

const (
	lanes     = 8 // subtests that share the schedules, in parallel
	perLane   = 1300
	servedIn  = 3 * sec // after the faults end
	searchFor = 3000    // schedules in which a rule taken out must show, at the latest
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", fmt.Sprint(perLane))
	}
	// The schedules make much garbage and keep next to nothing.
	debug.SetGCPercent(1000)
	os.Exit(m.Run())
}

// The caller sees two answers about one shard that contradict each other, from two backend servers or through two homes.
// Messages are late or lost, links are cut, processes freeze and come back, and meanwhile shards, homes and witnesses
// change. Whatever the order, the servers' logs must show one owner of a shard and one home of a server at any moment.
// When the faults end, each shard must be served again within 3 s, also with two daemons lost for good.
func TestOneOwnerInAnySchedule(t *testing.T) {
	g := schedules()
	for i := range lanes {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				x := g.Draw(t, "schedule")
				// Lanes start at nearly the same time, which is where the library takes its seeds from.
				x.Seed += uint64(i)
				w := play(x)
				if w.judge.fault != "" {
					t.Fatalf("%s", w.judge.fault)
				}
				if u := w.unserved(); u > servedIn {
					t.Fatalf("a shard was unserved for %v ms after the faults", u/ms)
				}
			})
		})
	}
}

// Without a rule the model must show two owners, or the check above proves nothing about that rule.
func TestEachRuleTakenOutShows(t *testing.T) {
	g := schedules()
	for _, x := range shows {
		t.Run(fmt.Sprint(x.rules), func(t *testing.T) {
			t.Parallel()
			if *perRule > 0 {
				t.Log(count(g, *perRule, x.rules))
				return
			}
			for i := range searchFor {
				// The seed that showed it last comes first; the search is for when the schedules have changed.
				n := (x.seed + i) % searchFor
				if w := play(g.Example(n), x.rules...); w.judge.fault != "" {
					t.Logf("seed %d: %s", n, w.judge.fault)
					return
				}
			}
			require.Fail(t, "no schedule shows that the rule is gone")
		})
	}
}

// count plays n schedules without the rules and tells how many show it.
func count(g *rapid.Generator[schedule], n int, off []rule) string {
	bad, first := 0, ""
	for i := range n {
		w := play(g.Example(i), off...)
		if w.judge.fault == "" {
			continue
		}
		bad++
		if first == "" {
			first = fmt.Sprintf("seed %d: %s", i, w.judge.fault)
		}
	}
	return fmt.Sprintf("%v: %d of %d; %s", off, bad, n, first)
}

// Rules whose absence no schedule has shown so far: another rule stands behind each, as the comments say. The named
// tests of this package show what each does by itself.
func TestCountSilentRules(t *testing.T) {
	if *perRule == 0 {
		return
	}
	g := schedules()
	for _, r := range silent {
		t.Run(r.String(), func(t *testing.T) {
			t.Parallel()
			t.Log(count(g, *perRule, []rule{r}))
		})
	}
}
