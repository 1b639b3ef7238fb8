package beat

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherrouter/core/ident"
	"heatherrouter/core/mono"
)

const server = ident.Server("i-1")

func ready(born, sequence int64) Announcement {
	return Announcement{Number: Number{Born: born, Sequence: sequence}}
}

func draining(born, sequence int64) Announcement {
	return Announcement{Number: Number{Born: born, Sequence: sequence}, Draining: true}
}

func TestAdmit(t *testing.T) {
	for name, x := range map[string]struct {
		newest, next Announcement
		want         bool
	}{
		"next":                   {ready(7, 4), ready(7, 5), true},
		"same":                   {ready(7, 4), ready(7, 4), true},
		"older":                  {ready(7, 4), ready(7, 3), false},
		"older than draining":    {draining(7, 9), ready(7, 4), false},
		"restarted":              {ready(7, 900), ready(8, 1), true},
		"earlier incarnation":    {ready(8, 1), ready(7, 900), false},
		"without start":          {ready(0, 3), ready(0, 4), true},
		"without start, older":   {ready(0, 3), ready(0, 2), false},
		"restarted from drained": {draining(7, 900), ready(8, 0), true},
	} {
		h := NewHistory()
		require.True(t, h.Admit(0, server, x.newest), name)
		require.Equal(t, x.want, h.Admit(0, server, x.next), name)
	}
}

// Guards against a late write that brings a server back after its row was deleted or replaced by one that can't be decoded.
func TestOlderRowAfterNoRow(t *testing.T) {
	for name, end := range map[string]func(h *History){
		"deleted": func(h *History) { h.Deleted(0, server) },
		"invalid": func(h *History) { h.Invalid(server) },
	} {
		h := NewHistory()
		h.Admit(0, server, ready(7, 4))
		end(h)
		h.Prune(mono.Time(LateWriteLimit - 1))
		require.False(t, h.Admit(0, server, ready(7, 3)), name)
		require.True(t, h.Admit(0, server, ready(7, 5)), "%s: the server goes on", name)
	}
}

// Guards against a history that grows with each server that ever ran.
func TestPrune(t *testing.T) {
	h := NewHistory()
	h.Admit(0, server, ready(7, 4))
	h.Prune(mono.Never)
	_, known := h.Newest(server)
	require.True(t, known, "its row exists")
	h.Deleted(5, server)
	h.Prune(mono.Time(5 + LateWriteLimit))
	_, known = h.Newest(server)
	require.False(t, known)
}

// Guards against one wrong row that keeps a server out of use for good.
func TestOlderRowsThatStay(t *testing.T) {
	for name, x := range map[string]struct {
		wrong Announcement
		limit time.Duration
	}{
		"long sequence":           {ready(7, 1<<62), LateWriteLimit},
		"late start":              {ready(1<<62, 1), LateWriteLimit},
		"draining, long sequence": {draining(7, 1<<62), DrainingLimit},
		"draining, late start":    {draining(1<<62, 1), LateWriteLimit},
	} {
		h := NewHistory()
		h.Admit(0, server, ready(7, 3))
		h.Admit(0, server, x.wrong)
		began := mono.Time(time.Second)
		for i := range int64(3) {
			require.False(t, h.Admit(began.Add(time.Duration(i)*time.Second), server, ready(7, 4+i)), name)
		}
		require.Empty(t, h.Due(began.Add(x.limit-1)), name)
		require.Equal(t, []ident.Server{server}, h.Due(began.Add(x.limit)), name)
		require.True(t, h.Admit(began.Add(x.limit), server, ready(7, 6)), name)
		require.True(t, h.Admit(began.Add(x.limit), server, ready(7, 7)), name)
	}
}

// Guards against daemons that tell each other of a wrong announcement again and again: when an older row is used is told as well.
func TestLearnedAnnouncementEndsAtItsTime(t *testing.T) {
	h := NewHistory()
	h.Admit(0, server, ready(7, 4))
	until := mono.Time(7 * time.Second)
	require.True(t, h.Learn(until, server, ready(7, 1<<62)))
	require.False(t, h.Learn(until.Add(5*time.Second), server, ready(7, 1<<62)), "known already")
	require.False(t, h.Admit(until.Add(-time.Second), server, ready(7, 5)))
	_, told, ok := h.Superseded(until.Add(-time.Second), server)
	require.True(t, ok)
	require.Equal(t, until, told)
	require.Empty(t, h.Due(until-1))
	require.Equal(t, []ident.Server{server}, h.Due(until))
}

// Guards against an order of rows in which a late write changes what is in use.
func TestLateWritesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := NewHistory(), mono.Time(0)
		written := []Announcement{} // what the server has sent, in order
		inUse, born, sequence := Announcement{}, int64(1), int64(0)
		leaving := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 870 * time.Millisecond}).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				sequence++
				a := Announcement{Number: Number{Born: born, Sequence: sequence}, Draining: leaving}
				written = append(written, a)
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				require.True(t, h.Admit(now, server, a), "the newest is used at once")
				inUse = a
			case 2:
				leaving = rapid.Bool().Draw(t, "leaving") || leaving
			case 3:
				born, sequence, leaving = born+1, 0, false
			default:
				if len(written) == 0 {
					continue
				}
				a := written[rapid.IntRange(max(0, len(written)-5), len(written)-1).Draw(t, "late")]
				if a.Before(inUse.Number) {
					require.False(t, h.Admit(now, server, a))
				}
			}
			if n, ok := h.Newest(server); ok {
				require.Equal(t, inUse, n)
			}
		}
	})
}
