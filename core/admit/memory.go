package admit

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// dedupTTL is how long the id of ended non-idempotent work is kept. It is longer than any caller's
// deadline with its retries, so that a delayed copy of the request is still detected.
const dedupTTL = 5 * time.Minute

// idTable holds the ids of non-idempotent requests that are queued or were started.
//
// A shift swap that reaches the server twice is registered twice. The home is the only sender to its
// server, so one table there sees every copy that arrives while it is home.
type idTable struct {
	limit int
	ids   map[ident.Request]mono.Time // when the id expires; Never while pending
	order []endedID                   // ended requests, oldest first
}

type endedID struct {
	id    ident.Request
	until mono.Time
}

func (m *idTable) seen(now mono.Time, id ident.Request) (pending, ok bool) {
	m.forget(now)
	t, ok := m.ids[id]
	return t == mono.Never, ok
}

// add inserts the id as pending, or reports that the table is full. An id is never evicted early: a copy of
// its request could then run, which is worse than a refusal.
func (m *idTable) add(id ident.Request) bool {
	if len(m.ids) >= m.limit {
		return false
	}
	m.ids[id] = mono.Never
	return true
}

// end ends a pending id: that of a request that did not run is removed, so that the request may be sent again.
func (m *idTable) end(now mono.Time, id ident.Request, ran bool) {
	if !ran {
		delete(m.ids, id)
		return
	}
	t := now.Add(dedupTTL)
	m.ids[id] = t
	m.order = append(m.order, endedID{id: id, until: t})
}

func (m *idTable) forget(now mono.Time) {
	n := 0
	for n < len(m.order) && !now.Before(m.order[n].until) {
		delete(m.ids, m.order[n].id)
		n++
	}
	if n > 0 {
		m.order = m.order[n:]
	}
}
