package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// A server that has just started falls over. Daemons that don't talk to each other send it all that their shares allow;
// in no second may that be more than the server carries, whether there are fewer of them than requests allowed or more.
func TestColdServerOverAllDaemons(t *testing.T) {
	l := ColdLimit{Rate: 5.2, Factor: 1.5, Slack: 5}
	for _, n := range []int{1, 3, 8, 12, 82} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, uint64(n)))
			var names []ident.Daemon
			for i := range n {
				names = append(names, ident.Daemon(fmt.Sprint("d", i)))
			}
			cold := make([]Window, n)
			var sent []mono.Time
			for now := mono.Time(time.Hour); now < mono.Time(time.Hour+20*time.Second); now += mono.Time(time.Millisecond) {
				if i := r.IntN(n); cold[i].Take(now, ColdShare("s/1", names[i], names, l), ColdSpan) {
					sent = append(sent, now)
				}
			}
			require.NotEmpty(t, sent)
			for i := range sent {
				in := 0
				for _, x := range sent[i:] {
					if x.Sub(sent[i]) < time.Second {
						in++
					}
				}
				require.LessOrEqual(t, float64(in), l.Rate*l.Factor+l.Slack)
			}
		})
	}
}

// Servers are overrun by repeats. All requests of a service fail and every daemon repeats what its budget allows; over
// all daemons and in any window that may not be more than the site's share of the requests and its slack.
func TestBudgetOverAllDaemons(t *testing.T) {
	const daemons = 12
	l := BudgetLimit{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	r := rand.New(rand.NewPCG(2, 2))
	budgets := make([]Budget, daemons)
	var first, more []mono.Time
	for now := mono.Time(time.Hour); now < mono.Time(time.Hour+60*time.Second); now += mono.Time(10 * time.Millisecond) {
		i := int(r.ExpFloat64()*3) % daemons // uneven
		budgets[i].Arrive(now, l)
		first = append(first, now)
		if budgets[i].Take(now, daemons, l, true) {
			more = append(more, now)
		}
	}
	within := func(at []mono.Time, from mono.Time) (n int) {
		for _, x := range at {
			if x >= from && x.Sub(from) < l.Window {
				n++
			}
		}
		return n
	}
	for _, from := range more {
		require.LessOrEqual(t, float64(within(more, from)), l.Ratio*float64(within(first, from))+l.Slack)
	}
	require.Greater(t, len(more), len(first)/10, "the budget is used")
}

func TestWindowForgets(t *testing.T) {
	var w Window
	now := mono.Time(time.Hour)
	require.True(t, w.Take(now, 2, time.Second))
	require.True(t, w.Take(now, 2, time.Second))
	require.False(t, w.Take(now.Add(999*time.Millisecond), 2, time.Second))
	require.False(t, w.Take(now.Add(999*time.Millisecond), 1, time.Second), "a smaller share keeps what was sent")
	require.True(t, w.Take(now.Add(time.Second), 2, time.Second))
}
