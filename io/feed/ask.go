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
	// feedWait is how long the store holds a feed back without news.
	feedWait = source.FeedWait

	// controlWait is the same for the control table, which changes next to never but by its reader's own hand.
	controlWait = 5 * time.Second

	// startGap is between the first two looks at the control table at the first start of a site, whose hosts start within
	// 0.3 s of each other, and lateGap between later ones. Whoever knows of no coordinator by startLimit reads all tables.
	startGap   = 800 * time.Millisecond
	lateGap    = 1500 * time.Millisecond
	startLimit = 3 * time.Second

	// newsPause follows an answer with news: servers that start or leave by dozens would else cost a call each. The
	// coordinator's own transactions come back as news of the control table.
	newsPause        = 100 * time.Millisecond
	controlNewsPause = 250 * time.Millisecond

	// Pauses after a failed call, doubled each time: calls are paid for, refused ones too.
	minPause = 50 * time.Millisecond
	maxPause = 800 * time.Millisecond

	followerPause = 1600 * time.Millisecond // in place of maxPause, of daemons that aren't the coordinator
)

// ask follows one table in the store for as long as this daemon leads, or its copy is stale.
func (f *Feed) ask(c context.Context, t store.Table) error {
	pause := minPause
	for c.Err() == nil {
		changed := f.Changed()
		if wait := f.askIn(t); wait > 0 {
			awaitChange(c, wait, changed)
			continue
		}
		if err := f.askOnce(c, t); err == nil {
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

// askIn returns how long the store needn't be asked.
func (f *Feed) askIn(t store.Table) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	if f.leads() {
		return 0
	}
	if f.snapshot.Coordinator.Term == 0 && now.Sub(f.started) < startLimit {
		return f.askAtStart(t, now)
	}
	if !f.read[t] {
		return f.firstReadIn(now)
	}
	c := source.Copy{AsOf: f.asOf[t], Asked: f.asked[t], Control: t == store.Control}
	return f.sources.StoreAt(now, f.snapshot, c).Sub(now)
}

// askAtStart returns how long the store needn't be asked by a daemon of a site that has had no coordinator yet. Each reads
// the control table at once, and again when most have written their rows. Then all know who comes first as a candidate: it
// reads the rest, and the others get it from there.
func (f *Feed) askAtStart(t store.Table, now mono.Time) time.Duration {
	switch {
	case t == store.Control && !f.read[t]:
		return 0
	case t == store.Control && f.askedTwice():
		return lateGap - now.Sub(f.asked[t])
	case t == store.Control:
		return startGap - now.Sub(f.asked[t])
	case f.askedTwice() && elect.First(f.snapshot) == f.o.Self:
		return 0 // it is about to become the coordinator, and waits for a configuration
	default:
		return startLimit - now.Sub(f.started)
	}
}

// firstReadIn returns how long a table that was never read needn't be; the caller holds the lock. At the first start of a
// site the coordinator has read all tables by the time that it is known: hundreds of daemons get them from it.
func (f *Feed) firstReadIn(now mono.Time) time.Duration {
	if !f.firstStart || f.sources.Silent() {
		return 0
	}
	return min(f.heard.Add(source.AnswerTime), f.started.Add(startLimit)).Sub(now)
}

// askedTwice reports whether the control table was read when most daemons had written their rows; the caller holds the lock.
func (f *Feed) askedTwice() bool {
	return f.read[store.Control] && f.asked[store.Control].Sub(f.started) >= startGap
}

// votes reports whether this daemon is one of the voters, as all are where the coordinator's row names none; the caller
// holds the lock.
func (f *Feed) votes() bool {
	return slices.Contains(voters(f.snapshot), f.o.Self)
}

// longestPause returns the longest pause between two failed calls. The coordinator is the first to learn that the store is
// back; the others pause for longer.
func (f *Feed) longestPause() time.Duration {
	if f.IsCoordinator() {
		return maxPause
	}
	return followerPause
}

// askOnce reads the table whole the first time and after the store has forgotten its history, else what changed.
func (f *Feed) askOnce(c context.Context, t store.Table) error {
	f.mu.Lock()
	read, rev := f.read[t], f.tables[t].rev
	f.asked[t] = f.o.Clock.Now()
	if t == store.Orders && read && !f.leads() && !f.votes() {
		f.o.Log.Info().Dur("copy-age", f.age(t)).Str("coordinator", string(f.snapshot.Coordinator.Daemon)).Msg("store asked in place of peers")
	}
	f.mu.Unlock()
	asked, boot := f.o.Clock.Now(), f.o.Clock.Boot()
	if !read {
		return f.list(c, t, asked)
	}
	wait := f.holdTime(t)
	p, err := f.o.Store.Follow(c, t, rev, wait)
	defer func() { f.pauseAfter(c, t, len(p.Rows)) }()
	if errors.Is(err, store.ErrHistoryGone) {
		f.o.Log.Warn().Str("table", t.String()).Uint64("rev", uint64(rev)).Msg("history forgotten by the store, table read whole")
		return f.list(c, t, asked)
	}
	if err != nil {
		return err
	}
	// While a feed is held back its copy is the newest; an answer without news says so for the time it was made, which is
	// long ago where this process stood still before it read the answer.
	f.applied(t, p, false, min(f.o.Clock.Now(), asked.Add(wait)), fromStore)
	if t == store.Control {
		f.Confirm(boot)
		f.wakeAtStart()
	}
	return nil
}

// wakeAtStart tells the other tables' duties that the control table was read again, with or without news.
func (f *Feed) wakeAtStart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot.Coordinator.Term == 0 {
		f.wake()
	}
}

// pauseAfter waits after an answer with so many rows.
func (f *Feed) pauseAfter(c context.Context, t store.Table, rows int) {
	switch {
	case rows == 0:
	case t == store.Servers:
		clock.Sleep(c, newsPause)
	case t == store.Control && f.IsCoordinator():
		clock.Sleep(c, controlNewsPause)
	}
}

// staleAfter returns the age of the copy from which a daemon asks the store itself; the caller holds the lock.
func (f *Feed) staleAfter() time.Duration {
	return source.Stale(f.snapshot, f.o.Self)
}

// holdTime returns how long the store may hold an answer for the table back.
func (f *Feed) holdTime(t store.Table) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case t != store.Control:
		return source.Hold(f.age(t))
	case f.snapshot.Coordinator.Term == 0 || f.age(t) >= source.OldCopy:
		return 0 // the answer tells at once whether the copy is the newest
	default:
		return controlWait
	}
}

func (f *Feed) list(c context.Context, t store.Table, asked mono.Time) error {
	p, err := f.o.Store.List(c, t)
	if err != nil {
		return err
	}
	f.applied(t, p, true, asked, fromStore)
	return nil
}
