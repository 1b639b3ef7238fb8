package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherrouter/core/config"
	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

// model tracks a Server from outside: open work by ticket, and what ran by request id.
type model struct {
	s       *Server
	now     mono.Time
	queued  map[Ticket]Work
	started map[Ticket]Work
	pending map[ident.Request]bool // non-idempotent ids that are started and may have run
}

func (m *model) decide(t *rapid.T, w Work, d Decision) {
	k := TicketOf(d)
	switch v := d.(type) {
	case Start:
		require.LessOrEqual(t, len(m.started)+1, m.s.ramp.open(), "more exchanges than open slots")
		require.False(t, m.s.health.down || m.s.draining)
		require.True(t, m.now.Before(w.Deadline), "started after its deadline")
		require.False(t, !w.Idempotent && m.pending[w.ID], "ran twice")
		m.pending[w.ID] = m.pending[w.ID] || !w.Idempotent
		m.started[k] = w
	case Queued:
		m.queued[k] = w
	case Refuse:
		require.NotEmpty(t, v.Reason)
		require.Greater(t, v.RetryAfter, m.now)
		if w.NeverDropped {
			require.NotEqual(t, ReasonEvicted, v.Reason)
		}
	}
}

func (m *model) changes(t *rapid.T, l []Decision) {
	for _, d := range l {
		w, ok := m.queued[TicketOf(d)]
		require.True(t, ok, "decision about work that is not queued")
		delete(m.queued, TicketOf(d))
		m.decide(t, w, d)
	}
	for k, w := range m.queued {
		require.True(t, m.now.Before(w.Deadline) || m.s.NextTick() <= m.now, "ticket %v has no decision by its deadline", k)
	}
	require.Len(t, m.s.queue.l, len(m.queued))
	require.LessOrEqual(t, len(m.queued), m.s.options.QueueLen)
	require.Len(t, m.s.inFlight, len(m.started))
}

// pass advances the time, with ticks when they are due.
func (m *model) pass(t *rapid.T, d time.Duration) {
	end := m.now.Add(d)
	for i := 0; m.s.NextTick() <= end; i++ {
		require.Less(t, i, 1000, "endless ticks")
		m.now = max(m.now, m.s.NextTick())
		m.changes(t, m.s.Tick(m.now))
	}
	m.now = end
}

func anyTicket(t *rapid.T, m map[Ticket]Work) Ticket {
	var l []Ticket
	for k := Ticket(0); len(l) < len(m); k++ {
		if _, ok := m[k]; ok {
			l = append(l, k)
		}
	}
	return rapid.SampledFrom(l).Draw(t, "ticket")
}

// For any order of events: never more exchanges than open slots, no work lost, each queued entry started
// or refused by its deadline, and no id of a non-idempotent request run twice.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &model{
			s:      New(0, Options{Slots: slots, QueueLen: 4, MaxRequestIDs: 8}),
			queued: map[Ticket]Work{}, started: map[Ticket]Work{}, pending: map[ident.Request]bool{},
		}
		if rapid.Bool().Draw(t, "warm") {
			m.s.ramp.jump(0, slots)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"done":   m.done,
			"cancel": func(t *rapid.T) {
				if len(m.queued) > 0 {
					m.changes(t, m.s.Cancel(m.now, anyTicket(t, m.queued)))
				}
			},
			"pass":  func(t *rapid.T) { m.pass(t, time.Duration(rapid.IntRange(0, 400).Draw(t, "ms"))*time.Millisecond) },
			"drain": func(t *rapid.T) { m.changes(t, m.s.Drain(m.now, rapid.IntRange(0, 3).Draw(t, "on") == 0)) },
			"probe": func(t *rapid.T) {
				if m.s.StartProbe(m.now) {
					i := ident.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation")) //nolint:gosec // small
					m.changes(t, m.s.ProbeDone(m.now, m.now, ProbeResult{rapid.Bool().Draw(t, "alive"), i}))
				}
			},
			"release": func(t *rapid.T) {
				m.changes(t, m.s.Release(m.now, func(s ident.Shard) bool { return s != 1 }))
			},
			"": func(t *rapid.T) { m.changes(t, nil) },
		})
	})
}

func (m *model) arrive(t *rapid.T) {
	w := Work{
		ID:           ident.Request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")),
		Shard:        ident.Shard(rapid.IntRange(0, 2).Draw(t, "shard")), //nolint:gosec // small
		Priority:     config.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Deadline:     m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond),
		Idempotent:   rapid.Bool().Draw(t, "idempotent"),
		NeverDropped: rapid.Bool().Draw(t, "never-dropped"),
	}
	d, l := m.s.Arrive(m.now, w)
	for _, x := range l {
		require.NotEqual(t, TicketOf(d), TicketOf(x), "decided twice")
	}
	m.decide(t, w, d)
	m.changes(t, l)
}

func (m *model) done(t *rapid.T) {
	if len(m.started) == 0 {
		return
	}
	k := anyTicket(t, m.started)
	w := m.started[k]
	delete(m.started, k)
	end := End(rapid.IntRange(0, int(EndCancelled)).Draw(t, "end")) //nolint:gosec // small
	if !mayHaveRun(end) {
		delete(m.pending, w.ID)
	}
	i := ident.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation")) //nolint:gosec // small
	m.changes(t, m.s.Done(m.now, k, Result{End: end, Incarnation: i}))
}
