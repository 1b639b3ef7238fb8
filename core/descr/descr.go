// Package descr divides the sockets that a process may open, so that callers can't take those that it needs to serve them, to hold keys
// or to follow the store.
package descr

// Use is what a socket is for.
type Use uint8

// Uses, those first that are refused first when sockets are scarce.
const (
	Callers  Use = iota // connections that callers have opened
	Requests            // connections to backend servers, for requests and health checks
	Orders              // connections to backend servers that hold keys
	uses
)

// Uses returns all uses.
func Uses() []Use { return []Use{Callers, Requests, Orders} }

// String returns the name of the use in logs.
func (u Use) String() string {
	return [...]string{"callers", "requests", "orders"}[u]
}

// reserved is how many sockets nobody acquires: those of the store, the ports, status requests and short checks whether a server accepts
// connections.
const reserved = 128

// Shares of the limit without the reserved sockets.
const (
	callersRatio = 0.75 // for callers, at most
	sharedRatio  = 0.9  // for callers and requests together; the rest is left to orders
	scarceRatio  = 0.9  // from this part of a share on it counts as scarce
)

// Counts holds how many sockets are open for each use.
type Counts struct {
	limit   int // for all uses
	open    [uses]int
	refused [uses]int
}

// New returns the counts of a process that may open the given number of sockets.
func New(sockets int) *Counts {
	return &Counts{limit: sockets - min(reserved, sockets/4)}
}

// Acquire takes a socket for a use. It reports false if there is none left for it. A socket that was acquired must be released.
func (c *Counts) Acquire(u Use) bool {
	if c.left(u) <= 0 {
		c.refused[u]++
		return false
	}
	c.open[u]++
	return true
}

// Release gives back a socket.
func (c *Counts) Release(u Use) { c.open[u]-- }

// left returns how many more sockets a use may take.
func (c *Counts) left(u Use) int {
	total := 0
	for _, n := range c.open {
		total += n
	}
	if u == Orders {
		return c.limit - total
	}
	n := c.share(sharedRatio) - total
	if u == Callers {
		n = min(n, c.share(callersRatio)-c.open[Callers])
	}
	return n
}

func (c *Counts) share(ratio float64) int { return int(float64(c.limit) * ratio) }

// Scarce reports whether few sockets are left for a use, so that idle connections should be closed.
func (c *Counts) Scarce(u Use) bool {
	ratio := sharedRatio
	if u == Callers {
		ratio = callersRatio
	}
	return c.left(u) < c.share(ratio*(1-scarceRatio))
}

// Open returns how many sockets are open for a use.
func (c *Counts) Open(u Use) int { return c.open[u] }

// State is the state of Counts in the state dump.
type State struct {
	Limit   int            `json:"limit"` // without the reserved ones; 0 for no limit
	Open    map[string]int `json:"open"`
	Refused map[string]int `json:"refused"` // since the start
}

// State returns the current state.
func (c *Counts) State() State {
	s := State{Limit: c.limit, Open: map[string]int{}, Refused: map[string]int{}}
	for u := range uses {
		s.Open[u.String()], s.Refused[u.String()] = c.open[u], c.refused[u]
	}
	return s
}
