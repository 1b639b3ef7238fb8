package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"heatherrouter/core/elect"
	"heatherrouter/core/mono"
	"heatherrouter/core/source"
	"heatherrouter/io/clock"
	"heatherrouter/io/store"
)

const (
	// maxPollWait is how long the store holds a request for changes open while there are none.
	maxPollWait = source.MaxPollWait

	// controlWait is the same for the control table, which rarely changes except by the coordinator that reads it.
	controlWait = 5 * time.Second

	// startReadInterval separates the first two reads of the control table at the first start of a site, whose hosts start
	// within 0.3 s of each other; lateReadInterval separates later ones. A daemon without a coordinator after startLimit
	// reads all tables.
	startReadInterval = 800 * time.Millisecond
	lateReadInterval  = 1500 * time.Millisecond
	startLimit        = 3 * time.Second

	// changesPause follows an answer with changes of servers: without it, servers that start or leave by dozens cost one call
	// each. controlChangesPause does the same for the coordinator, whose own transactions come back as changes.
	changesPause        = 100 * time.Millisecond
	controlChangesPause = 250 * time.Millisecond

	// Bounds of the pause after a failed call, which doubles each time: the store charges for refused calls too.
	minPause = 50 * time.Millisecond
	maxPause = 800 * time.Millisecond

	followerPause = 1600 * time.Millisecond // replaces maxPause for daemons that aren't the coordinator
)

// followStore follows one table in the store while this daemon is the coordinator or its copy is stale.
func (f *Feed) followStore(c context.Context, t store.Table) error {
	pause := minPause
	for c.Err() == nil {
		changed := f.Changed()
		if wait := f.readDelay(t); wait > 0 {
			awaitChange(c, wait, changed)
			continue
		}
		if err := f.readStore(c, t); err == nil {
			pause = minPause
			continue
		} else if c.Err() == nil {
			f.o.Log.Warn().Err(err).Str("table", t.String()).Msg("store not read")
		}
		clock.Sleep(c, pause/2+rand.N(pause))
		pause = min(2*pause, f.longestPause())
	}
	return nil
}

// readDelay returns the time until the table has to be read from the store; zero or less means now.
func (f *Feed) readDelay(t store.Table) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	if f.leads() || f.handedOver(t) {
		return 0
	}
	if f.snapshot.Coordinator.Term == 0 && now.Sub(f.started) < startLimit {
		return f.readDelayAtStart(t, now)
	}
	if !f.loaded[t] {
		return f.firstReadDelay(now)
	}
	c := source.Copy{AsOf: f.asOf[t], RequestedAt: f.requested[t], Control: t == store.Control}
	return f.sources.StorePollAt(now, f.snapshot, c).Sub(now)
}

// handedOver reports whether this daemon has made another one the coordinator and peers can't get that change from it yet: a copy
// is passed on up to its own revision. The caller must hold f.mu.
func (f *Feed) handedOver(t store.Table) bool {
	return t == store.Control && f.roleRev > f.tables[t].rev
}

// readDelayAtStart is readDelay in a site that has had no coordinator yet. Each daemon reads the control table at once, and
// again when most have written their rows. All daemons then agree on the first candidate: it reads the other tables, and the
// others get them from it. The caller must hold f.mu.
func (f *Feed) readDelayAtStart(t store.Table, now mono.Time) time.Duration {
	switch {
	case t == store.Control && !f.loaded[t]:
		return 0
	case t == store.Control && f.rereadAtStart():
		return lateReadInterval - now.Sub(f.requested[t])
	case t == store.Control:
		return startReadInterval - now.Sub(f.requested[t])
	case f.rereadAtStart() && elect.TopCandidate(f.snapshot) == f.o.Self:
		return 0 // it is about to become the coordinator and needs a configuration first
	default:
		return startLimit - now.Sub(f.started)
	}
}

// firstReadDelay is readDelay for a table that was never read. The caller must hold f.mu. At the first start of a site the
// coordinator has read all tables before other daemons know it, so that hundreds of daemons can get them from it.
func (f *Feed) firstReadDelay(now mono.Time) time.Duration {
	if !f.firstStart || f.sources.CoordinatorUnresponsive() {
		return 0
	}
	return min(f.coordinatorSeen.Add(source.ResponseTimeout), f.started.Add(startLimit)).Sub(now)
}

// rereadAtStart reports whether the control table was read after most daemons had written their rows. The caller must hold
// f.mu.
func (f *Feed) rereadAtStart() bool {
	return f.loaded[store.Control] && f.requested[store.Control].Sub(f.started) >= startReadInterval
}

// isVoter reports whether this daemon is one of the voters; all are if the coordinator's row names none. The caller must
// hold f.mu.
func (f *Feed) isVoter() bool {
	return slices.Contains(voters(f.snapshot), f.o.Self)
}

// longestPause returns the longest pause between two failed calls. It is longer for daemons other than the coordinator,
// which detects first that the store is available again.
func (f *Feed) longestPause() time.Duration {
	if f.IsCoordinator() {
		return maxPause
	}
	return followerPause
}

// readStore reads the full table the first time and after the store has truncated its history, else only the changes.
func (f *Feed) readStore(c context.Context, t store.Table) error {
	f.mu.Lock()
	loaded, rev := f.loaded[t], f.tables[t].rev
	f.requested[t] = f.o.Clock.Now()
	if t == store.Orders && loaded && !f.leads() && !f.isVoter() {
		f.o.Log.Info().Dur("copy-age", f.age(t)).Str("coordinator", string(f.snapshot.Coordinator.Daemon)).Msg("store asked in place of peers")
	}
	f.mu.Unlock()
	asked, boot := f.o.Clock.Now(), f.o.Clock.SinceBoot()
	if !loaded {
		return f.readFull(c, t, asked)
	}
	wait := f.pollWait(t)
	p, err := f.o.Store.Follow(c, t, rev, wait)
	defer func() { f.pauseAfter(c, t, len(p.Rows)) }()
	if errors.Is(err, store.ErrHistoryTruncated) {
		f.o.Log.Warn().Str("table", t.String()).Uint64("rev", uint64(rev)).Msg("history forgotten by the store, table read whole")
		return f.readFull(c, t, asked)
	}
	if err != nil {
		return err
	}
	// While the store holds a request open, the copy is current. An answer without changes confirms that only up to the time
	// it was made, which may be long ago if this process was suspended before it read the answer.
	f.applyPage(t, p, false, min(f.o.Clock.Now(), asked.Add(wait)), fromStore)
	if t == store.Control {
		f.ConfirmControl(boot)
		f.notifyAtStart()
	}
	return nil
}

// notifyAtStart notifies the readers of the other tables that the control table was read again, even without changes.
func (f *Feed) notifyAtStart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot.Coordinator.Term == 0 {
		f.notifyChanged()
	}
}

// pauseAfter pauses after an answer with the given number of rows.
func (f *Feed) pauseAfter(c context.Context, t store.Table, rows int) {
	switch {
	case rows == 0:
	case t == store.Servers:
		clock.Sleep(c, changesPause)
	case t == store.Control:
		f.pauseWhileCoordinator(c, controlChangesPause)
	}
}

// pauseWhileCoordinator pauses for the duration, or until this daemon is no longer the coordinator: the others learn of the next one
// from its copy.
func (f *Feed) pauseWhileCoordinator(c context.Context, d time.Duration) {
	until := f.o.Clock.Now().Add(d)
	for c.Err() == nil {
		changed := f.Changed()
		left := until.Sub(f.o.Clock.Now())
		if left <= 0 || !f.IsCoordinator() {
			return
		}
		awaitChange(c, left, changed)
	}
}

// staleAfter returns the age of the copy from which a daemon reads the store itself. The caller must hold f.mu.
func (f *Feed) staleAfter() time.Duration {
	return source.StaleAge(f.snapshot, f.o.Self)
}

// pollWait returns how long the store may hold a request for changes of the table open.
func (f *Feed) pollWait(t store.Table) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case t != store.Control:
		return source.PollWait(f.age(t))
	case f.snapshot.Coordinator.Term == 0 || f.age(t) >= source.OutdatedAge:
		return 0 // an immediate answer shows whether the copy is current
	default:
		return controlWait
	}
}

func (f *Feed) readFull(c context.Context, t store.Table, asked mono.Time) error {
	p, err := f.o.Store.List(c, t)
	if err != nil {
		return err
	}
	f.applyPage(t, p, true, asked, fromStore)
	return nil
}

// ReadControl reads the changes of the control table at once, beside a request that the store may hold open. Callers use it after a
// conflict, which shows that the copy is old.
func (f *Feed) ReadControl(c context.Context) error {
	f.mu.Lock()
	rev := f.tables[store.Control].rev
	f.mu.Unlock()
	asked, boot := f.o.Clock.Now(), f.o.Clock.SinceBoot()
	p, err := f.o.Store.Follow(c, store.Control, rev, 0)
	if errors.Is(err, store.ErrHistoryTruncated) {
		return f.readFull(c, store.Control, asked)
	}
	if err != nil {
		return err
	}
	f.applyPage(store.Control, p, false, asked, fromStore)
	f.ConfirmControl(boot)
	return nil
}
