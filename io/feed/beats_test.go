package feed

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/beat"
	"heatherrouter/core/ident"
	"heatherrouter/core/site"
	"heatherrouter/io/store"
	"heatherrouter/io/wire"
)

// serverRow returns the row of the server "s" with an announcement. Incarnations have addresses of their own.
func serverRow(t *testing.T, rev store.Rev, a beat.Announcement) store.Row {
	t.Helper()
	addr := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(a.Born)) //nolint:gosec // small
	v, err := json.Marshal(site.Server{Service: "a", Addr: addr, Slots: 1, Draining: a.Draining, Born: a.Born, Sequence: a.Sequence})
	require.NoError(t, err)
	return store.Row{Key: "s", Value: v, Rev: rev}
}

func ready(born, sequence int64) beat.Announcement {
	return beat.Announcement{Number: beat.Number{Born: born, Sequence: sequence}}
}

func draining(born, sequence int64) beat.Announcement {
	return beat.Announcement{Number: beat.Number{Born: born, Sequence: sequence}, Draining: true}
}

// applyServers applies rows of servers as the store's answers to one request each.
func applyServers(f *Feed, rows ...store.Row) {
	for _, r := range rows {
		f.applyPage(store.Servers, store.Page{Rows: []store.Row{r}, Rev: r.Rev}, false, f.o.Clock.Now(), fromStore)
	}
}

// accepts reports whether a daemon sends requests to the incarnation of the server "s".
func accepts(f *Feed, born int64) bool {
	s := f.Snapshot()
	x := s.Servers["s"]
	return x != nil && x.Born == born && s.Accepts(x)
}

// Guards against requests at a server that is draining, removed or restarted, after the store has carried out an older write of it late.
func TestOlderRowIsNotUsed(t *testing.T) {
	deleted := store.Row{Key: "s", Rev: 12, Gone: true}
	unreadable := store.Row{Key: "s", Rev: 12, Value: []byte("?")}
	for name, x := range map[string]struct {
		before []store.Row
		late   beat.Announcement
		want   int64 // incarnation that is used afterwards; 0 for none
		next   beat.Announcement
	}{
		"draining":                  {[]store.Row{serverRow(t, 11, draining(1, 9))}, ready(1, 4), 0, draining(1, 10)},
		"removed":                   {[]store.Row{serverRow(t, 11, ready(1, 9)), deleted}, ready(1, 4), 0, ready(1, 10)},
		"removed after it drained":  {[]store.Row{serverRow(t, 11, draining(1, 9)), deleted}, ready(1, 4), 0, draining(1, 10)},
		"restarted":                 {[]store.Row{serverRow(t, 11, ready(2, 1))}, ready(1, 900), 2, ready(2, 2)},
		"restarted, removed":        {[]store.Row{serverRow(t, 11, ready(2, 1)), deleted}, ready(1, 900), 0, ready(2, 2)},
		"drained, then unreadable":  {[]store.Row{serverRow(t, 11, draining(1, 9)), unreadable}, ready(1, 4), 0, draining(1, 10)},
		"ready, then unreadable":    {[]store.Row{serverRow(t, 11, ready(1, 9)), unreadable}, ready(1, 4), 0, ready(1, 10)},
		"unreadable, then draining": {[]store.Row{unreadable, serverRow(t, 13, draining(1, 9))}, ready(1, 4), 0, draining(1, 10)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFeed(newMemory(), "self")
			applyServers(f, serverRow(t, 10, ready(1, 3)))
			require.True(t, accepts(f, 1))
			applyServers(f, x.before...)
			applyServers(f, serverRow(t, 20, x.late))
			require.Equal(t, x.want == 1, accepts(f, 1), "the late row")
			require.Equal(t, x.want == 2, accepts(f, 2))
			applyServers(f, serverRow(t, 21, x.next))
			require.Equal(t, !x.next.Draining, accepts(f, x.next.Born), "the newer row is used at once")
		})
	}
}

// Guards against one wrong row that keeps a server out of use for good. The server writes its row once more, and not again as long as only
// the sequence changes.
func TestWrongRowEnds(t *testing.T) {
	f := newFeed(newMemory(), "self")
	applyServers(f, serverRow(t, 10, ready(1, 3)), serverRow(t, 11, ready(9, 1)), serverRow(t, 12, ready(1, 4)))
	require.True(t, accepts(f, 9))
	confirm := func(after time.Duration) {
		f.applyPage(store.Servers, store.Page{Rev: 12}, false, f.o.Clock.Now().Add(after), fromStore)
	}
	confirm(beat.LateWriteLimit - time.Second)
	require.False(t, accepts(f, 1))
	confirm(beat.LateWriteLimit)
	require.True(t, accepts(f, 1))
	applyServers(f, serverRow(t, 13, ready(1, 5)))
	require.True(t, accepts(f, 1))
}

// follow makes a daemon apply the answer of a peer to its next request.
func follow(t *testing.T, f, peer *Feed) {
	t.Helper()
	f.mu.Lock()
	x := f.syncRequest()
	f.mu.Unlock()
	r, _, _ := peer.reply(f.o.Self, x)
	require.True(t, f.applyReply(f.o.Clock.Now(), peer.o.Self, x, r))
}

// newPeers returns the feeds of daemons that have read the same tables.
func newPeers(t *testing.T, names ...ident.Daemon) []*Feed {
	t.Helper()
	m := newMemory()
	putControlRows(t, m, names[0], names...)
	p, err := m.List(t.Context(), store.Control)
	require.NoError(t, err)
	var l []*Feed
	for _, n := range names {
		f := newFeed(m, n)
		f.applyPage(store.Control, p, true, f.o.Clock.Now(), fromStore)
		f.applyPage(store.Orders, store.Page{Rev: p.Rev}, true, f.o.Clock.Now(), fromStore)
		l = append(l, f)
	}
	return l
}

// Guards against a daemon that takes an older row for news because it has missed the newer one: peers pass on the rows as of now.
func TestOlderRowOfPeerIsNotUsed(t *testing.T) {
	for name, x := range map[string]struct {
		newer []store.Row
		want  bool // whether the server is used
	}{
		"draining": {[]store.Row{serverRow(t, 11, draining(1, 9))}, false},
		"removed":  {[]store.Row{serverRow(t, 11, ready(1, 9)), {Key: "s", Rev: 12, Gone: true}}, false},
		"ready":    {[]store.Row{serverRow(t, 11, ready(1, 9))}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newPeers(t, "lead", "self")
			lead, f := l[0], l[1]
			applyServers(lead, serverRow(t, 10, ready(1, 3)))
			follow(t, f, lead)
			require.True(t, accepts(f, 1))
			applyServers(lead, x.newer...)
			applyServers(lead, serverRow(t, 20, ready(1, 4)))
			follow(t, f, lead)
			require.Equal(t, x.want, accepts(lead, 1))
			require.Equal(t, x.want, accepts(f, 1))
			if x.want {
				require.Equal(t, int64(9), f.Snapshot().Servers["s"].Sequence)
			}
			applyServers(lead, serverRow(t, 21, ready(1, 10)))
			follow(t, f, lead)
			require.True(t, accepts(f, 1), "a newer row is used at once")
		})
	}
}

// Guards against a daemon that starts while the store holds an older row: it has to ask its peers for what it can't read.
func TestStartedDaemonLearnsNewestAnnouncements(t *testing.T) {
	for name, newer := range map[string][]store.Row{
		"draining": {serverRow(t, 11, draining(1, 9))},
		"removed":  {serverRow(t, 11, ready(1, 9)), {Key: "s", Rev: 12, Gone: true}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newPeers(t, "lead", "self")
			lead, f := l[0], l[1]
			applyServers(lead, newer...)
			late := serverRow(t, 20, ready(1, 4))
			applyServers(lead, late)
			f.applyPage(store.Servers, store.Page{Rows: []store.Row{late}, Rev: 20}, true, f.o.Clock.Now(), fromStore)
			follow(t, f, lead)
			require.False(t, accepts(f, 1))
			x := f.syncRequest()
			require.False(t, x.GetAnnouncements(), "it asks once")
			r, _, _ := lead.reply("self", x)
			require.Empty(t, r.GetTables())
		})
	}
	t.Run("removed, and the row is not back", func(t *testing.T) {
		l := newPeers(t, "lead", "self")
		lead, f := l[0], l[1]
		applyServers(lead, serverRow(t, 11, ready(1, 9)), store.Row{Key: "s", Rev: 12, Gone: true})
		f.applyPage(store.Servers, store.Page{Rev: 12}, true, f.o.Clock.Now(), fromStore)
		follow(t, f, lead)
		applyServers(f, serverRow(t, 20, ready(1, 4)))
		require.False(t, accepts(f, 1))
	})
}

// Guards against rows of an earlier incarnation that a daemon uses although the assignment of keys names a later one.
func TestEarlierIncarnationThanAssignedIsNotUsed(t *testing.T) {
	f := newFeed(newMemory(), "self")
	applyServers(f, serverRow(t, 10, ready(1, 3)))
	f.LearnIncarnation("s", 1)
	require.True(t, accepts(f, 1))
	f.LearnIncarnation("s", 2)
	require.False(t, accepts(f, 1))
	applyServers(f, serverRow(t, 11, ready(1, 4)))
	require.False(t, accepts(f, 1))
	applyServers(f, serverRow(t, 12, ready(2, 1)))
	require.True(t, accepts(f, 2))
}

// Guards against a peer whose announcement can't be decoded.
func TestUnreadableAnnouncementOfPeer(t *testing.T) {
	f := newFeed(newMemory(), "self")
	applyServers(f, serverRow(t, 10, ready(1, 3)))
	f.mu.Lock()
	f.learnAnnouncements([]*wire.SyncRow{{Key: "s", Rev: 10, Newest: &wire.Announcement{Born: 1, Sequence: 9, Value: []byte("?")}}}, "lead")
	f.mu.Unlock()
	require.True(t, accepts(f, 1))
}
