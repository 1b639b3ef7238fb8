package choice

import (
	"time"

	"heatherrouter/core/mono"
)

const (
	// leastCell and leastCells are the span of which the least is followed, in parts that are forgotten one by one.
	// Neighbours on its host slow a server down for 0.4 s at a time and leave it alone four times in five, so that one that
	// hasn't been quick for 1.4 s is slow itself.
	leastCell  = 200 * time.Millisecond
	leastCells = 7
)

// Least follows the least of a server's reports of its pace, of late: what it is when its neighbours leave it alone. A
// server that turns slow is known by it while it is slow, and no longer.
type Least struct {
	cells [leastCells + 1]float64 // 0 for no report
	cell  int64                   // of the newest report
	ever  float64
}

// Add takes in a report.
func (l *Least) Add(now mono.Time, x float64) {
	l.turn(now)
	if c := &l.cells[l.cell%(leastCells+1)]; *c == 0 || x < *c {
		*c = x
	}
	if l.ever == 0 || x < l.ever {
		l.ever = x
	}
}

// At returns the least of late. Without a report of late it is the least ever: a server that is left alone for being slow
// has to be tried again. It is 0 before any report.
func (l *Least) At(now mono.Time) float64 {
	x := *l
	x.turn(now)
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

// turn forgets the parts that are too old.
func (l *Least) turn(now mono.Time) {
	cell := int64(now) / int64(leastCell)
	for n := 0; l.cell < cell && n <= leastCells; n++ {
		l.cell++
		l.cells[l.cell%(leastCells+1)] = 0
	}
	l.cell = max(l.cell, cell)
}
