package choice

import (
	"time"

	"heatherrouter/core/mono"
)

const (
	// minCellLength and minCells give the sliding window: the length of a cell and the number of cells. Other processes
	// on its host slow a server down for 0.4 s at a time and for a fifth of the time. A server that has not been fast for
	// 1.4 s is therefore slow itself.
	minCellLength = 200 * time.Millisecond
	minCells      = 7
)

// WindowedMin is the minimum of a server's reported slowdowns over a sliding window, which is its baseline slowdown.
// It rises while a server itself is slow and falls back as soon as the server is fast again.
type WindowedMin struct {
	cells [minCells + 1]float64 // minimum of each cell; 0 is no report
	cell  int64                 // number of the newest cell
	ever  float64               // minimum of all reports
}

// Add records a report.
func (l *WindowedMin) Add(now mono.Time, x float64) {
	l.advance(now)
	if c := &l.cells[l.cell%(minCells+1)]; *c == 0 || x < *c {
		*c = x
	}
	if l.ever == 0 || x < l.ever {
		l.ever = x
	}
}

// Min returns the minimum over the window, or over all reports if the window has none. A server that is avoided for
// being slow has to be tried again. Min is 0 before the first report.
func (l *WindowedMin) Min(now mono.Time) float64 {
	x := *l
	x.advance(now)
	least := 0.0
	for _, c := range x.cells {
		if c > 0 && (least == 0 || c < least) {
			least = c
		}
	}
	if least == 0 {
		return l.ever
	}
	return least
}

// advance clears the cells that have left the window.
func (l *WindowedMin) advance(now mono.Time) {
	cell := int64(now) / int64(minCellLength)
	for n := 0; l.cell < cell && n <= minCells; n++ {
		l.cell++
		l.cells[l.cell%(minCells+1)] = 0
	}
	l.cell = max(l.cell, cell)
}
