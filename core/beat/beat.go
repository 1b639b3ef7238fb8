// Package beat orders the announcements of backend servers. A store may carry out a write seconds after it was sent: after newer ones of
// the server, after the server's row was deleted, or after the server has restarted.
package beat

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// Number is the position of an announcement among those of a server.
type Number struct {
	Born     int64 // start of the incarnation in Unix milliseconds
	Sequence int64 // within the incarnation
}

// Before reports whether n is older than x.
func (n Number) Before(x Number) bool {
	if n.Born != x.Born {
		return n.Born < x.Born
	}
	return n.Sequence < x.Sequence
}

const (
	// LateWriteLimit is the longest time after which the store carries out a write that it didn't acknowledge. An older row that stays
	// for longer replaces the newest announcement: that one was wrong, or the clock of the server's host was set back before a restart.
	LateWriteLimit = 10 * time.Second

	// DrainingLimit replaces LateWriteLimit for the older rows of an incarnation that is draining. It may serve for many seconds after it
	// has announced that, and doesn't write its row again as long as only its sequence changes.
	DrainingLimit = 30 * time.Second
)

// Announcement is what a server's row says that matters here.
type Announcement struct {
	Number
	Draining bool
}

// History holds the newest announcement of each server, also of those whose rows were deleted a short time ago.
type History struct {
	servers map[ident.Server]*record
}

// record is the newest announcement of a server, and how the server's row in the store relates to it.
type record struct {
	newest Announcement
	row    rowState
	until  mono.Time // when an older row is used all the same, or when newest is forgotten after the row was deleted
}

type rowState uint8

const (
	current rowState = iota // the row holds the newest announcement
	older
	invalid // the row can't be decoded
	deleted
)

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{servers: map[ident.Server]*record{}}
}

// Admit reports whether the row of a server, with announcement a, is to be used. An older one is not, until Due returns the server.
func (h *History) Admit(now mono.Time, s ident.Server, a Announcement) bool {
	x := h.servers[s]
	if x == nil || !a.Before(x.newest.Number) {
		h.servers[s] = &record{newest: a}
		return true
	}
	until := now.Add(LateWriteLimit)
	if x.newest.Draining && a.Born == x.newest.Born {
		until = now.Add(DrainingLimit)
	}
	if x.row == older {
		until = min(until, x.until)
	}
	x.row, x.until = older, until
	return false
}

// Learn records that a is the newest announcement of a server, as known from elsewhere, and that an older row of the server is used at the
// time until. It reports false if a is not newer than what was known.
func (h *History) Learn(until mono.Time, s ident.Server, a Announcement) bool {
	if x := h.servers[s]; x != nil && !x.newest.Before(a.Number) {
		return false
	}
	h.servers[s] = &record{newest: a, row: older, until: until}
	return true
}

// Invalid records that the row of a server can't be decoded.
func (h *History) Invalid(s ident.Server) {
	if x := h.servers[s]; x != nil {
		x.row = invalid
	}
}

// Deleted records that the row of a server was deleted.
func (h *History) Deleted(now mono.Time, s ident.Server) {
	if x := h.servers[s]; x != nil {
		x.row, x.until = deleted, now.Add(LateWriteLimit)
	}
}

// Superseded returns the newest announcement of a server whose row doesn't show it, and when an older row is used all the same.
func (h *History) Superseded(now mono.Time, s ident.Server) (a Announcement, until mono.Time, ok bool) {
	x := h.servers[s]
	switch {
	case x == nil || x.row == current:
		return Announcement{}, 0, false
	case x.row == older:
		return x.newest, x.until, true
	default:
		return x.newest, now.Add(LateWriteLimit), true
	}
}

// Newest returns the newest announcement of a server; false if none is known.
func (h *History) Newest(s ident.Server) (Announcement, bool) {
	x := h.servers[s]
	if x == nil {
		return Announcement{}, false
	}
	return x.newest, true
}

// Due returns the servers whose rows have been older for longer than a late write explains, and forgets their newest announcements, so that
// Admit accepts the rows. asOf is a time at which the rows were in the store.
func (h *History) Due(asOf mono.Time) []ident.Server {
	var l []ident.Server
	for s, x := range h.servers {
		if x.row == older && !asOf.Before(x.until) {
			l = append(l, s)
			delete(h.servers, s)
		}
	}
	return l
}

// Prune forgets the servers whose rows were deleted so long ago that no write of theirs is pending.
func (h *History) Prune(now mono.Time) {
	for s, x := range h.servers {
		if x.row == deleted && !now.Before(x.until) {
			delete(h.servers, s)
		}
	}
}
