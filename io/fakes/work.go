package fakes

import (
	"fmt"
	"math"
	"slices"

	"heatherrouter/core/check"
	"heatherrouter/core/ident"
)

// Outcome is what became of a piece of work at a backend server.
type Outcome string

// Outcomes. All but NotRun may have had their effect.
const (
	RunningOutcome   Outcome = "running"
	AnsweredOutcome  Outcome = "answered"
	NotRunOutcome    Outcome = "not-run"   // refused before anything was done
	CancelledOutcome Outcome = "cancelled" // the connection was closed by the sender in the middle
	ExpiredOutcome   Outcome = "expired"   // the deadline passed in the middle
	FailedOutcome    Outcome = "failed"    // the server fell over, was stopped, or cut the answer
)

// Work is one request as a backend server stand-in saw it.
type Work struct {
	Server      ident.Server      `json:"server"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Request     ident.Request     `json:"request-id"`
	Key         string            `json:"key"`
	Shard       ident.Shard       `json:"shard"`
	Epoch       ident.Epoch       `json:"epoch"`
	Method      string            `json:"method"`
	Path        string            `json:"path"`
	Start       int64             `json:"start"` // in unix nanoseconds
	End         int64             `json:"end"`   // 0 while running; of expired work its deadline, though noticed later
	Outcome     Outcome           `json:"outcome"`
	Reason      string            `json:"reason,omitempty"` // of a refusal
}

// ran reports whether the work may have had an effect.
func (w *Work) ran() bool { return w.Outcome != NotRunOutcome }

// end returns when the work ended; work that runs may go on for good.
func (w *Work) end() int64 {
	if w.End == 0 {
		return math.MaxInt64
	}
	return w.End
}

func (w *Work) place() check.Place {
	return check.Place{File: string(w.Server), Key: string(w.Request)}
}

func (w *Work) String() string {
	return fmt.Sprintf("request %s of key %q on %s at epoch %d from %d to %d, %s",
		w.Request, w.Key, w.Server, w.Epoch, w.Start, w.End, w.Outcome)
}

// sortRan returns the work that ran, by the name that by returns and then by start.
func sortRan[T ~string](l []Work, by func(*Work) T) map[T][]*Work {
	m := map[T][]*Work{}
	for i := range l {
		if w := &l[i]; w.ran() {
			m[by(w)] = append(m[by(w)], w)
		}
	}
	for _, x := range m {
		slices.SortFunc(x, func(a, b *Work) int { return int(a.Start - b.Start) })
	}
	return m
}

// OneOwner returns a finding for each piece of keyed work that shows a key with two owners:
// work that began on one server before another had ended with the key, and work under an older epoch that
// began after a newer epoch had been at work on the same server. Work without a key is left out.
func OneOwner(l []Work) check.Findings {
	var f check.Findings
	byKey := sortRan(l, func(w *Work) string {
		if w.Key == "" {
			return ""
		}
		return string(w.Server.Service()) + "\x00" + w.Key
	})
	delete(byKey, "")
	for _, x := range byKey {
		checkOverlap(x, &f)
	}
	for _, x := range sortRan(l, func(w *Work) ident.Server { return w.Server }) {
		checkEpochs(x, &f)
	}
	sortFindings(f)
	return f
}

// checkOverlap keeps, for each server, the work on the key that ends last; few servers ever have one key.
func checkOverlap(l []*Work, f *check.Findings) {
	last := map[ident.Server]*Work{}
	for _, w := range l {
		for s, o := range last {
			if s != w.Server && o.end() > w.Start {
				f.Addf(w.place(), "two owners: %s began before the end of %s", w, o)
			}
		}
		if o := last[w.Server]; o == nil || w.end() > o.end() {
			last[w.Server] = w
		}
	}
}

// checkEpochs takes one server's work. Epoch 0 is work whose sender told none.
func checkEpochs(l []*Work, f *check.Findings) {
	var newest *Work
	for _, w := range l {
		switch {
		case w.Epoch == 0:
		case newest == nil || w.Epoch >= newest.Epoch:
			newest = w
		default:
			f.Addf(w.place(), "older epoch: %s began after %s", w, newest)
		}
	}
}

// AtMostOnce returns a finding for each piece of work whose request had already run.
// Idempotent requests may rightly run twice: leave them out of the logs that are given.
func AtMostOnce(l []Work) check.Findings {
	var f check.Findings
	m := sortRan(l, func(w *Work) string {
		if w.Request == "" {
			return ""
		}
		return string(w.Server.Service()) + "\x00" + string(w.Request)
	})
	delete(m, "")
	for _, x := range m {
		for _, w := range x[1:] {
			f.Addf(w.place(), "ran again: %s after %s", w, x[0])
		}
	}
	sortFindings(f)
	return f
}

func sortFindings(f check.Findings) {
	slices.SortFunc(f, func(a, b check.Finding) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
}
