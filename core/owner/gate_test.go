package owner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherrouter/core/ident"
	"heatherrouter/core/lease"
	"heatherrouter/core/mono"
	"heatherrouter/core/owner"
)

const ms = time.Millisecond

// site is one witness and a clock, enough to grant leases to gates.
type site struct {
	now     mono.Time
	witness *lease.Witness
	set     lease.Set
}

func newSite() *site {
	s := &site{now: mono.Time(time.Hour), set: lease.Set{Rev: 1, Current: []ident.Daemon{"w"}}}
	s.witness = lease.NewWitness("w", lease.DefaultTerms(), 0)
	s.witness.Serve("svc", s.set, 1)
	return s
}

// homeOf is a daemon's gate and lease of one server.
type homeOf struct {
	*owner.Gate
	*lease.Holder
	s    *site
	name ident.Daemon
}

func (s *site) home(d ident.Daemon, x ident.Server, e ident.Epoch) *homeOf {
	h := &homeOf{Gate: owner.NewGate(x), Holder: lease.NewHolder(lease.DefaultTerms(), x, e, 1), s: s, name: d}
	h.SetWitnesses(s.set)
	h.SetHolder(h.Holder)
	return h
}

// renew renews the lease with a copy of the document at the revision.
func (h *homeOf) renew(rev ident.Rev) {
	h.Answered(h.s.now, "w", h.s.witness.Ask(h.s.now, h.name, h.Ask(lease.Renew, rev)))
}

// Answered calls the holder's method; the gate's is called as h.Gate.Answered.
func (h *homeOf) Answered(at mono.Time, d ident.Daemon, g lease.Give) { h.Holder.Answered(at, d, g) }

func (h *homeOf) start(e ident.Epoch) (owner.Start, owner.Refusal) {
	return h.Start(h.s.now, 0, e, h.s.now.Add(time.Minute))
}

func rows(r owner.Row) map[ident.Shard]owner.Row { return map[ident.Shard]owner.Row{0: r} }

func TestStart(t *testing.T) {
	mine := owner.Row{Owner: "svc/a", Epoch: 3}
	tests := []struct {
		name  string
		row   owner.Row
		epoch ident.Epoch
		lease bool
		want  owner.Refusal
	}{
		{"owner", mine, 3, true, owner.NotRefused},
		{"no lease", mine, 3, false, owner.NoLease},
		{"older epoch", mine, 2, true, owner.Moved},
		{"newer epoch", mine, 4, true, owner.Moved},
		{"other owner", owner.Row{Owner: "svc/b", Epoch: 3}, 3, true, owner.Moved},
		{"not released", owner.Row{Owner: "svc/a", Epoch: 3, Previous: "svc/b"}, 3, true, owner.AwaitingRelease},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			s := newSite()
			h := s.home("d1", "svc/a", 2)
			h.SetRows(1, rows(x.row))
			if x.lease {
				h.renew(1)
			}
			st, no := h.start(x.epoch)
			require.Equal(t, x.want, no)
			if no == owner.NotRefused {
				require.Equal(t, h.Until().Add(-h.Skew()), st.Deadline, "before the end of the lease by any clock")
				require.EqualValues(t, 2, st.Epoch)
			}
		})
	}
}

func TestStartOnUnknownShard(t *testing.T) {
	s := newSite()
	h := s.home("d1", "svc/a", 2)
	h.renew(1)
	_, no := h.start(1)
	require.Equal(t, owner.NoLease, no, "without a copy of the document")
	h.SetRows(1, rows(owner.Row{}))
	_, no = h.Start(s.now, 5, 1, s.now.Add(time.Minute))
	require.Equal(t, owner.Moved, no)
}

// The process is paused between the check and the send, the lease expires and another home serves the shard. The
// request must not run at the previous owner, or twice. Send detects a pause before it; the server detects one after
// it, since the deadline in the request is a reading of the server's own clock.
func TestPauseBetweenCheckAndSend(t *testing.T) {
	s := newSite()
	h := s.home("d1", "svc/a", 2)
	h.SetRows(1, rows(owner.Row{Owner: "svc/a", Epoch: 1}))
	h.renew(1)
	anchor := owner.ClockSample{Stamp: owner.ServerTime(5 * time.Second), At: s.now}

	early, _ := h.start(1)
	late, _ := h.start(1)
	require.True(t, h.Send(s.now, late.Token))
	deadline := anchor.Deadline(late.Deadline, 0.01)
	remaining := late.Deadline.Sub(s.now)

	s.now = s.now.Add(2 * time.Second)
	require.False(t, h.Send(s.now, early.Token), "not run")
	next := s.home("d2", "svc/a", 3)
	next.renew(1)
	require.True(t, next.Holds(s.now))

	arrives := owner.ServerTime(7 * time.Second)
	require.GreaterOrEqual(t, arrives, deadline, "the server refuses it")
	require.Greater(t, arrives+owner.ServerTime(remaining), arrives, "with a remaining time it would run")
}

func TestSendAfterTheShardMoved(t *testing.T) {
	s := newSite()
	h := s.home("d1", "svc/a", 2)
	h.SetRows(1, rows(owner.Row{Owner: "svc/a", Epoch: 1}))
	h.renew(1)
	st, _ := h.start(1)
	h.SetRows(2, rows(owner.Row{Owner: "svc/b", Epoch: 2, Previous: "svc/a"}))
	require.False(t, h.Send(s.now, st.Token))
	require.True(t, h.Idle(s.now), "its token is no longer valid")
}

func TestMoveBetweenLiveHomes(t *testing.T) {
	s := newSite()
	a, b := s.home("d1", "svc/a", 2), s.home("d2", "svc/b", 2)
	one := owner.Row{Owner: "svc/a", Epoch: 1}
	for _, h := range []*homeOf{a, b} {
		h.SetRows(1, rows(one))
		h.renew(1)
	}
	st, no := a.start(1)
	require.Equal(t, owner.NotRefused, no)
	require.True(t, a.Send(s.now, st.Token))

	two, err := one.Move("svc/b")
	require.NoError(t, err)
	b.SetRows(2, rows(two))
	_, no = b.start(2)
	require.Equal(t, owner.AwaitingRelease, no)
	want := []owner.ReleaseRequest{{Shard: 0, Epoch: 2, Previous: "svc/a", Rev: 2}}
	require.Equal(t, want, b.ReleaseRequests())
	b.SetRows(3, rows(two))
	require.Equal(t, want, b.ReleaseRequests(), "the revision is that of the first copy with the row")

	require.False(t, a.MayRelease(s.now, want[0]), "its copy does not contain the move")
	a.SetRows(2, rows(two))
	require.False(t, a.MayRelease(s.now, want[0]), "the revision is not recorded")
	a.renew(2)
	require.False(t, a.MayRelease(s.now, want[0]), "one request is in flight")
	a.Gate.Answered(st.Token)
	require.True(t, a.MayRelease(s.now, want[0]))
	_, no = a.start(1)
	require.Equal(t, owner.Moved, no)

	b.SetReleased(0, 2)
	require.Empty(t, b.ReleaseRequests())
	_, no = b.start(2)
	require.Equal(t, owner.NotRefused, no)
}

func TestReleaseIsRefused(t *testing.T) {
	moved := owner.Row{Owner: "svc/b", Epoch: 2, Previous: "svc/a"}
	want := owner.ReleaseRequest{Shard: 0, Epoch: 2, Previous: "svc/a", Rev: 2}
	tests := []struct {
		name  string
		row   owner.Row
		want  owner.ReleaseRequest
		lease bool
	}{
		{"without the lease", moved, want, false},
		{"for another server", moved, owner.ReleaseRequest{Epoch: 2, Previous: "svc/c", Rev: 2}, true},
		{"of a copy that is newer than this one", moved, owner.ReleaseRequest{Epoch: 2, Previous: "svc/a", Rev: 9}, true},
		{"for an older move, when the shard is back", owner.Row{Owner: "svc/a", Epoch: 3, Previous: "svc/b"}, want, true},
		{"for an older move, when it was released again", owner.Row{Owner: "svc/a", Epoch: 3}, want, true},
		{"for a move that has ended", moved.Released(), want, true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			s := newSite()
			h := s.home("d1", "svc/a", 2)
			h.SetRows(5, rows(x.row))
			if x.lease {
				h.renew(5)
			}
			require.False(t, h.MayRelease(s.now, x.want))
		})
	}
}

// A request gets no response and its caller gives up; the server is still working on it when the shard moves. It counts
// as in flight until its deadline, or the shard would be served by two servers.
func TestRequestWithoutResponseDelaysRelease(t *testing.T) {
	s := newSite()
	h := s.home("d1", "svc/a", 2)
	h.SetRows(1, rows(owner.Row{Owner: "svc/a", Epoch: 1}))
	h.renew(1)
	st, _ := h.Start(s.now, 0, 1, s.now.Add(700*ms))
	require.True(t, h.Send(s.now, st.Token))
	h.SetRows(2, rows(owner.Row{Owner: "svc/b", Epoch: 2, Previous: "svc/a"}))
	h.renew(2)
	w := owner.ReleaseRequest{Shard: 0, Epoch: 2, Previous: "svc/a", Rev: 2}
	ends := 700*ms + h.Skew()
	ends += ends / 100 // the home's clock may run 1 % fast
	s.now = s.now.Add(ends - 1)
	h.renew(2)
	require.False(t, h.MayRelease(s.now, w), "the server's clock may be behind, and the home's fast")
	s.now = s.now.Add(1)
	require.True(t, h.MayRelease(s.now, w))
}

// The home releases a shard and crashes; its standby has a copy of the document from before the move and would serve the
// shard at a second server. The witnesses report to it that its copy is too old.
func TestStandbyWithOutdatedCopyTakesOver(t *testing.T) {
	s := newSite()
	home, standby := s.home("d1", "svc/a", 2), s.home("d2", "svc/a", 3)
	standby.SetRows(1, rows(owner.Row{Owner: "svc/a", Epoch: 1}))
	moved := rows(owner.Row{Owner: "svc/b", Epoch: 2, Previous: "svc/a"})
	home.SetRows(2, moved)
	home.renew(2)
	require.True(t, home.MayRelease(s.now, owner.ReleaseRequest{Shard: 0, Epoch: 2, Previous: "svc/a", Rev: 2}))

	s.now = s.now.Add(lease.DefaultTerms().Lapse())
	standby.renew(1)
	require.True(t, standby.Holds(s.now))
	_, no := standby.start(1)
	require.Equal(t, owner.NoLease, no)
	standby.SetRows(2, moved)
	_, no = standby.start(1)
	require.Equal(t, owner.Moved, no)
	standby.renew(2)
	require.True(t, standby.MayRelease(s.now, owner.ReleaseRequest{Shard: 0, Epoch: 2, Previous: "svc/a", Rev: 2}), "the standby releases for the old home")
}

// A shard moves from a to b and at once on to c. b never received its ownership and has nothing in flight, while a still
// works on the shard, so two servers would serve it. The second move is refused until a has released the shard.
func TestMoveOnBeforeTheRelease(t *testing.T) {
	r, err := owner.Row{Owner: "svc/a", Epoch: 1}.Move("svc/b")
	require.NoError(t, err)
	_, err = r.Move("svc/c")
	require.ErrorIs(t, err, owner.ErrMoveInProgress)
	_, err = r.Move("svc/a")
	require.ErrorIs(t, err, owner.ErrMoveInProgress)
	r, err = r.Released().Move("svc/c")
	require.NoError(t, err)
	require.Equal(t, owner.Row{Owner: "svc/c", Epoch: 3, Previous: "svc/b"}, r)
	same, err := r.Released().Move("svc/c")
	require.NoError(t, err)
	require.Equal(t, r.Released(), same)
}

func TestGateKeepsInFlightOverEpochs(t *testing.T) {
	s := newSite()
	h := s.home("d1", "svc/a", 2)
	h.SetRows(1, rows(owner.Row{Owner: "svc/a", Epoch: 1}))
	h.renew(1)
	st, _ := h.start(1)
	require.True(t, h.Send(s.now, st.Token))
	h.Holder = lease.NewHolder(lease.DefaultTerms(), "svc/a", 4, 1)
	h.SetWitnesses(s.set)
	h.SetHolder(h.Holder)
	h.SetRows(2, rows(owner.Row{Owner: "svc/b", Epoch: 2, Previous: "svc/a"}))
	h.renew(2)
	w := owner.ReleaseRequest{Shard: 0, Epoch: 2, Previous: "svc/a", Rev: 2}
	require.False(t, h.MayRelease(s.now, w))
	h.Gate.Answered(st.Token)
	require.True(t, h.MayRelease(s.now, w))
}

func TestClockSampleDeadlineIsNeverLate(t *testing.T) {
	const drift = 0.01
	at := mono.Time(time.Hour)
	for _, home := range []float64{1 - drift, 1, 1 + drift} {
		for _, server := range []float64{1 - drift, 1, 1 + drift} {
			// The home's clock reads until after real time x; the server's advances by x*server meanwhile.
			until := at.Add(1500 * ms)
			x := float64(1500*ms) / home
			reads := owner.ServerTime(7*time.Second) + owner.ServerTime(x*server)
			d := owner.ClockSample{Stamp: owner.ServerTime(7 * time.Second), At: at}.Deadline(until, drift)
			require.LessOrEqual(t, d, reads, "home %v server %v", home, server)
		}
	}
}

func TestStartAtTheEndOfTheLease(t *testing.T) {
	s := newSite()
	h := s.home("d1", "svc/a", 2)
	h.SetRows(1, rows(owner.Row{Owner: "svc/a", Epoch: 1}))
	h.renew(1)
	s.now = h.Until().Add(-h.Skew() - 1)
	_, no := h.start(1)
	require.Equal(t, owner.NotRefused, no)
	s.now = s.now.Add(1)
	_, no = h.start(1)
	require.Equal(t, owner.NoLease, no, "no time left for a server whose clock is behind")
	require.True(t, h.Holds(s.now))
}
