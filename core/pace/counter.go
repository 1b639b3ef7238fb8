package pace

import (
	"time"

	"heatherrouter/core/mono"
)

// counterCells is the number of cells in the window of a windowCounter.
const counterCells = 40

// windowCounter counts the events in a sliding window, which moves by one cell at a time.
type windowCounter struct {
	n    [counterCells + 2]float64
	cell int64 // number of the newest cell
}

func (c *windowCounter) advance(now mono.Time, w time.Duration) {
	cell := cellOf(now, w)
	if cell-c.cell > int64(len(c.n)) {
		c.n, c.cell = [counterCells + 2]float64{}, cell
		return
	}
	for c.cell < cell {
		c.cell++
		*c.at(c.cell) = 0
	}
}

func cellOf(t mono.Time, w time.Duration) int64 { return int64(t) / max(1, int64(w)/counterCells) }

// add counts x events at the given time.
func (c *windowCounter) add(at mono.Time, w time.Duration, x float64) {
	c.advance(at, w)
	if cell := cellOf(at, w); c.cell-cell < int64(len(c.n)) {
		*c.at(cell) += x
	}
}

// take removes up to x events, the oldest first, from those of the present cell and of the given number of cells before it. It returns
// what remains of x.
func (c *windowCounter) take(now mono.Time, w time.Duration, cells int, x float64) float64 {
	c.advance(now, w)
	for i := c.cell - int64(cells); i <= c.cell; i++ {
		n := c.at(i)
		used := min(x, *n)
		*n, x = *n-used, x-used
	}
	return x
}

// atMost returns the events of the window, and those of up to two cells before it: events take effect a little later than they are
// counted.
func (c *windowCounter) atMost(now mono.Time, w time.Duration) float64 {
	return c.sum(now, w, len(c.n)-1)
}

// atLeast returns the events of the window but for those of its first cell.
func (c *windowCounter) atLeast(now mono.Time, w time.Duration) float64 {
	return c.sum(now, w, counterCells-1)
}

// sum returns the events of the present cell and of the given number of cells before it.
func (c *windowCounter) sum(now mono.Time, w time.Duration, cells int) float64 {
	c.advance(now, w)
	s := 0.0
	for i := c.cell - int64(cells); i <= c.cell; i++ {
		s += *c.at(i)
	}
	return s
}

func (c *windowCounter) at(cell int64) *float64 { return &c.n[(cell+int64(len(c.n)))%int64(len(c.n))] }
