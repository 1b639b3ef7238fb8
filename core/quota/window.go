package quota

import (
	"time"

	"heatherrouter/core/mono"
)

// sentWindow is a sliding-window counter of requests. It rounds the window up, so it never undercounts.
type sentWindow struct {
	length time.Duration
	cells  [sentCells + 1]float64
	cell   int64 // number of the newest cell
	sum    float64
}

const (
	sentCells   = 20
	recentParts = 5
	recentCells = sentCells / recentParts
)

// Recent counts the requests of a window by age, newest first.
type Recent [recentParts]float64

func (w *sentWindow) advance(now mono.Time) {
	cell := int64(now) / (int64(w.length) / sentCells)
	if cell-w.cell > sentCells {
		w.cells, w.sum = [sentCells + 1]float64{}, 0
		w.cell = cell
	}
	for w.cell < cell {
		w.cell++
		c := w.at(0)
		w.sum -= *c
		*c = 0
	}
}

// at returns the cell that is age cells older than the newest.
func (w *sentWindow) at(age int) *float64 {
	return &w.cells[(w.cell-int64(age))%(sentCells+1)]
}

func (w *sentWindow) add(n float64) {
	*w.at(0) += n
	w.sum += n
}

// remove takes back requests that were added to the cell, unless it has left the window.
func (w *sentWindow) remove(cell int64, n float64) {
	if w.cell-cell > sentCells {
		return
	}
	w.cells[cell%(sentCells+1)] -= n
	w.sum -= n
}

// scale multiplies all counts by f.
func (w *sentWindow) scale(f float64) {
	w.sum = 0
	for i := range w.cells {
		w.cells[i] *= f
		w.sum += w.cells[i]
	}
}

func (w *sentWindow) recent(now mono.Time) Recent {
	w.advance(now)
	var r Recent
	for age := range sentCells + 1 {
		r[min(age/recentCells, recentParts-1)] += *w.at(age)
	}
	return r
}

// addRecent adds another window's counts. Each part is added to its newest cell, so that no request expires early.
func (w *sentWindow) addRecent(r Recent) {
	for i, n := range r {
		*w.at(i * recentCells) += n
		w.sum += n
	}
}
