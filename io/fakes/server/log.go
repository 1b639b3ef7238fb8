package server

import (
	"slices"
	"sync"
	"time"

	"heatherrouter/io/fakes"
)

// workLog is the log of all work. An entry is made as work begins and completed as it ends.
type workLog struct {
	on bool

	mu sync.Mutex
	l  []fakes.Work
}

func (w *workLog) init(on bool) { w.on = on }

// begin returns the entry's number.
func (w *workLog) begin(x fakes.Work) int {
	if !w.on {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.l = append(w.l, x)
	return len(w.l) - 1
}

// end notes how the work ended. Work that expired ended at its deadline: a server that was frozen over it notices
// late, but has done nothing since.
func (w *workLog) end(n int, o fakes.Outcome, reason string, deadline time.Time) {
	if !w.on {
		return
	}
	now := time.Now().UnixNano()
	if o == fakes.ExpiredOutcome {
		now = min(now, deadline.UnixNano())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.l[n].End, w.l[n].Outcome, w.l[n].Reason = now, o, reason
}

func (w *workLog) all() []fakes.Work {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.l)
}
