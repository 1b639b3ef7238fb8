package admit

import (
	"time"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// rememberFor is how long the id of ended non-idempotent work is remembered. It is longer than any caller's
// deadline with its retries, so that a copy of the request that was delayed on its way still finds it.
const rememberFor = 5 * time.Minute

// memory holds the ids of non-idempotent requests that were started, or wait to be.
//
// A request that reaches the server twice registers a shift swap twice. The home is the only sender to its
// server, so one memory there sees every copy that arrives while it is home.
type memory struct {
	limit int
	ids   map[ident.Request]mono.Time // until when; Never while pending
	order []remembered                // ended ones, oldest first
}

type remembered struct {
	id    ident.Request
	until mono.Time
}

func (m *memory) seen(now mono.Time, id ident.Request) (pending, ok bool) {
	m.forget(now)
	t, ok := m.ids[id]
	return t == mono.Never, ok
}

// add remembers the id as pending, or reports that there is no room. An old id is never pushed out early:
// its copy could then run, and a refusal is only an inconvenience.
func (m *memory) add(id ident.Request) bool {
	if len(m.ids) >= m.limit {
		return false
	}
	m.ids[id] = mono.Never
	return true
}

// end settles a pending id: one that certainly did not run may come again.
func (m *memory) end(now mono.Time, id ident.Request, ran bool) {
	if !ran {
		delete(m.ids, id)
		return
	}
	t := now.Add(rememberFor)
	m.ids[id] = t
	m.order = append(m.order, remembered{id: id, until: t})
}

func (m *memory) forget(now mono.Time) {
	n := 0
	for n < len(m.order) && !now.Before(m.order[n].until) {
		delete(m.ids, m.order[n].id)
		n++
	}
	if n > 0 {
		m.order = m.order[n:]
	}
}
