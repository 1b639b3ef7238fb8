package pace

import (
	"math"
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/live"
	"heatherrouter/core/mono"
)

const (
	// ColdWindow is the span that a ColdShare applies to. It is slightly longer than the second in which the limit is
	// counted, since the daemons' clocks differ.
	ColdWindow = 1050 * time.Millisecond

	// coldUtilisation is the fraction of the limit that is used. A cold server may crash above the rate it can serve,
	// and a restarted daemon does not know which requests it has just sent.
	coldUtilisation = 0.7
)

// ColdLimit is the limit on the requests of all daemons together to one cold server.
type ColdLimit struct {
	Rate   float64 // requests per second that the server can serve
	Factor float64 // multiple of Rate that may be sent
	Slack  float64 // requests per second in addition to that
}

func (l ColdLimit) perSecond() int {
	return int(math.Floor((l.Rate*l.Factor + l.Slack) * coldUtilisation))
}

// ColdShare returns how many requests this daemon may send to a cold server in any ColdWindow, of those that the daemons given may
// send together. A remainder of the limit goes to the daemons with the highest rendezvous scores, one request each; if the limit is
// below the number of daemons, only these send. A daemon's share with more daemons is never larger, so that the sum stays within the
// limit if each daemon's set contains all that send.
func ColdShare(s ident.Server, self ident.Daemon, daemons []ident.Daemon, l ColdLimit) int {
	if len(daemons) == 0 {
		return 0
	}
	total, count := l.perSecond(), len(daemons)
	n, remainder := total/count, total%count
	if remainder == 0 {
		return n
	}
	higher := 0
	mine := live.Score(string(s), self)
	for _, d := range daemons {
		if d != self && live.Score(string(s), d) > mine {
			higher++
		}
	}
	if higher < remainder {
		n++
	}
	return n
}

// ColdServer counts the requests of this daemon to a server that is cold, or that may be while its row can't say so.
type ColdServer struct {
	sent     SlidingWindow
	checking bool      // whether the server is being asked for its health
	warmAt   mono.Time // when it was last known to be warm, by a health check
}

// Allows reports whether Take would count a request now.
func (c *ColdServer) Allows(now mono.Time, share int) bool {
	return c.sent.Allows(now, share, ColdWindow)
}

// Take counts a request to a cold server if the share allows it; it reports whether it does.
func (c *ColdServer) Take(now mono.Time, share int) bool { return c.sent.Take(now, share, ColdWindow) }

// AllowsUnread reports whether TakeUnread would count a request now, and whether the server must be asked for its health because it
// wouldn't.
func (c *ColdServer) AllowsUnread(now mono.Time, l ColdLimit, daemons int) (ok, check bool) {
	n, span := l.part(daemons)
	if c.sent.Allows(now, n, span) {
		return true, false
	}
	return false, c.beginCheck()
}

// TakeUnread counts a request to a server whose row can't say whether it is cold, if this daemon has sent less than its part of what all of
// the given number may send a cold one, since it was last known to be warm; it reports whether it has. It also reports whether the server
// must be asked for its health: with the next request in mind if there have been others lately.
func (c *ColdServer) TakeUnread(now mono.Time, l ColdLimit, daemons int) (ok, check bool) {
	n, span := l.part(daemons)
	if !c.sent.Take(now, n, span) {
		return false, c.beginCheck()
	}
	if now.Sub(c.warmAt) < span && !c.sent.Allows(now, n, span) {
		return true, c.beginCheck()
	}
	return true, false
}

// beginCheck reports whether a health check is to begin: there is one at a time.
func (c *ColdServer) beginCheck() bool {
	if c.checking {
		return false
	}
	c.checking = true
	return true
}

// part returns the part of each daemon if they divide the limit evenly: a number of requests, and the span in which it may send them.
func (l ColdLimit) part(daemons int) (n int, span time.Duration) {
	total := max(1, l.perSecond())
	if total >= daemons {
		return total / max(1, daemons), ColdWindow
	}
	return 1, ColdWindow * time.Duration(daemons) / time.Duration(total)
}

// Checked records the end of a health check.
func (c *ColdServer) Checked() { c.checking = false }

// WasWarm records that the server was warm at the given time: what was sent before counts no longer.
func (c *ColdServer) WasWarm(at mono.Time) {
	c.warmAt = at
	c.sent.Forget(at)
}
